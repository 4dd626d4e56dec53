package dfpshare

import (
	"math"
	"slices"
	"time"
)

// fetch is an attempt of a home to get tokens from other homes.
//
// The parts of an organisation's rate are ordered by a hash. The first part whose home can be reached is the
// leader: the other homes fetch tokens from the leader's home, which borrows their whole parts (pools them)
// when it runs short itself. With all parts in one bucket the fleet refuses little more than one central
// bucket would. A zone that is cut off from the leader has its own parts back when their leases have expired.
type fetch struct {
	started time.Time
	// supplier is the part that tokens are requested from; requesting is false while parts are borrowed
	// instead.
	supplier   partID
	requesting bool
	address    string
	id         uint64
	sentAt     time.Time
	deferred   bool // the supplier said that its response comes later
	// tried holds the parts that did not respond or were not at the expected home.
	tried []partID
	// leases holds the lease requests in flight.
	leases []inFlightLease
}

// inFlightLease is a LeaseRequest in flight.
type inFlightLease struct {
	id      uint64
	from    partID
	address string
	sentAt  time.Time
}

// mayFetch reports whether a fetch could help a request that this bucket can't satisfy.
func (lim *Limiter) mayFetch(now time.Time, b *bucket, p *pendingRequest) bool {
	if p.request.Hops >= maxHops || now.Sub(p.at) > lim.cfg.DeferredTimeout/2 {
		return false
	}
	if b.fetch != nil {
		return true
	}
	if now.Before(b.noFetchUntil) {
		return false
	}
	first, _, ok := lim.leader(now, b, nil)
	if !ok {
		return false
	}
	return first != lim.partIDOf(b) || lim.canBorrow(now, b)
}

// leader returns the part to get tokens from and its home's address: the part known to have the pool, else
// the first in the organisation's order, without those in tried or with a suspected home. It may be this
// bucket's own part. ok is false if there is none.
func (lim *Limiter) leader(now time.Time, b *bucket, tried []partID) (p partID, address string, ok bool) {
	order := b.org.order
	switch {
	case b.lent != nil:
		order = append([]partID{b.lent.to}, order...)
	case now.Before(b.poolUntil) && b.pool != lim.partIDOf(b):
		order = append([]partID{b.pool}, order...)
	}
	for _, p := range order {
		if slices.Contains(tried, p) {
			continue
		}
		if p == lim.partIDOf(b) {
			return p, lim.cfg.Self.Address, true
		}
		if address, found := lim.partHome(now, p, b.org); found {
			return p, address, true
		}
	}
	return partID{}, "", false
}

// canBorrow reports whether there is another part that could still be borrowed.
func (lim *Limiter) canBorrow(now time.Time, b *bucket) bool {
	if b.lent != nil {
		return false
	}
	for _, p := range b.org.order {
		if p == lim.partIDOf(b) || b.borrowed(p) {
			continue
		}
		if _, ok := lim.partHome(now, p, b.org); ok {
			return true
		}
	}
	return false
}

func (b *bucket) borrowed(p partID) bool {
	for _, l := range b.borrows {
		if l.from == p {
			return true
		}
	}
	return false
}

// startFetch requests tokens from the leader, or borrows the other parts if this bucket's part is the
// leader.
func (lim *Limiter) startFetch(now time.Time, b *bucket) {
	b.lastShortageAt = now
	b.fetch = &fetch{started: now}
	lim.continueFetch(now, b)
}

func (lim *Limiter) continueFetch(now time.Time, b *bucket) {
	f := b.fetch
	first, address, ok := lim.leader(now, b, f.tried)
	switch {
	case !ok || now.Sub(f.started) > lim.cfg.DeferredTimeout/2:
		lim.endFetch(now, b, lim.cfg.RefillWait)
	case first == lim.partIDOf(b):
		f.requesting = false
		lim.requestLeases(now, b)
		if len(f.leases) == 0 {
			lim.endFetch(now, b, lim.cfg.RefillWait)
		}
	default:
		lim.requestFromSupplier(now, b, first, address)
	}
}

func (lim *Limiter) requestFromSupplier(now time.Time, b *bucket, supplier partID, address string) {
	f := b.fetch
	need, hops := -b.available(now), uint8(0)
	for _, q := range b.awaitingFetch {
		need += q.request.Need
		hops = max(hops, q.request.Hops)
	}
	for _, q := range b.queue {
		need += q.request.Need
	}
	need = max(0, need)
	extra := math.Ceil(lim.prefetchTarget(now, b) - minPrefetch)
	if need <= epsilon && extra <= 0 {
		lim.endFetch(now, b, 0)
		return
	}
	lim.lastRequestID++
	f.requesting, f.supplier, f.address = true, supplier, address
	f.id, f.sentAt, f.deferred = lim.lastRequestID, now, false
	lim.fetching[f.id] = b
	m := lim.send(address)
	m.BatchRequests = append(m.BatchRequests, BatchRequest{
		ID: f.id, Part: partKey(b.org.name, supplier.index), Need: need, Extra: extra, Hops: hops + 1,
	})
}

// prefetchTarget returns how many tokens this home is likely to issue before it can fetch again.
func (lim *Limiter) prefetchTarget(now time.Time, b *bucket) float64 {
	return b.issueRate.get(now) * prefetchHorizons * lim.cfg.BatchHorizon.Seconds()
}

// prefetch fetches tokens ahead of demand while this home's part is lent, so that requests need not wait.
func (lim *Limiter) prefetch(now time.Time, b *bucket) {
	if b.lent == nil || b.fetch != nil || now.Before(b.noFetchUntil) || now.Before(b.nextPrefetchAt) {
		return
	}
	if wanted := lim.prefetchTarget(now, b); wanted >= 1 && b.available(now) < wanted/2 {
		b.nextPrefetchAt = now.Add(lim.cfg.BatchHorizon / 2)
		lim.startFetch(now, b)
	}
}

// endFetch ends the fetch and allows the next one after pause.
func (lim *Limiter) endFetch(now time.Time, b *bucket, pause time.Duration) {
	delete(lim.fetching, b.fetch.id)
	b.fetch = nil
	b.noFetchUntil = now.Add(pause)
}

// handleFetchResponse handles a supplier's response and reports whether it was one.
func (lim *Limiter) handleFetchResponse(now time.Time, from string, r BatchResponse) bool {
	b, ok := lim.fetching[r.ID]
	if !ok {
		return false
	}
	f := b.fetch
	if lim.buckets[b.key] != b || f == nil || !f.requesting || f.id != r.ID {
		delete(lim.fetching, r.ID)
		return true // Too late: the tokens stay unused until the supplier expires them.
	}
	b.refill(now, lim.cfg.Unsafe)
	lim.setBusy(b)
	switch {
	case r.Deferred:
		f.deferred = true
		return true
	case r.NotHome:
		delete(lim.fetching, r.ID)
		if next, ok := lim.partHome(now, f.supplier, b.org); !ok || next == f.address {
			f.tried = append(f.tried, f.supplier)
		}
		lim.continueFetch(now, b)
		return true
	}
	if expires := lim.expiry(now, f.sentAt, r.Lifetime); r.Tokens > 0 && expires.After(now) {
		b.fetched = append(b.fetched, &fetchedBatch{
			supplierAddress: from, key: r.Part, batch: r.Batch, tokens: r.Tokens, expires: expires,
		})
	}
	pause := time.Duration(0)
	if r.Refused > 0 {
		pause = min(r.RetryAfter, lim.cfg.RefillWait)
	}
	lim.endFetch(now, b, pause)
	lim.serveAwaitingFetch(now, b)
	return true
}

// expiry returns when a batch expires by this node's clock, counted from when the batch was requested. So
// neither a slow response nor a pause of this node extends it beyond what the home allows for.
func (lim *Limiter) expiry(now, sentAt time.Time, lifetime time.Duration) time.Time {
	if lim.cfg.Unsafe.ExpireFromReceipt {
		return now.Add(lifetime)
	}
	return sentAt.Add(lifetime)
}

// responseTimeout returns how long to wait for a response, or for the final one after a deferred one.
func (lim *Limiter) responseTimeout(deferred bool) time.Duration {
	if deferred {
		return lim.cfg.DeferredTimeout
	}
	return lim.cfg.ResponseTimeout
}

func (lim *Limiter) tickFetch(now time.Time, b *bucket) {
	f := b.fetch
	if f == nil {
		if len(b.awaitingFetch) > 0 {
			lim.startFetch(now, b)
		}
		return
	}
	if f.requesting {
		if now.Sub(f.sentAt) >= lim.responseTimeout(f.deferred) {
			lim.suspect(now, f.address)
			delete(lim.fetching, f.id)
			f.tried = append(f.tried, f.supplier)
			lim.continueFetch(now, b)
		}
		return
	}
	kept := f.leases[:0]
	for _, l := range f.leases {
		if now.Sub(l.sentAt) < lim.cfg.ResponseTimeout {
			kept = append(kept, l)
			continue
		}
		lim.suspect(now, l.address)
	}
	f.leases = kept
	if len(kept) == 0 {
		lim.endFetch(now, b, lim.cfg.RefillWait)
	}
}
