package dfpnode

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/link/dfppeer"
	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfpshare"
)

const (
	// sharePrefix followed by a zone's name is the platform's key of the zone's slot table of rates.
	sharePrefix = "dragonflyport/share/"
	// shareHandoverTimeout limits the handover of slots at a graceful shutdown.
	shareHandoverTimeout = 3 * time.Second
	// grantTTL is the age from which an unused token is returned and a new one is taken. A grant gets this
	// old only if the process was paused or suspended, and then the window in which its token counts has passed.
	grantTTL = 100 * time.Millisecond
	// maxGrantAttempts is the maximum number of tokens taken for one request.
	maxGrantAttempts = 3
	// retryJitterFraction is the maximum random addition to Retry-After, as a fraction of it.
	retryJitterFraction = 0.25
)

// timedResult is the result for a waiting request and the time of the decision.
type timedResult struct {
	result dfpshare.Result
	at     time.Time
}

// ratesLoop enforces the organisations' rates with dfpshare.
type ratesLoop struct {
	n *Node

	mu      sync.Mutex // Guards limiter and waiting; held for one decision at a time.
	limiter *dfpshare.Limiter
	waiting map[dfpshare.WaiterID]chan timedResult

	// reading is set while a read of the slot table is in progress.
	reading  atomic.Bool
	stopped  chan struct{}
	stopOnce sync.Once
}

// organisationRates enforces the organisations' rates. Its methods are safe for concurrent use.
type organisationRates interface {
	// take takes a token of an organisation's rate. It returns either a function that puts the token back
	// or a refusal. The organisation may be empty on open routes, which need no token.
	take(ctx context.Context, organisation string) (func(), *dfpcall.NotRun)
	setPeers(vms []dfpvm.VM)
	// setUnreachable reports that a connection to address was refused.
	setUnreachable(address string)
	setRules(version uint64, rules *dfprules.Ruleset)
	// handle handles a peer's message.
	handle(from string, msg dfppeer.Control) (dfppeer.Control, error)
	run() error
	// stop hands over what other nodes need. It returns when that is done or ctx ends.
	stop(ctx context.Context)
	// dump returns the state for operators.
	dump() any
	// inputs returns the values that decide about an organisation's requests now, for the log; nil if
	// there are none to log.
	inputs(organisation string) *dfpevent.RateInputs
}

func newRates(n *Node) organisationRates {
	if n.cfg.Quota != nil {
		return newQuotaLoop(n)
	}
	l := new(ratesLoop)
	l.init(n)
	return l
}

func (l *ratesLoop) init(n *Node) {
	l.n = n
	l.limiter = dfpshare.New(dfpshare.Config{Self: n.cfg.VM, Seed: n.cfg.Seed}, time.Now())
	l.waiting = make(map[dfpshare.WaiterID]chan timedResult)
	l.stopped = make(chan struct{})
}

// do makes one decision and carries out its effects.
func (l *ratesLoop) do(decide func(now time.Time, s *dfpshare.Limiter) dfpshare.Effects) {
	l.mu.Lock()
	now := time.Now()
	fx := decide(now, l.limiter)
	l.deliver(now, fx.Decided)
	l.mu.Unlock()
	l.apply(fx)
}

// deliver passes results to the waiting requests. l.mu must be held.
func (l *ratesLoop) deliver(now time.Time, decided []dfpshare.Decision) {
	for _, d := range decided {
		if c, ok := l.waiting[d.Waiter]; ok {
			delete(l.waiting, d.Waiter)
			c <- timedResult{d.Result, now} // It never blocks: c has room for one result.
		}
	}
}

// apply carries out the effects of a decision. l.mu must not be held.
func (l *ratesLoop) apply(fx dfpshare.Effects) {
	for _, send := range fx.Sends {
		l.n.notify(send.To, dfppeer.TopicShare, send.Message)
	}
	if fx.Proposed != nil {
		l.n.group.Go(func() error { l.propose(*fx.Proposed); return nil })
	} else if fx.ReadTable && l.n.cfg.Platform != nil && l.reading.CompareAndSwap(false, true) {
		l.n.group.Go(func() error {
			defer l.reading.Store(false)
			l.read()
			return nil
		})
	}
	if fx.Stopped {
		l.stopOnce.Do(func() { close(l.stopped) })
	}
}

// read passes the zone's slot table from the platform to the limiter.
func (l *ratesLoop) read() {
	asked := time.Now()
	entry, err := l.n.cfg.Platform.Get(l.n.runCtx, sharePrefix+l.n.cfg.VM.Zone)
	if err != nil {
		l.n.metrics.platformFailures.Add(1)
		return
	}
	var table dfpshare.Table
	if entry.Revision != 0 {
		if table, err = dfpshare.UnmarshalTable(entry.Value); err != nil {
			l.n.cfg.Log.WithError(err).Error("slot table in the platform cannot be decoded")
			return
		}
	}
	l.do(func(now time.Time, s *dfpshare.Limiter) dfpshare.Effects {
		s.SetTable(now, asked, table, entry.Revision)
		return dfpshare.Effects{}
	})
}

// propose writes a changed slot table. It reads the table back in any case because the response to a write
// that took effect may be lost.
func (l *ratesLoop) propose(p dfpshare.TableProposal) {
	if l.n.cfg.Platform == nil {
		return
	}
	value, err := p.Table.Marshal()
	if err != nil {
		panic("dfpnode: slot table cannot be encoded: " + err.Error())
	}
	_, err = l.n.cfg.Platform.CompareAndSwap(l.n.runCtx, dfpplatform.Write{
		Key: sharePrefix + p.Table.Zone, Expected: p.Revision, Value: value,
	})
	if err != nil && !errors.Is(err, dfpplatform.ErrConflict) {
		l.n.metrics.platformFailures.Add(1)
	}
	l.read()
}

// run ticks the limiter until the node ends.
func (l *ratesLoop) run() error {
	ticker := time.NewTicker(dfpshare.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-l.n.runCtx.Done():
			return nil
		case <-ticker.C:
			l.do(func(now time.Time, s *dfpshare.Limiter) dfpshare.Effects { return s.Tick(now) })
		}
	}
}

// stop hands this node's slots over to other nodes. It returns when that is done or ctx ends.
func (l *ratesLoop) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shareHandoverTimeout)
	defer cancel()
	l.do(func(now time.Time, s *dfpshare.Limiter) dfpshare.Effects { return s.Stop(now) })
	select {
	case <-l.stopped:
	case <-ctx.Done():
		l.n.cfg.Log.Warn("slots of the organisations' rates were not handed over")
	}
}

func (l *ratesLoop) take(ctx context.Context, organisation string) (func(), *dfpcall.NotRun) {
	if organisation == "" || l.n.cfg.NoRates {
		return func() {}, nil
	}
	for range maxGrantAttempts {
		result, at := l.decide(ctx, organisation)
		switch v := result.(type) {
		case *dfpshare.Refused:
			return nil, refusedByRate(v.RetryAfter)
		case *dfpshare.Granted:
			if time.Since(at) < grantTTL {
				return func() { l.returnToken(v.Token) }, nil
			}
			l.returnToken(v.Token)
		default:
			return nil, &dfpcall.NotRun{Reason: dfpcall.ReasonCancelled}
		}
	}
	return nil, refusedByRate(grantTTL)
}

func refusedByRate(retryAfter time.Duration) *dfpcall.NotRun {
	jitter := time.Duration(rand.Float64() * retryJitterFraction * float64(retryAfter))
	return &dfpcall.NotRun{Reason: dfpcall.ReasonOrganisationRate, RetryAfter: retryAfter + jitter}
}

// decide waits for the result for one request and returns it with the time of the decision. The result is
// nil if ctx ends first.
func (l *ratesLoop) decide(ctx context.Context, organisation string) (dfpshare.Result, time.Time) {
	l.mu.Lock()
	now := time.Now()
	result := l.limiter.Take(now, organisation)
	w, ok := result.(*dfpshare.Waiting)
	if !ok {
		l.mu.Unlock()
		return result, now
	}
	c := make(chan timedResult, 1)
	l.waiting[w.Waiter] = c
	fx := l.limiter.Tick(now)
	l.deliver(now, fx.Decided)
	l.mu.Unlock()
	l.apply(fx)
	select {
	case decided := <-c:
		return decided.result, decided.at
	case <-ctx.Done():
		return nil, l.cancel(w.Waiter, c)
	}
}

// cancel removes a waiting request. It returns a token that was granted meanwhile.
func (l *ratesLoop) cancel(waiter dfpshare.WaiterID, c <-chan timedResult) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	delete(l.waiting, waiter)
	l.limiter.Cancel(waiter)
	select {
	case decided := <-c:
		if g, ok := decided.result.(*dfpshare.Granted); ok {
			l.limiter.ReturnToken(now, g.Token)
		}
	default:
	}
	return now
}

func (l *ratesLoop) returnToken(token dfpshare.Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.ReturnToken(time.Now(), token)
}

func (l *ratesLoop) setPeers(vms []dfpvm.VM) {
	l.do(func(now time.Time, s *dfpshare.Limiter) dfpshare.Effects {
		s.SetPeers(now, vms)
		return dfpshare.Effects{}
	})
}

// setUnreachable reports that a connection to address was refused.
func (l *ratesLoop) setUnreachable(address string) {
	l.do(func(now time.Time, s *dfpshare.Limiter) dfpshare.Effects {
		s.SetUnreachable(now, address)
		return dfpshare.Effects{}
	})
}

func (l *ratesLoop) setRules(version uint64, rules *dfprules.Ruleset) {
	next := dfpshare.Rules{Version: version}
	for _, z := range rules.Zones {
		next.Zones = append(next.Zones, dfpshare.Zone{Name: z.Name, Region: z.Region, Weight: z.Share})
	}
	for _, o := range rules.Organisations {
		next.Organisations = append(next.Organisations, dfpshare.OrganisationRate{
			Name: o.Name, RatePerSecond: o.Rate, Burst: o.Burst,
		})
	}
	l.do(func(now time.Time, s *dfpshare.Limiter) dfpshare.Effects {
		s.SetRules(now, next)
		return s.Tick(now)
	})
}

// handle handles a peer's message.
func (l *ratesLoop) handle(from string, msg dfppeer.Control) (dfppeer.Control, error) {
	body, err := dfppeer.Decode[dfpshare.Message](msg)
	if err != nil {
		return dfppeer.Control{}, err
	}
	l.do(func(now time.Time, s *dfpshare.Limiter) dfpshare.Effects { return s.Handle(now, from, body) })
	return dfppeer.Control{Topic: msg.Topic}, nil
}

func (l *ratesLoop) dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.State(time.Now())
}

// inputs returns nil: operators read the limiter's state from dump.
func (*ratesLoop) inputs(string) *dfpevent.RateInputs { return nil }
