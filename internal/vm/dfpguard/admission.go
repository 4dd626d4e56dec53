package dfpguard

import (
	"math"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// ranks is the number of ranks: one for each cohort of each importance.
const ranks = dfpcall.ImportanceCount * dfpcall.Cohorts

// maxLevel is the highest admission level. It keeps a fraction of the most important requests admitted,
// without which the guard would not learn that it can admit more.
const maxLevel = ranks - dfpcall.Cohorts/16

// admission controls the admission level: the rank below which requests are refused on arrival. As in DAGOR
// (Zhou et al., Overload Control for Scaling WeChat Microservices, SoCC 2018), it counts arrivals by rank in
// each window and moves the level so that the arrivals admitted match the completions. It raises the level
// by these counts. It lowers the level by estimates that grow while slots are idle, because the guard does
// not see what entry nodes refuse.
type admission struct {
	level int
	// completedPerSecond is the moving average of completed requests per second.
	completedPerSecond float64
	// step is the number of ranks by which the level was last lowered; 0 after a raise.
	step int

	windowStart time.Time
	arrivals    [ranks]uint32
	completed   int
	overflow    bool
	// occupiedTime is the slot time in use in this window, and availableTime the slot time that the limit
	// allowed; both are summed over slots.
	occupiedTime, availableTime time.Duration
}

const (
	// queueTargetFraction is the fraction of the queue limit above which the level is raised.
	queueTargetFraction = 0.5
	// rateWeight is the weight of one window in completedPerSecond.
	rateWeight = 0.5
	// queueDrainWindows is the number of windows over which an excess in the queue is worked off.
	queueDrainWindows = 4
	// noiseDeviations is the number of standard deviations of a Poisson count up to which a surplus of
	// arrivals counts as noise, and noiseGain the fraction of the noise that the level still corrects for.
	noiseDeviations = 2
	noiseGain       = 0.25
	// Lowering the level aims to add arrivals worth lowerFraction of the capacity or idleLowerFraction of
	// the idle capacity, whichever is more.
	lowerFraction     = 0.02
	idleLowerFraction = 0.5
	// doublingIdleFraction is the idle fraction of the capacity above which the step doubles.
	doublingIdleFraction = 0.3
	// maxStep is the most ranks by which one window lowers the level, and boundaryStep the most by which it
	// goes below the boundary to the next lower importance.
	maxStep      = dfpcall.Cohorts
	boundaryStep = 8
	// minUtilisation limits the capacity extrapolated from a window with little load.
	minUtilisation = 0.05
	// densityRanks is the number of ranks above the level from which the arrivals below it are estimated.
	densityRanks = 32
)

// admits reports whether the level admits a request.
func (a *admission) admits(req Request) bool { return int(rankOf(req)) >= a.level }

func rankOf(req Request) dfpcall.Level {
	return dfpcall.Rank(req.Importance, dfpcall.CohortAt(req.Cohort, req.Depth))
}

// recordUsage adds a period in which running of limit slots were in use.
func (a *admission) recordUsage(d time.Duration, running, limit int) {
	a.occupiedTime += d * time.Duration(running)
	a.availableTime += d * time.Duration(limit)
}

// recordArrival counts an arrival by its rank.
func (a *admission) recordArrival(req Request) {
	a.arrivals[rankOf(req)]++
}

// recordOverflow records that a request of this importance was refused because the queue was full. From then
// on, less important requests are not admitted.
func (a *admission) recordOverflow(importance dfpcall.Importance) {
	a.overflow = true
	a.level = max(a.level, int(importance)*dfpcall.Cohorts)
}

// advance closes the window if it is over, and moves the level.
func (a *admission) advance(now time.Time, window time.Duration, q *queue, queueLimit int) {
	age := now.Sub(a.windowStart)
	if age < window {
		return
	}
	a.completedPerSecond += rateWeight * (float64(a.completed)/age.Seconds() - a.completedPerSecond)
	excess := float64(q.len()) - queueTargetFraction*float64(queueLimit)
	if excess > 0 || a.overflow {
		a.raise(max(excess, 0), a.completedPerSecond*age.Seconds(), a.ceiling(q))
	} else if a.level > 0 {
		a.lower()
	}
	*a = admission{level: a.level, step: a.step, completedPerSecond: a.completedPerSecond, windowStart: now}
}

// ceiling returns how far one window may raise the level: past the lowest importance that waits. While
// requests of that importance wait, the queue's order already protects more important ones, so an
// overestimated surplus must not get these refused.
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

// raise raises the level until the arrivals of a window like this one match its completions, less a part of
// the queue's excess. It does not go above ceiling.
func (a *admission) raise(excess, completed float64, ceiling int) {
	a.step = 0
	surplus := -completed
	for _, n := range a.arrivals[a.level:] {
		surplus += float64(n)
	}
	noise := noiseDeviations * math.Sqrt(completed)
	surplus -= (1 - noiseGain) * min(max(surplus, 0), noise)
	surplus += excess / queueDrainWindows
	for surplus > 0 && a.level < ceiling {
		surplus -= float64(a.arrivals[a.level])
		a.level++
	}
}

// lower lowers the level by the ranks that are expected to add arrivals worth lowerFraction of the window's
// capacity or idleLowerFraction of its idle capacity, whichever is more. It assumes that the ranks below the
// level get as many arrivals as those above. Since this may be wrong for the next lower importance, a step
// ends just below the boundary to it.
func (a *admission) lower() {
	capacity := float64(a.completed) / max(a.utilisation(), minUtilisation)
	idle := capacity - float64(a.completed)
	extra := max(lowerFraction*capacity, idleLowerFraction*idle)
	step := int(extra / max(a.density(), 1.0/densityRanks))
	if idle > doublingIdleFraction*capacity {
		step = max(step, 2*a.step)
	}
	a.step = min(max(step, 1), maxStep)
	boundary := (a.level - 1) / dfpcall.Cohorts * dfpcall.Cohorts
	a.level = max(0, a.level-a.step, boundary-boundaryStep)
}

// utilisation returns the fraction of the limit that was in use in this window.
func (a *admission) utilisation() float64 {
	if a.availableTime == 0 {
		return 1
	}
	return min(1, float64(a.occupiedTime)/float64(a.availableTime))
}

// density returns the mean number of arrivals per rank just above the level.
func (a *admission) density() float64 {
	from := min(a.level, ranks-densityRanks)
	seen := uint32(0)
	for _, n := range a.arrivals[from : from+densityRanks] {
		seen += n
	}
	return float64(seen) / densityRanks
}

// lowestAdmitted returns the level in the form of dfpcall.Load: the lowest importance admitted, and the
// number of its cohorts that are admitted.
func (a *admission) lowestAdmitted() (dfpcall.Importance, uint8) {
	return a.importance(), uint8(dfpcall.Cohorts - a.level%dfpcall.Cohorts)
}
