package dfpshare

import "time"

// requestLeases requests a lease of every other part of the organisation, including those already borrowed.
func (lim *Limiter) requestLeases(now time.Time, b *bucket) {
	// Renewal times are multiples of LeaseRenewal, so that one message carries the requests for many
	// leases.
	b.renewAt = now.Truncate(lim.cfg.LeaseRenewal).Add(lim.cfg.LeaseRenewal)
	for _, p := range b.org.order {
		if p == lim.partIDOf(b) {
			continue
		}
		address, ok := lim.partHome(now, p, b.org)
		if !ok {
			continue
		}
		lim.lastRequestID++
		l := inFlightLease{id: lim.lastRequestID, from: p, address: address, sentAt: now}
		b.leaseRequests = append(b.leaseRequests, l)
		lim.borrowers[l.id] = b
		if b.fetch != nil && !b.borrowed(p) {
			b.fetch.leases = append(b.fetch.leases, l)
		}
		m := lim.send(address)
		m.LeaseRequests = append(m.LeaseRequests, LeaseRequest{
			ID: l.id, Part: partKey(b.org.name, p.index), Requester: b.index,
		})
	}
}

// partIDOf returns the part of a bucket of this node.
func (lim *Limiter) partIDOf(b *bucket) partID { return partID{lim.cfg.Self.Zone, b.index} }

// tickPool renews the leases of borrowed parts while they are needed. The pool stays at its home, even when
// the home of a part that precedes it in the order is back: moving it would leave the organisation without
// tokens until the leases have expired.
func (lim *Limiter) tickPool(now time.Time, b *bucket) {
	kept := b.leaseRequests[:0]
	for _, l := range b.leaseRequests {
		if now.Sub(l.sentAt) < lim.cfg.LeaseLifetime {
			kept = append(kept, l)
			continue
		}
		delete(lim.borrowers, l.id)
	}
	b.leaseRequests = kept
	if len(b.borrows) == 0 || now.Before(b.renewAt) || lim.stopping {
		return
	}
	if now.Sub(b.lastRequestAt) < lim.cfg.PoolRetention {
		lim.requestLeases(now, b)
	}
}

// handleLeaseRequest lends a part to one that precedes it in the organisation's order; so two parts never
// lend to each other.
func (lim *Limiter) handleLeaseRequest(now time.Time, from, zone string, r LeaseRequest) {
	response := LeaseResponse{ID: r.ID, Part: r.Part}
	requester := partID{zone, r.Requester}
	b := lim.bucketOf(now, r.Part)
	switch {
	case b == nil:
		response.NotHome = true
		lim.sendTable(from, lim.cfg.Self.Zone)
	case !b.org.before(requester, lim.partIDOf(b)):
	default:
		b.refill(now, lim.cfg.Unsafe)
		if len(b.borrows) == 0 && (b.lent == nil || b.lent.to == requester) {
			lim.lend(now, b, requester, &response)
		} else if b.lent != nil {
			response.LentZone, response.LentPart = b.lent.to.zone, b.lent.to.index
		}
	}
	m := lim.send(from)
	m.LeaseResponses = append(m.LeaseResponses, response)
}

func (lim *Limiter) lend(now time.Time, b *bucket, to partID, response *LeaseResponse) {
	response.Granted = true
	response.Lifetime = lim.cfg.LeaseLifetime
	response.Rate = b.rate
	response.Level = b.level
	response.Burst = max(b.level, b.burst-b.outstanding-b.inherited)
	b.level = 0
	b.lent = &loan{
		to:       to,
		until:    now.Add(lim.cfg.LeaseLifetime + lim.cfg.ClockMargin),
		retained: b.outstanding + b.inherited,
	}
	lim.setBusy(b)
}

// handleLeaseResponse adds a part that was lent to this home. Its lifetime counts from when it was
// requested.
func (lim *Limiter) handleLeaseResponse(now time.Time, m LeaseResponse) {
	b, ok := lim.borrowers[m.ID]
	if !ok {
		return
	}
	delete(lim.borrowers, m.ID)
	if lim.buckets[b.key] != b {
		return // This node has lost the slot.
	}
	request, ok := b.takeLeaseRequest(m.ID)
	if !ok {
		return
	}
	b.refill(now, lim.cfg.Unsafe)
	lim.setBusy(b)
	until := request.sentAt.Add(m.Lifetime)
	if m.Granted && until.After(now) && lim.mayUseSlots(now) {
		if b.borrow(borrow{from: request.from, rate: m.Rate, burst: m.Burst, until: until}) {
			b.level += m.Level
		}
		b.advance(now, lim.cfg.Unsafe)
	}
	pause := lim.cfg.LeaseRenewal
	if m.LentZone != "" {
		b.pool, b.poolUntil = partID{m.LentZone, m.LentPart}, now.Add(lim.cfg.PoolRetention)
		pause = 0
	}
	f := b.fetch
	if f == nil || f.requesting {
		return
	}
	f.leases = removeLeaseRequest(f.leases, m.ID)
	if len(f.leases) == 0 {
		lim.endFetch(now, b, pause)
		lim.serveAwaitingFetch(now, b)
	}
}

// borrow adds a borrowed part or extends it, and reports whether it did. A response that was overtaken by a
// newer one changes nothing: its level may have been refilled and spent since.
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

func (b *bucket) takeLeaseRequest(id uint64) (inFlightLease, bool) {
	for _, l := range b.leaseRequests {
		if l.id == id {
			b.leaseRequests = removeLeaseRequest(b.leaseRequests, id)
			return l, true
		}
	}
	return inFlightLease{}, false
}

func removeLeaseRequest(leases []inFlightLease, id uint64) []inFlightLease {
	kept := make([]inFlightLease, 0, len(leases))
	for _, l := range leases {
		if l.id != id {
			kept = append(kept, l)
		}
	}
	return kept
}
