package dfpratelab

import "time"

// TokenBucket is an exact token bucket with a rate in tokens per second. Charge checks whether granted
// requests exceed rate*window+burst in any window. Admit decides on requests; the central bucket, against
// which wrong refusals are counted, uses it.
type TokenBucket struct {
	Rate, Burst float64
	tokens      float64
	refilledAt  time.Time
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket(rate, burst float64, now time.Time) *TokenBucket {
	return &TokenBucket{Rate: rate, Burst: burst, tokens: burst, refilledAt: now}
}

func (b *TokenBucket) refill(now time.Time) {
	if d := now.Sub(b.refilledAt); d > 0 {
		b.tokens = min(b.Burst, b.tokens+b.Rate*d.Seconds())
		b.refilledAt = now
	}
}

// Admit takes one token and reports true, or reports false if there is none.
func (b *TokenBucket) Admit(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1-1e-9 {
		return false
	}
	b.tokens--
	return true
}

// Charge takes one token even if there is none. It returns by how many requests the worst window that ends
// now exceeds the bound; 0 or less means that all windows are within it.
func (b *TokenBucket) Charge(now time.Time) float64 {
	b.refill(now)
	b.tokens--
	return -b.tokens
}
