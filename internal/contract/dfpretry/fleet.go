package dfpretry

import "time"

// FleetBudgetConfig bounds the nodes' retries at each service, summed over all nodes.
type FleetBudgetConfig struct {
	// Ratio is the largest number of retries for each request, in Window.
	Ratio  float64
	Window time.Duration
	// Slack is the number of retries in Window that the whole fleet may make in addition.
	Slack float64
}

const (
	// fleetSlots is the number of slots of the sliding window.
	fleetSlots = 10
	// fleetFraction is the fraction of the bound that nodes use for their own retries. The nested
	// calls made for a retried request count as retries at the services called, so that the
	// fractions of a chain of four services add up to the bound.
	fleetFraction = 0.25
)

// FleetBudget is one node's share of the bound on the retries at a service: a fraction of the requests
// that arrived at this node, and an equal share of the slack. The shares of all nodes add up to the bound.
// It is not safe for concurrent use.
type FleetBudget struct {
	cfg      FleetBudgetConfig
	requests [fleetSlots]int
	retries  [fleetSlots]int
	// slot is the number of the current slot, counted from the Unix epoch.
	slot int64
}

// NewFleetBudget returns an unused budget.
func NewFleetBudget(cfg FleetBudgetConfig) *FleetBudget { return &FleetBudget{cfg: cfg} }

// Count counts a request.
func (b *FleetBudget) Count(now time.Time) {
	b.advance(now)
	b.requests[b.slot%fleetSlots]++
}

// Take uses one retry and returns true if this node's share, in a fleet of the given number of
// nodes, allows it.
func (b *FleetBudget) Take(now time.Time, nodes int) bool {
	b.advance(now)
	requests, retries := 0, 0
	for i := range fleetSlots {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	bound := fleetFraction * (b.cfg.Ratio*float64(requests) + b.cfg.Slack/float64(max(nodes, 1)))
	if float64(retries+1) > bound {
		return false
	}
	b.retries[b.slot%fleetSlots]++
	return true
}

// advance clears the slots that have left the window.
func (b *FleetBudget) advance(now time.Time) {
	slot := now.UnixNano() / int64(b.cfg.Window/fleetSlots)
	b.slot = max(b.slot, slot-fleetSlots)
	for b.slot < slot {
		b.slot++
		b.requests[b.slot%fleetSlots] = 0
		b.retries[b.slot%fleetSlots] = 0
	}
}
