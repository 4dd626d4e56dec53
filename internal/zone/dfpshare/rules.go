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

// Zone is a zone's part of every rate.
type Zone struct {
	Name   string
	Region string
	// Weight is the zone's weight among the zones.
	Weight float64
}

// OrganisationRate is what an organisation may send over the whole fleet.
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
	// order holds all parts, the lead first.
	order []place
	// routes holds the parts at which an entry of this node asks.
	routes []place
}

// partsPerZone is how many homes a zone's part of a rate is divided over. So the
// death of one node takes half of it only.
const partsPerZone = 2

// place is one part of an organisation's rate: of a zone, and there of one home.
type place struct {
	zone string
	part int
}

func (p place) String() string { return partKey(p.zone, p.part) }

// partKey names a part in messages.
func partKey(name string, part int) string { return name + "/" + strconv.Itoa(part) }

// organisationOf returns the organisation's name in the name of a part.
func organisationOf(key string) string {
	return key[:max(0, strings.LastIndexByte(key, '/'))]
}

// part is one part of an organisation's rate in this zone.
type part struct {
	org   *organisation
	index int
	key   string
}

// before reports whether part x comes before y in the organisation's order.
func (o *organisation) before(x, y place) bool {
	i, j := slices.Index(o.order, x), slices.Index(o.order, y)
	return i >= 0 && (j < 0 || i < j)
}

// SetRules takes a new version of the rules; an older one is ignored.
func (s *Limiter) SetRules(now time.Time, rules Rules) {
	if rules.Version <= s.rules.Version {
		return
	}
	s.settleBuckets(now)
	for _, z := range rules.Zones {
		if !contains(s.formerZones, z.Name) {
			s.formerZones = append(s.formerZones, z.Name)
		}
	}
	before := s.rules.fractions()
	s.rules = rules
	if !maps.Equal(before, rules.fractions()) {
		s.partsVersion = rules.Version
	}
	s.confirmedAt = time.Time{}
	orgs := make(map[string]*organisation, len(rules.Organisations))
	for _, o := range rules.Organisations {
		orgs[o.Name] = s.newOrganisation(o)
	}
	s.orgs = orgs
	s.parts = make(map[string]*part, partsPerZone*len(orgs))
	for _, org := range orgs {
		for i := range partsPerZone {
			key := partKey(org.name, i)
			s.parts[key] = &part{org: org, index: i, key: key}
		}
	}
	for name, a := range s.accounts {
		if org, ok := orgs[name]; ok {
			a.org = org
		} else {
			a.org = &organisation{name: name}
			a.batches = nil // Removed: nothing more is admitted.
		}
	}
	s.adjustBuckets(now)
}

func (s *Limiter) newOrganisation(o OrganisationRate) *organisation {
	org := &organisation{
		name: o.Name, rate: o.RatePerSecond, burst: o.Burst, hash: xxhash.Sum64String(o.Name),
	}
	zones := slices.DeleteFunc(slices.Clone(s.rules.Zones), func(z Zone) bool { return z.Weight <= 0 })
	weight := func(z Zone) uint64 { return xxhash.Sum64String(o.Name + "\x00" + z.Name) }
	slices.SortFunc(zones, func(x, y Zone) int {
		return cmp.Or(cmp.Compare(weight(y), weight(x)), cmp.Compare(x.Name, y.Name))
	})
	for _, z := range zones {
		for i := range partsPerZone {
			org.order = append(org.order, place{z.Name, i})
		}
	}
	rank := func(z Zone) int {
		switch {
		case z.Name == s.cfg.Self.Zone:
			return 0
		case z.Region == s.cfg.Self.Region:
			return 1
		}
		return 2
	}
	slices.SortStableFunc(zones, func(x, y Zone) int { return cmp.Compare(rank(x), rank(y)) })
	// Which part an entry asks differs, so that the entries load both homes.
	first := int(xxhash.Sum64String(s.cfg.Self.Address+o.Name) % partsPerZone)
	for _, z := range zones {
		for i := range partsPerZone {
			org.routes = append(org.routes, place{z.Name, (first + i) % partsPerZone})
		}
	}
	return org
}

// settleBuckets brings all buckets to now, under the rules in force until now.
func (s *Limiter) settleBuckets(now time.Time) {
	for _, b := range s.buckets {
		b.refill(now, s.cfg.Unsafe)
	}
}

// adjustBuckets puts the rules and the fraction in force at all buckets.
func (s *Limiter) adjustBuckets(now time.Time) {
	f := s.fraction()
	for key, b := range s.buckets {
		if p, ok := s.parts[key]; ok {
			b.part = p
		} else {
			removed := *b.part
			removed.org = &organisation{name: b.org.name, hash: b.org.hash}
			b.part = &removed
		}
		b.rate, b.burst = b.org.rate*f/partsPerZone, b.org.burst*f/partsPerZone
		b.advance(now, s.cfg.Unsafe)
	}
}
