package dfpguard

import "time"

// waitController controls the admission level of a backend server that serves mostly nested calls. To refuse
// a nested call wastes the work done before it, so the guard queues these calls and limits their number by
// the level at which entry nodes admit new requests. The controller is an integral controller on the waiting
// time of the calls, since the guard cannot tell how many calls a request at an entry node leads to.
type waitController struct {
	level      float64
	lastUpdate time.Time
	// refused is set if a call was refused since the last update, for a limit that the backend server names. The
	// queue is then too short for the waiting time to tell how many calls are beyond the limit.
	refused bool
}

const (
	// targetWait is the waiting time in equilibrium. It is long enough that slots are not idle between two
	// arrivals, and short compared with the latency objectives of requests with several calls in sequence.
	targetWait = 25 * time.Millisecond
	// levelGain is the number of ranks per second by which the level rises when calls wait twice the target.
	// The whole range takes four seconds, several times the delay until refusals at the entry nodes have an
	// effect here.
	levelGain = 90.0
	// maxWaitError limits the relative error of the waiting time, and so the rate at which the level rises.
	maxWaitError = 2.5
	// idleSlotGain sets how much faster the level falls while slots are idle: by the factor 1 + idleSlotGain *
	// (busyFraction - the fraction in use). Idle slots show that too many requests are refused.
	idleSlotGain = 4.0
	// busyFraction is the fraction of slots in use above which the level is not lowered, since nothing can
	// be gained.
	busyFraction = 0.93
	// maxControlledLevel is the highest level. It keeps a few of the most important requests admitted, from
	// which the guard learns that it can admit more.
	maxControlledLevel = float64(entryLevels - 12)
	// entryLevels is the number of levels below those of nested calls.
	entryLevels = 3 * ranks / 4
)

// advance moves the level by the waiting time and the slot usage since the last update.
func (c *waitController) advance(now time.Time, window time.Duration, waiting time.Duration, usage float64) {
	age := now.Sub(c.lastUpdate)
	if age < window {
		return
	}
	c.lastUpdate = now
	elapsed := min(age, 2*window).Seconds()
	deviation := min(float64(waiting)/float64(targetWait)-1, maxWaitError)
	if c.refused {
		deviation, c.refused = maxWaitError, false
	}
	if deviation < 0 {
		if usage > busyFraction {
			return
		}
		deviation *= 1 + idleSlotGain*(busyFraction-usage)
	}
	c.level = min(max(c.level+levelGain*elapsed*deviation, 0), maxControlledLevel)
}
