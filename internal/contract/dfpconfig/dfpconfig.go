// Package dfpconfig decides how the operators' rules get from the platform to
// every node, and how an operator puts new rules there.
//
// The platform holds a small Head under HeadKey and the text of each recent version under a
// key of its own. An Applier writes the text first and then swaps the head, which is the
// one point where a version comes into being. Versions count up by one, and each head is built
// on the one it replaces, so there is one line of versions without forks.
//
// A State is what one node knows. A few nodes of each zone, the watchers, watch the
// head and read it every PollPeriod besides, since a watch may go silent. All others
// hear of it from nodes of their zone: a node that installs a version tells a bounded
// number of others at once, and every QueryPeriod each node asks one other what it has. A
// node that is behind pulls what it lacks: the changed part of the text where its version
// is recent, else all of it. So the platform's load grows with the number of zones.
//
// An answer to an ask also says how long ago the answering node, or one it heard from in
// turn, had read the platform. The asking node counts that age from when it sent the ask,
// so a late answer never makes its rules look fresher than they are. A node whose knowledge is
// older than FallbackPollAfter reads the platform itself, at a rate shared by its zone. Where it is
// older than StaleAfter, routes with when_stale=refuse refuse.
//
// # Usage
//
//	state := dfpconfig.New(dfpconfig.Config{Self: "10.0.3.7:9000", Zone: "ost-1", Region: "ost"})
//	state.SetRoster(vms)
//	effects := state.Tick(now, rng)             // Every 100 ms or so.
//	effects = state.Receive(now, rng, from, message) // A peer's message.
//	effects = state.HeadRead(now, rng, sentAt, head) // The platform's answer.
//
// State and Applier are pure: they take the time and a random source and hold no
// lock. Carry out the returned Effects outside.
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
	// ErrForked says that two different heads of one version were seen, which
	// happens only if somebody replaced the platform's value by other means.
	ErrForked = errors.New("two different rules of one version")
	// ErrTextMismatch says that a text is not the one that its head describes.
	ErrTextMismatch = errors.New("the text does not belong to the version")
)

// Config is how a State behaves. Zero fields take their defaults.
type Config struct {
	// Self is the address of this node in the roster.
	Self   string
	Zone   string
	Region string
	// Seeds are nodes to ask while the roster is empty.
	Seeds []string

	// Watchers is the number of nodes of a zone that watch the platform; default 2.
	Watchers int
	// PollPeriod is the time between a watcher's reads of the head; default 1 s.
	PollPeriod time.Duration
	// QueryPeriod is the time between questions to other nodes; default 500 ms.
	QueryPeriod time.Duration
	// PullTimeout is how long a pull keeps the node from pulling elsewhere; default 500 ms.
	PullTimeout time.Duration
	// FallbackPollAfter is the age of the node's knowledge after which it reads the
	// platform though it is no watcher; default 3 s.
	FallbackPollAfter time.Duration
	// ZonePollsPerSecond is the number of such reads a second that a zone's nodes share; default 8.
	ZonePollsPerSecond float64
	// StaleAfter is the age of knowledge from which on Stale reports true; default 10 s.
	StaleAfter time.Duration
	// Parse reads a version's text; default dfprules.Parse. The name stands in its error.
	Parse func(name string, text []byte) (*dfprules.Ruleset, error)
}

// Constants of the spread between nodes.
const (
	// treeFanout is the number of children of a node in its zone's tree of ranks.
	treeFanout = 8
	// lateWord is the age of knowledge from which on a node asks others than its parent too.
	lateWord = 2 * time.Second
	// substituteRanks is how many times Watchers the nodes are that may stand in for watchers.
	substituteRanks = 4
	// substituteTime is how long one does.
	substituteTime = 30 * time.Second
	// extraTells is the number of further nodes told of a new version.
	extraTells = 2
	// maxBackoff bounds the time between a lone node's failed reads.
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

// Installed is one version of the rules in force. It never changes.
type Installed struct {
	Head    Head
	Text    []byte
	Ruleset *dfprules.Ruleset
}

// Effects is what the node has to do. The zero value is nothing.
type Effects struct {
	Send []Send
	// ReadHead asks for a read of HeadKey; pass the answer to HeadRead or HeadFailed.
	ReadHead bool
	// ReadText, if not empty, asks for a read of that key; pass it to TextRead.
	ReadText string
	// Install, if not nil, comes into force now.
	Install *Installed
	// Err, if not nil, is to be logged.
	Err error
}

// State is what one node knows of the configuration. It is not safe for
// concurrent use; Installed values may be handed to other goroutines.
type State struct {
	cfg       Config
	installed *Installed
	// rejected is the newest version whose text this program can't read.
	rejected uint64
	// pendingHead is a newer head from the platform whose text is being read.
	pendingHead *Head

	// freshAt is a time at which the platform's head was no newer than what is known here.
	freshAt  time.Time
	isFresh  bool
	nextPoll time.Time
	// substituteUntil is when the node stops reading as often as a watcher does.
	substituteUntil time.Time
	failures        int
	nextAsk         time.Time
	// asked is when each unanswered ask was sent; it holds at most one ask a node.
	asked   map[string]sentAsk
	nonce   uint64
	pullEnd time.Time
	// pullVersion is the version that the pull under way will bring, at least.
	pullVersion uint64

	zone   []string // addresses of the zone in the order of their ranks
	rank   int      // own rank in zone
	remote []string // watchers of the other zones
	off    mechanismsOff
}

// mechanismsOff switches mechanisms off, for proofs that tests notice.
type mechanismsOff struct{ forward, spread, poll, substitute, ageFromAsk bool }

type sentAsk struct {
	nonce uint64
	at    time.Time
}

// New returns the state of a node that knows nothing yet.
func New(cfg Config) *State {
	return &State{cfg: cfg.withDefaults(), asked: map[string]sentAsk{}}
}

// Current returns the rules in force, or nil.
func (s *State) Current() *Installed { return s.installed }

// Version returns the version in force; 0 is none.
func (s *State) Version() uint64 {
	if s.installed == nil {
		return 0
	}
	return s.installed.Head.Version
}

// FreshAt returns a time at which the rules in force were the platform's newest, and
// false if there is none.
func (s *State) FreshAt() (time.Time, bool) { return s.freshAt, s.isFresh }

// Stale reports whether nothing has been heard of the platform for StaleAfter.
func (s *State) Stale(now time.Time) bool {
	return !s.isFresh || now.Sub(s.freshAt) >= s.cfg.StaleAfter
}

// IsWatcher reports whether the node should keep a watch on HeadKey.
func (s *State) IsWatcher() bool { return s.rank < s.cfg.Watchers }

// SetRoster tells the state which nodes there are, itself included or not. VMs that
// have left are passed over.
func (s *State) SetRoster(vms []dfpvm.VM) {
	zones := map[string][]string{s.cfg.Zone: {s.cfg.Self}}
	for _, vm := range vms {
		if !vm.Left && vm.Address != s.cfg.Self {
			zones[vm.Zone] = append(zones[vm.Zone], vm.Address)
		}
	}
	s.zone, s.rank, s.remote = ranked(zones[s.cfg.Zone]), 0, nil
	for i, address := range s.zone {
		if address == s.cfg.Self {
			s.rank = i
		}
	}
	for _, name := range sortedNames(zones) {
		if name == s.cfg.Zone {
			continue
		}
		others := ranked(zones[name])
		s.remote = append(s.remote, others[:min(len(others), s.cfg.Watchers)]...)
	}
}

// Tick does what is due. Call it several times a second.
func (s *State) Tick(now time.Time, rng *rand.Rand) Effects {
	var e Effects
	if !now.Before(s.nextPoll) && s.mayPoll(now) {
		e.ReadHead = true
		s.nextPoll = now.Add(jitter(rng, s.pollPeriod(now)))
	}
	if !now.Before(s.nextAsk) && !s.off.spread {
		s.nextAsk = now.Add(jitter(rng, s.cfg.QueryPeriod))
		s.ask(now, rng, &e)
	}
	return e
}

// mayPoll reports whether this node reads the platform by itself.
func (s *State) mayPoll(now time.Time) bool {
	if s.off.poll {
		return false
	}
	return s.readsOften(now) || !s.isFresh || now.Sub(s.freshAt) >= s.cfg.FallbackPollAfter
}

// readsOften reports whether this node reads every PollPeriod: as a watcher, or in place of
// the watchers, none of whom seems to reach the platform.
func (s *State) readsOften(now time.Time) bool {
	return s.IsWatcher() || now.Before(s.substituteUntil)
}

// substitute makes the node stand in for the zone's watchers if it has just found
// out that it reaches the platform and they seem not to. Few nodes may, since in the
// first moments after an outage all find that out.
func (s *State) substitute(now time.Time) {
	if !s.off.substitute && s.rank < substituteRanks*s.cfg.Watchers && s.isFresh && now.Sub(s.freshAt) >= s.cfg.FallbackPollAfter {
		s.substituteUntil = now.Add(substituteTime)
	}
}

// pollPeriod is the time to the next read of the head: short for the zone's few
// watchers; for all others such that the zone's nodes together keep to ZonePollsPerSecond. A node
// that has no roster yet can't know how many it shares with and backs off.
func (s *State) pollPeriod(now time.Time) time.Duration {
	if len(s.zone) <= 1 {
		return min(s.cfg.PollPeriod<<min(s.failures, 10), max(maxBackoff, s.cfg.PollPeriod))
	}
	if s.readsOften(now) {
		return s.cfg.PollPeriod
	}
	shared := time.Duration(float64(len(s.zone)) / s.cfg.ZonePollsPerSecond * float64(time.Second))
	return max(s.cfg.PollPeriod, shared)
}

// jitter returns a time between 3/4 and all of a period.
func jitter(rng *rand.Rand, period time.Duration) time.Duration {
	return period - time.Duration(rng.Int64N(int64(period)/4+1))
}
