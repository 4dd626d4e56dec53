// Package dfpload sends a bounded, seeded load of callers' requests to entry
// nodes and accounts for how each ended.
//
// The load is an open loop: requests are due at random times that don't depend
// on the answers, and latencies count from when a request was due. A whole request
// is what a caller wants done, its own retries included.
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

// ErrConfig is returned for a configuration that can't be run.
var ErrConfig = errors.New("load configuration")

// Route is one kind of request.
type Route struct {
	Method     string
	Path       string
	Importance dfpcall.Importance
	// Idempotent requests carry no Idempotency-Key.
	Idempotent bool
	// Weight is the route's share of the organisation's requests, as a ratio.
	Weight float64
}

// Retry says how a caller repeats a request that wasn't answered with success.
type Retry struct {
	// MaxRetries is the largest number of repeats.
	MaxRetries int
	// Backoff comes before each repeat.
	Backoff time.Duration
	// HonourRetryAfter waits for Retry-After, at most RetryAfterLimit.
	HonourRetryAfter bool
}

// RetryAfterLimit is the longest wait that a caller honours.
const RetryAfterLimit = 5 * time.Second

// Organisation is a group of callers that share a key.
type Organisation struct {
	Name string
	Key  string
	// Rate is the mean number of whole requests due in a second.
	Rate   float64
	Routes []Route
	Retry  Retry
	// Targets are the base URLs of the entry nodes, used at random.
	Targets []string
	// Zone, if not empty, is the prefix of its idempotency keys.
	Zone string
}

// Phase multiplies the rate of one or all organisations from a time on.
type Phase struct {
	From time.Duration
	// Organisation is empty for all.
	Organisation string
	Factor       float64
}

// Config configures a Load.
type Config struct {
	Organisations []Organisation
	// Phases are sorted by From; the last that fits an organisation counts.
	Phases   []Phase
	Duration time.Duration
	Seed     uint64
	// Timeout bounds each attempt; 0 means DefaultTimeout.
	Timeout time.Duration
	// MaxInFlight bounds the whole requests in progress; those due beyond it
	// are counted as not sent. 0 means DefaultMaxInFlight.
	MaxInFlight int
	// BinWidth is the width of the time series' bins; 0 means 250 ms.
	BinWidth time.Duration
	// Dial opens connections; nil means net.Dialer.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// KeepOperations lists each non-idempotent request in the result.
	KeepOperations bool
	// KeepCompleted keeps the names of all completed requests in the result.
	KeepCompleted bool
}

// Load sends requests. Run may be called once; Snapshot is safe meanwhile.
type Load struct {
	cfg     Config
	client  *http.Client
	account *account
	limit   chan struct{}
	nextID  atomic.Uint64
}

// New returns a load that has sent nothing yet.
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
		cfg:     cfg,
		client:  &http.Client{Transport: transport},
		account: newAccount(cfg),
		limit:   make(chan struct{}, cfg.MaxInFlight),
	}
}

// Run sends the load and waits for the last answer. It returns ErrConfig before
// anything is sent, or ctx's error with the result up to then.
func (l *Load) Run(ctx context.Context) (*Result, error) {
	for _, o := range l.cfg.Organisations {
		if len(o.Routes) == 0 || len(o.Targets) == 0 || o.Rate < 0 {
			return nil, fmt.Errorf("%w: organisation %q needs routes, targets and a rate of 0 or more", ErrConfig, o.Name)
		}
	}
	start := time.Now()
	l.account.start(start)
	var group errgroup.Group
	for i, o := range l.cfg.Organisations {
		rnd := rand.New(rand.NewPCG(l.cfg.Seed, uint64(i)))
		group.Go(func() error { return l.generate(ctx, &group, o, start, rnd) })
	}
	err := group.Wait()
	l.client.CloseIdleConnections()
	return l.account.result(), err
}

// Snapshot returns what has been counted so far.
func (l *Load) Snapshot() *Result { return l.account.result() }

// factor returns what an organisation's rate is multiplied by at a time.
func (l *Load) factor(organisation string, elapsed time.Duration) float64 {
	factor := 1.0
	for _, p := range l.cfg.Phases {
		if elapsed >= p.From && (p.Organisation == "" || p.Organisation == organisation) {
			factor = p.Factor
		}
	}
	return factor
}

// idleStep is how far time moves on where a rate is 0.
const idleStep = 10 * time.Millisecond

// generate starts one organisation's requests when they are due.
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

// launch starts one whole request unless too many are in progress.
func (l *Load) launch(ctx context.Context, group *errgroup.Group, o Organisation, due time.Time, rnd *rand.Rand) {
	w := &whole{
		organisation: o,
		route:        pick(o.Routes, rnd),
		operation:    fmt.Sprintf("%s-%d-%d", o.Name, l.cfg.Seed, l.nextID.Add(1)),
		due:          due,
		rnd:          rand.New(rand.NewPCG(rnd.Uint64(), 0)),
	}
	select {
	case l.limit <- struct{}{}:
	default:
		l.account.notSent(w)
		return
	}
	group.Go(func() error {
		defer func() { <-l.limit }()
		l.send(ctx, w)
		return nil
	})
}

// pick draws a route by weight.
func pick(routes []Route, rnd *rand.Rand) Route {
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
