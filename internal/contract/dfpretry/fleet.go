package dfpretry

import "time"

// FleetConfig bounds the repeats of requests at each service, summed over all nodes.
type FleetBudgetConfig struct {
	// Ratio is the largest number of repeats for each request, in Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of repeats in Window that the whole fleet has besides.
	Slack float64
}

const (
	// fleetSlices is the number of parts in which a window is counted.
	fleetSlices = 10
	// fleetPart is the part of the bound that nodes use by themselves. The calls that a backend server
	// makes for a repeated request count as repeats at the service called, so that the parts of a chain
	// of four services add up.
	fleetPart = 0.25
)

// FleetBudget is one node's part of a service's bound on repeats: a part of the requests that
// came in here, and an equal part of the slack. The parts of all nodes add up to the bound.
// It is not safe for concurrent use.
type FleetBudget struct {
	cfg      FleetBudgetConfig
	requests [fleetSlices]int
	repeats  [fleetSlices]int
	slice    int64
}

// NewFleetBudget returns a budget of which nothing is spent.
func NewFleetBudget(cfg FleetBudgetConfig) *FleetBudget { return &FleetBudget{cfg: cfg} }

// Count counts a request.
func (b *FleetBudget) Count(now time.Time) {
	b.advance(now)
	b.requests[b.slice%fleetSlices]++
}

// Take spends one repeat, if the bound allows it with so many nodes.
func (b *FleetBudget) Take(now time.Time, nodes int) bool {
	b.advance(now)
	requests, repeats := 0, 0
	for i := range fleetSlices {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	bound := fleetPart * (b.cfg.Ratio*float64(requests) + b.cfg.Slack/float64(max(nodes, 1)))
	if float64(repeats+1) > bound {
		return false
	}
	b.repeats[b.slice%fleetSlices]++
	return true
}

// advance forgets the slices that have left the window.
func (b *FleetBudget) advance(now time.Time) {
	slice := now.UnixNano() / int64(b.cfg.Window/fleetSlices)
	b.slice = max(b.slice, slice-fleetSlices)
	for b.slice < slice {
		b.slice++
		b.requests[b.slice%fleetSlices] = 0
		b.repeats[b.slice%fleetSlices] = 0
	}
}
