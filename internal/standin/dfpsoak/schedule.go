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
	killNode    kind = "kill the node"
	pauseNode   kind = "pause the node"
	stopNode    kind = "stop the node"
	hangupNode  kind = "SIGHUP to the node"
	killAll     kind = "kill all nodes"
	cutLink     kind = "cut the node's inbound links"
	oneWayLink  kind = "cut the node's inbound links one way"
	refuseLink  kind = "reset the node's inbound links"
	delayLink   kind = "delay the node's inbound links"
	silenceLink kind = "silence the node's open inbound links"
	cutStore    kind = "cut the node's way to the store"
	resetStore  kind = "reset the node's way to the store"
	storeDown   kind = "the store is down"
	storeSlow   kind = "the store is slow"
	storeLoses  kind = "the store's answers to writes are lost"
	storeLapse  kind = "all leases lapse"
	storeMute   kind = "the store's open watches are silent"
	crashServer kind = "the backend server crashes"
	drainServer kind = "the backend server is replaced"
	hangServer  kind = "the backend server hangs"
	shedServer  kind = "the backend server refuses"
	spoilServer kind = "the backend server breaks answers off"
	withdrawKey kind = "a key is withdrawn"
	lowerRate   kind = "a rate is lowered"
	addRoute    kind = "a route is added"
	plannedStop kind = "planned stop of the node"
)

// weights says how often the kinds come. Those of the whole fleet come less often than those of one node.
var weights = []struct {
	kind   kind
	weight int
	// least and most bound how long it is in force, in milliseconds.
	least, most int
}{
	{killNode, 6, 50, 2500},
	{pauseNode, 6, 100, 6500},
	{stopNode, 6, 0, 1500},
	{hangupNode, 3, 0, 0},
	{killAll, 1, 200, 1500},
	{cutLink, 3, 300, 4000},
	{oneWayLink, 3, 300, 4000},
	{refuseLink, 3, 300, 3000},
	{delayLink, 3, 500, 4000},
	{silenceLink, 3, 0, 0},
	{cutStore, 4, 300, 7000},
	{resetStore, 3, 300, 4000},
	{storeDown, 2, 500, 6500},
	{storeSlow, 2, 500, 4000},
	{storeLoses, 2, 500, 3000},
	{storeLapse, 1, 0, 0},
	{storeMute, 2, 0, 0},
	{crashServer, 4, 100, 2500},
	{drainServer, 4, 0, 0},
	{hangServer, 3, 300, 3000},
	{shedServer, 3, 300, 3000},
	{spoilServer, 3, 300, 3000},
	{withdrawKey, 3, 0, 0},
	{lowerRate, 2, 0, 0},
	{addRoute, 3, 0, 0},
}

// fault is one fault of a run.
type fault struct {
	at   time.Duration
	kind kind
	node int
	span time.Duration
}

// String describes the fault.
func (f fault) String() string { return fmt.Sprintf("%s %d, %v", f.kind, f.node, f.span) }

const (
	// meanGap is the mean time between faults that begin. With their mean span of about two seconds,
	// four are in force at once.
	meanGap = 400 * time.Millisecond
	// stopGap is the time between planned stops: a node's stop and its start take less than the bound.
	stopGap = 1500 * time.Millisecond
	// plannedStops is the number of nodes that are stopped in turn in the end.
	plannedStops = 3
	// repeatPart is the part of faults that hit the node of the one before, so that series meet one node.
	repeatPart = 0.3
)

// newSchedule draws the faults of a run, in the order of time. All have ended at the part faultsUntil of the
// duration.
func newSchedule(rnd *rand.Rand, cfg Config) []fault {
	part := func(p float64) time.Duration { return time.Duration(p * float64(cfg.Duration)) }
	var faults []fault
	node := 0
	for at := part(faultsFrom); at < part(faultsUntil); at += time.Duration(rnd.ExpFloat64() * float64(meanGap)) {
		if rnd.Float64() >= repeatPart {
			node = rnd.IntN(cfg.Nodes)
		}
		f := fault{at: at, node: node}
		f.kind, f.span = drawKind(rnd)
		f.span = min(f.span, part(faultsUntil)-at)
		faults = append(faults, f)
	}
	for i := range min(plannedStops, cfg.Nodes) {
		faults = append(faults, fault{at: part(stopsFrom) + time.Duration(i)*stopGap, kind: plannedStop, node: (node + i) % cfg.Nodes})
	}
	slices.SortStableFunc(faults, func(a, b fault) int { return int(a.at - b.at) })
	return faults
}

func drawKind(rnd *rand.Rand) (kind, time.Duration) {
	sum := 0
	for _, w := range weights {
		sum += w.weight
	}
	x := rnd.IntN(sum)
	for _, w := range weights {
		if x -= w.weight; x < 0 {
			return w.kind, time.Duration(w.least+rnd.IntN(w.most-w.least+1)) * time.Millisecond
		}
	}
	panic("dfpsoak: the weights do not add up")
}
