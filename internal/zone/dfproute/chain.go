package dfproute

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

const (
	// ChainLevelTTL is how long a route's level is used after its last report. Without it, a route that nobody
	// uses would keep its level; one in use has a probe sooner.
	ChainLevelTTL = 2 * maxProbeInterval
	// levelTimeConstant is the time constant of a route's level: frequent reports are
	// averaged over it, and a report after a long pause counts almost in full.
	levelTimeConstant = 100 * time.Millisecond
	// minReportWeight is the least weight of a report.
	minReportWeight = 1.0 / 64
	// maxRoutes limits the number of routes in a ChainLevels.
	maxRoutes = 4096
)

// ChainLevels refuses root requests at the entry node by the admission levels of all guards along their
// call chain. The first guard of a chain may have room while a later one refuses the call, and then
// the work of all hops before it is lost. Each outcome carries the highest level that the
// request's calls have met; a ChainLevels holds the moving average of it for each route.
//
// A ChainLevels is safe for concurrent use; once a route is known, it uses atomics only. The zero
// value is ready to use.
type ChainLevels struct {
	routes     sync.Map // route string -> *chainLevel
	routeCount atomic.Int64
}

// chainLevel is the level reported for one route.
type chainLevel struct {
	// level is the moving average, as float64 bits; at is the time of the last report, in
	// Unix nanoseconds.
	level atomic.Uint64
	at    atomic.Int64
	// probedAt is the time of the last probe, in Unix nanoseconds, and refused counts the requests refused since.
	probedAt atomic.Int64
	refused  atomic.Int64
}

// A request below the level is admitted as a probe if there was no report for probeInterval and either
// refusalsPerProbe requests were refused since the last probe, or maxProbeInterval has passed. All entry nodes
// together must not fill by their probes what is left of a service.
const (
	probeInterval    = 200 * time.Millisecond
	maxProbeInterval = 2 * time.Second
	refusalsPerProbe = 32
)

// Verdict is the decision on a root request.
type Verdict uint8

// The verdicts.
const (
	// Refused means that a guard of the chain would probably refuse the request.
	Refused Verdict = iota
	// AdmittedByLevel means that the request is likely to pass all guards of its chain.
	AdmittedByLevel
	// AdmittedAsProbe means that the request is below the level, and admitted to find out whether it is still so.
	AdmittedAsProbe
	// AdmittedWithoutReport means that no recent request has reported a level.
	AdmittedWithoutReport
	// VerdictCount is the number of verdicts.
	VerdictCount
)

// Admits reports whether a root request of a route is admitted.
func (l *ChainLevels) Admits(now time.Time, route string, importance dfpcall.Importance, cohort uint8) bool {
	return l.Decide(now, route, importance, cohort) != Refused
}

// Decide decides on a root request of a route.
func (l *ChainLevels) Decide(now time.Time, route string, importance dfpcall.Importance, cohort uint8) Verdict {
	found, ok := l.routes.Load(route)
	if !ok {
		return AdmittedWithoutReport
	}
	chain := found.(*chainLevel)
	switch {
	case now.UnixNano()-chain.at.Load() > int64(ChainLevelTTL):
		return AdmittedWithoutReport
	case float64(dfpcall.Rank(importance, cohort)) >= loadFloat(&chain.level):
		return AdmittedByLevel
	case chain.allowProbe(now):
		return AdmittedAsProbe
	default:
		return Refused
	}
}

// Level returns the average level that recent requests of a route have met; 0 without a recent report.
func (l *ChainLevels) Level(now time.Time, route string) dfpcall.Level {
	found, ok := l.routes.Load(route)
	if !ok {
		return 0
	}
	chain := found.(*chainLevel)
	if now.UnixNano()-chain.at.Load() > int64(ChainLevelTTL) {
		return 0
	}
	return dfpcall.Level(loadFloat(&chain.level))
}

// allowProbe reports whether a request below the level is admitted as a probe. It counts the request as refused
// otherwise.
func (c *chainLevel) allowProbe(now time.Time) bool {
	refused, last := c.refused.Add(1), c.probedAt.Load()
	reported := c.at.Load()
	due := now.UnixNano() >= max(last, reported)+int64(probeInterval) &&
		(refused > refusalsPerProbe || now.UnixNano() >= max(last, reported)+int64(maxProbeInterval))
	if !due || !c.probedAt.CompareAndSwap(last, now.UnixNano()) {
		return false
	}
	c.refused.Store(0)
	return true
}

// Observe records the level that a root request of a route has met.
func (l *ChainLevels) Observe(now time.Time, route string, level dfpcall.Level) {
	found, ok := l.routes.Load(route)
	if !ok {
		if level == 0 || l.routeCount.Add(1) > maxRoutes {
			return
		}
		found, _ = l.routes.LoadOrStore(route, new(chainLevel))
	}
	chain := found.(*chainLevel)
	mean := loadFloat(&chain.level)
	age := max(0, now.UnixNano()-chain.at.Swap(now.UnixNano()))
	weight := 1 - math.Exp(-float64(age)/float64(levelTimeConstant))
	storeFloat(&chain.level, mean+max(weight, minReportWeight)*(float64(level)-mean))
}
