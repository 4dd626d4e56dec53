package dfproster

import "time"

// settleTime is how long after another VM was first known the list counts as known without the platform's:
// two comparisons of lists between nodes.
const settleTime = 2 * compareInterval

// FleetSummary is how many VMs the fleet has, and the one that those who see the same fleet agree on.
type FleetSummary struct {
	// VMs is the number of those that have not left, also of those that cannot be reached at present.
	VMs int
	// First is the first by address of those that can be reached and do not drain; empty if there is none.
	First string
}

// Summary counts the fleet. It is zero until the list of VMs is known: a node that has just started and counts
// only itself would take the fleet's part for its own. A VM whose address refuses connections
// counts until its lease has lapsed, since a partition may look like that.
func (r *Roster) Summary(now time.Time) FleetSummary {
	var c FleetSummary
	if !r.listed && (r.metAt.IsZero() || now.Sub(r.metAt) < settleTime) {
		return c
	}
	for _, address := range r.addresses {
		rec := r.records[address]
		if rec.vm.Left || rec.state == StateDead && rec.lapsed {
			continue
		}
		c.VMs++
		if rec.state == StateUp && rec.failures == 0 && !rec.vm.Draining && c.First == "" {
			c.First = address
		}
	}
	return c
}
