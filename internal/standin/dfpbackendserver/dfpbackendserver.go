// Package dfpbackendserver is a stand-in for a backend server. It has slots, a
// connection limit, seeded service times, a cold start, nested calls through its
// node, health and load pages that can be wrong or out of date, faults that can be
// injected, and a ledger of its runs.
//
// A slot allows one request to run. A run is one execution of a request. An
// operation is what a caller wants done; all attempts of a caller at one operation
// carry its name.
//
// # Usage
//
//	server := dfpbackendserver.New(dfpbackendserver.Config{
//		Service:     "ordering",
//		Slots:       120,
//		ServiceTime: dfpbackendserver.Distribution{Median: 20 * time.Millisecond, Sigma: 0.4},
//		EgressURL:   "http://127.0.0.1:9002",
//		NestedCalls: []dfpbackendserver.NestedCall{{PathPrefix: "/order", Method: "GET", Service: "catalogue", Path: "/catalogue/1"}},
//	})
//	group.Go(func() error { return server.Serve(ctx, listener) })
//	group.Go(func() error { return server.Announce(ctx, listener.Addr().String()) })
//
// A request counts as run from the moment it has a slot. The response to each
// completed request is a JSON object that names the operation, so that a caller can
// check that the response is to its own request.
package dfpbackendserver

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// Headers that a backend server reads or sets.
const (
	HeaderParent = "Dragonflyport-Parent"
	// HeaderRequest is the request's id, which the response repeats.
	HeaderRequest      = "Dragonflyport-Request"
	HeaderOrganisation = "Dragonflyport-Organisation"
	HeaderDeadline     = "Dragonflyport-Deadline-Ms"
	// HeaderShed is set on a 503 response if the request was shed before it ran.
	HeaderShed = "Dragonflyport-Shed"
	// HeaderRateLimit and HeaderLeaving are set on all responses as SetNotice says.
	HeaderRateLimit = "Dragonflyport-Rate-Limit"
	HeaderLeaving   = "Dragonflyport-Leaving"
	// HeaderOperation is the name of the operation; a caller's retries have the same.
	// The name of a nested call's operation is that of its parent, "/", and the index
	// of the call.
	HeaderOperation = "Lab-Operation"
)

// Distribution is a log-normal distribution of durations. With a Median of 0 all
// durations are 0.
type Distribution struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; with 0 all durations are
	// Median.
	Sigma float64
}

// Sample draws one duration.
func (d Distribution) Sample(rnd *rand.Rand) time.Duration {
	if d.Sigma == 0 {
		return d.Median
	}
	return time.Duration(float64(d.Median) * math.Exp(d.Sigma*rnd.NormFloat64()))
}

// NestedCall is one call that a request makes through its node's egress.
type NestedCall struct {
	// PathPrefix selects the requests that make this call, by their path.
	PathPrefix string
	Method     string
	Service    string
	Path       string
	// Retries is how often the backend server itself retries a failed call.
	Retries int
}

// Fault describes how the backend server misbehaves. The zero value is no fault.
type Fault struct {
	// FailFast makes the server respond with status 500 at once.
	FailFast bool `json:"fail_fast"`
	// Hang keeps each request until it is cancelled.
	Hang bool `json:"hang"`
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FalseHealth makes the health and load pages show a healthy and idle server.
	FalseHealth bool `json:"false_health"`
}

// Config configures a Server.
type Config struct {
	Service string
	// Slots is the number of requests that can run at the same time.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot; further requests
	// are shed.
	QueueLimit int
	// MaxConnections is the limit on open connections; 0 means no limit.
	MaxConnections int
	ServiceTime    Distribution
	// PayloadBytes is the length of the padding in each response.
	PayloadBytes int
	// ColdStart is how long after the start service times are multiplied by
	// ColdFactor.
	ColdStart  time.Duration
	ColdFactor float64
	// MaxPageAge is the maximum age of the figures on the health and load pages.
	MaxPageAge time.Duration
	// EgressURL is the URL of the node's egress listener, such as
	// "http://127.0.0.1:9002".
	EgressURL   string
	NestedCalls []NestedCall
	// IgnoreCancellation makes requests, including those that wait for a slot,
	// continue after their caller has disconnected or their deadline has passed.
	IgnoreCancellation bool
	// AnnounceInterval is the time between announcements; 0 means 1 s.
	AnnounceInterval time.Duration
	// Seed determines the service times.
	Seed uint64
}

// Server is a backend server. It is safe for concurrent use.
type Server struct {
	cfg     Config
	started time.Time
	slots   chan struct{}
	waiting atomic.Int64
	client  *http.Client
	Ledger  *Ledger

	mu         sync.Mutex
	rnd        *rand.Rand
	fault      Fault
	notice     dfpcall.Notice
	status     Status
	statusTime time.Time
	address    string
	draining   atomic.Bool
}

// New returns a server whose cold start begins now. It panics if Slots is not
// positive.
func New(cfg Config) *Server {
	if cfg.Slots <= 0 {
		panic("dfpbackendserver: Slots must be positive")
	}
	if cfg.AnnounceInterval == 0 {
		cfg.AnnounceInterval = time.Second
	}
	transport := &http.Transport{MaxIdleConnsPerHost: cfg.Slots, IdleConnTimeout: 10 * time.Second}
	return &Server{
		cfg:     cfg,
		started: time.Now(),
		slots:   make(chan struct{}, cfg.Slots),
		client:  &http.Client{Transport: transport},
		Ledger:  newLedger(),
		rnd:     rand.New(rand.NewPCG(cfg.Seed, 0)),
	}
}

// Address returns the host:port of the listener of the last call to Serve.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// SetFault replaces the fault in force.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// SetNotice replaces what the server says about itself in its answers from now on.
func (s *Server) SetNotice(notice dfpcall.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notice = notice
}

// writeNotice sets the headers of the notice.
func (s *Server) writeNotice(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.notice.Limited {
		header.Set(HeaderRateLimit, strconv.FormatFloat(s.notice.Rate, 'f', -1, 64))
	}
	if s.notice.Leaving {
		header.Set(HeaderLeaving, "yes")
	}
}

// Fault returns the fault in force.
func (s *Server) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// drawServiceTime draws the service time of one request, given the current fault and
// cold start.
func (s *Server) drawServiceTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := float64(s.cfg.ServiceTime.Sample(s.rnd))
	if s.fault.SlowFactor > 0 {
		d *= s.fault.SlowFactor
	}
	if time.Since(s.started) < s.cfg.ColdStart && s.cfg.ColdFactor > 0 {
		d *= s.cfg.ColdFactor
	}
	return time.Duration(d)
}

// acquireSlot takes a slot, and waits for one if the queue is not full. It reports
// whether it took one.
func (s *Server) acquireSlot(ctx context.Context) bool {
	select {
	case s.slots <- struct{}{}:
		return true
	default:
	}
	if s.waiting.Add(1) > int64(s.cfg.QueueLimit) {
		s.waiting.Add(-1)
		return false
	}
	defer s.waiting.Add(-1)
	select {
	case s.slots <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

// releaseSlot frees a slot.
func (s *Server) releaseSlot() { <-s.slots }

// sleep waits for d or until ctx is done. It reports whether it waited for d.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
