// Package dfpconfig decides how the operators' rules get from the platform to
// every node, and how an operator replaces the rules on the platform.
//
// The platform holds a small Head under HeadKey, and the text of each recent version under a
// key of its own. An Applier writes the text first and then replaces the head by compare-and-swap;
// the swap alone creates the version. Versions increase by one, and each head is built
// on the one that it replaces, so the versions form a single sequence without forks.
//
// A State is one node's copy of the configuration. The nodes of a zone are ranked by a hash of
// their addresses. The first few, the watchers, watch the head and also read it every
// PollPeriod, since a watch may stop reporting without an error. All other nodes learn of a new
// version from nodes of their zone: a node that installs a version announces it
// to a bounded number of others at once, and every QueryPeriod each node queries one other for its
// version. A node that is behind pulls what it lacks: the patches if its version is recent, or
// else the whole text. So the platform's load grows with the number of zones, not of nodes.
//
// A node's rules are fresh as of the latest time at which they were known to be the platform's newest;
// their age is the time since then. The answer to a query contains the answering node's age. The
// querying node adds this age to the time since it sent the query, so a delayed answer never
// makes its rules look fresher than they are. A node whose rules are older than FallbackPollAfter
// reads the platform itself, at a rate shared by its zone. While the rules are older than
// StaleAfter, routes with when_stale=refuse refuse requests.
//
// # Usage
//
//	state := dfpconfig.New(dfpconfig.Config{Self: "10.0.3.7:9000", Zone: "ost-1", Region: "ost"})
//	state.SetRoster(vms)
//	effects := state.Tick(now, rng)             // Every 100 ms or so.
//	effects = state.Receive(now, rng, from, message) // A peer's message.
//	effects = state.HeadRead(now, rng, sentAt, head) // The platform's answer.
//
// State and Applier are pure: they take the time and a random source as arguments and hold no
// lock. The caller carries out the returned Effects and Steps.
package dfpconfig

import (
	"errors"
	"math/rand/v2"
	"time"

	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/vm/dfpvm"
)

// Errors in Effects.Err.
var (
	// ErrForked means that two different heads of one version were seen, which
	// happens only if the platform's value was replaced by other means than an Applier.
	ErrForked = errors.New("two different rules of one version")
	// ErrTextMismatch means that a text does not have the size and digest in its head.
	ErrTextMismatch = errors.New("text does not match its head")
)

// Config configures a State. Zero fields take their defaults.
type Config struct {
	// Self is the address of this node in the roster.
	Self   string
	Zone   string
	Region string
	// Seeds are the addresses of nodes to query while the roster is empty.
	Seeds []string

	// Watchers is the number of nodes of a zone that watch the platform; default 2.
	Watchers int
	// PollPeriod is the time between a watcher's reads of the head; default 1 s.
	PollPeriod time.Duration
	// QueryPeriod is the time between queries to other nodes; default 500 ms.
	QueryPeriod time.Duration
	// PullTimeout is how long a pull prevents other pulls, except of a newer version; default 500 ms.
	PullTimeout time.Duration
	// FallbackPollAfter is the age of the rules after which a node that is not a watcher reads the
	// platform; default 3 s.
	FallbackPollAfter time.Duration
	// ZonePollsPerSecond is the rate of such reads that the nodes of a zone share; default 8.
	ZonePollsPerSecond float64
	// StaleAfter is the age of the rules from which Stale returns true; default 10 s.
	StaleAfter time.Duration
	// Parse parses a version's text; default dfprules.Parse. Its errors contain the name.
	Parse func(name string, text []byte) (*dfprules.Ruleset, error)
}

// Constants of the propagation between nodes.
const (
	// treeFanout is the number of children of a node in its zone's tree of ranks. The node of rank 0
	// is the root, and the parent of rank r is rank (r-1)/treeFanout.
	treeFanout = 8
	// parentLateAfter is the age of the rules after which a node also queries nodes other than its parent.
	parentLateAfter = 2 * time.Second
	// substituteRanks, times Watchers, is the number of nodes that may substitute for the watchers.
	substituteRanks = 4
	// substituteTime is how long a node substitutes for a watcher.
	substituteTime = 30 * time.Second
	// extraAnnouncements is the number of further nodes to which a new version is announced.
	extraAnnouncements = 2
	// maxBackoff bounds the time between failed reads of a node without a roster.
	maxBackoff = 16 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault(&c.Watchers, 2)
	setDefault(&c.PollPeriod, time.Second)
	setDefault(&c.QueryPeriod, 500*time.Millisecond)
	setDefault(&c.PullTimeout, 500*time.Millisecond)
	setDefault(&c.FallbackPollAfter, 3*time.Second)
	setDefault(&c.ZonePollsPerSecond, 8)
	setDefault(&c.StaleAfter, 10*time.Second)
	if c.Parse == nil {
		c.Parse = dfprules.Parse
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Installed is a version of the rules that was put in force. It is immutable.
type Installed struct {
	Head    Head
	Text    []byte
	Ruleset *dfprules.Ruleset
}

// Effects is what the node has to do. The zero value means nothing.
type Effects struct {
	Send []Send
	// ReadHead asks for a read of HeadKey; pass the answer to HeadRead or HeadFailed.
	ReadHead bool
	// ReadText, if not empty, asks for a read of that key; pass the answer to TextRead.
	ReadText string
	// Install, if not nil, is the version to put in force now.
	Install *Installed
	// CheckEra asks for the platform's era, since another node knows a later one.
	CheckEra bool
	// Err, if not nil, says why a version was not installed. The node logs it.
	Err error
}

// State is one node's copy of the configuration and what it knows of its freshness. It is not safe for
// concurrent use; Installed values may be shared with other goroutines.
type State struct {
	cfg       Config
	installed *Installed
	// rejected is the newest version whose text this program can't parse.
	rejected uint64
	// pendingHead is a newer head from the platform whose text is being read.
	pendingHead *Head

	// freshAt is the latest time at which the version in force was known to be the platform's newest.
	freshAt  time.Time
	isFresh  bool
	nextPoll time.Time
	// substituteUntil is when the node stops polling in place of a watcher.
	substituteUntil time.Time
	// failures is the number of reads of the head that failed since the last successful one.
	failures  int
	nextQuery time.Time
	// queries holds the latest unanswered query to each node.
	queries map[string]sentQuery
	nonce   uint64
	// pullEnd is when the pull in progress no longer prevents others.
	pullEnd time.Time
	// pullVersion is the lowest version that the pull in progress can yield.
	pullVersion uint64

	zone           []string // addresses of the zone's nodes, ordered by rank
	rank           int      // this node's index in zone
	remoteWatchers []string // watchers of the other zones
	disabled       disabledMechanisms
	// era is the platform's latest era.
	era uint64
}

// disabledMechanisms disables mechanisms, so that tests can prove that they detect the resulting faults.
type disabledMechanisms struct{ monotonic, gossip, poll, substitute, ageFromQuery bool }

type sentQuery struct {
	nonce uint64
	at    time.Time
}

// New returns the state of a node without rules.
func New(cfg Config) *State {
	return &State{cfg: cfg.withDefaults(), queries: map[string]sentQuery{}}
}

// Current returns the rules in force, or nil.
func (s *State) Current() *Installed { return s.installed }

// Version returns the version in force; 0 if there is none.
func (s *State) Version() uint64 {
	if s.installed == nil {
		return 0
	}
	return s.installed.Head.Version
}

// FreshAt returns the latest time at which the rules in force were known to be the platform's newest,
// and false if they never were.
func (s *State) FreshAt() (time.Time, bool) { return s.freshAt, s.isFresh }

// SetEra sets the platform's latest era that this node has seen. Messages tell it to other nodes.
func (s *State) SetEra(era uint64) { s.era = era }

// Stale reports whether the age of the rules has reached StaleAfter.
func (s *State) Stale(now time.Time) bool {
	return !s.isFresh || now.Sub(s.freshAt) >= s.cfg.StaleAfter
}

// IsWatcher reports whether the node should watch HeadKey.
func (s *State) IsWatcher() bool { return s.rank < s.cfg.Watchers }

// SetRoster sets the nodes of the fleet; the list may include this node. VMs that
// have left are skipped.
func (s *State) SetRoster(vms []dfpvm.VM) {
	zones := map[string][]string{s.cfg.Zone: {s.cfg.Self}}
	for _, vm := range vms {
		if !vm.Left && vm.Address != s.cfg.Self {
			zones[vm.Zone] = append(zones[vm.Zone], vm.Address)
		}
	}
	s.zone, s.rank, s.remoteWatchers = sortByHash(zones[s.cfg.Zone]), 0, nil
	for i, address := range s.zone {
		if address == s.cfg.Self {
			s.rank = i
		}
	}
	for _, name := range sortedNames(zones) {
		if name == s.cfg.Zone {
			continue
		}
		others := sortByHash(zones[name])
		s.remoteWatchers = append(s.remoteWatchers, others[:min(len(others), s.cfg.Watchers)]...)
	}
}

// Tick returns the polls and queries that are due. Call it several times a second.
func (s *State) Tick(now time.Time, rng *rand.Rand) Effects {
	var e Effects
	if s.PollDue(now) {
		e.ReadHead = true
		s.nextPoll = now.Add(jitter(rng, s.pollPeriod(now)))
	}
	if !now.Before(s.nextQuery) && !s.disabled.gossip {
		s.nextQuery = now.Add(jitter(rng, s.cfg.QueryPeriod))
		s.query(now, rng, &e)
	}
	return e
}

// PollDue reports whether Tick would read the platform now. The list of nodes should be set before it does,
// since a node that knows the others of its zone may leave the reading to them.
func (s *State) PollDue(now time.Time) bool { return !now.Before(s.nextPoll) && s.mayPoll(now) }

// mayPoll reports whether this node reads the platform itself.
func (s *State) mayPoll(now time.Time) bool {
	if s.disabled.poll {
		return false
	}
	return s.pollsAsWatcher(now) || !s.isFresh || now.Sub(s.freshAt) >= s.cfg.FallbackPollAfter
}

// pollsAsWatcher reports whether this node reads the head every PollPeriod, because it is a watcher
// or substitutes for one.
func (s *State) pollsAsWatcher(now time.Time) bool {
	return s.IsWatcher() || now.Before(s.substituteUntil)
}

// startSubstituting makes this node substitute for a watcher if it has just reached the platform although
// its rules are old, which suggests that the zone's watchers do not reach it. Only nodes of
// low rank do so, since right after an outage this is the case for all nodes.
func (s *State) startSubstituting(now time.Time) {
	if !s.disabled.substitute && s.rank < substituteRanks*s.cfg.Watchers && s.isFresh && now.Sub(s.freshAt) >= s.cfg.FallbackPollAfter {
		s.substituteUntil = now.Add(substituteTime)
	}
}

// pollPeriod returns the time until the next read of the head: PollPeriod for watchers and their
// substitutes; for all others long enough that the zone's nodes together keep to ZonePollsPerSecond. A
// node without a roster does not know how many nodes share that rate, so it backs off exponentially.
func (s *State) pollPeriod(now time.Time) time.Duration {
	if len(s.zone) <= 1 {
		return min(s.cfg.PollPeriod<<min(s.failures, 10), max(maxBackoff, s.cfg.PollPeriod))
	}
	if s.pollsAsWatcher(now) {
		return s.cfg.PollPeriod
	}
	shared := time.Duration(float64(len(s.zone)) / s.cfg.ZonePollsPerSecond * float64(time.Second))
	return max(s.cfg.PollPeriod, shared)
}

// jitter returns a random time between 3/4 of a period and the whole period.
func jitter(rng *rand.Rand, period time.Duration) time.Duration {
	return period - time.Duration(rng.Int64N(int64(period)/4+1))
}
