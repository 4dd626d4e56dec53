// Package dfpstore is a stand-in for the platform's key-value service. It holds
// its entries in memory, counts every call, and has faults to switch on.
//
// # Usage
//
//	store := dfpstore.New(dfpstore.Config{})
//	server := httptest.NewServer(store.Handler())
//	store.SetFault(dfpstore.MethodGet, dfpstore.Fault{Down: true})
//	fmt.Println(store.Counts().Calls[dfpstore.MethodGet])
//
// Over HTTP, GET /counts returns the counters as JSON and POST /fault sets a
// fault, as in {"method":"get","fault":{"down":true}}. POST /lapse lets all
// leases lapse and POST /silence makes the open watches silent.
package dfpstore

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"

	pb "dragonflyport/internal/proto/dfpplatformpb"
)

// MaxValueBytes is the longest value that an entry can hold, in bytes.
const MaxValueBytes = 1 << 20

// maxEvents is the number of changes kept for watches that start in the past.
const maxEvents = 1 << 16

// Method names one call of the service.
type Method string

// The methods.
const (
	MethodGet            Method = "get"
	MethodList           Method = "list"
	MethodCompareAndSwap Method = "compare_and_swap"
	MethodGrantLease     Method = "grant_lease"
	MethodKeepLease      Method = "keep_lease"
	MethodWatch          Method = "watch"
)

// Methods lists all methods.
var Methods = []Method{MethodGet, MethodList, MethodCompareAndSwap, MethodGrantLease, MethodKeepLease, MethodWatch}

// ErrUnknownMethod is returned for a word that names no method.
var ErrUnknownMethod = errors.New("unknown method")

// Fault says how a method misbehaves. The zero value means that it works.
type Fault struct {
	// Down refuses calls before they take effect; open watches end.
	Down bool `json:"down"`
	// Delay is waited before the call takes effect.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswer closes the connection after the call took effect.
	LoseAnswer bool `json:"lose_answer"`
	// Stale answers Get and List from the state at the time it was switched on.
	Stale bool `json:"stale"`
	// Silent keeps watches open without sending changes or heartbeats.
	Silent bool `json:"silent"`
}

// Config configures a Store. The zero value can be used.
type Config struct {
	// Now is the clock for leases; nil means time.Now.
	Now func() time.Time
	// HeartbeatInterval is the pause between a watch's heartbeats; 0 means 500 ms.
	HeartbeatInterval time.Duration
}

// Counts is a copy of the counters.
type Counts struct {
	// Calls counts the calls received, refused ones included.
	Calls map[Method]uint64 `json:"calls"`
	// Writes counts the changes that took effect.
	Writes uint64 `json:"writes"`
	// OpenWatches is the number of watches open now.
	OpenWatches int `json:"waiting"`
}

// Store implements dfpplatformpb.KeyValueServiceHandler. It is safe for
// concurrent use.
type Store struct {
	cfg Config

	mu       sync.Mutex
	revision uint64
	entries  map[string]*pb.Entry
	stale    *snapshot
	leases   map[uint64]*lease
	lastID   uint64
	events   []*pb.WatchEvent
	// dropped is the revision of the last event that is no longer kept.
	dropped uint64
	changed chan struct{}
	faults  map[Method]Fault
	// watchEpoch separates the watches opened before SilenceWatches from later ones.
	watchEpoch uint64
	counts     Counts
}

// snapshot is the state that stale reads see; its entries are never changed.
type snapshot struct {
	revision uint64
	entries  map[string]*pb.Entry
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// New returns an empty store.
func New(cfg Config) *Store {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	if cfg.HeartbeatInterval == 0 {
		cfg.HeartbeatInterval = 500 * time.Millisecond
	}
	return &Store{
		cfg:     cfg,
		entries: make(map[string]*pb.Entry),
		leases:  make(map[uint64]*lease),
		changed: make(chan struct{}),
		faults:  make(map[Method]Fault),
		counts:  Counts{Calls: make(map[Method]uint64)},
	}
}

// SetFault makes a method misbehave from now on; the zero Fault mends it.
func (s *Store) SetFault(method Method, fault Fault) error {
	if !slices.Contains(Methods, method) {
		return fmt.Errorf("%w %q", ErrUnknownMethod, method)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults[method] = fault
	stale := s.faults[MethodGet].Stale || s.faults[MethodList].Stale
	if !stale {
		s.stale = nil
	} else if s.stale == nil {
		s.stale = &snapshot{revision: s.revision, entries: maps.Clone(s.entries)}
	}
	s.wakeLocked()
	return nil
}

// SetFaultAll sets the same fault for every method.
func (s *Store) SetFaultAll(fault Fault) {
	for _, m := range Methods {
		if err := s.SetFault(m, fault); err != nil {
			panic("dfpstore: a listed method is unknown: " + err.Error())
		}
	}
}

// ExpireLeases lets every lease lapse at once.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.lapseLocked(id)
	}
}

// SilenceWatches makes the watches that are open now silent for good. Watches
// opened later work.
func (s *Store) SilenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchEpoch++
	s.wakeLocked()
}

// Counts returns a copy of the counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Calls = maps.Clone(c.Calls)
	return c
}

// begin counts a call and applies the faults that come before its effect.
func (s *Store) begin(ctx context.Context, method Method) (Fault, error) {
	s.mu.Lock()
	s.counts.Calls[method]++
	fault := s.faults[method]
	s.mu.Unlock()
	if fault.Delay > 0 {
		select {
		case <-ctx.Done():
			return fault, ctx.Err()
		case <-time.After(fault.Delay):
		}
	}
	if fault.Down {
		return fault, connect.NewError(connect.CodeUnavailable, errors.New("the key-value service is down"))
	}
	return fault, nil
}

// finish returns an answer, or loses it.
func finish[T any](fault Fault, answer *T) (*connect.Response[T], error) {
	if fault.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(answer), nil
}

// view returns the entries and revision that a read sees.
func (s *Store) viewLocked(fault Fault) (map[string]*pb.Entry, uint64) {
	s.expireLocked()
	if fault.Stale && s.stale != nil {
		return s.stale.entries, s.stale.revision
	}
	return s.entries, s.revision
}

// Get implements dfpplatformpb.KeyValueServiceHandler.
func (s *Store) Get(ctx context.Context, req *connect.Request[pb.GetRequest]) (*connect.Response[pb.GetResponse], error) {
	fault, err := s.begin(ctx, MethodGet)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	entries, _ := s.viewLocked(fault)
	entry := entries[req.Msg.GetKey()]
	s.mu.Unlock()
	return finish(fault, &pb.GetResponse{Entry: entry})
}

// List implements dfpplatformpb.KeyValueServiceHandler.
func (s *Store) List(ctx context.Context, req *connect.Request[pb.ListRequest]) (*connect.Response[pb.ListResponse], error) {
	fault, err := s.begin(ctx, MethodList)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	entries, revision := s.viewLocked(fault)
	answer := &pb.ListResponse{Revision: revision}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		if strings.HasPrefix(key, req.Msg.GetPrefix()) {
			answer.Entries = append(answer.Entries, entries[key])
		}
	}
	s.mu.Unlock()
	return finish(fault, answer)
}

// CompareAndSwap implements dfpplatformpb.KeyValueServiceHandler.
func (s *Store) CompareAndSwap(ctx context.Context, req *connect.Request[pb.CompareAndSwapRequest]) (*connect.Response[pb.CompareAndSwapResponse], error) {
	fault, err := s.begin(ctx, MethodCompareAndSwap)
	if err != nil {
		return nil, err
	}
	if len(req.Msg.GetValue()) > MaxValueBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("value of %d bytes is over %d", len(req.Msg.GetValue()), MaxValueBytes))
	}
	s.mu.Lock()
	answer, err := s.swapLocked(req.Msg)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return finish(fault, answer)
}

func (s *Store) swapLocked(m *pb.CompareAndSwapRequest) (*pb.CompareAndSwapResponse, error) {
	s.expireLocked()
	current := s.entries[m.GetKey()]
	if current.GetRevision() != m.GetExpectedRevision() {
		return &pb.CompareAndSwapResponse{Entry: current}, nil
	}
	if m.GetLease() != 0 && s.leases[m.GetLease()] == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("no such lease"))
	}
	s.counts.Writes++
	if m.GetDelete() {
		if current != nil {
			s.deleteLocked(m.GetKey())
		}
		return &pb.CompareAndSwapResponse{Swapped: true}, nil
	}
	s.revision++
	entry := &pb.Entry{Key: m.GetKey(), Value: m.GetValue(), Revision: s.revision, Lease: m.GetLease()}
	s.entries[m.GetKey()] = entry
	s.publishLocked(&pb.WatchEvent{Changed: entry, Revision: s.revision})
	return &pb.CompareAndSwapResponse{Swapped: true, Entry: entry}, nil
}

// Put writes an entry without a condition, as operators do whom no fault meets.
func (s *Store) Put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.entries[key] = &pb.Entry{Key: key, Value: value, Revision: s.revision}
	s.publishLocked(&pb.WatchEvent{Changed: s.entries[key], Revision: s.revision})
}

func (s *Store) deleteLocked(key string) {
	s.revision++
	delete(s.entries, key)
	s.publishLocked(&pb.WatchEvent{DeletedKey: key, Revision: s.revision})
}
