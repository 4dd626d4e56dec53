package dfproute

import (
	"math"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// byteBudget is a token bucket, in bytes, for traffic between regions. A call
// reserves the mean size of its service's calls and afterwards settles the difference
// to its actual size. All fields are atomics: a byteBudget is safe for concurrent use.
type byteBudget struct {
	// rate is in bytes a second, as float64 bits; negative for no limit.
	rate atomic.Uint64
	// tokens is the number of bytes left; filledAt is when it was last refilled, in Unix nanoseconds.
	tokens   atomic.Int64
	filledAt atomic.Int64
}

// defaultCallBytes is the expected size of a call to a service that has not been called yet.
const defaultCallBytes = 4096

// reservedFractions is the fraction of a full budget that calls of each importance leave to more
// important calls.
var reservedFractions = [dfpcall.ImportanceCount]float64{0.5, 0.25, 0.1, 0}

func (b *byteBudget) setRate(perSecond float64) { storeFloat(&b.rate, perSecond) }

// reserve takes bytes out of the budget and returns the number taken. It reports false if too few
// are left for a call of that importance.
func (b *byteBudget) reserve(now time.Time, importance dfpcall.Importance, bytes int64) (int64, bool) {
	rate := loadFloat(&b.rate)
	if rate < 0 {
		return 0, true
	}
	full := rate * CrossRegionBurst.Seconds()
	b.refill(now, rate, full)
	floor := int64(reservedFractions[importance] * full)
	if b.tokens.Add(-bytes) < floor {
		b.tokens.Add(bytes)
		return 0, false
	}
	return bytes, true
}

// settle takes out the bytes that a call used beyond its reservation; a negative excess puts bytes back.
func (b *byteBudget) settle(excess int64) {
	if loadFloat(&b.rate) >= 0 {
		b.tokens.Add(-excess)
	}
}

func (b *byteBudget) refill(now time.Time, rate, full float64) {
	at := b.filledAt.Load()
	elapsed := now.UnixNano() - at
	if elapsed <= 0 || !b.filledAt.CompareAndSwap(at, now.UnixNano()) {
		return
	}
	if at == 0 {
		b.tokens.Store(int64(full))
		return
	}
	gained := int64(min(rate*float64(elapsed)/float64(time.Second), full))
	if over := b.tokens.Add(gained) - int64(full); over > 0 {
		b.tokens.Add(-over)
	}
}

func (s *serviceStats) expectedBytes() int64 {
	mean := loadFloat(&s.bytes)
	if mean == 0 {
		return defaultCallBytes
	}
	return int64(math.Ceil(mean))
}
