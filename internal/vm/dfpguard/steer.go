package dfpguard

import (
	"math"
	"time"
)

// waitController controls the admission level of a backend server that serves mostly nested calls. To refuse
// a nested call wastes the work done before it, so the guard queues these calls and limits their number by
// the level at which entry nodes admit new requests.
//
// A changed level has an effect only after effectDelay: entry nodes have to hear of it, and the requests that they
// have admitted make calls for some time. So the controller compares the rate of the calls that arrive now with the
// part of the requests that the level of effectDelay ago admitted, and derives from both the part that would just
// use the capacity, like a Smith predictor (Smith, Closer control of loops with dead time, 1957). A controller
// that goes by the waiting time alone moves on while nothing can have changed yet, and swings.
type waitController struct {
	level      float64
	lastUpdate time.Time
	// arrivals and ended count calls since the last update.
	arrivals, ended int
	// arrivalRate and endRate are the smoothed rates of both, in calls a second.
	arrivalRate, endRate float64
	// history holds the admitted parts of the last effectDelay, a value for each update, the oldest first.
	history []admittedAt
	// overflowed is set if a call was refused since the last update because the queue was full.
	overflowed bool
	// refused is set if a call was refused since the last update, for a limit that the backend server names. The
	// queue is then too short for the waiting time to tell how many calls are beyond the limit.
	refused bool
}

// admittedAt is the part of the requests that was admitted from a time on.
type admittedAt struct {
	at   time.Time
	part float64
}

// backendState is what the controller knows of its backend server.
type backendState struct {
	// waiting is how long a call waits now, usage the fraction of the slots in use.
	waiting time.Duration
	usage   float64
	// perSecond is the rate of calls that the slots allow by the mean service time of successful calls; 0 if it is not
	// known yet.
	perSecond float64
}

const (
	// targetWait is the waiting time in equilibrium. It is long enough that slots are not idle between two
	// arrivals, and short compared with the latency objectives of requests with several calls in sequence.
	targetWait = 25 * time.Millisecond
	// effectDelay is the time after which a changed level shows in the arriving calls.
	effectDelay = time.Second
	// rateTime is the time constant of the smoothed rates.
	rateTime = 300 * time.Millisecond
	// raiseTime and lowerTime are the time constants with which the level is raised and lowered.
	raiseTime = 300 * time.Millisecond
	lowerTime = time.Second
	// drainTime is the time in which a queue is to be worked off.
	drainTime = time.Second
	// overflowFactor is the part of the capacity that is aimed at while the queue is full. Requests whose first call is
	// refused make no others, so fewer calls arrive than the admitted requests would make.
	overflowFactor = 0.7
	// maxGrowth is the factor by which the admitted part may grow in lowerTime. Arrivals tell little about a level at
	// which few requests are admitted.
	maxGrowth = 4.0
	// busyFraction is the fraction of slots in use above which the level is not lowered, since nothing can
	// be gained.
	busyFraction = 0.93
	// maxControlledLevel is the highest level. It keeps a few of the most important requests admitted, from
	// which the guard learns that it can admit more.
	maxControlledLevel = float64(entryLevels - 12)
	// entryLevels is the number of levels below those of nested calls.
	entryLevels = 3 * ranks / 4
	// limitGain is the number of ranks per second by which the level rises while calls are refused for a limit
	// that the backend server names.
	limitGain = 225.0
)

// advance moves the level by what has arrived since the last update.
func (c *waitController) advance(now time.Time, window time.Duration, backend backendState) {
	age := now.Sub(c.lastUpdate)
	if age < window {
		return
	}
	if c.lastUpdate.IsZero() || age > effectDelay {
		c.arrivalRate, c.endRate, c.history = 0, 0, nil
	}
	elapsed := min(age, 2*window).Seconds()
	c.measure(now, age, elapsed)
	c.move(elapsed, backend)
}

// measure updates the rates and the history of the admitted part by the calls of the given age.
func (c *waitController) measure(now time.Time, age time.Duration, elapsed float64) {
	weight := -math.Expm1(-elapsed / rateTime.Seconds())
	c.arrivalRate += weight * (float64(c.arrivals)/age.Seconds() - c.arrivalRate)
	c.endRate += weight * (float64(c.ended)/age.Seconds() - c.endRate)
	c.lastUpdate, c.arrivals, c.ended = now, 0, 0
	c.history = append(c.history, admittedAt{now, c.admittedPart()})
	for len(c.history) > 1 && now.Sub(c.history[1].at) >= effectDelay {
		c.history = c.history[1:]
	}
}

// admittedPart returns the part of the requests that the level admits.
func (c *waitController) admittedPart() float64 { return 1 - c.level/entryLevels }

// move moves the level towards the part of the requests that would use the capacity.
func (c *waitController) move(elapsed float64, backend backendState) {
	part := c.admittedPart()
	switch {
	case c.refused:
		c.level += limitGain * elapsed
	case backend.waiting > targetWait:
		// All slots are in use, so what ends now is the capacity, with the calls that fail or hang.
		backend.perSecond = min(backend.perSecond, c.endRate)
		if c.overflowed {
			backend.perSecond *= overflowFactor
		}
		target := c.targetPart(backend) / (1 + (backend.waiting-targetWait).Seconds()/drainTime.Seconds())
		c.level = entryLevels * (1 - part*math.Pow(min(target/part, 1), min(elapsed/raiseTime.Seconds(), 1)))
	case backend.usage <= busyFraction:
		growth := min(max(c.targetPart(backend)/part, 1), maxGrowth)
		c.level = entryLevels * (1 - part*math.Pow(growth, elapsed/lowerTime.Seconds()))
	}
	c.refused, c.overflowed = false, false
	c.level = min(max(c.level, 0), maxControlledLevel)
}

// targetPart returns the part of the requests whose calls would use the capacity.
func (c *waitController) targetPart(backend backendState) float64 {
	before := c.history[0].part
	if backend.perSecond == 0 || c.arrivalRate == 0 {
		return before * maxGrowth
	}
	return before * backend.perSecond / c.arrivalRate
}
