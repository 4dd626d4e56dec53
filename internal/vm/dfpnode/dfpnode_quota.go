package dfpnode

import (
	"context"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/link/dfppeer"
	"dragonflyport/internal/vm/dfpclock"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfpquota"
)

// quotaLoop keeps this node's part in the organisations' rates by dfpquota.
type quotaLoop struct {
	n *Node

	mu     sync.Mutex // Held for a decision at a time.
	keeper *dfpquota.Limiter
	// news is closed and replaced when tokens have come in.
	news chan struct{}
}

func newQuotaLoop(n *Node) *quotaLoop {
	cfg := *n.cfg.Quota
	cfg.Self = n.cfg.VM.Address
	return &quotaLoop{n: n, keeper: dfpquota.New(dfpclock.Now(), cfg), news: make(chan struct{})}
}

// do makes one decision and sends what it asks for.
func (l *quotaLoop) do(decide func(now time.Time, k *dfpquota.Limiter) []dfpquota.Send) {
	l.mu.Lock()
	sends := decide(dfpclock.Now(), l.keeper)
	l.mu.Unlock()
	l.send(sends)
}

func (l *quotaLoop) send(sends []dfpquota.Send) {
	for _, send := range sends {
		l.n.tell(send.To, dfppeer.TopicShare, send.Message)
	}
}

// take waits for tokens that are on their way at most twice: those that the first answer brought may
// have gone to others.
func (l *quotaLoop) take(ctx context.Context, organisation string) (func(), *dfpcall.NotRun) {
	if organisation == "" || l.n.cfg.NoRates {
		return func() {}, nil
	}
	const waits = 2
	for try := 0; ; try++ {
		l.mu.Lock()
		verdict, sends := l.keeper.Take(dfpclock.Now(), organisation, try > 0)
		news := l.news
		l.mu.Unlock()
		l.send(sends)
		switch v := verdict.(type) {
		case *dfpquota.Granted:
			return func() { l.giveBack(organisation) }, nil
		case *dfpquota.Refused:
			return nil, refusedByRate(v.RetryAfter)
		}
		if try == waits {
			return nil, refusedByRate(dfpquota.TokenRequestTimeout)
		}
		if !waitFor(ctx, news, dfpquota.TokenRequestTimeout) {
			return nil, &dfpcall.NotRun{Reason: dfpcall.EndReason(ctx)}
		}
	}
}

// waitFor waits for news or a time; it returns false if ctx has ended.
func waitFor(ctx context.Context, news <-chan struct{}, most time.Duration) bool {
	timer := time.NewTimer(most)
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (l *quotaLoop) giveBack(organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.keeper.ReturnToken(dfpclock.Now(), organisation)
}

// run ticks the keeper until the node ends.
func (l *quotaLoop) run() error {
	ticker := time.NewTicker(dfpquota.TickInterval)
	defer ticker.Stop()
	var noted dfpevent.Rate
	for {
		select {
		case <-l.n.life.Done():
			return nil
		case <-ticker.C:
			fleet := l.n.roster.fleet(time.Now())
			l.do(func(now time.Time, k *dfpquota.Limiter) []dfpquota.Send {
				return append(k.SetFleet(now, fleet), k.Tick(now)...)
			})
			noted = l.note(noted)
		}
	}
}

// note writes to the log by what the rates are kept, where that has changed, and returns it.
func (l *quotaLoop) note(before dfpevent.Rate) dfpevent.Rate {
	l.mu.Lock()
	standing := l.keeper.AllocationState()
	l.mu.Unlock()
	rate := dfpevent.Rate{
		Allocator: standing.Allocator, Nodes: standing.Nodes, HasAllocation: dfpclock.Now().Before(standing.ValidUntil),
	}
	if rate != before {
		dfpevent.Write(l.n.journal, time.Now(), func() *dfpevent.Rate { return &rate })
	}
	return rate
}

func (l *quotaLoop) inputs(organisation string) *dfpevent.RateInputs {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := dfpclock.Now()
	state, found := l.keeper.Organisation(now, organisation)
	if !found {
		return nil
	}
	standing := l.keeper.AllocationState()
	inputs := &dfpevent.RateInputs{
		PerSecond: state.PerSecond, Demand: state.Demand, Tokens: state.Tokens, Allocator: standing.Allocator, ValidMs: -1,
	}
	if !standing.ValidUntil.IsZero() {
		inputs.ValidMs = standing.ValidUntil.Sub(now).Milliseconds()
	}
	return inputs
}

func (l *quotaLoop) setRules(_ uint64, rules *dfprules.Ruleset) {
	organisations := make([]dfpquota.Organisation, 0, len(rules.Organisations))
	for _, o := range rules.Organisations {
		organisations = append(organisations, dfpquota.Organisation{Name: o.Name, Rate: o.Rate, Burst: o.Burst})
	}
	l.do(func(now time.Time, k *dfpquota.Limiter) []dfpquota.Send {
		k.SetRules(now, organisations)
		return nil
	})
}

func (l *quotaLoop) handle(from string, msg dfppeer.Control) (dfppeer.Control, error) {
	body, err := dfppeer.Decode[dfpquota.Message](msg)
	if err != nil {
		return dfppeer.Control{}, err
	}
	l.do(func(now time.Time, k *dfpquota.Limiter) []dfpquota.Send {
		if body.Tokens != nil && !body.Report {
			close(l.news)
			l.news = make(chan struct{})
		}
		return k.Handle(now, from, body)
	})
	return dfppeer.Control{Topic: msg.Topic}, nil
}

// The fleet is read from the roster at each tick, so that news of peers needs nothing here.
func (*quotaLoop) setPeers([]dfpvm.VM) {}

func (*quotaLoop) setUnreachable(string) {}

// stop has nothing to hand over: what a node may use lapses by itself.
func (*quotaLoop) stop(context.Context) {}

func (l *quotaLoop) dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.keeper.State(dfpclock.Now())
}

// fleet returns the fleet as the rates are divided in it: the nodes report to the first VM by address.
func (l *rosterLoop) fleet(now time.Time) dfpquota.Fleet {
	l.mu.Lock()
	defer l.mu.Unlock()
	count := l.roster.Summary(now)
	return dfpquota.Fleet{Nodes: count.VMs, Allocator: count.First}
}
