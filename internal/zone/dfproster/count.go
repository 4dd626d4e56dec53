package dfproster

import "time"

// settleTime is how long after another VM was first known the list counts as complete without the platform's
// list: two comparisons of lists between nodes.
const settleTime = 2 * compareInterval

// FleetSummary is the size of the fleet and the VM on which nodes that know the same fleet agree.
type FleetSummary struct {
	// VMs is the number of VMs that have not left, those that cannot be reached at present included.
	VMs int
	// First is the lowest address of a VM that can be reached and is not draining; empty if there is none.
	First string
}

// Summary returns a summary of the fleet. It is zero until the list of VMs counts as complete: a node that has
// just started and counts only itself would claim for itself what is meant for the whole fleet. A VM whose
// address refuses connections counts until its lease has expired, since a partition may have the same symptom.
func (r *Roster) Summary(now time.Time) FleetSummary {
	var s FleetSummary
	if !r.hasPlatformList && (r.firstPeerAt.IsZero() || now.Sub(r.firstPeerAt) < settleTime) {
		return s
	}
	for _, address := range r.addresses {
		rec := r.records[address]
		if rec.vm.Left || rec.state == StateDead && rec.leaseExpired {
			continue
		}
		s.VMs++
		if rec.state == StateUp && rec.failures == 0 && !rec.vm.Draining && s.First == "" {
			s.First = address
		}
	}
	return s
}
