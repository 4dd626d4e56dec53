package dfpshare

import (
	"time"
)

// epsilon absorbs rounding errors in token counts.
const epsilon = 1e-9

// bucket is the token bucket of one part of an organisation's rate, kept at the part's home.
//
// Invariant: level plus the outstanding tokens never exceeds the cap, except right after the cap shrank. So
// the tokens spent in any window are at most the cap at its start plus the refill, whatever happens to the
// outstanding batches.
type bucket struct {
	*part
	// level is the number of tokens available at time at.
	level float64
	at    time.Time
	// rate and burst are those of this part alone, without borrowed parts.
	rate, burst float64

	// issued holds the outstanding batches in order of expiry; issuedByID finds them by id. A batch that
	// was reported as final stays in issued, but not in issuedByID, until it expires.
	issued      []*issuedBatch
	issuedByID  map[uint64]*issuedBatch
	outstanding float64
	// overflow is the history of the refill lost because of outstanding tokens; see credit.
	overflow []overflowPoint
	// inherited is the number of tokens that may still be outstanding from before this node owned the slot.
	inherited      float64
	inheritedUntil time.Time

	lent *loan
	// pool is the part to which other homes said that they lent theirs; it is valid until poolUntil.
	pool      partID
	poolUntil time.Time
	borrows   []borrow

	fetched       []*fetchedBatch
	leaseRequests []inFlightLease
	queue         []*pendingRequest // requests that refill will satisfy, in order of arrival
	awaitingFetch []*pendingRequest // requests that wait for a fetch from another home
	fetch         *fetch
	// noFetchUntil is the earliest time of the next fetch.
	noFetchUntil time.Time
	// nextPrefetchAt is the earliest time of the next fetch ahead of demand.
	nextPrefetchAt time.Time

	lastRequestAt  time.Time
	lastShortageAt time.Time
	renewAt        time.Time
	issueRate      meter
	requestRate    meter
	busy           bool
}

// issuedBatch is a batch that was issued from this bucket and may not be spent yet.
type issuedBatch struct {
	id      uint64
	tokens  float64 // taken from the level
	spent   float64 // of tokens, as reported by the requester
	expires time.Time
	// relayed lists the tokens of the batch that came from fetched batches; relayedSpent of them are spent.
	relayed      []relayedPart
	relayedSpent float64
}

// relayedPart is the part of a batch that came from a fetched batch.
type relayedPart struct {
	from   *fetchedBatch
	tokens float64
}

func (ib *issuedBatch) left() float64 { return ib.tokens - ib.spent }

// loan records that this part is lent to another home until a point in time.
type loan struct {
	to    partID
	until time.Time
	// retained is the part of the burst that covered the outstanding tokens when the loan began.
	retained float64
}

// borrow is another part that was lent to this home.
type borrow struct {
	from        partID
	rate, burst float64
	until       time.Time
}

// capAndRate returns the bucket's cap and refill rate at time b.at.
func (b *bucket) capAndRate() (burst, rate float64) {
	burst, rate = b.burst, b.rate
	if b.lent != nil {
		burst, rate = min(b.lent.retained, b.burst), 0
	}
	for _, l := range b.borrows {
		burst += l.burst
		rate += l.rate
	}
	return burst, rate
}

// refill advances the bucket to now, one event at a time: between two events the cap, the refill rate and
// the outstanding tokens stay the same.
func (b *bucket) refill(now time.Time, opts UnsafeOptions) {
	for b.at.Before(now) {
		next := b.nextEvent(now)
		b.advance(next, opts)
		b.expire(next)
	}
	b.advance(now, opts)
}

func (b *bucket) nextEvent(now time.Time) time.Time {
	next := now
	earlier := func(t time.Time) {
		if t.Before(next) && t.After(b.at) {
			next = t
		}
	}
	if len(b.issued) > 0 {
		earlier(b.issued[0].expires)
	}
	if b.lent != nil {
		earlier(b.lent.until)
	}
	for _, l := range b.borrows {
		earlier(l.until)
	}
	if b.inherited > 0 {
		earlier(b.inheritedUntil)
	}
	return next
}

func (b *bucket) advance(t time.Time, opts UnsafeOptions) {
	burst, rate := b.capAndRate()
	room := burst
	if !opts.IgnoreOutstanding {
		room = max(0, burst-b.outstanding-b.inherited)
	}
	if d := t.Sub(b.at); d > 0 {
		b.level += rate * d.Seconds()
		b.at = t
	}
	if b.level > room {
		b.recordOverflow(t, b.level-room, rate)
		b.level = room
	}
}

// overflowPoint is a point of the cumulative overflow, the tokens lost so far because the bucket was full.
// It ends an interval over which the overflow grew by rate tokens per second.
type overflowPoint struct {
	at    time.Time
	total float64
	rate  float64
}

// maxOverflowPoints limits the length of the history. Overflow dropped from the history is not credited.
const maxOverflowPoints = 256

func (b *bucket) recordOverflow(t time.Time, lost, rate float64) {
	if len(b.issuedByID) == 0 {
		b.overflow = b.overflow[:0]
		return
	}
	total := lost
	if n := len(b.overflow); n > 0 {
		total += b.overflow[n-1].total
	}
	if len(b.overflow) >= maxOverflowPoints {
		b.overflow = append(b.overflow[:0], b.overflow[maxOverflowPoints/2:]...)
	}
	b.overflow = append(b.overflow, overflowPoint{at: t, total: total, rate: rate})
}

// credit restores refill that was lost after since because n tokens counted as outstanding although they
// were spent by then. The level is a process reflected at its upper bound: had the bound been higher by n
// from then on, the overflow since then would have been smaller by n, but not below 0. credit corrects the
// history in the same way, so that no overflow is credited twice.
func (b *bucket) credit(since time.Time, n float64) {
	if len(b.overflow) == 0 {
		return
	}
	before := b.overflowBefore(since)
	last := len(b.overflow) - 1
	b.level += min(n, b.overflow[last].total-before)
	straddles := true
	for i := range b.overflow {
		if !b.overflow[i].at.After(since) {
			continue
		}
		b.overflow[i].total = max(before, b.overflow[i].total-n)
		if straddles {
			b.overflow[i].rate = 0 // The interval's growth is no longer uniform; its end is an upper bound.
			straddles = false
		}
	}
}

// overflowBefore returns an upper bound of the cumulative overflow at t.
func (b *bucket) overflowBefore(t time.Time) float64 {
	for i, p := range b.overflow {
		if p.at.Before(t) {
			continue
		}
		if i == 0 {
			return p.total // The history does not reach back to t.
		}
		return max(b.overflow[i-1].total, p.total-p.rate*p.at.Sub(t).Seconds())
	}
	return b.overflow[len(b.overflow)-1].total
}

// expire removes the batches, loans, borrows and inherited tokens that have ended by t.
func (b *bucket) expire(t time.Time) {
	for len(b.issued) > 0 && !b.issued[0].expires.After(t) {
		ib := b.issued[0]
		b.issued = b.issued[1:]
		b.drop(ib)
	}
	if b.lent != nil && !b.lent.until.After(t) {
		b.lent = nil
	}
	kept := b.borrows[:0]
	for _, l := range b.borrows {
		if l.until.After(t) {
			kept = append(kept, l)
		}
	}
	b.borrows = kept
	if !b.inheritedUntil.After(t) {
		b.inherited = 0
	}
}

func (b *bucket) drop(ib *issuedBatch) {
	if _, ok := b.issuedByID[ib.id]; !ok {
		return
	}
	delete(b.issuedByID, ib.id)
	b.outstanding = max(0, b.outstanding-ib.left())
	if len(b.issuedByID) == 0 {
		b.outstanding = 0 // Drops accumulated rounding errors.
	}
}

// issue moves tokens from the level to a new batch. The relayed tokens come on top of them.
func (b *bucket) issue(id uint64, tokens float64, relayed []relayedPart, expires time.Time) {
	if tokens > b.level+epsilon {
		panic("dfpshare: issued more tokens than the bucket holds")
	}
	b.level = max(0, b.level-tokens)
	if n := len(b.issued); n > 0 && expires.Before(b.issued[n-1].expires) {
		expires = b.issued[n-1].expires // Keeps issued in order; a later expiry is safe.
	}
	ib := &issuedBatch{id: id, tokens: tokens, relayed: relayed, expires: expires}
	b.issued = append(b.issued, ib)
	b.issuedByID[id] = ib
	b.outstanding += tokens
}

// applyUsage applies a requester's report on a batch. Repeated and reordered reports have no further
// effect.
func (b *bucket) applyUsage(now time.Time, m UsageReport) {
	ib, ok := b.issuedByID[m.Batch]
	if !ok {
		return
	}
	spentAt := now.Add(-max(0, m.Age))
	rest := ib.applyRelayedUsage(spentAt, m.Spent)
	if spent := min(rest, ib.tokens); spent > ib.spent {
		b.outstanding = max(0, b.outstanding-(spent-ib.spent))
		b.credit(spentAt, spent-ib.spent)
		ib.spent = spent
	}
	if m.Final {
		ib.returnRelayed()
		b.level += ib.left()
		b.drop(ib)
	}
}

// applyRelayedUsage attributes spent tokens to the fetched batches first and returns the rest.
func (ib *issuedBatch) applyRelayedUsage(at time.Time, spent float64) float64 {
	added := spent - ib.relayedSpent
	for _, part := range ib.relayed {
		n := min(part.tokens, spent)
		spent -= n
		if n = min(n, added); n > 0 {
			part.from.spent += n
			if at.After(part.from.spentAt) {
				part.from.spentAt = at
			}
			ib.relayedSpent += n
			added -= n
		}
	}
	return spent
}

// returnRelayed returns the tokens that were not spent to the fetched batches.
func (ib *issuedBatch) returnRelayed() {
	spent := ib.relayedSpent
	for _, part := range ib.relayed {
		n := min(part.tokens, spent)
		spent -= n
		part.from.drawn -= part.tokens - n
	}
}

// lifetimeLimit returns lifetime, shortened so that a batch issued now ends no later than the first of the
// borrowed parts that its tokens may come from.
func (b *bucket) lifetimeLimit(now time.Time, lifetime time.Duration) time.Duration {
	for _, l := range b.borrows {
		lifetime = min(lifetime, l.until.Sub(now))
	}
	return lifetime
}

// remaining returns how long tokens of this bucket may still be spent elsewhere.
func (b *bucket) remaining(now time.Time) time.Duration {
	var d time.Duration
	if n := len(b.issued); n > 0 {
		d = max(d, b.issued[n-1].expires.Sub(now))
	}
	if b.lent != nil {
		d = max(d, b.lent.until.Sub(now))
	}
	if b.inherited > 0 {
		d = max(d, b.inheritedUntil.Sub(now))
	}
	return d
}

// meter estimates a rate in events per second, smoothed over meterWindow.
type meter struct {
	rate float64
	n    float64
	at   time.Time
}

const meterWindow = 200 * time.Millisecond

func (m *meter) add(now time.Time, n float64) {
	m.roll(now)
	m.n += n
}

// roll ends the current window if its time is over.
func (m *meter) roll(now time.Time) {
	d := now.Sub(m.at)
	if d < meterWindow {
		return
	}
	if d > 10*meterWindow {
		*m = meter{at: now}
		return
	}
	m.rate = (m.rate + m.n/d.Seconds()) / 2
	m.n, m.at = 0, now
}

func (m *meter) get(now time.Time) float64 {
	m.roll(now)
	return m.rate
}
