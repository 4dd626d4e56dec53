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
	configTickInterval = 100 * time.Millisecond
	// configRosterInterval is the time between updates of the VMs that can be queried for rules.
	configRosterInterval = time.Second
)

// configLoop holds the rules in force and installs newer versions, which it gets from peers and, if this
// node is one of its zone's watchers, from the platform.
type configLoop struct {
	n       *Node
	current atomic.Pointer[dfpconfig.Installed]
	// freshAt is the latest time at which the rules in force were known to be the platform's newest.
	freshAt atomic.Pointer[time.Time]

	mu    sync.Mutex // Guards state and rnd.
	state *dfpconfig.State
	rnd   *rand.Rand
	// installMu is held while a version is installed, so that its users receive versions in order.
	installMu sync.Mutex
	reading   atomic.Bool
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

// run updates the rules until the node ends.
func (l *configLoop) run() error {
	if l.n.cfg.Rules != nil {
		l.n.group.Go(l.runWatch)
	}
	ticker := time.NewTicker(configTickInterval)
	defer ticker.Stop()
	var rosterAt time.Time
	wasStale := true
	for {
		select {
		case <-l.n.runCtx.Done():
			return nil
		case <-ticker.C:
			now := dfpclock.Now()
			if now.Sub(rosterAt) >= configRosterInterval || l.pollDue(now) {
				rosterAt = now
				l.setRoster()
			}
			l.do(func(s *dfpconfig.State) dfpconfig.Effects { return s.Tick(now, l.rnd) })
			wasStale = l.logStale(wasStale)
		}
	}
}

// pollDue reports whether the next tick would read the rules from their source.
func (l *configLoop) pollDue(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.PollDue(now)
}

// logStale logs when the rules become stale and when they become fresh again.
func (l *configLoop) logStale(wasStale bool) bool {
	isStale := l.stale()
	switch {
	case isStale && !wasStale:
		l.logRules(dfpevent.Rules{Version: l.version(), State: dfpevent.RulesStale})
	case wasStale && !isStale:
		l.logRules(dfpevent.Rules{Version: l.version(), State: dfpevent.RulesFresh})
	}
	return isStale
}

func (l *configLoop) logRules(rules dfpevent.Rules) {
	dfpevent.Write(l.n.journal, time.Now(), func() *dfpevent.Rules { return &rules })
}

// logRejected logs why a new version was rejected. The version in force stays.
func (l *configLoop) logRejected(err error) {
	l.logRules(dfpevent.Rules{Version: l.version(), State: dfpevent.RulesRejected, Reason: err.Error()})
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
	if l.n.cfg.Platform != nil {
		era, _ := l.n.cfg.Platform.Era()
		l.state.SetEra(era)
	}
	effects := decide(l.state)
	if at, known := l.state.FreshAt(); known {
		l.freshAt.Store(&at)
	}
	l.mu.Unlock()
	if effects.Err != nil {
		l.logRejected(effects.Err)
	}
	if effects.Install != nil {
		l.install(effects.Install)
	}
	for _, send := range effects.Send {
		l.n.mesh.Notify(send.To, dfppeer.Control{Topic: dfppeer.TopicRules, Body: dfpconfig.EncodeMessage(send.Message)})
	}
	if effects.CheckEra {
		l.n.roster.checkEra()
	}
	if effects.ReadHead && l.reading.CompareAndSwap(false, true) {
		l.n.group.Go(l.readHead)
	}
	if effects.ReadText != "" {
		l.n.group.Go(func() error { l.readText(effects.ReadText); return nil })
	}
}

// readHead reads the head of the rules from their source once.
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
	head, err := l.n.cfg.Rules.Head(l.n.runCtx)
	switch {
	case errors.Is(err, dfpconfig.ErrHead):
		l.logRejected(err)
	default:
		l.n.recordPlatformResult(err)
	}
	return head, err
}

// readText reads the text of a version from the source of the rules.
func (l *configLoop) readText(key string) {
	text, err := l.n.cfg.Rules.Text(l.n.runCtx, key)
	if err != nil {
		l.n.metrics.platformFailures.Add(1)
	}
	l.do(func(s *dfpconfig.State) dfpconfig.Effects { return s.TextRead(dfpclock.Now(), l.rnd, key, text) })
}

// runWatch watches the head of the rules while this node is one of its zone's watchers.
func (l *configLoop) runWatch() error {
	for l.n.runCtx.Err() == nil {
		if !l.isWatcher() {
			l.n.sleep(watcherCheckInterval)
			continue
		}
		ctx, cancel := context.WithCancel(l.n.runCtx)
		l.n.group.Go(func() error {
			for ctx.Err() == nil && l.isWatcher() {
				l.n.sleep(watcherCheckInterval)
			}
			cancel()
			return nil
		})
		_ = l.n.cfg.Rules.Watch(ctx, l.observeHead) // It returns only when ctx ends.
		cancel()
	}
	return nil
}

func (l *configLoop) isWatcher() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.IsWatcher()
}

// observeHead handles a head that the watch reported.
func (l *configLoop) observeHead(head *dfpconfig.Head) {
	l.do(func(s *dfpconfig.State) dfpconfig.Effects { return s.HeadWatched(dfpclock.Now(), l.rnd, head) })
}

// rules returns the rules in force, or nil if none are known yet.
func (l *configLoop) rules() *dfprules.Ruleset {
	if current := l.current.Load(); current != nil {
		return current.Ruleset
	}
	return nil
}

// version returns the version in force, or 0 if there is none.
func (l *configLoop) version() uint64 {
	if current := l.current.Load(); current != nil {
		return current.Head.Version
	}
	return 0
}

// age returns the time since the rules in force were last known to be the newest, by dfpclock. The
// second result is false if they never were.
func (l *configLoop) age() (time.Duration, bool) {
	freshAt := l.freshAt.Load()
	if freshAt == nil {
		return 0, false
	}
	return dfpclock.Now().Sub(*freshAt), true
}

// stale reports whether the age of the rules has reached Config.StaleAfter.
func (l *configLoop) stale() bool {
	age, known := l.age()
	return !known || age >= l.n.cfg.StaleAfter
}

// install puts a version in force unless it is older than the current one.
func (l *configLoop) install(next *dfpconfig.Installed) {
	l.installMu.Lock()
	defer l.installMu.Unlock()
	version := next.Head.Version
	if version <= l.version() {
		return // A newer version was installed meanwhile.
	}
	l.current.Store(next)
	l.logRules(dfpevent.Rules{Version: version, State: dfpevent.RulesInForce, By: next.Head.By})
	if _, found := next.Ruleset.Zone(l.n.cfg.VM.Zone); !found && len(next.Ruleset.Zones) > 0 {
		l.n.cfg.Log.WithField("zone", l.n.cfg.VM.Zone).Warn("rules do not list this node's availability zone")
	}
	l.n.applyRules(version, next.Ruleset)
}

// applyRules passes new rules to the components that decide by them.
func (n *Node) applyRules(version uint64, rules *dfprules.Ruleset) {
	n.rates.setRules(version, rules)
	n.claims.setRules(rules)
	n.policy.setRules(rules)
	n.applyVMs(n.roster.vms())
}

// observeVersion handles the version that a peer has in force. It is called for every answer of a
// peer, so it takes no lock unless the peer has a newer version.
func (l *configLoop) observeVersion(from string, version uint64) {
	if version <= l.version() {
		return
	}
	l.do(func(s *dfpconfig.State) dfpconfig.Effects { return s.ObserveVersion(dfpclock.Now(), from, version) })
}

// handle handles a peer's message about the rules. Replies are sent as separate messages.
func (l *configLoop) handle(from string, msg dfppeer.Control) (dfppeer.Control, error) {
	message, err := dfpconfig.DecodeMessage(msg.Body)
	if err != nil {
		return dfppeer.Control{}, err
	}
	l.do(func(s *dfpconfig.State) dfpconfig.Effects { return s.Receive(dfpclock.Now(), l.rnd, from, message) })
	return dfppeer.Control{Topic: msg.Topic}, nil
}
