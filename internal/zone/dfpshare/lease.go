package dfpshare

import "time"

// askLeases asks every other home of the organisation for its part, also to renew those borrowed.
func (s *Limiter) askLeases(now time.Time, b *bucket) {
	// All leases are renewed at the same moments, so that one message carries many.
	b.renewAt = now.Truncate(s.cfg.LeaseRenewal).Add(s.cfg.LeaseRenewal)
	for _, p := range b.org.order {
		if p == s.placeOf(b) {
			continue
		}
		address, ok := s.partHome(now, p, b.org)
		if !ok {
			continue
		}
		s.asks++
		l := leaseAsk{id: s.asks, from: p, address: address, sentAt: now}
		b.leaseAsks = append(b.leaseAsks, l)
		s.leaseAskers[l.id] = b
		if b.purchase != nil && !b.borrowed(p) {
			b.purchase.leases = append(b.purchase.leases, l)
		}
		m := s.send(address)
		m.LeaseRequests = append(m.LeaseRequests, LeaseRequest{
			ID: l.id, Part: partKey(b.org.name, p.part), Requester: b.index,
		})
	}
}

// placeOf returns which part a bucket of this node is.
func (s *Limiter) placeOf(b *bucket) place { return place{s.cfg.Self.Zone, b.index} }

// tickPool renews what is borrowed while it is needed. The pool stays where it is,
// also when the home of an earlier part is back: to move it would stop the organisation
// until the leases had run out.
func (s *Limiter) tickPool(now time.Time, b *bucket) {
	kept := b.leaseAsks[:0]
	for _, l := range b.leaseAsks {
		if now.Sub(l.sentAt) < s.cfg.LeaseLifetime {
			kept = append(kept, l)
			continue
		}
		delete(s.leaseAskers, l.id)
	}
	b.leaseAsks = kept
	if len(b.borrows) == 0 || now.Before(b.renewAt) || s.stopping {
		return
	}
	if now.Sub(b.demandAt) < s.cfg.PoolRetention {
		s.askLeases(now, b)
	}
}

// handleLeaseRequest lends a part to one that comes before it in the organisation's
// order; so no two ever lend to each other.
func (s *Limiter) handleLeaseRequest(now time.Time, from, zone string, a LeaseRequest) {
	answer := LeaseResponse{ID: a.ID, Part: a.Part}
	asker := place{zone, a.Requester}
	b := s.bucketOf(now, a.Part)
	switch {
	case b == nil:
		answer.NotHome = true
		s.offerTable(from, s.cfg.Self.Zone)
	case !b.org.before(asker, s.placeOf(b)):
	default:
		b.refill(now, s.cfg.Unsafe)
		if len(b.borrows) == 0 && (b.lent == nil || b.lent.to == asker) {
			s.lend(now, b, asker, &answer)
		} else if b.lent != nil {
			answer.LentZone, answer.LentPart = b.lent.to.zone, b.lent.to.part
		}
	}
	m := s.send(from)
	m.LeaseResponses = append(m.LeaseResponses, answer)
}

func (s *Limiter) lend(now time.Time, b *bucket, to place, answer *LeaseResponse) {
	answer.Granted = true
	answer.Lifetime = s.cfg.LeaseLifetime
	answer.Rate = b.rate
	answer.Level = b.level
	answer.Burst = max(b.level, b.burst-b.out-b.phantom)
	b.level = 0
	b.lent = &loan{
		to:       to,
		until:    now.Add(s.cfg.LeaseLifetime + s.cfg.ClockMargin),
		retained: b.out + b.phantom,
	}
	s.setBusy(b)
}

// handleLeaseResponse takes a part that was lent, for as long as it lasts from when it was asked for.
func (s *Limiter) handleLeaseResponse(now time.Time, m LeaseResponse) {
	b, ok := s.leaseAskers[m.ID]
	if !ok {
		return
	}
	delete(s.leaseAskers, m.ID)
	if s.buckets[b.key] != b {
		return // Its slot has gone.
	}
	ask, ok := b.takeLeaseAsk(m.ID)
	if !ok {
		return
	}
	b.refill(now, s.cfg.Unsafe)
	s.setBusy(b)
	until := ask.sentAt.Add(m.Lifetime)
	if m.Granted && until.After(now) && s.mayUse(now) {
		if b.borrow(borrow{from: ask.from, rate: m.Rate, burst: m.Burst, until: until}) {
			b.level += m.Level
		}
		b.advance(now, s.cfg.Unsafe)
	}
	pause := s.cfg.LeaseRenewal
	if m.LentZone != "" {
		b.pool, b.poolUntil = place{m.LentZone, m.LentPart}, now.Add(s.cfg.PoolRetention)
		pause = 0
	}
	p := b.purchase
	if p == nil || p.buying {
		return
	}
	p.leases = dropLease(p.leases, m.ID)
	if len(p.leases) == 0 {
		s.endPurchase(now, b, pause)
		s.retryShort(now, b)
	}
}

// borrow adds a part or prolongs it, and reports whether it did; an answer that was
// overtaken changes nothing: its level may have been refilled and spent since.
func (b *bucket) borrow(l borrow) bool {
	for i := range b.borrows {
		if b.borrows[i].from != l.from {
			continue
		}
		newer := l.until.After(b.borrows[i].until)
		if newer {
			b.borrows[i] = l
		}
		return newer
	}
	b.borrows = append(b.borrows, l)
	return true
}

func (b *bucket) takeLeaseAsk(id uint64) (leaseAsk, bool) {
	for _, l := range b.leaseAsks {
		if l.id == id {
			b.leaseAsks = dropLease(b.leaseAsks, id)
			return l, true
		}
	}
	return leaseAsk{}, false
}

func dropLease(leases []leaseAsk, id uint64) []leaseAsk {
	kept := make([]leaseAsk, 0, len(leases))
	for _, l := range leases {
		if l.id != id {
			kept = append(kept, l)
		}
	}
	return kept
}
