package dfproute

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

const (
	// ChainLevelTTL is how long a chain's level is believed without news.
	ChainLevelTTL = time.Second
	// chainSmoothing is the time constant of a chain's level: reports that come often are
	// averaged over it, and one that comes alone counts in full.
	chainSmoothing = 100 * time.Millisecond
	// minChainWeight is the least weight of a report.
	minChainWeight = 1.0 / 64
	// maxChains bounds the routes that a ChainLevels remembers.
	maxChains = 4096
)

// ChainLevels refuses requests at the entry by what the guards of their whole call chain
// admit. The guard next to the entry may have room while one deeper down refuses, and then
// the work of all the hops before it is lost. Each outcome carries the highest level that the
// request's calls have met; the gate keeps a moving mean of it for each route.
//
// It is safe for concurrent use: after a route was seen first, by atomics alone. The zero value is ready.
type ChainLevels struct {
	routes sync.Map // route string -> *chainLevel
	n      atomic.Int64
}

// chainLevel is what one route's chains reported lately.
type chainLevel struct {
	// level is the moving mean as float64 bits, at the time of the last report in
	// Unix nanoseconds.
	level atomic.Uint64
	at    atomic.Int64
	// probeAt is when the next request is let through against the level.
	probeAt atomic.Int64
}

// probeInterval is the time without news after which a request is let through against the level.
const probeInterval = 200 * time.Millisecond

// Admits reports whether a root request of a route is likely to pass all guards of its chain.
func (g *ChainLevels) Admits(now time.Time, route string, importance dfpcall.Importance, cohort uint8) bool {
	found, ok := g.routes.Load(route)
	if !ok {
		return true
	}
	chain := found.(*chainLevel)
	if now.UnixNano()-chain.at.Load() > int64(ChainLevelTTL) {
		return true
	}
	if float64(dfpcall.Rank(importance, cohort)) >= loadFloat(&chain.level) {
		return true
	}
	return chain.probes(now)
}

// Level returns the level that the chains of a route have met lately; 0 without news.
func (g *ChainLevels) Level(now time.Time, route string) dfpcall.Level {
	found, ok := g.routes.Load(route)
	if !ok {
		return 0
	}
	chain := found.(*chainLevel)
	if now.UnixNano()-chain.at.Load() > int64(ChainLevelTTL) {
		return 0
	}
	return dfpcall.Level(loadFloat(&chain.level))
}

// probes reports whether a request goes through against the level: one at a time, and only where
// no other has brought news lately. Work may be lost on it.
func (c *chainLevel) probes(now time.Time) bool {
	due := c.probeAt.Load()
	if now.UnixNano() < max(due, c.at.Load()+int64(probeInterval)) {
		return false
	}
	return c.probeAt.CompareAndSwap(due, now.Add(probeInterval).UnixNano())
}

// Observe takes in the level that a root request of a route has met.
func (g *ChainLevels) Observe(now time.Time, route string, level dfpcall.Level) {
	found, ok := g.routes.Load(route)
	if !ok {
		if level == 0 || g.n.Add(1) > maxChains {
			return
		}
		found, _ = g.routes.LoadOrStore(route, new(chainLevel))
	}
	chain := found.(*chainLevel)
	mean := loadFloat(&chain.level)
	age := max(0, now.UnixNano()-chain.at.Swap(now.UnixNano()))
	weight := 1 - math.Exp(-float64(age)/float64(chainSmoothing))
	storeFloat(&chain.level, mean+max(weight, minChainWeight)*(float64(level)-mean))
}
