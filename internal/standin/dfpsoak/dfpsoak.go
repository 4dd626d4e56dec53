// Package dfpsoak runs the real programs as separate processes on loopback, causes random faults from
// outside them while callers send requests, and judges by what callers and backend servers saw.
//
// The faults of a run follow from its seed (schedule.go). They come through signals, through forwarders in
// front of each node and of its way to the store, through the stand-in store, and through the stand-in backend
// servers (site.go, backend.go); the programs know nothing of the soak. Several are in force at once. When
// they have ended the fleet is left alone for a while, and some nodes are stopped in turn, so that what must
// hold on a planned stop and after recovery can be judged, too (judge.go).
//
// # Usage
//
//	report, err := dfpsoak.RunSeed(ctx, dfpsoak.Config{Seed: 7, Nodes: 8, Protocol: dfpfake.Wire{}})
//	fmt.Println(len(report.Broken))
//
// It ends only the processes that it started, by their ids.
package dfpsoak

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/standin/dfpload"
	"dragonflyport/internal/standin/dfpstore"
)

// ErrNotReady is returned by Play if the fleet serves nobody before the first fault.
var ErrNotReady = errors.New("the fleet did not begin to serve")

// Config configures a run. Zero fields take the defaults.
type Config struct {
	Seed uint64
	// Nodes is the number of node processes.
	Nodes int
	// Duration is the time for which requests are sent.
	Duration time.Duration
	// Protocol is how the programs are spoken with. It is required.
	Protocol Protocol
	// Progress takes a line at each fault; nil discards them.
	Progress io.Writer
}

// The defaults of Config.
const (
	DefaultNodes    = 8
	DefaultDuration = 30 * time.Second
)

// Bounds are the promises' limits in time and number that the programs are told of.
type Bounds struct {
	// ConfigWithin is the time from which a configuration is in force, WithdrawWithin the one from which a
	// withdrawn key is not served, and DrainWithin the one from which a leaving backend server gets no work.
	ConfigWithin, WithdrawWithin, DrainWithin time.Duration
	// StopWithin is the time within which a process ends after SIGTERM.
	StopWithin time.Duration
	// RateWindow, RateOverage and RateSlack are the tolerance of rates.
	RateWindow             time.Duration
	RateOverage, RateSlack float64
}

// DefaultBounds are those of the users' platform.
var DefaultBounds = Bounds{
	ConfigWithin: 2500 * time.Millisecond, WithdrawWithin: 5 * time.Second, DrainWithin: 3 * time.Second,
	StopWithin: 6 * time.Second, RateWindow: 5 * time.Second, RateOverage: 0.1, RateSlack: 20,
}

// Protocol is how the programs are spoken with: formats and names, nothing that decides.
type Protocol interface {
	// StoreHandler serves the store's protocol.
	StoreHandler(store *dfpstore.Store) http.Handler
	// ConfigurationKey is the store's key of the configuration, and Configuration its text.
	ConfigurationKey() string
	Configuration(rules Rules) []byte
	// Settings returns the text of a node's settings file, and Command the program's arguments and
	// environment for the file at path.
	Settings(node NodeSpec, bounds Bounds) string
	Command(node NodeSpec, path string) (args, env []string)
	// NewCall makes a caller's request, and Judge says how it ended.
	NewCall(ctx context.Context, callers string, call Call) (*http.Request, error)
	Classify(response *http.Response, body []byte, call Call) dfpload.Verdict
	// ReadRequest reads what a backend server is asked for, Answer answers it, and Refuse says that it was
	// not run.
	ReadRequest(r *http.Request) Run
	Answer(w http.ResponseWriter, run Run)
	Refuse(w http.ResponseWriter)
	// NewHeartbeat makes the request for a heartbeat of a backend server, and NewDeregistration the one that deregisters it.
	NewHeartbeat(ctx context.Context, heartbeats string, beat Heartbeat) (*http.Request, error)
	NewDeregistration(ctx context.Context, heartbeats string, beat Heartbeat) (*http.Request, error)
}

// NodeSpec are one node's, as host:port, and where it stands.
type NodeSpec struct {
	Zone, Region, Service string
	// Link is what other nodes are told and LinkListen where the node listens; a forwarder is between.
	Link, LinkListen                    string
	Callers, Ready, Heartbeats, Metrics string
	Backend, Store                      string
}

// Rules are one configuration.
type Rules struct {
	Version       uint64
	Organisations []Organisation
	// AddedPaths are paths of routes beyond PathOrder, PathBrowse and PathStock; all have a slash at both ends.
	AddedPaths []string
}

// Organisation is one organisation of a configuration. A Rate of 0 sets no limit.
type Organisation struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// The routes that are always there: orders run at most once, at ServiceFront, which calls PathStock.
const (
	PathOrder    = "/shop/order/"
	PathBrowse   = "/shop/"
	PathStock    = "/stock/"
	ServiceFront = "front"
	ServiceDeep  = "deep"
	// RouteTimeout is that of each route.
	RouteTimeout = 3 * time.Second
)

// Call is one request of a caller.
type Call struct {
	ID           string
	Path         string
	Organisation string
	Key          string
	// AtMostOnce says that it may run at most once.
	AtMostOnce bool
	// Probe says that it asks for a route that may not be in force yet.
	Probe bool
	// Node is whose caller sent it, and Sent when.
	Node int
	Sent time.Time
	// Ended and Verdict say how it ended.
	Ended   time.Time
	Verdict dfpload.Verdict
}

// The verdicts on a call: dfpload's and one more.
const (
	Completed = dfpload.VerdictCompleted
	NotRun    = dfpload.VerdictNotRun
	Unknown   = dfpload.VerdictUnknown
	Failed    = dfpload.VerdictFailed
	Lost      = dfpload.VerdictLost
	Wrong     = dfpload.VerdictWrong
	// Denied says that there is no such key or route, or that the request is not proper.
	Denied dfpload.Verdict = "denied"
)

// Run is one run on a backend server.
type Run struct {
	ID, Path      string
	Organisation  string
	CallerService string
	// ExpectedInstance is the instance that the request is for.
	ExpectedInstance string
	// KeySeen says that the caller's key was passed on.
	KeySeen bool
	// Instance, Service and At are set by the backend server.
	Instance, Service string
	At                time.Time
}

// Heartbeat is one heartbeat of a backend server.
type Heartbeat struct {
	Instance, Service string
	Slots             int
	Draining          bool
	Sequence          uint64
	Started           time.Time
}

// Report is the result of a run.
type Report struct {
	Seed   uint64   `json:"seed"`
	Nodes  int      `json:"nodes"`
	Faults []string `json:"faults"`
	// CallsByVerdict counts calls by how they ended, and Runs what ran.
	CallsByVerdict map[dfpload.Verdict]int `json:"ended"`
	Runs           int                     `json:"runs"`
	// Broken lists the broken promises; empty if all held.
	Broken []string `json:"broken"`
}

// The parts of a run's duration: faults begin after the first, end with the second, and planned stops begin
// with the third.
const (
	faultsFrom  = 0.07
	faultsUntil = 0.5
	stopsFrom   = 0.68
)

// RunSeed plays one seed. An error means that the run itself failed.
func RunSeed(ctx context.Context, cfg Config) (*Report, error) {
	cfg.Nodes = cmp.Or(cfg.Nodes, DefaultNodes)
	cfg.Duration = cmp.Or(cfg.Duration, DefaultDuration)
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	dir, err := os.MkdirTemp("", "dragonflyport-soak")
	if err != nil {
		return nil, fmt.Errorf("folder for the programs: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // What is left there harms nobody.
	s, err := newSite(ctx, cfg, dir)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.awaitService(ctx); err != nil {
		return nil, err
	}
	return s.judged(ctx)
}

// judged sends load, causes the faults and judges.
func (s *site) judged(ctx context.Context) (*Report, error) {
	s.started = time.Now()
	faults := newSchedule(rand.New(rand.NewPCG(s.cfg.Seed, 1)), s.cfg)
	group, ctx := errgroup.WithContext(ctx)
	loadEnd := s.started.Add(s.cfg.Duration)
	for i := range s.nodes {
		group.Go(func() error { return s.load(ctx, i, loadEnd) })
		group.Go(func() error { return s.probe(ctx, i, loadEnd) })
	}
	for _, f := range faults {
		group.Go(func() error {
			if !sleepUntil(ctx, s.started.Add(f.at)) {
				return ctx.Err()
			}
			s.note("%s", f)
			return s.cause(ctx, f)
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return s.report(), nil
}

// note records a fault.
func (s *site) note(format string, args ...any) {
	line := fmt.Sprintf("%5.2f s  ", time.Since(s.started).Seconds()) + fmt.Sprintf(format, args...)
	s.mu.Lock()
	s.faults = append(s.faults, line)
	s.mu.Unlock()
	fmt.Fprintln(s.cfg.Progress, line)
}

// report judges what has been seen.
func (s *site) report() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.RecoveryFrom = s.started.Add(time.Duration((1 - lastPart) * float64(s.cfg.Duration)))
	s.evidence.Runs = nil
	for _, n := range s.nodes {
		s.evidence.Runs = append(s.evidence.Runs, n.backend.runs()...)
	}
	r := &Report{
		Seed: s.cfg.Seed, Nodes: s.cfg.Nodes, Faults: s.faults, CallsByVerdict: map[dfpload.Verdict]int{}, Runs: len(s.evidence.Runs),
		Broken: append([]string{}, Check(s.evidence)...),
	}
	for _, c := range s.evidence.Calls {
		r.CallsByVerdict[c.Verdict]++
	}
	return r
}

// sleepUntil waits until a time; it returns false if ctx ends first.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
