package dfpshare

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Rules is the part of the configuration that a Limiter needs.
type Rules struct {
	Version       uint64
	Zones         []Zone
	Organisations []OrganisationRate
}

// Zone is a zone and its weight.
type Zone struct {
	Name   string
	Region string
	// Weight divided by the sum of all zones' weights is the zone's fraction of every rate.
	Weight float64
}

// OrganisationRate is the limit of an organisation over the whole fleet.
type OrganisationRate struct {
	Name          string
	RatePerSecond float64
	// Burst is in requests.
	Burst float64
}

// organisation is an organisation under the rules in force.
type organisation struct {
	name        string
	rate, burst float64
	hash        uint64
	// order holds all parts in the order in which they become the leader.
	order []partID
	// routes holds the parts in the order in which this node, as an entry node, requests tokens from them.
	routes []partID
}

// partsPerZone is the number of parts of a zone's fraction of a rate. With two homes, the loss of one node
// affects only half of the fraction.
const partsPerZone = 2

// partID identifies a part of an organisation's rate by its zone and its index there.
type partID struct {
	zone  string
	index int
}

func (p partID) String() string { return partKey(p.zone, p.index) }

// partKey returns the name of a part in messages.
func partKey(name string, part int) string { return name + "/" + strconv.Itoa(part) }

// organisationOf returns the organisation's name from the name of a part.
func organisationOf(key string) string {
	return key[:max(0, strings.LastIndexByte(key, '/'))]
}

// part is a part of an organisation's rate in this zone.
type part struct {
	org   *organisation
	index int
	key   string
}

// before reports whether part x precedes y in the organisation's order.
func (o *organisation) before(x, y partID) bool {
	i, j := slices.Index(o.order, x), slices.Index(o.order, y)
	return i >= 0 && (j < 0 || i < j)
}

// SetRules puts a new version of the rules in force; an older one is ignored.
func (lim *Limiter) SetRules(now time.Time, rules Rules) {
	if rules.Version <= lim.rules.Version {
		return
	}
	lim.refillBuckets(now)
	for _, z := range rules.Zones {
		if !contains(lim.knownZones, z.Name) {
			lim.knownZones = append(lim.knownZones, z.Name)
		}
	}
	before := lim.rules.fractions()
	lim.rules = rules
	if !maps.Equal(before, rules.fractions()) {
		lim.fractionsVersion = rules.Version
	}
	lim.allConfirmedAt = time.Time{}
	orgs := make(map[string]*organisation, len(rules.Organisations))
	for _, o := range rules.Organisations {
		orgs[o.Name] = lim.newOrganisation(o)
	}
	lim.orgs = orgs
	lim.parts = make(map[string]*part, partsPerZone*len(orgs))
	for _, org := range orgs {
		for i := range partsPerZone {
			key := partKey(org.name, i)
			lim.parts[key] = &part{org: org, index: i, key: key}
		}
	}
	for name, a := range lim.accounts {
		if org, ok := orgs[name]; ok {
			a.org = org
		} else {
			a.org = &organisation{name: name}
			a.batches = nil // The organisation was removed: nothing more is admitted.
		}
	}
	lim.adjustBuckets(now)
}

func (lim *Limiter) newOrganisation(o OrganisationRate) *organisation {
	org := &organisation{
		name: o.Name, rate: o.RatePerSecond, burst: o.Burst, hash: xxhash.Sum64String(o.Name),
	}
	zones := slices.DeleteFunc(slices.Clone(lim.rules.Zones), func(z Zone) bool { return z.Weight <= 0 })
	weight := func(z Zone) uint64 { return xxhash.Sum64String(o.Name + "\x00" + z.Name) }
	slices.SortFunc(zones, func(x, y Zone) int {
		return cmp.Or(cmp.Compare(weight(y), weight(x)), cmp.Compare(x.Name, y.Name))
	})
	for _, z := range zones {
		for i := range partsPerZone {
			org.order = append(org.order, partID{z.Name, i})
		}
	}
	rank := func(z Zone) int {
		switch {
		case z.Name == lim.cfg.Self.Zone:
			return 0
		case z.Region == lim.cfg.Self.Region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(zones, func(x, y Zone) int { return cmp.Compare(rank(x), rank(y)) })
	// The first part depends on the node, so that the entry nodes spread their load over both homes.
	first := int(xxhash.Sum64String(lim.cfg.Self.Address+o.Name) % partsPerZone)
	for _, z := range zones {
		for i := range partsPerZone {
			org.routes = append(org.routes, partID{z.Name, (first + i) % partsPerZone})
		}
	}
	return org
}

// refillBuckets advances all buckets to now, under the rules in force until now.
func (lim *Limiter) refillBuckets(now time.Time) {
	for _, b := range lim.buckets {
		b.refill(now, lim.cfg.Unsafe)
	}
}

// adjustBuckets applies the rules and the fraction in force to all buckets.
func (lim *Limiter) adjustBuckets(now time.Time) {
	f := lim.fraction()
	for key, b := range lim.buckets {
		if p, ok := lim.parts[key]; ok {
			b.part = p
		} else {
			removed := *b.part
			removed.org = &organisation{name: b.org.name, hash: b.org.hash}
			b.part = &removed
		}
		b.rate, b.burst = b.org.rate*f/partsPerZone, b.org.burst*f/partsPerZone
		b.advance(now, lim.cfg.Unsafe)
	}
}
