package dfpquota

import "time"

// allotter divides the rates among the nodes that report to this one.
type allotter struct {
	reporters map[string]*reporter
	// majoritySince is since when a majority of the fleet has been reporting here.
	majoritySince time.Time
	hasMajority   bool
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
	perSecond map[string]float64
}

func newAllotter() allotter { return allotter{reporters: map[string]*reporter{}} }

// report takes one report and returns the answer; false if the node must make do with its floor.
func (a *allotter) report(now time.Time, from string, m Message, buckets map[string]*bucket, nodes int) (Message, bool) {
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
	a.forget(now)
	if !a.established(now, nodes) {
		return Message{}, false
	}
	answer := Message{Nonce: m.Nonce}
	perSecond := make(map[string]float64, len(buckets))
	for name, b := range buckets {
		if share := a.share(from, b.organisation, nodes); share > 0 {
			perSecond[name] = share
			answer.Demands = append(answer.Demands, Demand{name, share})
		}
	}
	r.given = append(r.given, given{now, perSecond})
	return answer, true
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
	}
	return now.Sub(a.majoritySince) >= AllotmentLife
}

// share returns what a node may use of a rate. The nodes' demands are met first, with headroom and
// in proportion if there is not enough; what is left over is divided evenly.
func (a *allotter) share(from string, o Organisation, nodes int) float64 {
	if o.Rate <= 0 {
		return 0
	}
	reporters := float64(len(a.reporters))
	silent := max(0, float64(nodes)-reporters)
	available := o.Rate - silent*FloorPart*o.Rate/float64(nodes)
	var wanted, out, own float64
	for address, r := range a.reporters {
		want := r.demands[o.Name] * headroom
		wanted += want
		if address == from {
			own = want
		} else {
			out += r.outstanding(o.Name)
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

// outstanding returns the most that a node may be using.
func (r *reporter) outstanding(organisation string) float64 {
	most := 0.0
	for _, g := range r.given {
		most = max(most, g.perSecond[organisation])
	}
	return most
}
