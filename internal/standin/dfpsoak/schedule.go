package dfpsoak

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is a kind of fault.
type kind string

// The kinds of faults.
const (
	killNode           kind = "kill the node"
	pauseNode          kind = "pause the node"
	stopNode           kind = "stop the node"
	hangupNode         kind = "SIGHUP to the node"
	killAll            kind = "kill all nodes"
	cutLink            kind = "cut the node's inbound links"
	cutLinkReturn      kind = "cut the node's inbound links in one direction"
	resetLink          kind = "reset the node's inbound links"
	delayLink          kind = "delay the node's inbound links"
	blackholeLink      kind = "blackhole the node's open inbound links"
	cutStore           kind = "cut the node's connection to the store"
	resetStore         kind = "reset the node's connection to the store"
	storeDown          kind = "the store is down"
	storeSlow          kind = "the store is slow"
	storeLosesAnswers  kind = "the store's answers to writes are lost"
	storeLeasesExpire  kind = "all leases expire"
	storeWatchesSilent kind = "the store's open watches stop delivering"
	crashServer        kind = "the backend server crashes"
	drainServer        kind = "the backend server is replaced"
	hangServer         kind = "the backend server hangs"
	shedServer         kind = "the backend server refuses requests"
	abortServer        kind = "the backend server closes connections without an answer"
	limitServer        kind = "the backend server names a rate limit"
	leaveServer        kind = "the backend server says that it leaves, and is replaced"
	crashRequest       kind = "a request that crashes backend servers is repeated"
	withdrawKey        kind = "a key is withdrawn"
	lowerRate          kind = "a rate is lowered"
	addRoute           kind = "a route is added"
	plannedStop        kind = "planned stop of the node"
)

// weights gives the relative frequencies of the kinds. Faults of the whole fleet are rarer than those of one
// node.
var weights = []struct {
	kind   kind
	weight int
	// minMs and maxMs bound how long the fault is in force, in milliseconds.
	minMs, maxMs int
}{
	{killNode, 6, 50, 2500},
	{pauseNode, 6, 100, 6500},
	{stopNode, 6, 0, 1500},
	{hangupNode, 3, 0, 0},
	{killAll, 1, 200, 1500},
	{cutLink, 3, 300, 4000},
	{cutLinkReturn, 3, 300, 4000},
	{resetLink, 3, 300, 3000},
	{delayLink, 3, 500, 4000},
	{blackholeLink, 3, 0, 0},
	{cutStore, 4, 300, 7000},
	{resetStore, 3, 300, 4000},
	{storeDown, 2, 500, 6500},
	{storeSlow, 2, 500, 4000},
	{storeLosesAnswers, 2, 500, 3000},
	{storeLeasesExpire, 1, 0, 0},
	{storeWatchesSilent, 2, 0, 0},
	{crashServer, 4, 100, 2500},
	{drainServer, 4, 0, 0},
	{hangServer, 3, 300, 3000},
	{shedServer, 3, 300, 3000},
	{abortServer, 3, 300, 3000},
	{limitServer, 4, 4500, 9000},
	{leaveServer, 3, 0, 0},
	{crashRequest, 2, 3000, 9000},
	{withdrawKey, 3, 0, 0},
	{lowerRate, 2, 0, 0},
	{addRoute, 3, 0, 0},
}

// fault is one fault of a soak test.
type fault struct {
	// at is when the fault begins, since the start of the load.
	at   time.Duration
	kind kind
	node int
	// duration is how long the fault is in force.
	duration time.Duration
}

// String describes the fault.
func (f fault) String() string { return fmt.Sprintf("%s %d, %v", f.kind, f.node, f.duration) }

const (
	// meanFaultInterval is the mean time between the starts of faults. As they last about two seconds on average,
	// about four are in force at once.
	meanFaultInterval = 400 * time.Millisecond
	// plannedStopInterval is the time between planned stops. Stopping and restarting a node takes less than
	// Bounds.StopWithin; if it takes longer than this interval, planned stops overlap.
	plannedStopInterval = 1500 * time.Millisecond
	// plannedStops is the number of nodes that are stopped one after the other at the end.
	plannedStops = 3
	// sameNodeFraction is the fraction of faults that hit the same node as the previous fault, so that some
	// nodes meet several faults in a row.
	sameNodeFraction = 0.3
)

// newSchedule draws the faults and the planned stops of a soak test, sorted by time. The durations are cut
// at the fraction faultsEnd of cfg.Duration. A fault can still end later: drainServer takes longer than its
// duration of 0, and faults of the same process wait for each other.
func newSchedule(rnd *rand.Rand, cfg Config) []fault {
	offset := func(fraction float64) time.Duration { return time.Duration(fraction * float64(cfg.Duration)) }
	var faults []fault
	node := 0
	for at := offset(faultsStart); at < offset(faultsEnd); at += time.Duration(rnd.ExpFloat64() * float64(meanFaultInterval)) {
		if rnd.Float64() >= sameNodeFraction {
			node = rnd.IntN(cfg.Nodes)
		}
		f := fault{at: at, node: node}
		f.kind, f.duration = drawKind(rnd)
		f.duration = min(f.duration, offset(faultsEnd)-at)
		faults = append(faults, f)
	}
	for i := range min(plannedStops, cfg.Nodes) {
		faults = append(faults, fault{at: offset(plannedStopsStart) + time.Duration(i)*plannedStopInterval, kind: plannedStop, node: (node + i) % cfg.Nodes})
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	return faults
}

// drawKind draws the kind and the duration of a fault.
func drawKind(rnd *rand.Rand) (kind, time.Duration) {
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	x := rnd.IntN(sum)
	for _, w := range weights {
		if x -= w.weight; x < 0 {
			return w.kind, time.Duration(w.minMs+rnd.IntN(w.maxMs-w.minMs+1)) * time.Millisecond
		}
	}
	panic("dfpsoak: no kind of fault drawn: the weights do not add up")
}
