package dfpshare

import (
	"math"
	"time"
)

// Limits on what a home grants.
const (
	// extraDivisor limits the tokens that one request gets beyond its need to 1/extraDivisor of those
	// available.
	extraDivisor = 8
	// surplusFraction is the fraction of the cap that must remain for a home to grant more than the need.
	surplusFraction = 0.5
	// targetRequestRate is the number of batch requests per second that a home aims at for one part. At
	// higher rates it makes the batches last longer.
	targetRequestRate = 20
	// maxHops limits how many homes pass on a request.
	maxHops = 2
	// minLifetime is the shortest lifetime of a batch that is worth sending.
	minLifetime = 5 * time.Millisecond
)

// pendingRequest is a batch request that waits at a home.
type pendingRequest struct {
	from    string
	request BatchRequest
	at      time.Time
	// deferred is set once the requester was told that the response comes later.
	deferred bool
}

// fetchedBatch is a batch that this home got from another home.
type fetchedBatch struct {
	supplierAddress string
	key             string // the part that the tokens came from
	batch           uint64
	tokens          float64
	expires         time.Time
	// drawn tokens were issued to requesters; spent of them are known to be spent, and reported of those
	// were reported to the supplier.
	drawn, spent, reported float64
	spentAt                time.Time // of the last token known to be spent
	closed                 bool
}

func (f *fetchedBatch) left() float64 {
	if f.closed {
		return 0
	}
	return f.tokens - f.drawn
}

// handleBatchRequest handles a request for a batch of tokens.
func (lim *Limiter) handleBatchRequest(now time.Time, from string, r BatchRequest) {
	b := lim.bucketOf(now, r.Part)
	if b == nil {
		lim.reply(from, BatchResponse{ID: r.ID, Part: r.Part, NotHome: true})
		lim.sendTable(from, lim.cfg.Self.Zone)
		return
	}
	b.lastRequestAt = now
	b.requestRate.add(now, 1)
	b.refill(now, lim.cfg.Unsafe)
	lim.serve(now, b, &pendingRequest{from: from, request: r, at: now})
	lim.setBusy(b)
}

// serve grants a request, refuses it, or adds it to b.queue or b.awaitingFetch.
func (lim *Limiter) serve(now time.Time, b *bucket, p *pendingRequest) {
	have := b.available(now)
	need := p.request.Need
	if len(b.queue) == 0 && have+epsilon >= need {
		lim.grant(now, b, p, need)
		return
	}
	expected := lim.expected(b, have)
	if expected+epsilon < need && lim.mayFetch(now, b, p) {
		b.awaitingFetch = append(b.awaitingFetch, p)
		lim.deferResponse(b, p)
		return
	}
	lim.queueOrRefuse(now, b, p, have, expected)
}

// expected returns how many tokens a new request may count on: the available ones and the refill within
// RefillWait, less what earlier requests wait for.
func (lim *Limiter) expected(b *bucket, have float64) float64 {
	_, rate := b.capAndRate()
	expected := have + rate*lim.cfg.RefillWait.Seconds()
	for _, p := range b.queue {
		expected -= p.request.Need
	}
	for _, p := range b.awaitingFetch {
		expected -= p.request.Need
	}
	return expected
}

// queueOrRefuse handles a request that needs more than the available tokens when no fetch is possible.
func (lim *Limiter) queueOrRefuse(now time.Time, b *bucket, p *pendingRequest, have, expected float64) {
	need := p.request.Need
	accepted := min(need, max(0, usableTokens(expected, p)))
	granted := 0.0
	if len(b.queue) == 0 {
		granted = min(need, max(0, usableTokens(have, p)))
	}
	if accepted+epsilon >= need && granted == 0 {
		b.queue = append(b.queue, p)
		lim.deferResponse(b, p)
		return
	}
	refused := need - max(accepted, granted)
	lim.grantTokens(now, b, p, granted, refused, lim.retryAfter(b, expected))
}

// deferResponse tells the requester, once, that the response comes later.
func (lim *Limiter) deferResponse(b *bucket, p *pendingRequest) {
	if !p.deferred {
		p.deferred = true
		lim.reply(p.from, BatchResponse{ID: p.request.ID, Part: b.key, Deferred: true})
	}
}

// usableTokens returns how many of the tokens a request can use: entry nodes use whole tokens only.
func usableTokens(tokens float64, p *pendingRequest) float64 {
	if p.request.Hops > 0 && tokens+epsilon >= p.request.Need {
		return tokens
	}
	return math.Floor(tokens + epsilon)
}

func (lim *Limiter) retryAfter(b *bucket, expected float64) time.Duration {
	_, rate := b.capAndRate()
	rate = max(rate, b.rate)
	if rate <= 0 {
		return time.Second
	}
	missing := max(0, 1-expected) / rate
	return min(time.Duration(missing*float64(time.Second)), time.Minute) + time.Millisecond
}

// grant issues all that a request needs, and extra tokens if the bucket has a surplus.
func (lim *Limiter) grant(now time.Time, b *bucket, p *pendingRequest, need float64) {
	extra := 0.0
	rest := b.available(now) - need
	if burst, _ := b.capAndRate(); b.lent != nil || rest > burst*surplusFraction {
		extra = max(0, min(p.request.Extra, math.Floor(rest/extraDivisor)))
	}
	lim.grantTokens(now, b, p, need+extra, 0, 0)
}

func (lim *Limiter) grantTokens(now time.Time, b *bucket, p *pendingRequest, tokens, refused float64,
	retry time.Duration) {
	horizon := lim.horizon(now, b)
	response := BatchResponse{
		ID: p.request.ID, Part: b.key, Horizon: horizon,
		Refused: refused, RetryAfter: retry,
	}
	if tokens > 0 {
		relayed, rest, lifetime := b.draw(now, tokens, b.lifetimeLimit(now, lim.lifetime(horizon)))
		lim.lastBatchID++
		response.Batch, response.Tokens, response.Lifetime = lim.lastBatchID, tokens, lifetime
		b.issueRate.add(now, tokens)
		b.issue(response.Batch, rest, relayed, now.Add(lifetime+lim.cfg.ClockMargin))
	}
	lim.reply(p.from, response)
}

// draw takes tokens from fetched batches first, as these expire sooner. It returns what came from them, the
// rest to be issued from the level, and the shortest lifetime among them.
func (b *bucket) draw(now time.Time, tokens float64, lifetime time.Duration) ([]relayedPart, float64, time.Duration) {
	var relayed []relayedPart
	for _, f := range b.fetched {
		n := min(tokens, f.left())
		if n <= epsilon || f.expires.Sub(now) < minLifetime {
			continue
		}
		f.drawn += n
		tokens -= n
		relayed = append(relayed, relayedPart{from: f, tokens: n})
		lifetime = min(lifetime, f.expires.Sub(now))
	}
	return relayed, min(max(0, tokens), b.level), lifetime
}

// horizon returns the time that the next batch should last. It grows with the rate of batch requests, so
// that many entry nodes don't overload the home of a busy organisation.
func (lim *Limiter) horizon(now time.Time, b *bucket) time.Duration {
	load := b.requestRate.get(now) / targetRequestRate
	h := time.Duration(float64(lim.cfg.BatchHorizon) * max(1, load))
	return min(h, lim.cfg.MaxBatchLifetime/(prefetchHorizons+1))
}

func (lim *Limiter) lifetime(horizon time.Duration) time.Duration {
	return min(max(lim.cfg.BatchLifetime, (prefetchHorizons+1)*horizon), lim.cfg.MaxBatchLifetime)
}

// available returns the number of tokens that can be issued now, fetched ones included.
func (b *bucket) available(now time.Time) float64 {
	n := b.level
	for _, f := range b.fetched {
		if f.expires.Sub(now) >= minLifetime {
			n += f.left()
		}
	}
	return n
}

// serveQueue responds to the queued requests that refill has satisfied or that have waited too long, in
// order.
func (lim *Limiter) serveQueue(now time.Time, b *bucket) {
	for len(b.queue) > 0 {
		p := b.queue[0]
		late := now.Sub(p.at) > 2*lim.cfg.RefillWait
		have := b.available(now)
		if have+epsilon < p.request.Need && !late {
			return
		}
		b.queue = b.queue[1:]
		if have+epsilon >= p.request.Need {
			lim.grant(now, b, p, p.request.Need)
			continue
		}
		granted := max(0, usableTokens(have, p))
		lim.grantTokens(now, b, p, granted, p.request.Need-granted, lim.retryAfter(b, have))
	}
}

// handleUsageReport applies a requester's report if this node still has the bucket.
func (lim *Limiter) handleUsageReport(now time.Time, m UsageReport) {
	b, ok := lim.buckets[m.Part]
	if !ok {
		return
	}
	b.refill(now, lim.cfg.Unsafe)
	b.applyUsage(now, m)
	lim.setBusy(b)
}

// tickBucket does the bucket's pending work and reports whether the bucket needs more ticks.
func (lim *Limiter) tickBucket(now time.Time, b *bucket) bool {
	b.refill(now, lim.cfg.Unsafe)
	lim.tickFetch(now, b)
	lim.serveAwaitingFetch(now, b)
	lim.serveQueue(now, b)
	lim.tickFetched(now, b)
	lim.prefetch(now, b)
	lim.tickPool(now, b)
	return len(b.queue) > 0 || len(b.awaitingFetch) > 0 || b.fetch != nil ||
		len(b.fetched) > 0 || len(b.borrows) > 0
}

// serveAwaitingFetch serves the requests that waited for a fetch, after its end.
func (lim *Limiter) serveAwaitingFetch(now time.Time, b *bucket) {
	if b.fetch != nil || len(b.awaitingFetch) == 0 {
		return
	}
	waiting := b.awaitingFetch
	b.awaitingFetch = nil
	for _, p := range waiting {
		lim.serve(now, b, p)
	}
	if len(b.awaitingFetch) > 0 {
		lim.startFetch(now, b)
	}
}

// tickFetched reports to the suppliers which tokens were spent and returns those that won't be.
func (lim *Limiter) tickFetched(now time.Time, b *bucket) {
	kept := b.fetched[:0]
	for _, f := range b.fetched {
		if !now.Before(f.expires) {
			continue
		}
		kept = append(kept, f)
		final := f.left() > epsilon && !now.Before(f.expires.Add(-returnLead))
		spent, age := f.spent, now.Sub(f.spentAt)
		if final {
			spent, age = f.drawn, 0
			f.closed = true
		}
		if final || f.spent > f.reported {
			f.reported = f.spent
			m := lim.send(f.supplierAddress)
			m.UsageReports = append(m.UsageReports, UsageReport{
				Part: f.key, Batch: f.batch, Spent: spent, Age: age, Final: final,
			})
		}
	}
	b.fetched = kept
}
