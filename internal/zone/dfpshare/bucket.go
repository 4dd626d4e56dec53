package dfpshare

import (
	"time"
)

// epsilon absorbs the rounding of token arithmetic.
const epsilon = 1e-9

// bucket is one part of an organisation's rate, at its home.
//
// Invariant: level plus what is out never exceeds the cap, unless the cap has
// just shrunk. So in any window no more than the cap at its start plus the refill
// is spent, whatever becomes of the batches that are out.
type bucket struct {
	*part
	// level is the number of tokens at hand at time at.
	level float64
	at    time.Time
	// rate and burst are this part alone.
	rate, burst float64

	// records are the batches that are out, in order of expiry; recordOf finds
	// them by id. A settled one stays in records with no tokens until it expires.
	records  []*record
	recordOf map[uint64]*record
	out      float64
	// clips is the history of what refill has lost to what is out; see credit.
	clips []clip
	// phantom tokens may be out from before this node owned the slot.
	phantom      float64
	phantomUntil time.Time

	lent *loan
	// pool is the part that others said have lent theirs to, until poolUntil.
	pool      place
	poolUntil time.Time
	borrows   []borrow

	holdings  []*holding
	leaseAsks []leaseAsk
	queue     []*pending // asks that refill will satisfy, in order
	short     []*pending // asks that wait for a purchase
	purchase  *purchase
	// noPurchaseUntil is when it makes sense to try to buy again.
	noPurchaseUntil time.Time
	// aheadAt is when to buy ahead of demand again.
	aheadAt time.Time

	demandAt   time.Time
	shortageAt time.Time
	renewAt    time.Time
	sales      meter
	asks       meter
	busy       bool
}

// record is a batch that was sold and may not be spent yet.
type record struct {
	id      uint64
	tokens  float64 // sold from the level
	spent   float64 // of tokens, as told by the buyer
	expires time.Time
	// held are tokens that came from holdings; heldSpent of them are spent.
	held      []heldPart
	heldSpent float64
}

// heldPart is a part of a batch that was sold on from a holding.
type heldPart struct {
	from   *holding
	tokens float64
}

func (r *record) left() float64 { return r.tokens - r.spent }

// loan says that this part belongs to another home until a time.
type loan struct {
	to    place
	until time.Time
	// retained is the part of the burst that covered batches still out.
	retained float64
}

// borrow is another part that was lent to this home.
type borrow struct {
	from        place
	rate, burst float64
	until       time.Time
}

// capAndRate returns the bucket's cap and refill at time b.at.
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

// refill brings the bucket forward to now, one event at a time: between two
// events cap, refill and what is out stay the same.
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
	if len(b.records) > 0 {
		earlier(b.records[0].expires)
	}
	if b.lent != nil {
		earlier(b.lent.until)
	}
	for _, l := range b.borrows {
		earlier(l.until)
	}
	if b.phantom > 0 {
		earlier(b.phantomUntil)
	}
	return next
}

func (b *bucket) advance(t time.Time, opts UnsafeOptions) {
	burst, rate := b.capAndRate()
	room := burst
	if !opts.IgnoreOutstanding {
		room = max(0, burst-b.out-b.phantom)
	}
	if d := t.Sub(b.at); d > 0 {
		b.level += rate * d.Seconds()
		b.at = t
	}
	if b.level > room {
		b.noteClip(t, b.level-room, rate)
		b.level = room
	}
}

// clip is a point of the function "tokens lost so far to a full bucket", which
// ends a stretch over which it grew by rate.
type clip struct {
	at    time.Time
	total float64
	rate  float64
}

// maxClips bounds the history; what is forgotten is not credited.
const maxClips = 256

func (b *bucket) noteClip(t time.Time, lost, rate float64) {
	if len(b.recordOf) == 0 {
		b.clips = b.clips[:0]
		return
	}
	total := lost
	if n := len(b.clips); n > 0 {
		total += b.clips[n-1].total
	}
	if len(b.clips) >= maxClips {
		b.clips = append(b.clips[:0], b.clips[maxClips/2:]...)
	}
	b.clips = append(b.clips, clip{at: t, total: total, rate: rate})
}

// credit gives back the refill that was lost since a time because n tokens counted
// as out that were spent by then. Lost refill is the reflection of the level at the
// room: had the room been n larger since then, the loss since would be n smaller,
// but not below 0. The history is put right in the same way.
func (b *bucket) credit(since time.Time, n float64) {
	if len(b.clips) == 0 {
		return
	}
	before := b.lostBy(since)
	last := len(b.clips) - 1
	b.level += min(n, b.clips[last].total-before)
	straddles := true
	for i := range b.clips {
		if !b.clips[i].at.After(since) {
			continue
		}
		b.clips[i].total = max(before, b.clips[i].total-n)
		if straddles {
			b.clips[i].rate = 0 // Its stretch grows no more evenly; its end bounds it.
			straddles = false
		}
	}
}

// lostBy returns an upper bound of the tokens lost until t.
func (b *bucket) lostBy(t time.Time) float64 {
	for i, c := range b.clips {
		if c.at.Before(t) {
			continue
		}
		if i == 0 {
			return c.total // The history doesn't reach back.
		}
		return max(b.clips[i-1].total, c.total-c.rate*c.at.Sub(t).Seconds())
	}
	return b.clips[len(b.clips)-1].total
}

// expire drops what has ended by t.
func (b *bucket) expire(t time.Time) {
	for len(b.records) > 0 && !b.records[0].expires.After(t) {
		r := b.records[0]
		b.records = b.records[1:]
		b.drop(r)
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
	if !b.phantomUntil.After(t) {
		b.phantom = 0
	}
}

func (b *bucket) drop(r *record) {
	if _, ok := b.recordOf[r.id]; !ok {
		return
	}
	delete(b.recordOf, r.id)
	b.out = max(0, b.out-r.left())
	if len(b.recordOf) == 0 {
		b.out = 0 // No rounding is carried on.
	}
}

// sell moves tokens from the level to a new record.
func (b *bucket) sell(id uint64, tokens float64, held []heldPart, expires time.Time) {
	if tokens > b.level+epsilon {
		panic("dfpshare: sold more tokens than the bucket holds")
	}
	b.level = max(0, b.level-tokens)
	if n := len(b.records); n > 0 && expires.Before(b.records[n-1].expires) {
		expires = b.records[n-1].expires // Keeps records in order; later is safe.
	}
	r := &record{id: id, tokens: tokens, held: held, expires: expires}
	b.records = append(b.records, r)
	b.recordOf[id] = r
	b.out += tokens
}

// settle takes a buyer's word on a batch. Repeated and reordered ones do no harm.
func (b *bucket) settle(now time.Time, m UsageReport) {
	r, ok := b.recordOf[m.Batch]
	if !ok {
		return
	}
	spentAt := now.Add(-max(0, m.Age))
	rest := r.settleHeld(spentAt, m.Spent)
	if spent := min(rest, r.tokens); spent > r.spent {
		b.out = max(0, b.out-(spent-r.spent))
		b.credit(spentAt, spent-r.spent)
		r.spent = spent
	}
	if m.Final {
		r.returnHeld()
		b.level += r.left()
		b.drop(r)
	}
}

// settleHeld attributes spent tokens to the holdings first and returns the rest.
func (r *record) settleHeld(at time.Time, spent float64) float64 {
	news := spent - r.heldSpent
	for _, part := range r.held {
		n := min(part.tokens, spent)
		spent -= n
		if n = min(n, news); n > 0 {
			part.from.settled += n
			if at.After(part.from.spentAt) {
				part.from.spentAt = at
			}
			r.heldSpent += n
			news -= n
		}
	}
	return spent
}

// returnHeld gives the holdings back what was not spent.
func (r *record) returnHeld() {
	spent := r.heldSpent
	for _, part := range r.held {
		n := min(part.tokens, spent)
		spent -= n
		part.from.drawn -= part.tokens - n
	}
}

// lifetimeLimit returns when a batch sold now must be dead: the end of the first
// borrowed part that it may come from.
func (b *bucket) lifetimeLimit(now time.Time, lifetime time.Duration) time.Duration {
	for _, l := range b.borrows {
		lifetime = min(lifetime, l.until.Sub(now))
	}
	return lifetime
}

// remaining returns how long tokens of this bucket may still be spent elsewhere.
func (b *bucket) remaining(now time.Time) time.Duration {
	var d time.Duration
	if n := len(b.records); n > 0 {
		d = max(d, b.records[n-1].expires.Sub(now))
	}
	if b.lent != nil {
		d = max(d, b.lent.until.Sub(now))
	}
	if b.phantom > 0 {
		d = max(d, b.phantomUntil.Sub(now))
	}
	return d
}

// meter estimates a rate in events a second, smoothed over meterWindow.
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

// roll closes the running window if it is over.
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
