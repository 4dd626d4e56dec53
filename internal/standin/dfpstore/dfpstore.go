// Package dfpstore is a stand-in for the platform's key-value service. It keeps
// its entries in memory, counts every call, and can inject faults.
//
// # Usage
//
//	store := dfpstore.New(dfpstore.Config{})
//	server := httptest.NewServer(store.Handler())
//	store.SetFault(dfpstore.MethodGet, dfpstore.Fault{Down: true})
//	fmt.Println(store.Counts().Calls[dfpstore.MethodGet])
//
// Copy and Restore bring the store back from an earlier state, as in a drill. Era counts these.
//
// Over HTTP, GET /counts returns the counters as JSON and POST /fault sets a
// fault, as in {"method":"get","fault":{"down":true}}. POST /lapse expires all
// leases, and POST /silence makes the open watches silent: they stay open and
// send nothing more.
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

// maxEvents is the maximum number of changes kept for watches that start from an
// older revision.
const maxEvents = 1 << 16

// Method is the name of a method of the service.
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

// ErrUnknownMethod is returned by SetFault for a name that is not in Methods.
var ErrUnknownMethod = errors.New("unknown method")

// Fault describes how a method misbehaves. The zero value is no fault.
type Fault struct {
	// Down rejects calls before they take effect, and ends open watches.
	Down bool `json:"down"`
	// Delay delays calls before they take effect.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswer closes the connection after the call took effect, without a
	// response.
	LoseAnswer bool `json:"lose_answer"`
	// Stale makes Get and List read the state at the time the fault was set.
	Stale bool `json:"stale"`
	// Silent keeps watches open without sending changes or heartbeats.
	Silent bool `json:"silent"`
}

// Config configures a Store. The zero value can be used.
type Config struct {
	// Now is the clock for leases; nil means time.Now.
	Now func() time.Time
	// HeartbeatInterval is the time between the heartbeats of a watch; 0 means
	// 500 ms.
	HeartbeatInterval time.Duration
}

// Counts are the counters of a Store.
type Counts struct {
	// Calls counts the received calls, including rejected ones.
	Calls map[Method]uint64 `json:"calls"`
	// Writes counts the changes that took effect.
	Writes uint64 `json:"writes"`
	// OpenWatches is the number of open watches.
	OpenWatches int `json:"waiting"`
}

// Store implements dfpplatformpb.KeyValueServiceHandler. It is safe for
// concurrent use.
type Store struct {
	cfg Config

	mu          sync.Mutex
	revision    uint64
	entries     map[string]*pb.Entry
	stale       *snapshot
	leases      map[uint64]*lease
	lastLeaseID uint64
	events      []*pb.WatchEvent
	// droppedRevision is the revision of the last event that was dropped.
	droppedRevision uint64
	changed         chan struct{}
	faults          map[Method]Fault
	era             uint64
	// watchEpoch is incremented by SilenceWatches; watches opened in an earlier epoch
	// are silent.
	watchEpoch uint64
	counts     Counts
}

// snapshot is the state that stale reads see. Its entries are not modified.
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
		era:     1,
		entries: make(map[string]*pb.Entry),
		leases:  make(map[uint64]*lease),
		changed: make(chan struct{}),
		faults:  make(map[Method]Fault),
		counts:  Counts{Calls: make(map[Method]uint64)},
	}
}

// SetFault sets the fault of a method; the zero Fault ends it. It returns
// ErrUnknownMethod if there is no such method.
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
	s.wakeWatchesLocked()
	return nil
}

// SetFaultAll sets the same fault for every method.
func (s *Store) SetFaultAll(fault Fault) {
	for _, m := range Methods {
		if err := s.SetFault(m, fault); err != nil {
			panic("dfpstore: method listed in Methods is unknown: " + err.Error())
		}
	}
}

// ExpireLeases expires all leases at once.
func (s *Store) ExpireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, id := range slices.Sorted(maps.Keys(s.leases)) {
		s.expireLeaseLocked(id)
	}
}

// SilenceWatches makes the open watches silent permanently: they stay open and
// send nothing more. Watches opened later are not affected.
func (s *Store) SilenceWatches() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.watchEpoch++
	s.wakeWatchesLocked()
}

// Counts returns a copy of the counters.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.counts
	c.Calls = maps.Clone(c.Calls)
	return c
}

// begin counts a call and applies the faults that act before the call takes
// effect.
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
		return fault, connect.NewError(connect.CodeUnavailable, errors.New("key-value service is down"))
	}
	return fault, nil
}

// respond returns the response, or closes the connection if the fault loses
// answers.
func respond[T any](fault Fault, response *T) (*connect.Response[T], error) {
	if fault.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	return connect.NewResponse(response), nil
}

// viewLocked returns the entries and the revision that a read sees.
func (s *Store) viewLocked(fault Fault) (map[string]*pb.Entry, uint64) {
	s.expireLeasesLocked()
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
	return respond(fault, &pb.GetResponse{Entry: entry})
}

// List implements dfpplatformpb.KeyValueServiceHandler.
func (s *Store) List(ctx context.Context, req *connect.Request[pb.ListRequest]) (*connect.Response[pb.ListResponse], error) {
	fault, err := s.begin(ctx, MethodList)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	entries, revision := s.viewLocked(fault)
	response := &pb.ListResponse{Revision: revision}
	for _, key := range slices.Sorted(maps.Keys(entries)) {
		if strings.HasPrefix(key, req.Msg.GetPrefix()) {
			response.Entries = append(response.Entries, entries[key])
		}
	}
	s.mu.Unlock()
	return respond(fault, response)
}

// CompareAndSwap implements dfpplatformpb.KeyValueServiceHandler.
func (s *Store) CompareAndSwap(ctx context.Context, req *connect.Request[pb.CompareAndSwapRequest]) (*connect.Response[pb.CompareAndSwapResponse], error) {
	fault, err := s.begin(ctx, MethodCompareAndSwap)
	if err != nil {
		return nil, err
	}
	if len(req.Msg.GetValue()) > MaxValueBytes {
		return nil, connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("value is %d bytes long, limit is %d", len(req.Msg.GetValue()), MaxValueBytes))
	}
	s.mu.Lock()
	response, err := s.swapLocked(req.Msg)
	s.mu.Unlock()
	if err != nil {
		return nil, err
	}
	return respond(fault, response)
}

func (s *Store) swapLocked(m *pb.CompareAndSwapRequest) (*pb.CompareAndSwapResponse, error) {
	s.expireLeasesLocked()
	current := s.entries[m.GetKey()]
	if current.GetRevision() != m.GetExpectedRevision() {
		return &pb.CompareAndSwapResponse{Entry: current}, nil
	}
	if m.GetLease() != 0 && s.leases[m.GetLease()] == nil {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("unknown or expired lease"))
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

// Put writes an entry unconditionally, as an operator does. Faults do not affect
// it.
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
