package dfpquota

import (
	"math"
	"time"
)

// reserveSlices is the number of slices in which the tokens of a window are counted. One more
// slice is kept, so that the counted span is never shorter than the window.
const reserveSlices = 40

// reserve counts the tokens of one organisation that the allocator has granted, and bounds them in
// each window. Unlike a token bucket it can grant a whole window's tokens at once, which bursts of
// arrivals need.
type reserve struct {
	slices [reserveSlices + 1]float64
	// current is the index of the newest slice since the Unix epoch.
	current int64
	// shortAt is when the reserve last granted less than was wanted.
	shortAt time.Time
	// paced is the number of tokens that may be granted while the reserve is short, at pacedAt.
	paced   float64
	pacedAt time.Time
	// level is, at levelAt, the largest number of tokens granted in any span up to then beyond what the even rate grants
	// in that span.
	level   float64
	levelAt time.Time
	// debt is how far ahead of the even rate the fleet may have run before debtAt by tokens that are not known, and
	// sinceDebt is the number of tokens granted since.
	debt, sinceDebt float64
	debtAt          time.Time
	// raiseAt is when a larger advance was last needed.
	raiseAt time.Time
	// nextPlace is the time for which the last request that was not granted was told to come back.
	nextPlace time.Time
}

const (
	// slackFraction is the part of a rate's slack that its reserve grants in each window.
	slackFraction = 0.5
	// paceFactor is how many times its even rate a reserve grants while it is short. Without this bound a
	// flood would use up a whole window's tokens at once, window after window, and need an advance for as long as
	// it lasts.
	paceFactor = 1.1
	// depthFraction and depthSlack are the parts of a window's requests and of the slack that may be granted ahead of
	// the even rate without an advance.
	depthFraction = 0.06
	depthSlack    = 0.25
	// advanceSteps is the number of steps in which an advance rises, so that one that is needed only in part costs
	// less if the allocator is lost.
	advanceSteps = 4
	// raiseMemory is how long an advance is kept after it was last raised.
	raiseMemory = 400 * time.Millisecond
)

// budget is what a reserve may grant.
type budget struct {
	window time.Duration
	// perWindow is the number of tokens in each window, and others how many of them other grantors have granted.
	perWindow, others float64
	// depth is how many tokens may be granted ahead of the even rate without an advance.
	depth float64
	// advance is how many more the store's record permits.
	advance float64
}

// perSecond returns the even rate.
func (b budget) perSecond() float64 { return b.perWindow / b.window.Seconds() }

// maxAdvance returns the largest advance of use, with which the reserve may grant a window's tokens at once.
func (b budget) maxAdvance() float64 { return max(0, b.perWindow-b.depth) }

// interval returns the time between the places that refused requests get: after depth tokens at once, one token in each
// interval uses up the counted span, which is one slice longer than the window.
func (b budget) interval() time.Duration {
	return time.Duration(float64(b.window+b.window/reserveSlices) / math.Max(1, b.perWindow-b.depth))
}

// maxRetryAfter returns how far ahead places are given.
func (b budget) maxRetryAfter() time.Duration { return 2 * b.window }

func newReserve(now time.Time, window time.Duration) *reserve {
	return &reserve{current: sliceNumber(now, window)}
}

func sliceNumber(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / int64(window/reserveSlices)
}

// take grants up to wanted whole tokens within a budget. It returns the number granted and, if that is
// less than wanted, after what time there will be room for one more: each such answer gets a place of
// its own. Raise reports that a larger advance is needed soon.
func (r *reserve) take(now time.Time, budget budget, wanted float64) (taken float64, retryAfter time.Duration, raise bool) {
	r.advance(now, budget.window)
	left := budget.perWindow - budget.others - r.granted()
	short := r.short(now, budget.window)
	if short {
		r.paced += paceFactor * budget.perSecond() * max(0, now.Sub(r.pacedAt).Seconds())
		r.paced, r.pacedAt = min(r.paced, budget.depth), now
		left = min(left, r.paced)
	}
	if r.inDebt(now, budget.window) {
		budget.advance = 0
	}
	ahead := r.ahead(now, budget)
	permitted := budget.depth + budget.advance - ahead
	taken = math.Floor(max(0, min(wanted, left, permitted)))
	r.slices[r.index()] += taken
	r.paced, r.level, r.sinceDebt = r.paced-taken, r.level+taken, r.sinceDebt+taken
	if !short && !r.inDebt(now, budget.window) && budget.advance < budget.maxAdvance() && permitted-taken < budget.depth/2 {
		r.raiseAt, raise = now, true
	}
	if taken >= math.Floor(wanted) {
		return taken, 0, raise
	}
	if short {
		r.shortAt = now
	} else if left < wanted {
		r.pace(now)
	}
	return taken, r.place(now, budget), raise
}

// ahead returns the largest number of tokens granted in any span up to now beyond what the even rate grants in that
// span. Tokens that are not known count as if they had been granted right at debtAt.
func (r *reserve) ahead(now time.Time, budget budget) float64 {
	r.level = max(0, r.level-budget.perSecond()*max(0, now.Sub(r.levelAt).Seconds()))
	r.levelAt = now
	if !r.inDebt(now, budget.window) {
		return r.level
	}
	return max(r.level, r.debt+r.sinceDebt-budget.perSecond()*now.Sub(r.debtAt).Seconds())
}

// inDebt reports whether the last window contains tokens that are not known.
func (r *reserve) inDebt(now time.Time, window time.Duration) bool {
	return !r.debtAt.IsZero() && now.Sub(r.debtAt) < window
}

// nextAdvance returns the advance that the store's record should have instead of the one that it has: one step more than
// what is needed if it was raised lately, and otherwise the least that covers what was granted.
func (r *reserve) nextAdvance(now time.Time, budget budget, held float64) float64 {
	step := max(1, budget.maxAdvance()/advanceSteps)
	needed := r.ahead(now, budget) - budget.depth
	least := step * math.Ceil(max(0, needed)/step)
	switch {
	case r.inDebt(now, budget.window):
		return min(max(held, needed), least)
	case now.Sub(r.raiseAt) < raiseMemory:
		return max(held, min(budget.maxAdvance(), least+step))
	default:
		return least
	}
}

// short reports whether the reserve is paced, since it granted less than was wanted in the last window.
func (r *reserve) short(now time.Time, window time.Duration) bool { return now.Sub(r.shortAt) < window }

// pace makes the reserve short from now on.
func (r *reserve) pace(now time.Time) { r.shortAt, r.paced, r.pacedAt = now, 0, now }

// place returns after what time a request finds room that was not granted now.
func (r *reserve) place(now time.Time, budget budget) time.Duration {
	interval := budget.interval()
	// The even rate catches up with what was granted ahead of it.
	behind := r.ahead(now, budget) + 1 - budget.depth - budget.advance
	evenAfter := time.Duration(behind / budget.perSecond() * float64(time.Second))
	first := now.Add(max(interval, r.roomAfter(now, budget), evenAfter))
	r.nextPlace = r.nextPlace.Add(interval)
	if r.nextPlace.Before(first) {
		r.nextPlace = first
	}
	if latest := now.Add(budget.maxRetryAfter()); r.nextPlace.After(latest) {
		r.nextPlace = latest
	}
	return r.nextPlace.Sub(now)
}

// roomAfter returns after what time enough slices have left the window for one more token.
func (r *reserve) roomAfter(now time.Time, budget budget) time.Duration {
	room := budget.perWindow - budget.others - 1
	granted := r.granted()
	for age := len(r.slices) - 1; age >= 0; age-- {
		if granted <= room {
			leaves := (r.current + int64(len(r.slices)-1-age)) * int64(budget.window/reserveSlices)
			return max(0, time.Duration(leaves-now.UnixNano()))
		}
		granted -= *r.sliceAt(age)
	}
	return budget.window + 2*budget.window/reserveSlices
}

// granted returns the number of tokens granted in the last window.
func (r *reserve) granted() float64 {
	sum := 0.0
	for _, n := range r.slices {
		sum += n
	}
	return sum
}

// count records tokens that a node has received.
func (r *reserve) count(now time.Time, window time.Duration, tokens float64) {
	r.advance(now, window)
	r.slices[r.index()] += tokens
}

// advance clears the slices that have left the window.
func (r *reserve) advance(now time.Time, window time.Duration) {
	slice := sliceNumber(now, window)
	r.current = max(r.current, slice-int64(len(r.slices)))
	for r.current < slice {
		r.current++
		r.slices[r.index()] = 0
	}
}

// usage returns the tokens granted in each slice, the current slice first, rounded up, without the
// slices before the first grant.
func (r *reserve) usage(now time.Time, window time.Duration) []uint32 {
	r.advance(now, window)
	usage := make([]uint32, len(r.slices))
	oldest := -1
	for age := range usage {
		usage[age] = uint32(math.Ceil(*r.sliceAt(age)))
		if usage[age] > 0 {
			oldest = age
		}
	}
	return usage[:oldest+1]
}

// add counts the usage that a message reported which arrived at a time. Its slices are older by the
// transit time of the message, so their tokens stay counted for longer here, never for less time.
func (r *reserve) add(now, arrived time.Time, window time.Duration, usage []uint32) {
	r.advance(now, window)
	shift := max(0, int(r.current-sliceNumber(arrived, window)))
	for age, n := range usage {
		if age += shift; age < len(r.slices) {
			*r.sliceAt(age) += float64(n)
		}
	}
}

// sliceAt returns the slice that is age slices before the current one.
func (r *reserve) sliceAt(age int) *float64 {
	n := int64(len(r.slices))
	return &r.slices[((r.current-int64(age))%n+n)%n]
}

func (r *reserve) index() int { return int(r.current % int64(len(r.slices))) }
