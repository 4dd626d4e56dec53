package dfpnode

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/link/dfppeer"
	"dragonflyport/internal/link/dfpplatform"
	"dragonflyport/internal/vm/dfpclock"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfpquota"
)

// quotaLoop enforces the organisations' rates with dfpquota.
type quotaLoop struct {
	n *Node

	mu       sync.Mutex // Guards limiter and arrivals; held for one decision at a time.
	limiter  *dfpquota.Limiter
	arrivals tokenArrivals
	// entry is the record of advances in the platform when it was last read or written, without its value. Only the
	// call that the limiter has asked for uses it.
	entry dfpplatform.Entry
}

// advancesKey is the key in the platform of the record of advances.
const advancesKey = "dragonflyport/advances"

// tokenArrivals wakes the requests that wait for tokens, by organisation. Those of another organisation must not
// wake: Limiter.Take would count them as waiting once more.
type tokenArrivals map[string]chan struct{}

// of returns the channel that is closed when the next answer for an organisation has been handled.
func (a tokenArrivals) of(organisation string) <-chan struct{} {
	if a[organisation] == nil {
		a[organisation] = make(chan struct{})
	}
	return a[organisation]
}

// arrived wakes the requests that wait for an organisation's tokens.
func (a tokenArrivals) arrived(organisation string) {
	if c := a[organisation]; c != nil {
		close(c)
		delete(a, organisation)
	}
}

func newQuotaLoop(n *Node) *quotaLoop {
	cfg := *n.cfg.Quota
	cfg.Self = n.cfg.VM.Address
	return &quotaLoop{n: n, limiter: dfpquota.New(dfpclock.Now(), cfg), arrivals: tokenArrivals{}}
}

// do makes one decision and sends the resulting messages.
func (l *quotaLoop) do(decide func(now time.Time, limiter *dfpquota.Limiter) []dfpquota.Send) {
	l.mu.Lock()
	now := dfpclock.Now()
	sends := decide(now, l.limiter)
	call := l.storeCall(now)
	l.mu.Unlock()
	l.send(sends)
	l.makeCall(call)
}

// storeCall returns the call to the platform that is due. l.mu must be held.
func (l *quotaLoop) storeCall(now time.Time) dfpquota.StoreCall {
	if l.n.cfg.Platform == nil {
		return nil
	}
	return l.limiter.StoreCall(now)
}

// makeCall makes a call to the platform in a goroutine of its own; nil is none.
func (l *quotaLoop) makeCall(call dfpquota.StoreCall) {
	switch call := call.(type) {
	case *dfpquota.ReadRecord:
		l.n.group.Go(func() error { l.readRecord(); return nil })
	case *dfpquota.WriteRecord:
		l.n.group.Go(func() error { l.writeRecord(call.Record); return nil })
	}
}

func (l *quotaLoop) readRecord() {
	entry, err := l.n.cfg.Platform.Get(l.n.runCtx, advancesKey)
	var record []dfpquota.Amount
	if err == nil && entry.Revision != 0 {
		if invalid := cbor.Unmarshal(entry.Value, &record); invalid != nil {
			l.n.cfg.Log.WithField("key", advancesKey).WithError(invalid).Warn("platform entry is not a record of advances")
		}
	}
	entry.Value = nil
	l.entry = entry
	l.do(func(now time.Time, limiter *dfpquota.Limiter) []dfpquota.Send {
		limiter.HandleRecord(now, record, err == nil)
		return nil
	})
}

func (l *quotaLoop) writeRecord(record []dfpquota.Amount) {
	value, err := cbor.Marshal(record)
	if err != nil {
		panic("dfpnode: record of advances cannot be encoded: " + err.Error())
	}
	write := dfpplatform.Write{Key: advancesKey, Expected: l.entry.Revision, Era: l.entry.Era, Value: value}
	entry, err := l.n.cfg.Platform.CompareAndSwap(l.n.runCtx, write)
	if err == nil {
		entry.Value = nil
		l.entry = entry
	}
	l.do(func(now time.Time, limiter *dfpquota.Limiter) []dfpquota.Send {
		limiter.HandleWritten(now, err == nil)
		return nil
	})
}

func (l *quotaLoop) send(sends []dfpquota.Send) {
	for _, send := range sends {
		l.n.notify(send.To, dfppeer.TopicShare, send.Message)
	}
}

// take waits at most twice for requested tokens to arrive, since other requests may take those of the
// first response.
func (l *quotaLoop) take(ctx context.Context, organisation string) (func(), *dfpcall.NotRun) {
	if organisation == "" || l.n.cfg.NoRates {
		return func() {}, nil
	}
	const maxWaits = 2
	for attempt := 0; ; attempt++ {
		l.mu.Lock()
		now := dfpclock.Now()
		result, sends := l.limiter.Take(now, organisation, attempt > 0)
		call := l.storeCall(now)
		arrived := l.arrivals.of(organisation)
		l.mu.Unlock()
		l.send(sends)
		l.makeCall(call)
		switch v := result.(type) {
		case *dfpquota.Granted:
			return func() { l.returnToken(organisation, v.At) }, nil
		case *dfpquota.Refused:
			return nil, refusedByRate(v.RetryAfter)
		}
		if attempt == maxWaits {
			return nil, refusedByRate(dfpquota.TokenRequestTimeout)
		}
		if !waitFor(ctx, arrived, dfpquota.TokenRequestTimeout) {
			return nil, &dfpcall.NotRun{Reason: dfpcall.EndReason(ctx)}
		}
	}
}

// waitFor waits until a channel is closed or the timeout has passed. It returns false if ctx ends first.
func waitFor(ctx context.Context, arrived <-chan struct{}, timeout time.Duration) bool {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-arrived:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}
	return true
}

func (l *quotaLoop) returnToken(organisation string, granted time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiter.ReturnToken(dfpclock.Now(), organisation, granted)
}

// run ticks the limiter until the node ends.
func (l *quotaLoop) run() error {
	ticker := time.NewTicker(dfpquota.TickInterval)
	defer ticker.Stop()
	var logged dfpevent.Rate
	for {
		select {
		case <-l.n.runCtx.Done():
			return nil
		case <-ticker.C:
			fleet := l.n.roster.fleet(time.Now())
			l.do(func(now time.Time, limiter *dfpquota.Limiter) []dfpquota.Send {
				return append(limiter.SetFleet(now, fleet), limiter.Tick(now)...)
			})
			logged = l.logRate(logged)
		}
	}
}

// logRate logs this node's allocator if it differs from before, and returns it.
func (l *quotaLoop) logRate(before dfpevent.Rate) dfpevent.Rate {
	l.mu.Lock()
	allocator := l.limiter.AllocatorState()
	l.mu.Unlock()
	rate := dfpevent.Rate{
		Allocator: allocator.Allocator, Nodes: allocator.Nodes, Confirmed: dfpclock.Now().Before(allocator.ValidUntil),
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
	state, found := l.limiter.Organisation(now, organisation)
	if !found {
		return nil
	}
	allocator := l.limiter.AllocatorState()
	inputs := &dfpevent.RateInputs{
		PerSecond: state.PerSecond, Demand: state.Demand, Tokens: state.Tokens, Allocator: allocator.Allocator, ValidMs: -1,
	}
	if !allocator.ValidUntil.IsZero() {
		inputs.ValidMs = allocator.ValidUntil.Sub(now).Milliseconds()
	}
	return inputs
}

func (l *quotaLoop) setRules(_ uint64, rules *dfprules.Ruleset) {
	organisations := make([]dfpquota.Organisation, 0, len(rules.Organisations))
	for _, o := range rules.Organisations {
		organisations = append(organisations, dfpquota.Organisation{Name: o.Name, Rate: o.Rate, Burst: o.Burst})
	}
	l.do(func(now time.Time, limiter *dfpquota.Limiter) []dfpquota.Send {
		limiter.SetRules(now, organisations)
		return nil
	})
}

func (l *quotaLoop) handle(from string, msg dfppeer.Control) (dfppeer.Control, error) {
	body, err := dfppeer.Decode[dfpquota.Message](msg)
	if err != nil {
		return dfppeer.Control{}, err
	}
	l.do(func(now time.Time, limiter *dfpquota.Limiter) []dfpquota.Send {
		if body.Tokens != nil && !body.Report {
			l.arrivals.arrived(body.Tokens.Organisation)
		}
		return limiter.Handle(now, from, body)
	})
	return dfppeer.Control{Topic: msg.Topic}, nil
}

// setPeers does nothing: run reads the fleet from the roster at each tick.
func (*quotaLoop) setPeers([]dfpvm.VM) {}

func (*quotaLoop) setUnreachable(string) {}

// stop does nothing: this node's confirmation expires by itself.
func (*quotaLoop) stop(context.Context) {}

func (l *quotaLoop) dump() any {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limiter.State(dfpclock.Now())
}

// fleet returns the fleet that divides the rates. Its allocator is the VM with the lowest address among those
// that can be reached and are not draining.
func (l *rosterLoop) fleet(now time.Time) dfpquota.Fleet {
	l.mu.Lock()
	defer l.mu.Unlock()
	summary := l.roster.Summary(now)
	return dfpquota.Fleet{Nodes: summary.VMs, Allocator: summary.First}
}
