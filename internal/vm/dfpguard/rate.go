package dfpguard

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// rateLimit is a token bucket for the limit that the backend server names; see SetRateLimit.
type rateLimit struct {
	limited   bool
	perSecond float64
	tokens    float64
	updated   time.Time
}

const (
	// rateBurstTime is the time for which unused tokens accumulate. It is the longest time between two calls
	// of the guard.
	rateBurstTime = DefaultWindow
	// minRate is the least rate in requests a second. Only answers tell when a limit ends, so a backend server
	// that names a limit of none at all still gets a request now and then.
	minRate = 0.25
	// maxRateWait bounds the queue of a backend server with a limit, in time at the limit.
	maxRateWait = 300 * time.Millisecond
)

// advance adds the tokens of the time since the last call.
func (r *rateLimit) advance(now time.Time) {
	elapsed := now.Sub(r.updated).Seconds()
	r.updated = now
	r.tokens = min(r.tokens+elapsed*r.perSecond, 1+rateBurstTime.Seconds()*r.perSecond)
}

// allows reports whether a request may start now.
func (r *rateLimit) allows() bool { return !r.limited || r.tokens >= 1 }

// take counts a request that starts.
func (r *rateLimit) take() {
	if r.limited {
		r.tokens--
	}
}

// delay returns the time until n more requests may have started.
func (r *rateLimit) delay(n int) time.Duration {
	if !r.limited {
		return 0
	}
	return time.Duration((float64(n) - min(r.tokens, float64(n))) / r.perSecond * float64(time.Second))
}

// SetRateLimit sets the number of requests a second that the backend server takes from all nodes together.
// Requests above it wait for a moment or are refused. Not limited means that there is no such limit.
func (g *Guard) SetRateLimit(now time.Time, limited bool, perSecond float64) Effects {
	var effects Effects
	g.advance(now, &effects)
	if !limited {
		g.rate = rateLimit{}
		g.dispatch(&effects)
		return effects
	}
	if !g.rate.limited {
		g.rate = rateLimit{limited: true, tokens: 1, updated: g.now}
	}
	g.rate.perSecond = max(perSecond, minRate)
	for g.queue.len() > g.queueLimit() {
		victim := g.queue.popLast()
		g.admission.recordOverflow(victim.Importance)
		effects.Refuse = append(effects.Refuse, g.refusal(victim.Handle, dfpcall.ReasonServerLimit))
	}
	return effects
}
