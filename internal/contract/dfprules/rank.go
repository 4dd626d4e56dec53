package dfprules

import (
	"cmp"
	"slices"

	"dragonflyport/internal/contract/dfpcall"
)

// rankPair is what orders requests where the rules rank organisations and routes: the
// organisation's rank first, then the route's. 0 is the most important.
type rankPair struct{ organisation, route int }

// rankedLevels is the number of admission levels for requests with ranks. Those of open routes,
// which are nested calls, are above them.
const rankedLevels = int(dfpcall.Critical) * dfpcall.Cohorts

// rankAll spreads the pairs that can come evenly over the levels, the most important on top, so
// that a level that rises sheds from each step on without a gap.
func (s *Ruleset) rankAll() {
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

// Rank returns the importance and cohort of a request of an organisation on a route, whose own
// cohort spreads it within its step.
func (s *Ruleset) Rank(route *Route, organisation string, cohort uint8) (dfpcall.Importance, uint8) {
	if route.Rank == nil || route.Open {
		return route.Importance, cohort
	}
	pair := rankPair{route: *route.Rank}
	if o, found := s.organisations[organisation]; found {
		pair.organisation = o.rank()
	}
	step, found := s.ranks[pair]
	if !found {
		return route.Importance, cohort
	}
	width := rankedLevels / len(s.ranks)
	level := rankedLevels - 1 - step*width - int(cohort)*width/dfpcall.Cohorts
	level = max(level, 0)
	return dfpcall.Importance(level / dfpcall.Cohorts), uint8(dfpcall.Cohorts - 1 - level%dfpcall.Cohorts)
}
