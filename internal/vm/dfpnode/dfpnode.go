// Package dfpnode implements the node: the process beside the backend server of each VM.
// It connects the decision packages, which do no I/O, to the network. The platform is the key-value store
// that all nodes share; the peers of a node are the other nodes.
//
// A node has three roles, all in one process:
//
//   - Entry (dfpnode_entry.go): accepts callers' requests, looks up the organisation by
//     the key, takes a token of the organisation's rate, claims the Idempotency-Key,
//     and dispatches the request.
//   - Guard (dfpnode_guard.go): the only way into the backend server on this VM.
//     It admits requests, runs them and counts them.
//   - Egress (dfpnode_egress.go): serves the backend server on a loopback address. It receives
//     the backend server's announcements and its nested calls, which are the calls that it makes while
//     it runs a request, the parent.
//
// Entry and egress pass each request to dispatch (dfpnode_route.go), which chooses a VM and
// retries on another one where that is safe. The request that a caller sent is the root request of all
// nested calls made for it.
//
// dfpnode_run.go starts the listeners and shuts the node down gracefully.
// dfpnode_nested.go tracks the nested calls of a backend server that names no parents, and which classes depend on them.
// dfpnode_connections.go limits the connections that a listener keeps open.
//
// Control loops update the state that the roles share: the roster of VMs (dfpnode_roster.go), the
// operators' rules (dfpnode_config.go), the organisations' rates (dfpnode_rates.go or dfpnode_quota.go),
// the claims of idempotency keys (dfpnode_once.go) and the requests that crash backend servers
// (dfpnode_crash.go, dfpnode_quarantine.go). What backend servers say about themselves in their answers goes to
// the guard and, by way of its load, to the other nodes (dfpnode_notice.go). Which of its instances have left is
// stored in the platform for the node's next process (dfpnode_departure.go). Requests read this state from
// snapshots behind atomic pointers. Each decision object that is not safe for concurrent use has a mutex of its
// own, which is held only during a decision. Decisions about waiting requests are delivered to them before the
// mutex is released, which never blocks. The other effects of a decision, such as messages to peers, are carried
// out after it is released.
//
// # Usage
//
//	node := dfpnode.New(dfpnode.Config{VM: vm, Secret: secret, Link: linkListener, ...})
//	err := node.Run(ctx) // Serves until ctx ends, then shuts down gracefully.
package dfpnode

import (
	"context"
	cryptorand "crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"github.com/apex/log"
	"golang.org/x/sync/errgroup"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/link/dfpbackend"
	"dragonflyport/internal/link/dfpcaller"
	"dragonflyport/internal/link/dfppeer"
	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/vm/dfpguard"
	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfpquota"
	"dragonflyport/internal/zone/dfproute"
)

// ErrNotReady is wrapped by the errors that Ready returns.
var ErrNotReady = errors.New("node is not ready")

// Defaults of Config.
const (
	DefaultDrainTimeout    = 30 * time.Second
	DefaultMaxCallers      = 4096
	DefaultMaxRequests     = 4096
	DefaultStaleAfter      = 10 * time.Second
	DefaultCloseNoticeTime = 500 * time.Millisecond
)

// Config configures a Node. Zero fields take the defaults.
type Config struct {
	// VM is this VM. Its address, zone and region must be set. A zero incarnation is replaced by a
	// random one.
	VM dfpvm.VM
	// Secret is the secret that all nodes share.
	Secret []byte
	// Seeds are link addresses of nodes to contact first while the platform is unavailable.
	Seeds []string
	// Platform is the client of the platform's key-value store; if nil, the node runs without the platform.
	Platform *dfpplatform.Client

	// Link, Callers, Egress and Operator are the listeners. The node closes them.
	Link, Callers, Egress, Operator net.Listener

	// Dial opens connections to other nodes and to probe targets. Simulated deployments use it to add
	// delays and network partitions.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialBackend opens connections to the backend server.
	DialBackend func(ctx context.Context, network, address string) (net.Conn, error)
	// Log receives the node's log lines; nil discards them.
	Log log.Interface
	// Seed seeds the random number generators; 0 draws a random seed.
	Seed uint64

	// DrainTimeout limits the duration of the graceful shutdown.
	DrainTimeout time.Duration
	// MaxCallers is the maximum number of open connections from callers.
	MaxCallers int
	// MaxRequests is the maximum number of callers' requests in progress at this entry.
	MaxRequests int
	// StaleAfter is the age from which the rules count as stale: routes with when_stale=refuse then
	// refuse requests. The age is the time since the rules were known to be the newest.
	StaleAfter time.Duration
	// FallbackPollAfter is the age of the rules from which this node reads them from the platform itself,
	// even if it is not a watcher; 0 takes dfpconfig's default.
	FallbackPollAfter time.Duration
	// GuardMode and Route configure the guard and the router. Baseline measurements switch off parts of them.
	GuardMode dfpguard.Mode
	Route     dfproute.Config
	// GuardRamp is the time in which the limit of a new backend server rises to its slots; 0 takes the
	// guard's default, a negative value disables the ramp.
	GuardRamp time.Duration
	// NoRates admits every request regardless of the organisation's rate, for baseline measurements.
	NoRates bool
	// NoRepeatLimit lets callers repeat requests without limit.
	NoRepeatLimit bool
	// NoDrain disables draining: a draining backend server still gets new requests, peers are not
	// informed, and drain rules are ignored. Only tests that show the effect of draining set it.
	NoDrain bool
	// LinkProbeTimeout is how long a probe on a link may stay unanswered before the link is closed;
	// 0 takes dfppeer's default.
	LinkProbeTimeout time.Duration
	// Backend runs requests on this VM's backend server; nil uses dfpbackend's protocol.
	Backend Backend
	// Rules is the source of the rules; nil reads them from Platform, where operators' commands write
	// them.
	Rules RulesSource
	// ParseRules parses the text of rules; nil parses the format of rules files.
	ParseRules func(name string, text []byte) (*dfprules.Ruleset, error)
	// Quota, if not nil, enforces the organisations' rates with dfpquota instead of dfpshare, which needs
	// configured weights of the zones.
	Quota *dfpquota.Config
	// Watchers is the number of nodes of a zone that watch the platform and read the rules there;
	// 0 takes the defaults of dfproster and dfpconfig.
	Watchers int
	// OpenRoutesAreNested treats requests on open routes as nested calls of this VM's backend server.
	OpenRoutesAreNested bool
	// QueueNested and SlotsFraction are passed to dfpguard.
	QueueNested   bool
	SlotsFraction float64
	// NoClaims runs requests without claims of their idempotency keys.
	NoClaims bool
	// CallerService is the service of this VM that is sent to backend servers as the caller's; empty to
	// send none.
	CallerService string
	// NotFoundStaleAfter is the age of the rules from which a request whose route or key is not in them
	// is refused as a temporary failure, since a newer version may contain it; 0 takes StaleAfter.
	NotFoundStaleAfter time.Duration
	// FleetBudget, if not nil, limits the retries of the whole fleet per service.
	FleetBudget *dfpretry.FleetBudgetConfig
	// CloseNoticeTime is how long a stopping node still accepts requests, so that callers learn from a
	// last answer that their connection closes; 0 takes DefaultCloseNoticeTime.
	CloseNoticeTime time.Duration
	// DrainAfterCloseNotice drains the backend server only after the close notice. It is for backend servers
	// that outlive the node: if only the node restarts, its backend server is out of service for less time.
	DrainAfterCloseNotice bool
	// KeepKeys passes callers' keys on to backend servers. Only the test that shows the effect of
	// removing keys sets it.
	KeepKeys bool
	// NoCloseNotice closes callers' connections without announcing it in a last answer. Only the test
	// that shows the effect of the close notice sets it.
	NoCloseNotice bool
}

func (cfg Config) withDefaults() Config {
	if cfg.VM.Incarnation == 0 {
		cfg.VM.Incarnation = randomUint64()
	}
	if cfg.VM.Sequence == 0 {
		cfg.VM.Sequence = uint64(time.Now().UnixMilli())
	}
	if cfg.Seed == 0 {
		cfg.Seed = randomUint64()
	}
	if cfg.Log == nil {
		cfg.Log = discardLog()
	}
	if cfg.DrainTimeout == 0 {
		cfg.DrainTimeout = DefaultDrainTimeout
	}
	if cfg.MaxCallers == 0 {
		cfg.MaxCallers = DefaultMaxCallers
	}
	if cfg.MaxRequests == 0 {
		cfg.MaxRequests = DefaultMaxRequests
	}
	if cfg.StaleAfter == 0 {
		cfg.StaleAfter = DefaultStaleAfter
	}
	if cfg.NotFoundStaleAfter == 0 {
		cfg.NotFoundStaleAfter = cfg.StaleAfter
	}
	if cfg.CloseNoticeTime == 0 {
		cfg.CloseNoticeTime = DefaultCloseNoticeTime
	}
	if cfg.Backend == nil {
		cfg.Backend = dfpbackend.New(dfpbackend.Config{Dial: cfg.DialBackend})
	}
	if cfg.Rules == nil && cfg.Platform != nil {
		cfg.Rules = platformRules{cfg.Platform}
	}
	cfg.Route.Zone, cfg.Route.Region = cfg.VM.Zone, cfg.VM.Region
	return cfg
}

// Backend runs requests on this VM's backend server, with the guarantees of dfpbackend.Client about outcomes.
type Backend interface {
	// Run runs one request and waits for the complete answer. The backend server names the request by
	// token in its nested calls. The notice is what the answer says about the backend server; nil if there
	// was no answer.
	Run(ctx context.Context, address string, req *dfpcall.Request, token string) (dfpcall.Outcome, *dfpcall.Notice)
	// Refuses reports whether no process accepts connections at the address. It returns false if ctx ends first.
	Refuses(ctx context.Context, address string) bool
	// Close closes the idle connections.
	Close()
}

// Node is the process beside one backend server. Its methods are safe for concurrent use.
type Node struct {
	cfg        Config
	metrics    metrics
	prometheus *prometheusMetrics
	journal    *dfpevent.Journal
	counter    atomic.Uint64 // Of request IDs.
	// group runs all goroutines that end with the node.
	group *errgroup.Group
	// runCtx ends when the graceful shutdown is complete.
	runCtx    context.Context
	cancelRun context.CancelFunc

	mesh    *dfppeer.Mesh
	backend Backend
	router  *dfproute.Router
	callers *dfpcaller.Handler

	// open limits the connections of each listener.
	open      struct{ link, callers, egress, operator connections }
	serverLog serverLog

	parents      parents
	nested       nestedCalls
	guard        guardLoop
	crashes      crashLoop
	quarantine   quarantineLoop
	peerNotices  peerNotices
	departures   departureLoop
	roster       rosterLoop
	config       configLoop
	rates        organisationRates
	fleetBudgets *fleetBudgets
	claims       claimsLoop
	entry        entryLimiter
	policy       entryPolicy
	// drainedByRule is set while a rule drains this VM's backend server.
	drainedByRule atomic.Bool
	// platformLost is set if the last call to the platform failed.
	platformLost atomic.Bool
	// stopping is set when the graceful shutdown begins.
	stopping atomic.Bool
	// cutAt is when the graceful shutdown cuts requests in progress. It is set at the end of the close notice.
	cutAt atomic.Pointer[time.Time]
	// secretMismatch holds a value if another node has proved to know another secret.
	secretMismatch chan struct{}
}

// New returns a node that is not running yet. Run or RunWith starts it.
func New(cfg Config) *Node {
	cfg = cfg.withDefaults()
	n := &Node{cfg: cfg, group: new(errgroup.Group), secretMismatch: make(chan struct{}, 1)}
	n.serverLog.log = cfg.Log
	n.journal = dfpevent.New(cfg.Log)
	n.prometheus = newPrometheusMetrics(n)
	n.runCtx, n.cancelRun = context.WithCancel(context.Background())
	n.backend = cfg.Backend
	route := cfg.Route
	route.OnEjectionChange = n.logEjection
	n.router = dfproute.New(route)
	n.callers = dfpcaller.New(dfpcaller.Config{Admit: n.AdmitCaller, Serve: n.ServeCaller, KeepKeys: cfg.KeepKeys})
	n.guard.init(n)
	n.departures.init(n)
	n.crashes.n, n.quarantine.n = n, n
	n.rates = newRates(n) // Before roster.init, which passes it the list of VMs.
	n.fleetBudgets = newFleetBudgets(cfg.FleetBudget)
	n.roster.init(n)
	n.config.init(n)
	n.claims.init(n)
	n.entry.init(n)
	n.policy.init()
	n.mesh = dfppeer.New(dfppeer.Config{
		Self:          cfg.VM.Address,
		Incarnation:   cfg.VM.Incarnation,
		Secret:        cfg.Secret,
		Version:       n.config.version,
		Load:          n.guard.load,
		Run:           n.runUnlessDrained,
		Control:       n.handleControl,
		Observe:       n.observePeer,
		OnUnreachable: n.roster.unreachable,
		SecretMismatch: func() {
			select {
			case n.secretMismatch <- struct{}{}:
			default:
			}
		},
		Dial:         cfg.Dial,
		ProbeTimeout: cfg.LinkProbeTimeout,
		Group:        n.group,
		Log:          cfg.Log,
	})
	return n
}

// Drain drains this VM's backend server: other nodes send it no new requests and the guard admits none,
// while running requests continue. The drain also applies to later announcements, until a different
// instance is announced and the node itself is not stopping.
func (n *Node) Drain() {
	if n.cfg.NoDrain {
		return
	}
	n.guard.drain()
	n.roster.updateSelf(func(vm *dfpvm.VM) { vm.Draining = true })
}

// SecretMismatch returns a channel that receives a value after another node has proved to know another
// secret, or none. It holds at most one.
func (n *Node) SecretMismatch() <-chan struct{} { return n.secretMismatch }

// SetSecret sets the secret that all nodes share if it was not known for Config.Secret.
func (n *Node) SetSecret(secret []byte) { n.mesh.SetSecret(secret) }

// Stopping reports whether the graceful shutdown has begun.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// HasRules reports whether a version of the rules is in force.
func (n *Node) HasRules() bool { return n.config.rules() != nil }

// runUnlessDrained runs a peer's request through this VM's guard. It checks the drain rules because the
// peer may not have received them yet.
func (n *Node) runUnlessDrained(ctx context.Context, from string, req *dfpcall.Request) dfpcall.Outcome {
	if n.drainedByRule.Load() {
		return &dfpcall.NotRun{Reason: dfpcall.ReasonDraining, Budget: req.Budget}
	}
	return n.runForPeer(ctx, from, req)
}

// newID returns a request ID for one attempt.
func (n *Node) newID() dfpcall.RequestID {
	return dfpcall.RequestID{Incarnation: n.cfg.VM.Incarnation, Counter: n.counter.Add(1)}
}

// newRand returns the random number generator for one of the streams of the node's seed.
func (n *Node) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.cfg.Seed, stream))
}

func randomUint64() uint64 {
	var raw [8]byte
	if _, err := cryptorand.Read(raw[:]); err != nil {
		panic("dfpnode: cannot read random bytes: " + err.Error())
	}
	return binary.LittleEndian.Uint64(raw[:]) | 1
}

// Ready returns nil if the node can serve: its rules are known to be the newest, the zone's slot table
// of claims is known, at least vms VMs have a backend server, and each organisation's rate grants a token.
// Otherwise it returns an error that wraps ErrNotReady and names what is missing.
func (n *Node) Ready(ctx context.Context, vms int) error {
	rules := n.config.rules()
	if rules == nil {
		return fmt.Errorf("%w: no rules in force", ErrNotReady)
	}
	if n.cfg.Rules != nil && n.config.stale() {
		return fmt.Errorf("%w: rules are not known to be the newest", ErrNotReady)
	}
	if !n.cfg.NoClaims && !n.claims.ready() {
		return fmt.Errorf("%w: no slot table of claims", ErrNotReady)
	}
	known := 0
	for _, vm := range n.roster.vms() {
		if vm.Service != "" {
			known++
		}
	}
	if known < vms {
		return fmt.Errorf("%w: found %d VMs with a backend server, want %d", ErrNotReady, known, vms)
	}
	for _, organisation := range rules.Organisations {
		returnToken, refusal := n.rates.take(ctx, organisation.Name)
		if refusal != nil {
			return fmt.Errorf("%w: no token for organisation %s: %s", ErrNotReady, organisation.Name, refusal.Reason)
		}
		returnToken()
	}
	return nil
}
