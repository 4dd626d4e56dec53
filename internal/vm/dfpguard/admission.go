package dfpguard

import (
	"math"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// ranks is the number of steps of the admission level: each importance has
// one for each cohort.
const ranks = dfpcall.ImportanceCount * dfpcall.Cohorts

// maxLevel keeps a part of the most important requests admitted, without which the guard
// would not learn that it can admit more.
const maxLevel = ranks - dfpcall.Cohorts/16

// admission sets the level below which requests are refused on arrival.
// As in DAGOR (Zhou et al., Overload Control for Scaling WeChat Microservices,
// SoCC 2018) it counts arrivals by rank in each window and moves
// the level so that what would be admitted fits what is completed. It closes by the
// count, and opens by guesses that grow while slots stand idle, because what
// entry nodes refuse is not seen here.
type admission struct {
	level int
	// perSecond is the moving mean of what is completed in a second.
	perSecond float64
	// step is the number of ranks by which the level was last lowered.
	step int

	opened    time.Time
	arrivals  [ranks]uint32
	completed int
	overflow  bool
	// occupied is the time that slots were in use, and offered the time that the limit allowed,
	// summed over slots.
	occupied, offered time.Duration
}

const (
	// queueTargetPart is the part of the queue's limit above which the level closes.
	queueTargetPart = 0.5
	// rateWeight is the weight of a window in the mean of what is completed.
	rateWeight = 0.5
	// drainWindows is the number of windows in which a too long queue is brought down.
	drainWindows = 4
	// chanceDeviations is the number of standard deviations of a Poisson count up to which
	// a surplus may be chance, and chanceGain the part of it that is taken off all the same.
	chanceDeviations = 2
	chanceGain       = 0.25
	// openPart and idleOpenPart are the parts of the capacity, and of what of it stood idle, that
	// an opening brings besides.
	openPart     = 0.02
	idleOpenPart = 0.5
	// idlePart is the part of the capacity that stands idle when steps double.
	idlePart = 0.3
	// maxStep is the largest opening of the level in one window, and boundaryStep how far
	// it goes into the next lower importance.
	maxStep      = dfpcall.Cohorts
	boundaryStep = 8
	// minUsage bounds what is concluded from a window in which little ran.
	minUsage = 0.05
	// densitySample is the number of ranks by which the arrivals below the level are guessed.
	densitySample = 32
)

// admits reports whether the level lets a request in.
func (a *admission) admits(t Request) bool { return int(rankOf(t)) >= a.level }

func rankOf(t Request) dfpcall.Level {
	return dfpcall.Rank(t.Importance, dfpcall.CohortAt(t.Cohort, t.Depth))
}

// occupy counts how many of the slots that the limit allows were in use for a time.
func (a *admission) occupy(d time.Duration, running, limit int) {
	a.occupied += d * time.Duration(running)
	a.offered += d * time.Duration(limit)
}

// arrive counts an arrival.
func (a *admission) arrive(t Request) {
	a.arrivals[rankOf(t)]++
}

// overflowed says that a request found the queue full of others at least as
// important: nothing less important is admitted from now on.
func (a *admission) overflowed(importance dfpcall.Importance) {
	a.overflow = true
	a.level = max(a.level, int(importance)*dfpcall.Cohorts)
}

// advance closes the window when it is over and moves the level. Queued is the
// queue's state now.
func (a *admission) advance(now time.Time, window time.Duration, q *queue, queueLimit int) {
	age := now.Sub(a.opened)
	if age < window {
		return
	}
	a.perSecond += rateWeight * (float64(a.completed)/age.Seconds() - a.perSecond)
	excess := float64(q.len()) - queueTargetPart*float64(queueLimit)
	if excess > 0 || a.overflow {
		a.close(max(excess, 0), a.perSecond*age.Seconds(), a.ceiling(q))
	} else if a.level > 0 {
		a.open()
	}
	*a = admission{level: a.level, step: a.step, perSecond: a.perSecond, opened: now}
}

// ceiling returns how far the level may rise at once: past the lowest importance that
// waits. As long as that waits, the queue's order protects the more important ones, and they
// need not pay for a misjudged surplus.
func (a *admission) ceiling(q *queue) int {
	lowest, ok := q.lowest()
	if !ok {
		lowest = a.importance()
	}
	return min(max(a.level, (int(lowest)+1)*dfpcall.Cohorts), maxLevel)
}

// importance returns the importance at which the level stands.
func (a *admission) importance() dfpcall.Importance {
	return dfpcall.Importance(a.level / dfpcall.Cohorts)
}

// close raises the level until the arrivals of a window like this one fit what
// is completed in one, less a part of the queue's excess.
func (a *admission) close(excess, completed float64, ceiling int) {
	a.step = 0
	surplus := -completed
	for _, n := range a.arrivals[a.level:] {
		surplus += float64(n)
	}
	chance := chanceDeviations * math.Sqrt(completed)
	surplus -= (1 - chanceGain) * min(max(surplus, 0), chance)
	surplus += excess / drainWindows
	for surplus > 0 && a.level < ceiling {
		surplus -= float64(a.arrivals[a.level])
		a.level++
	}
}

// open lowers the level by the ranks that bring openPart of the capacity of a window besides
// what came in this one, or idleOpenPart of what stood idle in it. It takes the ranks
// below the level to be as busy as those above. Since that may be wrong
// for the next lower importance, an opening ends just below a boundary between two.
func (a *admission) open() {
	capacity := float64(a.completed) / max(a.usage(), minUsage)
	idle := capacity - float64(a.completed)
	extra := max(openPart*capacity, idleOpenPart*idle)
	step := int(extra / max(a.density(), 1.0/densitySample))
	if idle > idlePart*capacity {
		step = max(step, 2*a.step)
	}
	a.step = min(max(step, 1), maxStep)
	boundary := (a.level - 1) / dfpcall.Cohorts * dfpcall.Cohorts
	a.level = max(0, a.level-a.step, boundary-boundaryStep)
}

// usage returns the part of the limit that was in use in this window.
func (a *admission) usage() float64 {
	if a.offered == 0 {
		return 1
	}
	return min(1, float64(a.occupied)/float64(a.offered))
}

// density returns the mean number of arrivals of the ranks just above the level.
func (a *admission) density() float64 {
	from := min(a.level, ranks-densitySample)
	seen := uint32(0)
	for _, n := range a.arrivals[from : from+densitySample] {
		seen += n
	}
	return float64(seen) / densitySample
}

// lowest returns the level as the lowest importance admitted and the number of its
// cohorts that are.
func (a *admission) lowest() (dfpcall.Importance, uint8) {
	return a.importance(), uint8(dfpcall.Cohorts - a.level%dfpcall.Cohorts)
}
