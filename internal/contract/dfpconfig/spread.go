package dfpconfig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Receive handles a message from another node.
func (s *State) Receive(now time.Time, rng *rand.Rand, from string, m Message) Effects {
	var e Effects
	switch m := m.(type) {
	case *VersionQuery:
		s.observeEra(m.Era, &e)
		e.Send = append(e.Send, Send{from, &VersionReport{Version: s.Version(), Nonce: m.Nonce, Age: s.age(now), Era: s.era}})
		s.pullIfNewer(now, from, m.Version, &e)
	case *VersionReport:
		s.handleReport(now, from, m, &e)
	case *Pull:
		if u := s.updateFor(m.Version); u != nil {
			e.Send = append(e.Send, Send{from, u})
		}
	case *Update:
		s.handleUpdate(now, rng, from, m, &e)
	default:
		panic(fmt.Sprintf("dfpconfig: unknown message %T", m))
	}
	return e
}

// ObserveVersion handles the version that another node sends along with other messages on a link.
func (s *State) ObserveVersion(now time.Time, from string, version uint64) Effects {
	var e Effects
	s.pullIfNewer(now, from, version, &e)
	return e
}

// pullIfNewer pulls from a node that has a newer version, unless a pull of it is in progress.
func (s *State) pullIfNewer(now time.Time, from string, version uint64, e *Effects) {
	if version <= max(s.Version(), s.rejected) || s.disabled.gossip {
		return
	}
	if now.Before(s.pullEnd) && version <= s.pullVersion {
		return
	}
	s.pullEnd = now.Add(s.cfg.PullTimeout)
	s.pullVersion = version
	e.Send = append(e.Send, Send{from, &Pull{Version: s.Version()}})
}

// handleReport handles a report. Its age counts from when the query was sent. It confirms this
// node's rules only if both nodes have the same version, so a node that was behind
// becomes fresh only by a query sent after its pull.
func (s *State) handleReport(now time.Time, from string, m *VersionReport, e *Effects) {
	s.observeEra(m.Era, e)
	s.pullIfNewer(now, from, m.Version, e)
	query, found := s.queries[from]
	if !found || m.Nonce == 0 || query.nonce != m.Nonce {
		return
	}
	delete(s.queries, from)
	if m.Age < 0 || m.Version != s.Version() {
		return
	}
	since := query.at
	if s.disabled.ageFromQuery {
		since = now
	}
	s.confirmFresh(since.Add(-m.Age))
}

// observeEra handles the platform's era that another node knows. A later one than this node's is not
// taken over, since only the platform's answers show it.
func (s *State) observeEra(era uint64, e *Effects) { e.CheckEra = e.CheckEra || era > s.era }

// confirmFresh records that the version in force was the platform's newest at the given time.
func (s *State) confirmFresh(at time.Time) {
	if !s.isFresh || at.After(s.freshAt) {
		s.freshAt, s.isFresh = at, true
	}
}

// age returns the Age of a VersionReport.
func (s *State) age(now time.Time) time.Duration {
	if !s.isFresh {
		return -1
	}
	return max(0, now.Sub(s.freshAt))
}

// updateFor returns what a node with the given version lacks, or nil if it lacks nothing.
func (s *State) updateFor(version uint64) *Update {
	if s.installed == nil || version >= s.Version() {
		return nil
	}
	u := &Update{Head: s.installed.Head}
	if version == 0 || !u.Head.hasPatches(version) {
		u.Text = s.installed.Text
	}
	return u
}

// hasPatches reports whether the history contains every patch after the given version.
func (h *Head) hasPatches(version uint64) bool {
	if !h.covers(version + 1) {
		return false
	}
	return !slices.ContainsFunc(h.History, func(a Apply) bool { return a.Version > version && a.Patch == nil })
}

// query queries one node of the zone. A query normally goes to the parent in the tree of ranks, which
// propagates freshness down quickly. Once the rules are older than parentLateAfter, every second
// query goes to a neighbour on the ring of ranks, which bypasses failed parents. Watchers also
// query one watcher of another zone. A node that knows no other node queries a seed.
func (s *State) query(now time.Time, rng *rand.Rand, e *Effects) {
	s.nonce++
	var to []string
	if len(s.zone) > 1 {
		isLate := !s.isFresh || now.Sub(s.freshAt) > parentLateAfter
		if s.rank > 0 && (s.nonce%2 == 0 || !isLate) {
			to = append(to, s.zone[(s.rank-1)/treeFanout])
		} else {
			to = append(to, s.neighbour(rng))
		}
	}
	if s.IsWatcher() && len(s.remoteWatchers) > 0 {
		to = append(to, s.remoteWatchers[rng.IntN(len(s.remoteWatchers))])
	}
	if len(to) == 0 && len(s.cfg.Seeds) > 0 {
		to = append(to, s.cfg.Seeds[rng.IntN(len(s.cfg.Seeds))])
	}
	s.dropOldQueries(now)
	for _, address := range to {
		s.queries[address] = sentQuery{s.nonce, now}
		e.Send = append(e.Send, Send{address, &VersionQuery{Version: s.Version(), Nonce: s.nonce, Era: s.era}})
	}
}

// dropOldQueries drops queries older than StaleAfter, which are unlikely to be answered. This
// bounds the map.
func (s *State) dropOldQueries(now time.Time) {
	for address, query := range s.queries {
		if now.Sub(query.at) > s.cfg.StaleAfter {
			delete(s.queries, address)
		}
	}
}

// neighbour returns a random node among those whose rank is a power of two further on the ring of
// ranks. So the number of a node's neighbours grows with the logarithm of the zone's size.
func (s *State) neighbour(rng *rand.Rand) string {
	powers := 1
	for 1<<powers < len(s.zone) {
		powers++
	}
	step := 1 << rng.IntN(powers)
	i := (s.rank + step) % len(s.zone)
	if i == s.rank {
		i = (s.rank + 1) % len(s.zone)
	}
	return s.zone[i]
}

// announce reports a new version to the children in the tree of ranks and to a few other nodes.
func (s *State) announce(rng *rand.Rand, e *Effects) {
	if s.disabled.gossip {
		return
	}
	var to []string
	for i := s.rank*treeFanout + 1; i <= s.rank*treeFanout+treeFanout && i < len(s.zone); i++ {
		to = append(to, s.zone[i])
	}
	for range extraAnnouncements {
		if len(s.zone) > 1 {
			to = append(to, s.neighbour(rng))
		}
		if s.IsWatcher() && len(s.remoteWatchers) > 0 {
			to = append(to, s.remoteWatchers[rng.IntN(len(s.remoteWatchers))])
		}
	}
	slices.Sort(to)
	for _, address := range slices.Compact(to) {
		e.Send = append(e.Send, Send{address, &VersionReport{Version: s.Version(), Age: -1, Era: s.era}})
	}
}

// sortByHash sorts addresses by their hashes, so that ranks do not follow
// the assignment of addresses to racks.
func sortByHash(addresses []string) []string {
	slices.SortFunc(addresses, func(a, b string) int {
		if x, y := xxhash.Sum64String(a), xxhash.Sum64String(b); x != y {
			if x < y {
				return -1
			}
			return 1
		}
		return 0
	})
	return addresses
}

func sortedNames(zones map[string][]string) []string {
	names := make([]string, 0, len(zones))
	for name := range zones {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
