package dfpratelab

import "time"

// TokenBucket is one exact token bucket. Fed with all that was granted it finds any
// window in which more than rate*window+burst was; asked on each arrival it is the
// central bucket that wrongful refusals are counted against.
type TokenBucket struct {
	Rate, Burst float64
	level       float64
	at          time.Time
}

// NewTokenBucket returns a full bucket.
func NewTokenBucket(rate, burst float64, now time.Time) *TokenBucket {
	return &TokenBucket{Rate: rate, Burst: burst, level: burst, at: now}
}

func (j *TokenBucket) refill(now time.Time) {
	if d := now.Sub(j.at); d > 0 {
		j.level = min(j.Burst, j.level+j.Rate*d.Seconds())
		j.at = now
	}
}

// Admit takes one token if there is one.
func (j *TokenBucket) Admit(now time.Time) bool {
	j.refill(now)
	if j.level < 1-1e-9 {
		return false
	}
	j.level--
	return true
}

// Charge takes one token though there be none, and returns by how much the worst
// window that ends now is over the bound; 0 or less is within.
func (j *TokenBucket) Charge(now time.Time) float64 {
	j.refill(now)
	j.level--
	return -j.level
}
