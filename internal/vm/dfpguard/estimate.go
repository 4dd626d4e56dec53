package dfpguard

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// serviceEstimate estimates the mean service time of successful requests.
type serviceEstimate struct {
	mean    time.Duration
	samples int
}

const (
	// A new sample has the weight 1/estimateWeight in the mean.
	estimateWeight = 16
	// estimateMinSamples is the number of samples needed before the estimate is used to refuse requests.
	estimateMinSamples = 16
)

func (e *serviceEstimate) observe(took time.Duration, failed bool) {
	if failed {
		return
	}
	e.samples++
	weight := min(e.samples, estimateWeight)
	e.mean += (took - e.mean) / time.Duration(weight)
}

// tooLate reports whether a request that starts after waiting cannot finish by its deadline. While few
// requests run, the estimate is ignored: only new samples can correct one that is out of date.
func (g *Guard) tooLate(deadline time.Time, waiting time.Duration) bool {
	if deadline.IsZero() {
		return false
	}
	remaining := deadline.Sub(g.now) - waiting
	if remaining <= 0 {
		return true
	}
	if g.service.samples < estimateMinSamples || len(g.running) < max(1, g.limit()/estimateProbeDivisor) {
		return false
	}
	return remaining < g.service.mean
}

// The estimate is ignored while less than 1/estimateProbeDivisor of the limit is in use.
const estimateProbeDivisor = 10

// queueDelay returns the expected time until n more requests can start.
func (g *Guard) queueDelay(n int) time.Duration { return max(g.slotDelay(n), g.rate.delay(n)) }

// slotDelay returns the expected time until n slots have become free.
func (g *Guard) slotDelay(n int) time.Duration {
	return time.Duration(n) * g.service.mean / time.Duration(g.limit())
}

// refusalCounter counts refusals per window. RetryAfter grows with them, to spread the retries of refused
// callers.
type refusalCounter struct {
	windowStart time.Time
	current     int
	previous    int
}

const (
	refusalWindow = time.Second
	// minRetryAfter and maxRetryAfter bound the mean of RetryAfter.
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 10 * time.Second
)

func (c *refusalCounter) advance(now time.Time) {
	age := now.Sub(c.windowStart)
	if age < refusalWindow {
		return
	}
	c.previous = c.current
	if age >= 2*refusalWindow {
		c.previous = 0
	}
	c.current = 0
	c.windowStart = now
}

// retryAfter returns a random time, uniform between 0.5 and 1.5 times the mean. The mean is the time in
// which the backend server can serve all waiting, running and recently refused requests, within its bounds.
func (g *Guard) retryAfter() time.Duration {
	backlog := g.queue.len() + len(g.running) + max(g.refusals.current, g.refusals.previous)
	mean := min(max(g.queueDelay(backlog), minRetryAfter), maxRetryAfter)
	return mean/2 + time.Duration(g.cfg.Rand.Int64N(int64(mean)))
}

func (g *Guard) refuse(reason dfpcall.Reason) *Refuse {
	g.refusals.current++
	return &Refuse{Reason: reason, RetryAfter: g.retryAfter()}
}

func (g *Guard) refusal(h Handle, reason dfpcall.Reason) Refusal {
	r := g.refuse(reason)
	return Refusal{Handle: h, Reason: r.Reason, RetryAfter: r.RetryAfter}
}
