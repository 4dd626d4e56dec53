package dfprules

import (
	"cmp"
	"slices"

	"dragonflyport/internal/contract/dfpcall"
)

// rankPair orders requests if the rules rank organisations and routes: by the organisation's rank
// first, then by the route's. 0 is the most important.
type rankPair struct{ organisation, route int }

// rankedLevels is the number of admission levels for requests with ranks. Requests on open routes, which
// are nested calls, have levels above them.
const rankedLevels = int(dfpcall.Critical) * dfpcall.Cohorts

// orderRanks numbers the rank pairs that can occur, from the most important. Rank spreads the pairs
// evenly over the levels, the most important highest, so that a rising admission level starts to shed each
// pair as soon as all requests of the pair below are shed.
func (s *Ruleset) orderRanks() {
	seen := map[rankPair]bool{}
	for _, r := range s.Routes {
		if r.Rank == nil || r.Open {
			continue
		}
		if len(s.Organisations) == 0 {
			seen[rankPair{0, *r.Rank}] = true
		}
		for _, o := range s.Organisations {
			seen[rankPair{o.rank(), *r.Rank}] = true
		}
	}
	pairs := make([]rankPair, 0, len(seen))
	for pair := range seen {
		pairs = append(pairs, pair)
	}
	slices.SortFunc(pairs, func(a, b rankPair) int {
		return cmp.Or(a.organisation-b.organisation, a.route-b.route)
	})
	s.ranks = make(map[rankPair]int, len(pairs))
	for i, pair := range pairs {
		s.ranks[pair] = i
	}
}

func (o *Organisation) rank() int {
	if o.Rank == nil {
		return 0
	}
	return *o.Rank
}

// Rank returns the importance and cohort by which a request of an organisation on a route is admitted.
// If the route has a rank, they follow from the rank pair, and the request's own cohort chooses a level
// among those of the pair.
func (s *Ruleset) Rank(route *Route, organisation string, cohort uint8) (dfpcall.Importance, uint8) {
	if route.Rank == nil || route.Open {
		return route.Importance, cohort
	}
	pair := rankPair{route: *route.Rank}
	if o, found := s.organisations[organisation]; found {
		pair.organisation = o.rank()
	}
	index, found := s.ranks[pair]
	if !found {
		return route.Importance, cohort
	}
	width := rankedLevels / len(s.ranks)
	level := rankedLevels - 1 - index*width - int(cohort)*width/dfpcall.Cohorts
	level = max(level, 0)
	return dfpcall.Importance(level / dfpcall.Cohorts), uint8(dfpcall.Cohorts - 1 - level%dfpcall.Cohorts)
}
