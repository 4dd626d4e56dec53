package dfpquota

import (
	"slices"
	"strings"
	"time"
)

// allocator divides the rates among the nodes that report to this one.
type allocator struct {
	reporters map[string]*reporter
	// majoritySince is when a majority of the fleet began to report here without a break.
	majoritySince time.Time
	hasMajority   bool
	reserves      map[string]*reserve
	// handoverUntil is until when the allocator grants from reserves that another one handed over.
	handoverUntil time.Time
	// majorityDeadline is when a majority must report here after a handover. Until then nodes that
	// report to no allocator use no more than the allocations that they had.
	majorityDeadline time.Time
}

// reporter is a node that reports here.
type reporter struct {
	lastReport time.Time
	// demands are in requests a second, by organisation.
	demands map[string]float64
	// heldSequence is HeldSequence of the last report; 0 if the process has never had an allocation.
	heldSequence uint64
	// allocations holds the allocations that may still be in use, the newest last.
	allocations []allocation
}

// allocation is what one node was allocated, by organisation.
type allocation struct {
	at        time.Time
	sequence  uint64
	perSecond map[string]float64
}

func newAllocator() allocator {
	return allocator{reporters: map[string]*reporter{}, reserves: map[string]*reserve{}}
}

// handleReport records one report and returns its answer; false if there is none, so that the node
// has only its floor.
func (a *allocator) handleReport(now time.Time, from string, m Message, limits map[string]float64, nodes int) (Message, bool) {
	r := a.reporters[from]
	if r == nil {
		r = &reporter{}
		a.reporters[from] = r
	}
	r.lastReport, r.heldSequence = now, m.HeldSequence
	r.demands = make(map[string]float64, len(m.Rates))
	for _, d := range m.Rates {
		r.demands[d.Organisation] = max(0, d.Value)
	}
	r.allocations = slices.DeleteFunc(r.allocations, func(g allocation) bool { return g.sequence < m.HeldSequence })
	a.expire(now)
	a.updateMajority(now, nodes)
	if !a.established(now) {
		// Until the allocator is established, a new process gets an empty allocation: it uses tokens
		// of the reserve, which leaves no room for its floor.
		return Message{Sequence: m.Sequence}, m.HeldSequence == 0 && a.mayGrant(now)
	}
	answer := Message{Sequence: m.Sequence}
	perSecond := make(map[string]float64, len(limits))
	for name, limit := range limits {
		if share := a.share(from, name, limit, nodes); share > 0 {
			perSecond[name] = share
			answer.Rates = append(answer.Rates, Amount{name, share})
		}
	}
	r.allocations = append(r.allocations, allocation{now, m.Sequence, perSecond})
	return answer, true
}

// takeTokens takes the requested tokens, or as many as there are, from an organisation's reserve of
// perWindow tokens in each window. It returns the number taken.
func (a *allocator) takeTokens(now time.Time, request Amount, window time.Duration, perWindow float64) float64 {
	if !a.mayGrant(now) {
		return 0
	}
	return a.reserveOf(now, window, request.Organisation, perWindow).take(now, window, perWindow, request.Value)
}

// reserveOf returns an organisation's reserve. A reserve that has not been used here counts as
// granted evenly, unless this allocator has been the only one to grant from it for a whole window.
func (a *allocator) reserveOf(now time.Time, window time.Duration, organisation string, perWindow float64) *reserve {
	r := a.reserves[organisation]
	if r == nil {
		if a.hasMajority && now.Sub(a.majoritySince) >= window+AllocationTTL {
			perWindow = 0
		}
		r = newReserve(now, window, perWindow)
		a.reserves[organisation] = r
	}
	return r
}

// mayGrant reports whether the allocator may grant tokens from its reserves.
func (a *allocator) mayGrant(now time.Time) bool {
	return a.established(now) || now.Before(a.handoverUntil) && (a.hasMajority || now.Before(a.majorityDeadline))
}

// established reports whether a majority of the fleet has reported here for so long that no
// allocation of another allocator is in use.
func (a *allocator) established(now time.Time) bool {
	return a.hasMajority && now.Sub(a.majoritySince) >= AllocationTTL
}

// handOver returns what was granted from the reserves, and for how long the next allocator may grant
// from them; 0 if this one granted nothing. It resets the allocator, which from then on grants nothing.
// An allocator that still depends on a handover itself passes on the rest of that handover's time,
// since nodes whose allocations expire meanwhile use their floors.
func (a *allocator) handOver(now time.Time, window time.Duration) (ttl time.Duration, usage []ReserveUsage) {
	ttl = max(0, a.handoverUntil.Sub(now))
	if a.established(now) {
		ttl = handoverTTL
	}
	for organisation, r := range a.reserves {
		usage = append(usage, ReserveUsage{organisation, r.usage(now, window)})
	}
	*a = newAllocator()
	slices.SortFunc(usage, func(a, b ReserveUsage) int { return strings.Compare(a.Organisation, b.Organisation) })
	return ttl, usage
}

// takeOver continues the reserves of another allocator. What was granted here counts, too.
func (a *allocator) takeOver(now time.Time, window, ttl time.Duration, usage []ReserveUsage) {
	if !a.mayGrant(now) {
		a.reserves = map[string]*reserve{}
	}
	a.handoverUntil, a.majorityDeadline = now.Add(min(ttl, handoverTTL)), now.Add(allocatorChangeTime)
	for _, u := range usage {
		r := a.reserves[u.Organisation]
		if r == nil {
			r = newReserve(now, window, 0)
			a.reserves[u.Organisation] = r
		}
		r.add(now, window, u.Slices)
	}
}

// expire removes expired allocations and nodes that no longer report. The margin over AllocationTTL
// covers clocks that run at different speeds.
func (a *allocator) expire(now time.Time) {
	const retention = AllocationTTL + AllocationTTL/20
	for from, r := range a.reporters {
		for len(r.allocations) > 0 && now.Sub(r.allocations[0].at) > retention {
			r.allocations = r.allocations[1:]
		}
		if now.Sub(r.lastReport) > retention {
			delete(a.reporters, from)
		}
	}
}

// updateMajority records whether a majority of the fleet reports here, and since when.
func (a *allocator) updateMajority(now time.Time, nodes int) {
	if nodes == 0 || 2*len(a.reporters) <= nodes {
		a.hasMajority = false
		return
	}
	if !a.hasMajority {
		a.hasMajority, a.majoritySince = true, now
		if !now.Before(a.handoverUntil) {
			// Without a majority here, nodes have used their floors or another allocator's reserve.
			a.reserves = map[string]*reserve{}
		}
	}
	if !a.established(now) && len(a.reporters) == nodes && a.noAllocationHeld() {
		a.majoritySince = now.Add(-AllocationTTL)
	}
}

// noAllocationHeld reports whether none of the reporting processes has ever had an allocation. If they
// are the whole fleet, as after all have lost power, no earlier allocation can be in use.
func (a *allocator) noAllocationHeld() bool {
	for _, r := range a.reporters {
		if r.heldSequence != 0 {
			return false
		}
	}
	return true
}

// share returns what a node may use of an organisation's limit, in requests a second. It meets the
// nodes' demands with headroom first, in proportion if there is not enough, and divides what is left
// evenly.
func (a *allocator) share(from, organisation string, limit float64, nodes int) float64 {
	reporters := float64(len(a.reporters))
	silent := max(0, float64(nodes)-reporters)
	available := (1-ReserveFraction)*limit - silent*FloorFraction*limit/float64(nodes)
	var wanted, allocatedToOthers, own float64
	for address, r := range a.reporters {
		want := r.demands[organisation] * headroom
		wanted += want
		if address == from {
			own = want
		} else {
			allocatedToOthers += r.outstanding(organisation)
		}
	}
	even := evenFraction * available
	if wanted <= available-even {
		even = available - wanted
	} else {
		own *= (available - even) / wanted
	}
	return max(0, min(own+even/reporters, available-allocatedToOthers))
}

// outstanding returns the node's last allocation, in requests a second. The node may still use an earlier
// one if the last was lost. The two differ little, as demands decay slowly; the tolerance covers
// the difference.
func (r *reporter) outstanding(organisation string) float64 {
	if len(r.allocations) == 0 {
		return 0
	}
	return r.allocations[len(r.allocations)-1].perSecond[organisation]
}
