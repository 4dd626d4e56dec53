package dfpquota

import (
	"slices"
	"strings"
	"time"
)

// allotter divides the rates among the nodes that report to this one.
type allotter struct {
	reporters map[string]*reporter
	// majoritySince is since when a majority of the fleet has been reporting here.
	majoritySince time.Time
	hasMajority   bool
	reserves      map[string]*reserve
	// inheritedUntil is until when the allotter gives from reserves that another one handed over.
	inheritedUntil time.Time
	// majorityDue is when a majority must be reporting to one that has inherited. Until then nodes
	// that report to nobody use no more than the allotments that they had.
	majorityDue time.Time
}

// reporter is a node that reports here.
type reporter struct {
	heard   time.Time
	demands map[string]float64
	// held is the nonce of the last allotment that the node has had; 0 if it never had one.
	held uint64
	// given holds the allotments that may still be in use, the newest last.
	given []given
}

// given is what one node got, by organisation.
type given struct {
	at        time.Time
	nonce     uint64
	perSecond map[string]float64
}

func newAllotter() allotter {
	return allotter{reporters: map[string]*reporter{}, reserves: map[string]*reserve{}}
}

// report takes one report and returns the answer; false if the node must make do with its floor.
func (a *allotter) report(now time.Time, from string, m Message, limits map[string]float64, nodes int) (Message, bool) {
	r := a.reporters[from]
	if r == nil {
		r = &reporter{}
		a.reporters[from] = r
	}
	r.heard, r.held = now, m.HeldSequence
	r.demands = make(map[string]float64, len(m.Rates))
	for _, d := range m.Rates {
		r.demands[d.Organisation] = max(0, d.Value)
	}
	r.given = slices.DeleteFunc(r.given, func(g given) bool { return g.nonce < m.HeldSequence })
	a.forget(now)
	a.count(now, nodes)
	if !a.established(now) {
		// A new process lives on the reserve meanwhile, which leaves no room for its floor.
		return Message{Sequence: m.Sequence}, m.HeldSequence == 0 && a.gives(now)
	}
	answer := Message{Sequence: m.Sequence}
	perSecond := make(map[string]float64, len(limits))
	for name, limit := range limits {
		if share := a.share(from, name, limit, nodes); share > 0 {
			perSecond[name] = share
			answer.Rates = append(answer.Rates, Amount{name, share})
		}
	}
	r.given = append(r.given, given{now, m.Sequence, perSecond})
	return answer, true
}

// spot takes tokens from an organisation's reserve, of which a window has so many.
func (a *allotter) spot(now time.Time, ask Amount, window time.Duration, number float64) float64 {
	if !a.gives(now) {
		return 0
	}
	return a.reserveOf(now, window, ask.Organisation, number).take(now, window, number, ask.Value)
}

// reserveOf returns an organisation's reserve. One that nobody has asked for counts as spent evenly, unless
// this allotter has had it for a whole window.
func (a *allotter) reserveOf(now time.Time, window time.Duration, organisation string, number float64) *reserve {
	r := a.reserves[organisation]
	if r == nil {
		if a.hasMajority && now.Sub(a.majoritySince) >= window+AllocationTTL {
			number = 0
		}
		r = newReserve(now, window, number)
		a.reserves[organisation] = r
	}
	return r
}

// gives reports whether the allotter may give from its reserves.
func (a *allotter) gives(now time.Time) bool {
	return a.established(now) || now.Before(a.inheritedUntil) && (a.hasMajority || now.Before(a.majorityDue))
}

// established reports whether a majority of the fleet has been reporting here for so long that no
// other allotter's word is in use.
func (a *allotter) established(now time.Time) bool {
	return a.hasMajority && now.Sub(a.majoritySince) >= AllocationTTL
}

// handOver returns what was spent of the reserves, and for how long the next allotter may go on with
// them; 0 if this one gave nothing. It forgets all: from now on it gives nothing. One that has only
// inherited itself passes on what is left of its time, since nodes without allotments use their floors
// meanwhile.
func (a *allotter) handOver(now time.Time, window time.Duration) (life time.Duration, spent []ReserveUsage) {
	life = max(0, a.inheritedUntil.Sub(now))
	if a.established(now) {
		life = inheritLife
	}
	for organisation, r := range a.reserves {
		spent = append(spent, ReserveUsage{organisation, r.spent(now, window)})
	}
	*a = newAllotter()
	slices.SortFunc(spent, func(a, b ReserveUsage) int { return strings.Compare(a.Organisation, b.Organisation) })
	return life, spent
}

// inherit goes on with the reserves of another allotter. What was given here counts, too.
func (a *allotter) inherit(now time.Time, window, life time.Duration, spent []ReserveUsage) {
	if !a.gives(now) {
		a.reserves = map[string]*reserve{}
	}
	a.inheritedUntil, a.majorityDue = now.Add(min(life, inheritLife)), now.Add(newsTime)
	for _, s := range spent {
		r := a.reserves[s.Organisation]
		if r == nil {
			r = newReserve(now, window, 0)
			a.reserves[s.Organisation] = r
		}
		r.add(now, window, s.Slices)
	}
}

// forget drops what has lapsed. The margin over AllotmentLife covers clocks that differ in speed.
func (a *allotter) forget(now time.Time) {
	const kept = AllocationTTL + AllocationTTL/20
	for from, r := range a.reporters {
		for len(r.given) > 0 && now.Sub(r.given[0].at) > kept {
			r.given = r.given[1:]
		}
		if now.Sub(r.heard) > kept {
			delete(a.reporters, from)
		}
	}
}

// count notes whether a majority of the fleet is reporting here, and since when.
func (a *allotter) count(now time.Time, nodes int) {
	if nodes == 0 || 2*len(a.reporters) <= nodes {
		a.hasMajority = false
		return
	}
	if !a.hasMajority {
		a.hasMajority, a.majoritySince = true, now
		if !now.Before(a.inheritedUntil) {
			// Meanwhile nodes have used their floors, or another allotter's reserve.
			a.reserves = map[string]*reserve{}
		}
	}
	if !a.established(now) && len(a.reporters) == nodes && a.nothingHeld() {
		a.majoritySince = now.Add(-AllocationTTL)
	}
}

// nothingHeld reports whether none of the reporting processes has ever had an allotment. If they are the
// whole fleet, as after all have lost power, nothing that an earlier allotter gave can be in use.
func (a *allotter) nothingHeld() bool {
	for _, r := range a.reporters {
		if r.held != 0 {
			return false
		}
	}
	return true
}

// share returns what a node may use of an organisation's limit, in requests a second. The nodes' demands are met first, with headroom and
// in proportion if there is not enough; what is left over is divided evenly.
func (a *allotter) share(from, organisation string, limit float64, nodes int) float64 {
	reporters := float64(len(a.reporters))
	silent := max(0, float64(nodes)-reporters)
	available := (1-ReserveFraction)*limit - silent*FloorFraction*limit/float64(nodes)
	var wanted, out, own float64
	for address, r := range a.reporters {
		want := r.demands[organisation] * headroom
		wanted += want
		if address == from {
			own = want
		} else {
			out += r.outstanding(organisation)
		}
	}
	spare := sparePart * available
	if wanted <= available-spare {
		spare = available - wanted
	} else {
		own *= (available - spare) / wanted
	}
	return max(0, min(own+spare/reporters, available-out))
}

// outstanding returns what a node was last given. An earlier allotment that it still uses, because
// the last was lost, differs little, as demands fade slowly; the tolerance covers that.
func (r *reporter) outstanding(organisation string) float64 {
	if len(r.given) == 0 {
		return 0
	}
	return r.given[len(r.given)-1].perSecond[organisation]
}
