package dfpshare

import (
	"math"
	"slices"
	"time"
)

// purchase is an attempt of a home to get tokens from other homes.
//
// The parts of an organisation's rate are ordered by a hash. The first whose home answers
// is its lead: the other homes buy from it, and it borrows their parts whole
// (pools them) once it runs short itself. With all parts in one bucket the fleet
// refuses little more than one central bucket would; cut off from its lead, a zone
// has its own part back when the lease has run out.
type purchase struct {
	started time.Time
	// seller is the part asked for tokens; buying is false while parts are borrowed.
	seller  place
	buying  bool
	address string
	id      uint64
	sentAt  time.Time
	later   bool // the seller said that its answer comes later
	// tried holds the parts that didn't answer.
	tried []place
	// leases are the lease asks under way.
	leases []leaseAsk
}

// leaseAsk is a LeaseRequest under way.
type leaseAsk struct {
	id      uint64
	from    place
	address string
	sentAt  time.Time
}

// mayBuy reports whether buying could help an ask that this zone can't satisfy.
func (s *Limiter) mayBuy(now time.Time, b *bucket, p *pending) bool {
	if p.ask.Hops >= maxHops || now.Sub(p.at) > s.cfg.DeferredTimeout/2 {
		return false
	}
	if b.purchase != nil {
		return true
	}
	if now.Before(b.noPurchaseUntil) {
		return false
	}
	first, _, ok := s.lead(now, b, nil)
	if !ok {
		return false
	}
	return first != s.placeOf(b) || s.missingPart(now, b)
}

// lead returns the part whose home has the pool as far as is known, else the first in
// the organisation's order, whose home isn't known to be silent, and where to ask there; ok is false if there is none.
func (s *Limiter) lead(now time.Time, b *bucket, tried []place) (p place, address string, ok bool) {
	order := b.org.order
	switch {
	case b.lent != nil:
		order = append([]place{b.lent.to}, order...)
	case now.Before(b.poolUntil) && b.pool != s.placeOf(b):
		order = append([]place{b.pool}, order...)
	}
	for _, p := range order {
		if slices.Contains(tried, p) {
			continue
		}
		if p == s.placeOf(b) {
			return p, s.cfg.Self.Address, true
		}
		if address, found := s.partHome(now, p, b.org); found {
			return p, address, true
		}
	}
	return place{}, "", false
}

// missingPart reports whether another part could still be borrowed.
func (s *Limiter) missingPart(now time.Time, b *bucket) bool {
	if b.lent != nil {
		return false
	}
	for _, p := range b.org.order {
		if p == s.placeOf(b) || b.borrowed(p) {
			continue
		}
		if _, ok := s.partHome(now, p, b.org); ok {
			return true
		}
	}
	return false
}

func (b *bucket) borrowed(p place) bool {
	for _, l := range b.borrows {
		if l.from == p {
			return true
		}
	}
	return false
}

// startPurchase buys from the lead, or borrows the others' parts if this is the lead.
func (s *Limiter) startPurchase(now time.Time, b *bucket) {
	b.shortageAt = now
	b.purchase = &purchase{started: now}
	s.continuePurchase(now, b)
}

func (s *Limiter) continuePurchase(now time.Time, b *bucket) {
	p := b.purchase
	first, address, ok := s.lead(now, b, p.tried)
	switch {
	case !ok || now.Sub(p.started) > s.cfg.DeferredTimeout/2:
		s.endPurchase(now, b, s.cfg.RefillWait)
	case first == s.placeOf(b):
		p.buying = false
		s.askLeases(now, b)
		if len(p.leases) == 0 {
			s.endPurchase(now, b, s.cfg.RefillWait)
		}
	default:
		s.askSeller(now, b, first, address)
	}
}

func (s *Limiter) askSeller(now time.Time, b *bucket, seller place, address string) {
	p := b.purchase
	need, hops := -b.available(now), uint8(0)
	for _, q := range b.short {
		need += q.ask.Need
		hops = max(hops, q.ask.Hops)
	}
	for _, q := range b.queue {
		need += q.ask.Need
	}
	need = max(0, need)
	extra := math.Ceil(s.ahead(now, b) - minAhead)
	if need <= epsilon && extra <= 0 {
		s.endPurchase(now, b, 0)
		return
	}
	s.asks++
	p.buying, p.seller, p.address = true, seller, address
	p.id, p.sentAt, p.later = s.asks, now, false
	s.buyers[p.id] = b
	m := s.send(address)
	m.BatchRequests = append(m.BatchRequests, BatchRequest{
		ID: p.id, Part: partKey(b.org.name, seller.part), Need: need, Extra: extra, Hops: hops + 1,
	})
}

// ahead returns how many tokens this home is likely to sell before it can buy again.
func (s *Limiter) ahead(now time.Time, b *bucket) float64 {
	return b.sales.get(now) * aheadHorizons * s.cfg.BatchHorizon.Seconds()
}

// buyAhead buys before asks have to wait, while this home's part is lent.
func (s *Limiter) buyAhead(now time.Time, b *bucket) {
	if b.lent == nil || b.purchase != nil || now.Before(b.noPurchaseUntil) || now.Before(b.aheadAt) {
		return
	}
	if wanted := s.ahead(now, b); wanted >= 1 && b.available(now) < wanted/2 {
		b.aheadAt = now.Add(s.cfg.BatchHorizon / 2)
		s.startPurchase(now, b)
	}
}

// endPurchase lets the asks that waited be served with what there is.
func (s *Limiter) endPurchase(now time.Time, b *bucket, pause time.Duration) {
	delete(s.buyers, b.purchase.id)
	b.purchase = nil
	b.noPurchaseUntil = now.Add(pause)
}

// handlePurchase takes a seller's answer; it reports whether it was one.
func (s *Limiter) handlePurchase(now time.Time, from string, a BatchResponse) bool {
	b, ok := s.buyers[a.ID]
	if !ok {
		return false
	}
	p := b.purchase
	if s.buckets[b.key] != b || p == nil || !p.buying || p.id != a.ID {
		delete(s.buyers, a.ID)
		return true // Too late; the tokens are lost.
	}
	b.refill(now, s.cfg.Unsafe)
	s.setBusy(b)
	switch {
	case a.Deferred:
		p.later = true
		return true
	case a.NotHome:
		delete(s.buyers, a.ID)
		if next, ok := s.partHome(now, p.seller, b.org); !ok || next == p.address {
			p.tried = append(p.tried, p.seller)
		}
		s.continuePurchase(now, b)
		return true
	}
	if expires := s.expiry(now, p.sentAt, a.Lifetime); a.Tokens > 0 && expires.After(now) {
		b.holdings = append(b.holdings, &holding{
			seller: from, key: a.Part, batch: a.Batch, tokens: a.Tokens, expires: expires,
		})
	}
	pause := time.Duration(0)
	if a.Refused > 0 {
		pause = min(a.RetryAfter, s.cfg.RefillWait)
	}
	s.endPurchase(now, b, pause)
	s.retryShort(now, b)
	return true
}

// expiry is when a batch dies: by this node's clock, counted from when it asked.
// So neither a slow answer nor a pause lengthens its life beyond what the home waits.
func (s *Limiter) expiry(now, sentAt time.Time, lifetime time.Duration) time.Time {
	if s.cfg.Unsafe.ExpireFromReceipt {
		return now.Add(lifetime)
	}
	return sentAt.Add(lifetime)
}

// responseTimeout is how long an ask may go without its answer proper.
func (s *Limiter) responseTimeout(later bool) time.Duration {
	if later {
		return s.cfg.DeferredTimeout
	}
	return s.cfg.ResponseTimeout
}

func (s *Limiter) tickPurchase(now time.Time, b *bucket) {
	p := b.purchase
	if p == nil {
		if len(b.short) > 0 {
			s.startPurchase(now, b)
		}
		return
	}
	if p.buying {
		if now.Sub(p.sentAt) >= s.responseTimeout(p.later) {
			s.suspect(now, p.address)
			delete(s.buyers, p.id)
			p.tried = append(p.tried, p.seller)
			s.continuePurchase(now, b)
		}
		return
	}
	kept := p.leases[:0]
	for _, l := range p.leases {
		if now.Sub(l.sentAt) < s.cfg.ResponseTimeout {
			kept = append(kept, l)
			continue
		}
		s.suspect(now, l.address)
	}
	p.leases = kept
	if len(kept) == 0 {
		s.endPurchase(now, b, s.cfg.RefillWait)
	}
}
