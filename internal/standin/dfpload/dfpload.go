// Package dfpload sends a bounded, seeded load of callers' requests to entry nodes and records how each
// request ended.
//
// A whole request is one request of a caller together with its retries; each try is an attempt. The load is
// an open loop: whole requests fall due at random times (a Poisson process) that do not depend on the
// answers, and latencies are measured from the time when a whole request was due.
//
// # Usage
//
//	load := dfpload.New(dfpload.Config{
//		Organisations: []dfpload.Organisation{{
//			Name: "waldspiel", Key: key, Rate: 50, Targets: []string{"http://127.0.0.1:9001"},
//			Routes: []dfpload.Route{{Method: "GET", Path: "/catalogue/1", Importance: dfpcall.Low, Weight: 1}},
//		}},
//		Duration: 10 * time.Second,
//		Seed:     1,
//	})
//	result, err := load.Run(ctx)
package dfpload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/contract/dfpcall"
)

// Defaults of Config.
const (
	DefaultTimeout     = 5 * time.Second
	DefaultMaxInFlight = 20000
)

// ErrConfig is wrapped by the errors for configurations that can't be run.
var ErrConfig = errors.New("invalid load configuration")

// Route is one kind of request.
type Route struct {
	Method     string
	Path       string
	Importance dfpcall.Importance
	// Idempotent requests are sent without an Idempotency-Key header.
	Idempotent bool
	// Weight is the route's share of the organisation's requests, relative to the weights of the others.
	Weight float64
}

// Retry says how callers retry a request that was not answered with success.
type Retry struct {
	// MaxRetries is the largest number of retries of a whole request.
	MaxRetries int
	// Backoff is the mean wait before each retry. The wait is uniformly random between half and one and a
	// half times this value.
	Backoff time.Duration
	// HonourRetryAfter makes callers wait for at least the time in Retry-After, up to RetryAfterLimit.
	HonourRetryAfter bool
}

// RetryAfterLimit is the longest Retry-After that callers honour.
const RetryAfterLimit = 5 * time.Second

// Organisation is a group of callers that share a key.
type Organisation struct {
	Name string
	Key  string
	// Rate is the mean number of whole requests due per second.
	Rate   float64
	Routes []Route
	Retry  Retry
	// Targets are the base URLs of the entry nodes. Each attempt goes to a random one.
	Targets []string
	// Zone, if not empty, is the prefix of the idempotency keys.
	Zone string
}

// Phase multiplies the rate of one or all organisations by Factor from a time on.
type Phase struct {
	// From is measured from the start of the load.
	From time.Duration
	// Organisation is the name of an organisation; empty means all.
	Organisation string
	Factor       float64
}

// Config configures a Load.
type Config struct {
	Organisations []Organisation
	// Phases must be sorted by From. The last one that has begun and covers an organisation applies to it.
	Phases   []Phase
	Duration time.Duration
	Seed     uint64
	// Timeout bounds each attempt; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxInFlight limits the whole requests in progress. Those that fall due above the limit are counted as
	// not sent. 0 means DefaultMaxInFlight.
	MaxInFlight int
	// BinWidth is the width of the bins of the time series; 0 means 250 ms.
	BinWidth time.Duration
	// Dial opens connections; nil means that of a net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// KeepOperations lists the non-idempotent requests in the result, the first maxOperations that end.
	KeepOperations bool
	// KeepCompleted lists the names of all completed requests in the result.
	KeepCompleted bool
}

// Load sends requests. Run may be called only once. Snapshot may be called while Run is running.
type Load struct {
	cfg      Config
	client   *http.Client
	recorder *recorder
	inFlight chan struct{}
	nextID   atomic.Uint64
}

// New returns a Load. It sends nothing until Run is called.
func New(cfg Config) *Load {
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.MaxInFlight == 0 {
		cfg.MaxInFlight = DefaultMaxInFlight
	}
	if cfg.BinWidth == 0 {
		cfg.BinWidth = 250 * time.Millisecond
	}
	transport := &http.Transport{
		DialContext:         cfg.Dial,
		MaxIdleConnsPerHost: 256,
		IdleConnTimeout:     10 * time.Second,
	}
	return &Load{
		cfg:      cfg,
		client:   &http.Client{Transport: transport},
		recorder: newRecorder(cfg),
		inFlight: make(chan struct{}, cfg.MaxInFlight),
	}
}

// Run sends the load and waits for the last answer. For an invalid configuration it returns an error that
// wraps ErrConfig and sends nothing. If ctx is done early, Run returns ctx's error and the result so far.
func (l *Load) Run(ctx context.Context) (*Result, error) {
	for _, o := range l.cfg.Organisations {
		if len(o.Routes) == 0 || len(o.Targets) == 0 || o.Rate < 0 {
			return nil, fmt.Errorf("%w: organisation %q needs routes, targets and a rate that is not negative", ErrConfig, o.Name)
		}
	}
	start := time.Now()
	l.recorder.start(start)
	var group errgroup.Group
	for i, o := range l.cfg.Organisations {
		rnd := rand.New(rand.NewPCG(l.cfg.Seed, uint64(i)))
		group.Go(func() error { return l.generate(ctx, &group, o, start, rnd) })
	}
	err := group.Wait()
	l.client.CloseIdleConnections()
	return l.recorder.result(), err
}

// Snapshot returns what has been counted so far.
func (l *Load) Snapshot() *Result { return l.recorder.result() }

// factor returns the factor of the phase that applies to an organisation at a time, or 1 if there is none.
func (l *Load) factor(organisation string, elapsed time.Duration) float64 {
	factor := 1.0
	for _, p := range l.cfg.Phases {
		if elapsed >= p.From && (p.Organisation == "" || p.Organisation == organisation) {
			factor = p.Factor
		}
	}
	return factor
}

// idleStep is the step in which time advances while a rate is 0.
const idleStep = 10 * time.Millisecond

// generate starts each of one organisation's requests when it is due.
func (l *Load) generate(ctx context.Context, group *errgroup.Group, o Organisation, start time.Time, rnd *rand.Rand) error {
	elapsed := time.Duration(0)
	for {
		rate := o.Rate * l.factor(o.Name, elapsed)
		if rate <= 0 {
			elapsed += idleStep
		} else {
			elapsed += time.Duration(rnd.ExpFloat64() / rate * float64(time.Second))
		}
		if elapsed >= l.cfg.Duration {
			return nil
		}
		due := start.Add(elapsed)
		if wait := time.Until(due); wait > time.Millisecond {
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(wait):
			}
		}
		if rate > 0 {
			l.launch(ctx, group, o, due, rnd)
		}
	}
}

// launch starts one whole request, or counts it as not sent if too many are in progress.
func (l *Load) launch(ctx context.Context, group *errgroup.Group, o Organisation, due time.Time, rnd *rand.Rand) {
	w := &wholeRequest{
		organisation: o,
		route:        pickRoute(o.Routes, rnd),
		operation:    fmt.Sprintf("%s-%d-%d", o.Name, l.cfg.Seed, l.nextID.Add(1)),
		due:          due,
		rnd:          rand.New(rand.NewPCG(rnd.Uint64(), 0)),
	}
	select {
	case l.inFlight <- struct{}{}:
	default:
		l.recorder.recordNotSent(w)
		return
	}
	group.Go(func() error {
		defer func() { <-l.inFlight }()
		l.send(ctx, w)
		return nil
	})
}

// pickRoute returns a random route, by weight.
func pickRoute(routes []Route, rnd *rand.Rand) Route {
	sum := 0.0
	for _, r := range routes {
		sum += r.Weight
	}
	x := rnd.Float64() * sum
	for _, r := range routes {
		if x -= r.Weight; x < 0 {
			return r
		}
	}
	return routes[len(routes)-1]
}
