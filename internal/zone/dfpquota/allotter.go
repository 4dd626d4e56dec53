package dfpquota

import (
	"slices"
	"time"
)

// allotter divides the rates among the nodes that report to this one.
type allotter struct {
	reporters map[string]*reporter
	// majoritySince is since when a majority of the fleet has been reporting here.
	majoritySince time.Time
	hasMajority   bool
	reserves      map[string]*reserve
}

// reporter is a node that reports here.
type reporter struct {
	heard   time.Time
	demands map[string]float64
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
	r.heard = now
	r.demands = make(map[string]float64, len(m.Demands))
	for _, d := range m.Demands {
		r.demands[d.Organisation] = max(0, d.PerSecond)
	}
	r.given = slices.DeleteFunc(r.given, func(g given) bool { return g.nonce < m.Held })
	a.forget(now)
	if !a.established(now, nodes) {
		return Message{}, false
	}
	answer := Message{Nonce: m.Nonce}
	perSecond := make(map[string]float64, len(limits))
	for name, limit := range limits {
		if share := a.share(from, name, limit, nodes); share > 0 {
			perSecond[name] = share
			answer.Demands = append(answer.Demands, Demand{name, share})
		}
	}
	r.given = append(r.given, given{now, m.Nonce, perSecond})
	return answer, true
}

// spot takes tokens from an organisation's reserve, of which a window has so many.
func (a *allotter) spot(now time.Time, ask Demand, window time.Duration, number float64) float64 {
	if !a.hasMajority || now.Sub(a.majoritySince) < AllotmentLife {
		return 0
	}
	r := a.reserves[ask.Organisation]
	if r == nil {
		r = newReserve(now, window, number)
		a.reserves[ask.Organisation] = r
	}
	return r.take(now, window, number, ask.PerSecond)
}

// forget drops what has lapsed. The margin over AllotmentLife covers clocks that differ in speed.
func (a *allotter) forget(now time.Time) {
	const kept = AllotmentLife + AllotmentLife/20
	for from, r := range a.reporters {
		for len(r.given) > 0 && now.Sub(r.given[0].at) > kept {
			r.given = r.given[1:]
		}
		if now.Sub(r.heard) > kept {
			delete(a.reporters, from)
		}
	}
}

// established reports whether a majority of the fleet has been reporting here for so long that no
// other allotter's word is in use.
func (a *allotter) established(now time.Time, nodes int) bool {
	if 2*len(a.reporters) <= nodes {
		a.hasMajority = false
		return false
	}
	if !a.hasMajority {
		a.hasMajority, a.majoritySince = true, now
		// Meanwhile nodes have used their floors, or another allotter's reserve.
		a.reserves = map[string]*reserve{}
	}
	return now.Sub(a.majoritySince) >= AllotmentLife
}

// share returns what a node may use of an organisation's limit, in requests a second. The nodes' demands are met first, with headroom and
// in proportion if there is not enough; what is left over is divided evenly.
func (a *allotter) share(from, organisation string, limit float64, nodes int) float64 {
	reporters := float64(len(a.reporters))
	silent := max(0, float64(nodes)-reporters)
	available := (1-ReservePart)*limit - silent*FloorPart*limit/float64(nodes)
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
