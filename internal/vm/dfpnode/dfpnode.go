// Package dfpnode is the process in the slot of each backend server VM. It
// wires the decisions, which are pure code in other packages, to the network.
//
// A node has three roles, all in one process:
//
//   - Entry (dfpnode_entry.go): takes callers' requests, finds the organisation by
//     the key, takes a token of the organisation's rate, claims the Idempotency-Key,
//     and sends the request on.
//   - Guard (dfpnode_guard.go): the only way into the backend server on this VM.
//     It admits, runs and accounts for what runs there.
//   - Egress (dfpnode_egress.go): takes the backend server's announcements and its
//     nested calls on loopback.
//
// Both entry and egress hand a request to dispatch (dfpnode_route.go), which chooses
// a VM and tries again where that is safe.
//
// dfpnode_run.go starts the listeners and shuts the node down gracefully;
// dfpnode_connections.go bounds what the other ends of connections can hold open.
//
// What the roles share is kept up to date by control loops: the roster of VMs
// (dfpnode_roster.go), the rules (dfpnode_config.go), the rates
// (dfpnode_rates.go) and the claims (dfpnode_once.go). The path of a request reads
// snapshots through atomic pointers. Each decision object that is not safe for
// concurrent use stands behind a mutex of its own, held for the decision only; the
// effects that it returns are carried out after the mutex is released.
//
// # Usage
//
//	node := dfpnode.New(dfpnode.Config{VM: vm, Secret: secret, Link: linkListener, ...})
//	err := node.Run(ctx) // Until ctx ends, followed by a graceful shutdown.
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

// ErrNotReady is wrapped by the errors of Ready.
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
	// VM is this VM: address, zone and region must be set. Its incarnation is
	// drawn when it is zero.
	VM dfpvm.VM
	// Secret is shared by all nodes.
	Secret []byte
	// Seeds are link addresses of nodes to start from while the platform is out.
	Seeds []string
	// Platform is the client of the platform's key-value service; nil runs without.
	Platform *dfpplatform.Client

	// The listeners of the four sides. The node closes them.
	Link, Callers, Egress, Operator net.Listener

	// Dial opens links to other nodes and probes them; the stand-ins add delays and cuts here.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// DialBackend opens connections to the backend server.
	DialBackend func(ctx context.Context, network, address string) (net.Conn, error)
	// Log takes the node's log lines; nil discards them.
	Log log.Interface
	// Seed seeds the random choices; 0 draws it.
	Seed uint64

	// DrainTimeout bounds the graceful shutdown.
	DrainTimeout time.Duration
	// MaxCallers bounds the callers' open connections.
	MaxCallers int
	// MaxRequests bounds the callers' requests in progress at this entry.
	MaxRequests int
	// StaleAfter is the time without news of the rules after which routes with
	// when_stale=refuse refuse.
	StaleAfter time.Duration
	// FallbackPollAfter is the age of the rules from which on a node reads them from the platform by itself, though
	// others of its zone read for it; 0 takes dfpconfig's default.
	FallbackPollAfter time.Duration
	// GuardMode and Route select less of the policy, for baselines of measurements.
	GuardMode dfpguard.Mode
	Route     dfproute.Config
	// GuardRamp is how long a new backend server takes to reach its slots; 0 takes
	// the guard's default, negative has no ramp.
	GuardRamp time.Duration
	// NoRates admits every request whatever the organisation's rate, for baselines.
	NoRates bool
	// NoRepeatLimit lets callers repeat as often as they like, for baselines.
	NoRepeatLimit bool
	// NoDrain lets a leaving backend server have new work: nothing is refused, nobody
	// is told, and drain rules are not obeyed. Only the tests that prove draining set it.
	NoDrain bool
	// LinkSilentAfter is how long a link may leave a probe unanswered before it is given
	// up; 0 takes dfppeer's default.
	LinkSilentAfter time.Duration
	// Backend runs requests on this VM's backend server; nil speaks dfpbackend's protocol.
	Backend Backend
	// Rules says where the rules come from; nil takes them from Platform, as operators' commands
	// write them.
	Rules RulesSource
	// ParseRules reads the text of rules; nil reads the rules file's format.
	ParseRules func(name string, text []byte) (*dfprules.Ruleset, error)
	// Quota, if not nil, keeps the organisations' rates by dfpquota in place of dfpshare, whose
	// zones' parts have to be configured.
	Quota *dfpquota.Config
	// Watchers is how many nodes of a zone watch the platform and read the rules there; 0 takes the
	// defaults of dfproster and dfpconfig.
	Watchers int
	// OpenRoutesAreNested says that requests on open routes are calls that this VM's backend server makes.
	OpenRoutesAreNested bool
	// QueueNested and SlotsFraction are dfpguard's.
	QueueNested   bool
	SlotsFraction float64
	// NoClaims serves requests without claims of idempotency keys.
	NoClaims bool
	// CallerService is the service of this VM as backend servers are told of it; empty if it is
	// not told.
	CallerService string
	// NotFoundStaleAfter is the age of the rules from which on a request for a route or key that they do
	// not have is refused for now, not for good; 0 takes StaleAfter.
	NotFoundStaleAfter time.Duration
	// FleetBudget, if not nil, bounds the repeats of the whole fleet at each service.
	FleetBudget *dfpretry.FleetBudgetConfig
	// CloseNoticeTime is how long a stopping node still takes requests; 0 takes DefaultCloseNoticeTime.
	CloseNoticeTime time.Duration
	// DrainAfterCloseNotice lets the backend server have new work until the goodbye is over, where it outlives the
	// node: a node that is only started anew takes its backend server out for less time.
	DrainAfterCloseNotice bool
	// KeepKeys passes callers' keys on to backend servers. Only the test that proves the
	// removal of keys sets it.
	KeepKeys bool
	// NoCloseNotice closes the callers' connections without a last answer that says so. Only
	// the test that proves the graceful shutdown sets it.
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

// Backend runs requests on the backend server of this VM, truthfully as dfpbackend.Client does.
type Backend interface {
	// Run runs one request and waits for the whole answer. The token names the request in calls
	// that the backend server makes for it.
	Run(ctx context.Context, address string, req *dfpcall.Request, token string) dfpcall.Outcome
	// Close closes the idle connections.
	Close()
}

// Node is one process. Its methods are safe for concurrent use.
type Node struct {
	cfg        Config
	metrics    metrics
	prometheus *exported
	journal    *dfpevent.Journal
	counter    atomic.Uint64 // of request ids
	// group runs everything that ends with the node.
	group *errgroup.Group
	// life ends when the graceful shutdown is over.
	life context.Context
	end  context.CancelFunc

	mesh    *dfppeer.Mesh
	backend Backend
	router  *dfproute.Router
	callers *dfpcaller.Handler

	// open holds the connections of the four sides.
	open      struct{ link, callers, egress, operator connections }
	serverLog serverLog

	parents parents
	nested  nestedCalls
	guard   guardGate
	roster  rosterLoop
	config  configLoop
	rates   organisationRates
	repeats *fleetRepeats
	claims  claimsLoop
	entry   entryState
	policy  entryPolicy
	// drainedByRule says that a rule drains this VM's backend server.
	drainedByRule atomic.Bool
	// platformLost says that the last call to the platform failed.
	platformLost atomic.Bool
	// stopping is set when the graceful shutdown begins.
	stopping atomic.Bool
}

// New returns a node that is not running yet.
func New(cfg Config) *Node {
	cfg = cfg.withDefaults()
	n := &Node{cfg: cfg, group: new(errgroup.Group)}
	n.serverLog.log = cfg.Log
	n.journal = dfpevent.New(cfg.Log)
	n.prometheus = newExported(n)
	n.life, n.end = context.WithCancel(context.Background())
	n.backend = cfg.Backend
	route := cfg.Route
	route.OnEjectionChange = n.noteAside
	n.router = dfproute.New(route)
	n.callers = dfpcaller.New(dfpcaller.Config{Admit: n.AdmitCaller, Serve: n.ServeCaller, KeepKeys: cfg.KeepKeys})
	n.guard.init(n)
	n.rates = newRates(n) // Before the roster, which tells it of peers.
	n.repeats = newFleetRepeats(cfg.FleetBudget)
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
		Dial:          cfg.Dial,
		ProbeTimeout:  cfg.LinkSilentAfter,
		Group:         n.group,
		Log:           cfg.Log,
	})
	return n
}

// Drain says that the backend server of this VM is leaving: others send it no
// new work and the guard admits none, while what runs goes on. It holds for a backend server that
// is announced later, too, unless it is another instance and the node itself is not stopping.
func (n *Node) Drain() {
	if n.cfg.NoDrain {
		return
	}
	n.guard.drain()
	n.roster.changeSelf(func(vm *dfpvm.VM) { vm.Draining = true })
}

// SetSecret sets the secret that all nodes share, where Config.Secret could not.
func (n *Node) SetSecret(secret []byte) { n.mesh.SetSecret(secret) }

// Stopping reports whether the graceful shutdown has begun.
func (n *Node) Stopping() bool { return n.stopping.Load() }

// HasRules reports whether any rules are in force here.
func (n *Node) HasRules() bool { return n.config.rules() != nil }

// runUnlessDrained runs a peer's request at this VM's guard. The peer may not have
// heard yet of a rule that drains the backend server here.
func (n *Node) runUnlessDrained(ctx context.Context, from string, req *dfpcall.Request) dfpcall.Outcome {
	if n.drainedByRule.Load() {
		return &dfpcall.NotRun{Reason: dfpcall.ReasonDraining, Budget: req.Budget}
	}
	return n.runForPeer(ctx, from, req)
}

// newID returns an id for one attempt to run a request.
func (n *Node) newID() dfpcall.RequestID {
	return dfpcall.RequestID{Incarnation: n.cfg.VM.Incarnation, Counter: n.counter.Add(1)}
}

// newRand returns a source of random numbers for one loop or one request.
func (n *Node) newRand(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(n.cfg.Seed, stream))
}

func randomUint64() uint64 {
	var raw [8]byte
	if _, err := cryptorand.Read(raw[:]); err != nil {
		panic("dfpnode: no randomness: " + err.Error())
	}
	return binary.LittleEndian.Uint64(raw[:]) | 1
}

// Ready returns nil if the node can serve: it knows rules, that they are the newest, and so many VMs
// with a backend server, the claims have homes, and each organisation's rate yields a
// token. Otherwise the error, which wraps ErrNotReady, says what it lacks.
func (n *Node) Ready(ctx context.Context, vms int) error {
	rules := n.config.rules()
	if rules == nil {
		return fmt.Errorf("%w: no rules", ErrNotReady)
	}
	if n.cfg.Rules != nil && n.config.stale() {
		return fmt.Errorf("%w: the rules are not known to be the newest", ErrNotReady)
	}
	if !n.cfg.NoClaims && !n.claims.ready() {
		return fmt.Errorf("%w: no homes of claims", ErrNotReady)
	}
	known := 0
	for _, vm := range n.roster.vms() {
		if vm.Service != "" {
			known++
		}
	}
	if known < vms {
		return fmt.Errorf("%w: knows %d of %d VMs", ErrNotReady, known, vms)
	}
	for _, organisation := range rules.Organisations {
		giveBack, refusal := n.rates.take(ctx, organisation.Name)
		if refusal != nil {
			return fmt.Errorf("%w: no token for %s: %s", ErrNotReady, organisation.Name, refusal.Reason)
		}
		giveBack()
	}
	return nil
}
