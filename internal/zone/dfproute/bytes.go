package dfproute

import (
	"math"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// byteBudget is a token bucket in bytes, for the paid link between regions. A call
// reserves what its service's calls take on average and settles the difference
// afterwards. Its fields are atomics: it is safe for concurrent use.
type byteBudget struct {
	rate atomic.Uint64
	// tokens is the number of bytes left; filledAt when it was last filled, in Unix nanoseconds.
	tokens   atomic.Int64
	filledAt atomic.Int64
}

// firstBytes is the size expected of a call of a service that was not called yet.
const firstBytes = 4096

// reservedParts is the part of a full budget that calls of each importance leave for more
// important ones.
var reservedParts = [dfpcall.ImportanceCount]float64{0.5, 0.25, 0.1, 0}

func (b *byteBudget) setRate(perSecond float64) { storeFloat(&b.rate, perSecond) }

// reserve takes bytes out of the budget, or reports that too little is left for
// a call of that importance.
func (b *byteBudget) reserve(now time.Time, importance dfpcall.Importance, bytes int64) (int64, bool) {
	rate := loadFloat(&b.rate)
	if rate < 0 {
		return 0, true
	}
	full := rate * CrossRegionBurst.Seconds()
	b.fill(now, rate, full)
	floor := int64(reservedParts[importance] * full)
	if b.tokens.Add(-bytes) < floor {
		b.tokens.Add(bytes)
		return 0, false
	}
	return bytes, true
}

// settle corrects a reservation by the bytes that were used beyond it.
func (b *byteBudget) settle(excess int64) {
	if loadFloat(&b.rate) >= 0 {
		b.tokens.Add(-excess)
	}
}

func (b *byteBudget) fill(now time.Time, rate, full float64) {
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
		return firstBytes
	}
	return int64(math.Ceil(mean))
}
