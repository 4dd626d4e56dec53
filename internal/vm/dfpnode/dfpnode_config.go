package dfpnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpconfig"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/link/dfppeer"
	"dragonflyport/internal/vm/dfpclock"
	"dragonflyport/internal/vm/dfpevent"
)

const (
	configTick = 100 * time.Millisecond
	// configRoster is the time between looks at the roster for nodes to ask.
	configRoster = time.Second
)

// configLoop holds the rules in force and brings newer ones in: from the platform, if
// this node is one of its zone's watchers, and from peers.
type configLoop struct {
	n       *Node
	current atomic.Pointer[dfpconfig.Installed]
	// fresh is a time at which the rules in force were the platform's newest.
	fresh atomic.Pointer[time.Time]

	mu    sync.Mutex // guards state and rnd
	state *dfpconfig.State
	rnd   *rand.Rand
	// installing is held while a version comes into force, so that those who decide by
	// the rules are handed them in the order of the versions.
	installing sync.Mutex
	reading    atomic.Bool
}

func (l *configLoop) init(n *Node) {
	l.n = n
	l.state = dfpconfig.New(dfpconfig.Config{
		Self: n.cfg.VM.Address, Zone: n.cfg.VM.Zone, Region: n.cfg.VM.Region,
		Seeds: n.cfg.Seeds, StaleAfter: n.cfg.StaleAfter, Parse: n.cfg.ParseRules, Watchers: n.cfg.Watchers,
		FallbackPollAfter: n.cfg.FallbackPollAfter,
	})
	l.rnd = n.newRand(streamConfig)
}

// run keeps the rules up to date until the node ends.
func (l *configLoop) run() error {
	if l.n.cfg.Rules != nil {
		l.n.group.Go(l.runWatch)
	}
	ticker := time.NewTicker(configTick)
	defer ticker.Stop()
	var rosterAt time.Time
	wasStale := true
	for {
		select {
		case <-l.n.life.Done():
			return nil
		case <-ticker.C:
			now := dfpclock.Now()
			if now.Sub(rosterAt) >= configRoster {
				rosterAt = now
				l.setRoster()
			}
			l.do(func(s *dfpconfig.State) dfpconfig.Effects { return s.Tick(now, l.rnd) })
			wasStale = l.logStale(wasStale)
		}
	}
}

// logStale logs when the rules become stale and when they are fresh again.
func (l *configLoop) logStale(wasStale bool) bool {
	isStale := l.stale()
	switch {
	case isStale && !wasStale:
		l.note(dfpevent.Rules{Version: l.version(), State: dfpevent.RulesStale})
	case wasStale && !isStale:
		l.note(dfpevent.Rules{Version: l.version(), State: dfpevent.RulesFresh})
	}
	return isStale
}

func (l *configLoop) note(rules dfpevent.Rules) {
	dfpevent.Write(l.n.journal, time.Now(), func() *dfpevent.Rules { return &rules })
}

// noteFault logs why a version was not taken; the one in force stays.
func (l *configLoop) noteFault(err error) {
	l.note(dfpevent.Rules{Version: l.version(), State: dfpevent.RulesRejected, Reason: err.Error()})
}

func (l *configLoop) setRoster() {
	vms := l.n.roster.vms()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.SetRoster(vms)
}

// do makes one decision and carries out its effects.
func (l *configLoop) do(decide func(*dfpconfig.State) dfpconfig.Effects) {
	l.mu.Lock()
	effects := decide(l.state)
	if at, known := l.state.FreshAt(); known {
		l.fresh.Store(&at)
	}
	l.mu.Unlock()
	if effects.Err != nil {
		l.noteFault(effects.Err)
	}
	if effects.Install != nil {
		l.install(effects.Install)
	}
	for _, send := range effects.Send {
		l.n.mesh.Notify(send.To, dfppeer.Control{Topic: dfppeer.TopicRules, Body: dfpconfig.EncodeMessage(send.Message)})
	}
	if effects.ReadHead && l.reading.CompareAndSwap(false, true) {
		l.n.group.Go(l.readHead)
	}
	if effects.ReadText != "" {
		l.n.group.Go(func() error { l.readText(effects.ReadText); return nil })
	}
}

// readHead reads the platform's head once.
func (l *configLoop) readHead() error {
	sentAt := dfpclock.Now()
	head, err := l.fetchHead()
	l.reading.Store(false)
	l.do(func(s *dfpconfig.State) dfpconfig.Effects {
		if err != nil {
			s.HeadFailed()
			return dfpconfig.Effects{}
		}
		return s.HeadRead(dfpclock.Now(), l.rnd, sentAt, head)
	})
	return nil
}

func (l *configLoop) fetchHead() (*dfpconfig.Head, error) {
	if l.n.cfg.Rules == nil {
		return nil, errNoRulesSource
	}
	head, err := l.n.cfg.Rules.Head(l.n.life)
	switch {
	case errors.Is(err, dfpconfig.ErrHead):
		l.noteFault(err)
	default:
		l.n.heardPlatform(err)
	}
	return head, err
}

// readText reads a version's text from the platform.
func (l *configLoop) readText(key string) {
	text, err := l.n.cfg.Rules.Text(l.n.life, key)
	if err != nil {
		l.n.metrics.platformFailures.Add(1)
	}
	l.do(func(s *dfpconfig.State) dfpconfig.Effects { return s.TextRead(dfpclock.Now(), l.rnd, key, text) })
}

// runWatch watches the platform's head while this node is one of its zone's watchers.
func (l *configLoop) runWatch() error {
	for l.n.life.Err() == nil {
		if !l.isWatcher() {
			l.n.pause(watchCheck)
			continue
		}
		ctx, cancel := context.WithCancel(l.n.life)
		l.n.group.Go(func() error {
			for ctx.Err() == nil && l.isWatcher() {
				l.n.pause(watchCheck)
			}
			cancel()
			return nil
		})
		_ = l.n.cfg.Rules.Watch(ctx, l.report) // It ends with ctx only.
		cancel()
	}
	return nil
}

func (l *configLoop) isWatcher() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.IsWatcher()
}

// report takes in a head that the watch has brought.
func (l *configLoop) report(head *dfpconfig.Head) {
	l.do(func(s *dfpconfig.State) dfpconfig.Effects { return s.HeadWatched(dfpclock.Now(), l.rnd, head) })
}

// rules returns the rules in force, or nil if none are known yet.
func (l *configLoop) rules() *dfprules.Ruleset {
	if current := l.current.Load(); current != nil {
		return current.Ruleset
	}
	return nil
}

// version returns the version in force; 0 for none.
func (l *configLoop) version() uint64 {
	if current := l.current.Load(); current != nil {
		return current.Head.Version
	}
	return 0
}

// age returns how long ago the rules in force were known to be the newest, and false if
// they never were. It is measured by dfpclock.
func (l *configLoop) age() (time.Duration, bool) {
	fresh := l.fresh.Load()
	if fresh == nil {
		return 0, false
	}
	return dfpclock.Now().Sub(*fresh), true
}

// stale reports whether it is too long ago that the rules were known to be in force.
func (l *configLoop) stale() bool {
	age, known := l.age()
	return !known || age >= l.n.cfg.StaleAfter
}

// install puts a version of the rules in force. Versions only go forward.
func (l *configLoop) install(next *dfpconfig.Installed) {
	l.installing.Lock()
	defer l.installing.Unlock()
	version := next.Head.Version
	if version <= l.version() {
		return // A newer one came in while this one waited for its turn.
	}
	l.current.Store(next)
	l.note(dfpevent.Rules{Version: version, State: dfpevent.RulesInForce, By: next.Head.By})
	if _, found := next.Ruleset.Zone(l.n.cfg.VM.Zone); !found && len(next.Ruleset.Zones) > 0 {
		l.n.cfg.Log.WithField("zone", l.n.cfg.VM.Zone).Warn("the rules do not name this node's availability zone")
	}
	l.n.applyRules(version, next.Ruleset)
}

// applyRules hands new rules to those who decide by them.
func (n *Node) applyRules(version uint64, rules *dfprules.Ruleset) {
	n.rates.setRules(version, rules)
	n.claims.setRules(rules)
	n.policy.setRules(rules)
	n.applyVMs(n.roster.vms())
}

// heard takes in the version that a peer has in force. It is called for every answer of a
// peer, so it takes no lock unless the peer is ahead.
func (l *configLoop) heard(from string, version uint64) {
	if version <= l.version() {
		return
	}
	l.do(func(s *dfpconfig.State) dfpconfig.Effects { return s.ObserveVersion(dfpclock.Now(), from, version) })
}

// handle takes a peer's message about the rules. What there is to answer is told.
func (l *configLoop) handle(from string, msg dfppeer.Control) (dfppeer.Control, error) {
	message, err := dfpconfig.DecodeMessage(msg.Body)
	if err != nil {
		return dfppeer.Control{}, err
	}
	l.do(func(s *dfpconfig.State) dfpconfig.Effects { return s.Receive(dfpclock.Now(), l.rnd, from, message) })
	return dfppeer.Control{Topic: msg.Topic}, nil
}
