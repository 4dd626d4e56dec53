// Package dfpbackendserver is a stand-in for a backend server. It has slots, a
// connection limit, seeded service times, a cold start, nested calls through its
// node, health and load pages that can mislead, faults to switch on, and a ledger
// of what it ran.
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
// A request counts as run from the moment it has a slot. Every answer is a JSON
// object that names the operation, so that a caller can tell its own answer.
package dfpbackendserver

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Headers that a backend server reads or sets.
const (
	HeaderParent       = "Dragonflyport-Parent"
	HeaderRequest      = "Dragonflyport-Request"
	HeaderOrganisation = "Dragonflyport-Organisation"
	HeaderDeadline     = "Dragonflyport-Deadline-Ms"
	// HeaderShed says on a 503 that the request was shed before any of it ran.
	HeaderShed = "Dragonflyport-Shed"
	// HeaderOperation names what a caller wants done, across its own retries. A
	// nested call carries its parent's with "/" and the call's index appended.
	HeaderOperation = "Lab-Operation"
)

// Distribution is a log-normal distribution of times. A Median of 0 is no wait.
type Distribution struct {
	Median time.Duration
	// Sigma is the standard deviation of the logarithm; 0 gives a constant.
	Sigma float64
}

// Sample draws one time.
func (d Distribution) Sample(rnd *rand.Rand) time.Duration {
	if d.Sigma == 0 {
		return d.Median
	}
	return time.Duration(float64(d.Median) * math.Exp(d.Sigma*rnd.NormFloat64()))
}

// NestedCall is one call that a request makes through its node's egress.
type NestedCall struct {
	// PathPrefix is the prefix of the paths of the requests that make this call.
	PathPrefix string
	Method     string
	Service    string
	Path       string
	// Retries is how often the backend server's own code repeats a failed call.
	Retries int
}

// Fault says how the backend server misbehaves. The zero value is none.
type Fault struct {
	// FailFast answers 500 at once.
	FailFast bool `json:"fail_fast"`
	// Hang keeps each request until it is cancelled.
	Hang bool `json:"hang"`
	// SlowFactor multiplies service times; 0 means 1.
	SlowFactor float64 `json:"slow_factor"`
	// FalseHealth shows a healthy and idle server on the health and load pages.
	FalseHealth bool `json:"false_health"`
}

// Config configures a Server.
type Config struct {
	Service string
	// Slots is the number of requests run at once.
	Slots int
	// QueueLimit is the number of requests that may wait for a slot; those beyond
	// are shed.
	QueueLimit int
	// MaxConnections is the limit of open connections; 0 means none.
	MaxConnections int
	ServiceTime    Distribution
	// PayloadBytes is the length of the filling in each answer.
	PayloadBytes int
	// ColdStart is how long service times are multiplied by ColdFactor after the start.
	ColdStart  time.Duration
	ColdFactor float64
	// MaxPageAge is how old the health and load pages' figures may be.
	MaxPageAge time.Duration
	// EgressURL is the node's local listener, such as "http://127.0.0.1:9002".
	EgressURL   string
	NestedCalls []NestedCall
	// IgnoreCancellation runs requests whose caller has gone or whose deadline has
	// passed to their end, waiting ones included.
	IgnoreCancellation bool
	// AnnounceInterval is the pause between announcements; 0 means 1 s.
	AnnounceInterval time.Duration
	Seed             uint64
}

// Server is a backend server. It is safe for concurrent use.
type Server struct {
	cfg     Config
	started time.Time
	slots   chan struct{}
	waiting atomic.Int64
	client  *http.Client
	Ledger  *Ledger

	mu       sync.Mutex
	rnd      *rand.Rand
	fault    Fault
	page     Status
	pageTime time.Time
	address  string
	draining atomic.Bool
}

// New returns a server whose cold start begins now. It panics if Slots is not
// over 0.
func New(cfg Config) *Server {
	if cfg.Slots <= 0 {
		panic("dfpbackendserver: Slots must be over 0")
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

// Address returns host:port of the listener that Serve was given last.
func (s *Server) Address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// SetFault changes how the server misbehaves from now on.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = fault
}

// Fault returns the fault in force.
func (s *Server) Fault() Fault {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fault
}

// serviceTime draws the time that one request takes now.
func (s *Server) serviceTime() time.Duration {
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

// acquire takes a slot, waiting for one if the queue has room. It reports
// whether it got one.
func (s *Server) acquire(ctx context.Context) bool {
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

func (s *Server) release() { <-s.slots }

// sleep waits unless ctx is done first; it reports whether it waited it out.
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
