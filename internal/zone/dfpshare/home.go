package dfpshare

import (
	"math"
	"time"
)

// Limits of what a home sells.
const (
	// extraPart is the part of the tokens at hand that one ask may get beyond its need.
	extraPart = 8
	// plenty is the part of the cap above which a home gives more than is needed.
	plenty = 0.5
	// asksPerSecond is how many asks a second a home wants for one organisation;
	// with more it lets batches last longer.
	asksPerSecond = 20
	// maxHops bounds how often an ask is passed on.
	maxHops = 2
	// minLifetime is the shortest life of a batch that is worth sending.
	minLifetime = 5 * time.Millisecond
)

// pending is an ask that waits at a home.
type pending struct {
	from string
	ask  BatchRequest
	at   time.Time
	// promised says that the asker knows that it is waiting.
	promised bool
}

// holding is a batch that this home bought from another zone's.
type holding struct {
	seller  string
	key     string // the part that it was bought from
	batch   uint64
	tokens  float64
	expires time.Time
	// drawn tokens were sold on; settled ones are known to be spent, and told of
	// them the seller has been of told.
	drawn, settled, told float64
	spentAt              time.Time // of the last token known to be spent
	closed               bool
}

func (h *holding) left() float64 {
	if h.closed {
		return 0
	}
	return h.tokens - h.drawn
}

// handleBatchRequest serves an ask at this node.
func (s *Limiter) handleBatchRequest(now time.Time, from string, a BatchRequest) {
	b := s.bucketOf(now, a.Part)
	if b == nil {
		s.reply(from, BatchResponse{ID: a.ID, Part: a.Part, NotHome: true})
		s.offerTable(from, s.cfg.Self.Zone)
		return
	}
	b.demandAt = now
	b.asks.add(now, 1)
	b.refill(now, s.cfg.Unsafe)
	s.serve(now, b, &pending{from: from, ask: a, at: now})
	s.setBusy(b)
}

// serve answers an ask, or files it under queue or short.
func (s *Limiter) serve(now time.Time, b *bucket, p *pending) {
	have := b.available(now)
	need := p.ask.Need
	if len(b.queue) == 0 && have+epsilon >= need {
		s.grant(now, b, p, need)
		return
	}
	soon := s.expected(b, have)
	if soon+epsilon < need && s.mayBuy(now, b, p) {
		b.short = append(b.short, p)
		s.promise(b, p)
		return
	}
	s.decideShort(now, b, p, have, soon)
}

// expected returns how many tokens a new ask may count on: what is at hand and what
// patience brings, less what earlier asks wait for.
func (s *Limiter) expected(b *bucket, have float64) float64 {
	_, rate := b.capAndRate()
	soon := have + rate*s.cfg.RefillWait.Seconds()
	for _, p := range b.queue {
		soon -= p.ask.Need
	}
	for _, p := range b.short {
		soon -= p.ask.Need
	}
	return soon
}

// decideShort handles an ask for more than is at hand when nothing can be bought.
func (s *Limiter) decideShort(now time.Time, b *bucket, p *pending, have, soon float64) {
	need := p.ask.Need
	accepted := min(need, max(0, wholePart(soon, p)))
	granted := 0.0
	if len(b.queue) == 0 {
		granted = min(need, max(0, wholePart(have, p)))
	}
	if accepted+epsilon >= need && granted == 0 {
		b.queue = append(b.queue, p)
		s.promise(b, p)
		return
	}
	refused := need - max(accepted, granted)
	s.grantSome(now, b, p, granted, refused, s.retryAfter(b, soon))
}

// promise tells an asker once that its answer comes later.
func (s *Limiter) promise(b *bucket, p *pending) {
	if !p.promised {
		p.promised = true
		s.reply(p.from, BatchResponse{ID: p.ask.ID, Part: b.key, Deferred: true})
	}
}

// wholePart returns how much of tokens an ask can use: entries use whole tokens.
func wholePart(tokens float64, p *pending) float64 {
	if p.ask.Hops > 0 && tokens+epsilon >= p.ask.Need {
		return tokens
	}
	return math.Floor(tokens + epsilon)
}

func (s *Limiter) retryAfter(b *bucket, soon float64) time.Duration {
	_, rate := b.capAndRate()
	rate = max(rate, b.rate)
	if rate <= 0 {
		return time.Second
	}
	missing := max(0, 1-soon) / rate
	return min(time.Duration(missing*float64(time.Second)), time.Minute) + time.Millisecond
}

// grant sells an ask all it needs and some extra if there is plenty.
func (s *Limiter) grant(now time.Time, b *bucket, p *pending, need float64) {
	extra := 0.0
	rest := b.available(now) - need
	if burst, _ := b.capAndRate(); b.lent != nil || rest > burst*plenty {
		extra = max(0, min(p.ask.Extra, math.Floor(rest/extraPart)))
	}
	s.grantSome(now, b, p, need+extra, 0, 0)
}

func (s *Limiter) grantSome(now time.Time, b *bucket, p *pending, tokens, refused float64, retry time.Duration) {
	horizon := s.horizon(now, b)
	answer := BatchResponse{
		ID: p.ask.ID, Part: b.key, Horizon: horizon,
		Refused: refused, RetryAfter: retry,
	}
	if tokens > 0 {
		held, rest, lifetime := b.draw(now, tokens, b.lifetimeLimit(now, s.lifetime(horizon)))
		s.batches++
		answer.Batch, answer.Tokens, answer.Lifetime = s.batches, tokens, lifetime
		b.sales.add(now, tokens)
		b.sell(answer.Batch, rest, held, now.Add(lifetime+s.cfg.ClockMargin))
	}
	s.reply(p.from, answer)
}

// draw takes tokens from holdings first, as they die sooner. It returns what came from
// them, the rest to be sold from the level, and the life of the shortest-lived part.
func (b *bucket) draw(now time.Time, tokens float64, lifetime time.Duration) ([]heldPart, float64, time.Duration) {
	var held []heldPart
	for _, h := range b.holdings {
		n := min(tokens, h.left())
		if n <= epsilon || h.expires.Sub(now) < minLifetime {
			continue
		}
		h.drawn += n
		tokens -= n
		held = append(held, heldPart{from: h, tokens: n})
		lifetime = min(lifetime, h.expires.Sub(now))
	}
	return held, min(max(0, tokens), b.level), lifetime
}

// horizon lengthens with the number of asks, so that a hot organisation's home isn't
// swamped by many entries.
func (s *Limiter) horizon(now time.Time, b *bucket) time.Duration {
	load := b.asks.get(now) / asksPerSecond
	h := time.Duration(float64(s.cfg.BatchHorizon) * max(1, load))
	return min(h, s.cfg.MaxBatchLifetime/(aheadHorizons+1))
}

func (s *Limiter) lifetime(horizon time.Duration) time.Duration {
	return min(max(s.cfg.BatchLifetime, (aheadHorizons+1)*horizon), s.cfg.MaxBatchLifetime)
}

// available returns the tokens at hand, bought ones included.
func (b *bucket) available(now time.Time) float64 {
	n := b.level
	for _, h := range b.holdings {
		if h.expires.Sub(now) >= minLifetime {
			n += h.left()
		}
	}
	return n
}

// serveQueue answers queued asks that refill has satisfied, in order.
func (s *Limiter) serveQueue(now time.Time, b *bucket) {
	for len(b.queue) > 0 {
		p := b.queue[0]
		late := now.Sub(p.at) > 2*s.cfg.RefillWait
		have := b.available(now)
		if have+epsilon < p.ask.Need && !late {
			return
		}
		b.queue = b.queue[1:]
		if have+epsilon >= p.ask.Need {
			s.grant(now, b, p, p.ask.Need)
			continue
		}
		granted := max(0, wholePart(have, p))
		s.grantSome(now, b, p, granted, p.ask.Need-granted, s.retryAfter(b, have))
	}
}

// handleUsageReport takes a buyer's word on a batch, if this node still keeps its bucket.
func (s *Limiter) handleUsageReport(now time.Time, m UsageReport) {
	b, ok := s.buckets[m.Part]
	if !ok {
		return
	}
	b.refill(now, s.cfg.Unsafe)
	b.settle(now, m)
	s.setBusy(b)
}

// tickBucket does what is due at one bucket and reports whether it needs more ticks.
func (s *Limiter) tickBucket(now time.Time, b *bucket) bool {
	b.refill(now, s.cfg.Unsafe)
	s.tickPurchase(now, b)
	s.retryShort(now, b)
	s.serveQueue(now, b)
	s.tickHoldings(now, b)
	s.buyAhead(now, b)
	s.tickPool(now, b)
	return len(b.queue) > 0 || len(b.short) > 0 || b.purchase != nil ||
		len(b.holdings) > 0 || len(b.borrows) > 0
}

// retryShort serves the asks that waited for a purchase which is over.
func (s *Limiter) retryShort(now time.Time, b *bucket) {
	if b.purchase != nil || len(b.short) == 0 {
		return
	}
	waiting := b.short
	b.short = nil
	for _, p := range waiting {
		s.serve(now, b, p)
	}
	if len(b.short) > 0 {
		s.startPurchase(now, b)
	}
}

// tickHoldings tells sellers what was spent and gives back what won't be.
func (s *Limiter) tickHoldings(now time.Time, b *bucket) {
	kept := b.holdings[:0]
	for _, h := range b.holdings {
		if !now.Before(h.expires) {
			continue
		}
		kept = append(kept, h)
		final := h.left() > epsilon && !now.Before(h.expires.Add(-returnLead))
		spent, age := h.settled, now.Sub(h.spentAt)
		if final {
			spent, age = h.drawn, 0
			h.closed = true
		}
		if final || h.settled > h.told {
			h.told = h.settled
			m := s.send(h.seller)
			m.UsageReports = append(m.UsageReports, UsageReport{
				Part: h.key, Batch: h.batch, Spent: spent, Age: age, Final: final,
			})
		}
	}
	b.holdings = kept
}
