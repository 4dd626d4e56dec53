// Package dfpsoak is a soak test: it runs the real programs as separate processes on loopback and injects
// random faults while callers send requests. It checks the result by what callers and backend servers saw.
//
// A fault is a disturbance that begins at a set time and mostly ends after a set duration. The faults of a
// soak test follow from its seed (schedule.go), and several are in force at once. They are injected with
// signals, by forwarders in front of each node and between each node and the store, by the stand-in store, and
// by the stand-in backend servers (site.go, backend.go); the programs are not aware of the test. After the
// last fault the fleet is left undisturbed for a while. Then some nodes are stopped one after the other, so that
// planned stops and recovery are checked, too.
//
// A promise is a guarantee that the programs give to callers, backend servers and operators. A run is one
// execution of a request on a backend server. Check reports the promises that were broken (judge.go).
//
// # Usage
//
//	report, err := dfpsoak.RunSeed(ctx, dfpsoak.Config{Seed: 7, Nodes: 8, Protocol: dfpfake.Protocol{}})
//	fmt.Println(len(report.Broken))
//
// It ends only the processes that it started, by their process IDs.
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

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/standin/dfpload"
	"dragonflyport/internal/standin/dfpstore"
)

// ErrNotReady is returned by RunSeed if a node does not serve a request before the first fault.
var ErrNotReady = errors.New("fleet not ready")

// Config configures a soak test. Zero fields take the defaults.
type Config struct {
	// Seed determines the faults and the calls.
	Seed uint64
	// Nodes is the number of node processes.
	Nodes int
	// Duration is how long callers send requests.
	Duration time.Duration
	// Protocol encodes what is exchanged with the programs. It is required.
	Protocol Protocol
	// Progress receives a line for each fault; nil discards the lines.
	Progress io.Writer
}

// The defaults of Config.
const (
	DefaultNodes    = 8
	DefaultDuration = 30 * time.Second
)

// Bounds are the limits in time and number that belong to the promises. The programs are given them.
type Bounds struct {
	// ConfigWithin is the time after which a written configuration is in force, WithdrawWithin the time after
	// which a withdrawn key is not served, and DrainWithin the time after which a draining backend server gets
	// no new work.
	ConfigWithin, WithdrawWithin, DrainWithin time.Duration
	// StopWithin is the time within which a process ends after SIGTERM.
	StopWithin time.Duration
	// Rates are checked over windows of RateWindow. RateOverage is the fraction, and RateSlack the number of
	// requests, by which a window may exceed the limit.
	RateWindow             time.Duration
	RateOverage, RateSlack float64
}

// DefaultBounds are the bounds of the users' platform.
var DefaultBounds = Bounds{
	ConfigWithin: 2500 * time.Millisecond, WithdrawWithin: 5 * time.Second, DrainWithin: 3 * time.Second,
	StopWithin: 6 * time.Second, RateWindow: 5 * time.Second, RateOverage: 0.1, RateSlack: 20,
}

// Protocol encodes and decodes what is exchanged with the programs: formats and names, no decisions.
type Protocol interface {
	// StoreHandler serves the store's protocol.
	StoreHandler(store *dfpstore.Store) http.Handler
	// ConfigurationKey returns the store key of the configuration, and Configuration its text.
	ConfigurationKey() string
	Configuration(rules Rules) []byte
	// Settings returns the text of a node's settings file, and Command the arguments and environment of a
	// node process whose settings file is at path.
	Settings(node NodeSpec, bounds Bounds) string
	Command(node NodeSpec, path string) (args, env []string)
	// NewCall makes a caller's request, and Classify returns the verdict on its response.
	NewCall(ctx context.Context, callers string, call Call) (*http.Request, error)
	Classify(response *http.Response, body []byte, call Call) dfpload.Verdict
	// ReadRequest reads a request to a backend server, Answer responds to it, and Refuse responds that it was
	// not run. Both responses say what the notice says about the backend server.
	ReadRequest(r *http.Request) Run
	Answer(w http.ResponseWriter, run Run, notice dfpcall.Notice)
	Refuse(w http.ResponseWriter, run Run, notice dfpcall.Notice)
	// NewHeartbeat makes the request that sends a backend server's heartbeat, and NewDeregistration the one that
	// deregisters the instance.
	NewHeartbeat(ctx context.Context, heartbeats string, heartbeat Heartbeat) (*http.Request, error)
	NewDeregistration(ctx context.Context, heartbeats string, heartbeat Heartbeat) (*http.Request, error)
}

// NodeSpec is the placement of a node, its service and its addresses as host:port.
type NodeSpec struct {
	Zone, Region, Service string
	// Link is the address that other nodes connect to; a forwarder there connects to LinkListen, where the
	// node listens.
	Link, LinkListen                    string
	Callers, Ready, Heartbeats, Metrics string
	Backend, Store                      string
}

// Rules is one version of the configuration.
type Rules struct {
	Version       uint64
	Organisations []Organisation
	// AddedPaths are the paths of the routes other than PathOrder, PathBrowse and PathStock. Each begins and
	// ends with a slash.
	AddedPaths []string
}

// Organisation is one organisation of a configuration. Rate is in requests a second, Burst in requests. A Rate
// of 0 sets no limit.
type Organisation struct {
	Name        string
	Keys        []string
	Rate, Burst float64
}

// The routes of every configuration and their services. Orders run at most once, on ServiceFront; each order
// makes a nested call to PathStock, on ServiceDeep.
const (
	PathOrder    = "/shop/order/"
	PathBrowse   = "/shop/"
	PathStock    = "/stock/"
	ServiceFront = "front"
	ServiceDeep  = "deep"
	// RouteTimeout is the timeout of each route.
	RouteTimeout = 3 * time.Second
)

// Call is one request of a caller.
type Call struct {
	ID           string
	Path         string
	Organisation string
	Key          string
	// AtMostOnce means that the call may run at most once.
	AtMostOnce bool
	// Body is the body of the request; empty for the ID.
	Body string
	// Probe means that the route of the call may not be in force yet.
	Probe bool
	// Node is the index of the node that the call was sent to, and Sent the time.
	Node int
	Sent time.Time
	// Ended is when the call ended, and Verdict how.
	Ended   time.Time
	Verdict dfpload.Verdict
}

// The verdicts on a call: those of dfpload, and Denied.
const (
	Completed = dfpload.VerdictCompleted
	NotRun    = dfpload.VerdictNotRun
	Unknown   = dfpload.VerdictUnknown
	Failed    = dfpload.VerdictFailed
	Lost      = dfpload.VerdictLost
	Wrong     = dfpload.VerdictWrong
	// Denied means that the key or the route does not exist, or that the request is invalid.
	Denied dfpload.Verdict = "denied"
)

// Run is one execution of a request on a backend server.
type Run struct {
	ID, Path      string
	Organisation  string
	CallerService string
	// ExpectedInstance is the instance that the request is addressed to.
	ExpectedInstance string
	// Body is the body of the request.
	Body string
	// KeySeen means that the request to the backend server contained the caller's key.
	KeySeen bool
	// Instance, Service and At, the start of the run, are set by the backend server.
	Instance, Service string
	At                time.Time
}

// Heartbeat is one heartbeat of a backend server.
type Heartbeat struct {
	Instance, Service string
	// Address and Zone are those of the backend server's VM.
	Address, Zone string
	Slots         int
	Draining      bool
	Sequence      uint64
	Started       time.Time
}

// Report is the result of a soak test.
type Report struct {
	Seed   uint64   `json:"seed"`
	Nodes  int      `json:"nodes"`
	Faults []string `json:"faults"`
	// CallsByVerdict counts the calls, and Runs is the number of runs on backend servers.
	CallsByVerdict map[dfpload.Verdict]int `json:"ended"`
	Runs           int                     `json:"runs"`
	// Broken describes the broken promises; it is empty if all held.
	Broken []string `json:"broken"`
}

// The phases of a soak test, as fractions of its duration: the first fault begins at faultsStart, no fault
// begins or is scheduled to last after faultsEnd, and the first planned stop is at plannedStopsStart.
const (
	faultsStart       = 0.07
	faultsEnd         = 0.5
	plannedStopsStart = 0.68
)

// RunSeed runs the soak test of one seed. An error means that the test could not be carried out; broken
// promises are not errors.
func RunSeed(ctx context.Context, cfg Config) (*Report, error) {
	cfg.Nodes = cmp.Or(cfg.Nodes, DefaultNodes)
	cfg.Duration = cmp.Or(cfg.Duration, DefaultDuration)
	if cfg.Progress == nil {
		cfg.Progress = io.Discard
	}
	dir, err := os.MkdirTemp("", "dragonflyport-soak")
	if err != nil {
		return nil, fmt.Errorf("directory for the programs: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }() // Left-over temporary files do no harm.
	s, err := newSoak(ctx, cfg, dir)
	if err != nil {
		return nil, err
	}
	defer s.close()
	if err := s.awaitService(ctx); err != nil {
		return nil, err
	}
	return s.run(ctx)
}

// run sends the load, injects the faults and checks the promises.
func (s *soak) run(ctx context.Context) (*Report, error) {
	s.started = time.Now()
	faults := newSchedule(rand.New(rand.NewPCG(s.cfg.Seed, 1)), s.cfg)
	group, ctx := errgroup.WithContext(ctx)
	loadEnd := s.started.Add(s.cfg.Duration)
	for i := range s.nodes {
		group.Go(func() error { return s.sendLoad(ctx, i, loadEnd) })
		group.Go(func() error { return s.probeRoutes(ctx, i, loadEnd) })
	}
	for _, f := range faults {
		group.Go(func() error {
			if !sleepUntil(ctx, s.started.Add(f.at)) {
				return ctx.Err()
			}
			s.recordFault("%s", f)
			return s.inject(ctx, f)
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	return s.report(), nil
}

// recordFault adds a line on a fault to the report and writes it to Config.Progress.
func (s *soak) recordFault(format string, args ...any) {
	line := fmt.Sprintf("%5.2f s  ", time.Since(s.started).Seconds()) + fmt.Sprintf(format, args...)
	s.mu.Lock()
	s.faults = append(s.faults, line)
	s.mu.Unlock()
	fmt.Fprintln(s.cfg.Progress, line)
}

// report checks the evidence and returns the report.
func (s *soak) report() *Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.RecoveryFrom = s.started.Add(time.Duration((1 - recoveryFraction) * float64(s.cfg.Duration)))
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

// sleepUntil waits until the given time and reports whether ctx was still active then.
func sleepUntil(ctx context.Context, at time.Time) bool {
	select {
	case <-time.After(time.Until(at)):
		return ctx.Err() == nil
	case <-ctx.Done():
		return false
	}
}
