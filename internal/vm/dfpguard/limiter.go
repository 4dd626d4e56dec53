package dfpguard

import (
	"math"
	"time"
)

// limiter learns how many requests the backend server can run at once without a loss in service rate. It
// applies additive increase and multiplicative decrease to the limit, by the service rate of one slot:
// successes per second of busy time, which is the inverse of the latency while nothing fails. It compares
// this rate with the best one of the last bestRateTTL, as TCP Vegas (Brakmo, O'Malley and Peterson, SIGCOMM
// 1994) compares latency with its minimum.
//
// A lower service rate does not show its cause. If too many requests are in flight, a lower limit helps; if
// a service that the backend server calls has become slow, a lower limit only costs throughput. Each cut of
// the limit is therefore a trial, similar to the incremental steps of Heiss and Wagner (Adaptive Load
// Control in Transaction Processing Systems, VLDB 1991). If the lower limit keeps the throughput, it stays
// and the next cut is tried; if not, the limit is restored and the current service rate becomes the best
// rate. When the best rate has expired, a trial cut shows in the same way whether it still holds.
type limiter struct {
	limit float64
	slots int

	windowStart time.Time
	successes   int
	finished    int
	// busy is the total running time of the finished requests.
	busy time.Duration
	// saturated reports that an admitted arrival found no free slot in this window.
	saturated bool

	bestRate   float64
	bestRateAt time.Time
	trial      *trial
}

// trial holds the limit and the service rate before a cut, to compare the cut with.
type trial struct {
	limit float64
	rate  float64
}

const (
	// limiterWindow is the shortest time between two adjustments of the limit.
	limiterWindow = 100 * time.Millisecond
	// limiterMaxWindow is the time after which a window with too few samples is discarded.
	limiterMaxWindow = 5 * time.Second
	// limiterMinFinished is the least number of finished requests for an adjustment.
	limiterMinFinished = 50
	// bestRateTTL is how long the best service rate stays valid.
	bestRateTTL = 30 * time.Second
	// rateTolerance is the fraction of the best service rate below which the limit is cut.
	rateTolerance = 0.6
	// cutFactor is the factor by which a cut multiplies the limit.
	cutFactor = 0.8
	// minKeptThroughput is the fraction of the throughput that must remain for a cut to stay.
	minKeptThroughput = 0.92
)

func newLimiter(now time.Time, slots int) *limiter {
	return &limiter{limit: float64(slots), slots: slots, windowStart: now, bestRateAt: now}
}

// current returns the limit, between 1 and the slots.
func (l *limiter) current() int {
	return min(max(int(l.limit), 1), l.slots)
}

// setSlots changes the number of slots and resets the learned state.
func (l *limiter) setSlots(now time.Time, slots int) {
	*l = *newLimiter(now, slots)
}

// observe records a request that ran for took.
func (l *limiter) observe(took time.Duration, failed bool) {
	l.finished++
	l.busy += took
	if !failed {
		l.successes++
	}
}

// advance adjusts the limit when the window has enough samples.
func (l *limiter) advance(now time.Time) {
	age := now.Sub(l.windowStart)
	if age < limiterWindow {
		return
	}
	if l.finished < max(limiterMinFinished, l.current()) {
		if age > limiterMaxWindow {
			l.resetWindow(now)
		}
		return
	}
	l.adjust(now, float64(l.successes)/max(l.busy.Seconds(), math.SmallestNonzeroFloat64))
	l.resetWindow(now)
}

func (l *limiter) resetWindow(now time.Time) {
	l.windowStart = now
	l.successes, l.finished, l.busy, l.saturated = 0, 0, 0, false
}

func (l *limiter) adjust(now time.Time, rate float64) {
	if l.trial != nil {
		l.endTrial(now, rate)
		return
	}
	expired := l.bestRate > 0 && now.Sub(l.bestRateAt) > bestRateTTL
	if rate >= l.bestRate || expired {
		l.bestRate, l.bestRateAt = rate, now
	}
	switch {
	case expired && l.saturated:
		l.startTrial(rate)
	case rate >= rateTolerance*l.bestRate:
		if l.saturated || l.limit < float64(l.slots) {
			l.limit = min(l.limit+max(1, math.Sqrt(l.limit)), float64(l.slots))
		}
	case l.saturated:
		l.startTrial(rate)
	}
}

// startTrial cuts the limit and starts a trial.
func (l *limiter) startTrial(rate float64) {
	if l.limit <= 1 {
		return
	}
	l.trial = &trial{limit: l.limit, rate: rate}
	l.limit = max(1, math.Floor(l.limit*cutFactor))
}

// endTrial ends a trial. A cut that stays is followed by the next trial.
func (l *limiter) endTrial(now time.Time, rate float64) {
	before := l.trial
	l.trial = nil
	if l.limit*rate >= minKeptThroughput*before.limit*before.rate {
		l.bestRate = max(l.bestRate, rate)
		l.startTrial(rate)
		return
	}
	l.limit = before.limit
	l.bestRate, l.bestRateAt = max(rate, before.rate), now
}
