package dfpconfig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Receive takes a message of another node.
func (s *State) Receive(now time.Time, rng *rand.Rand, from string, m Message) Effects {
	var e Effects
	switch m := m.(type) {
	case *VersionQuery:
		e.Send = append(e.Send, Send{from, &VersionReport{Version: s.Version(), Nonce: m.Nonce, Age: s.age(now)}})
		s.heard(now, from, m.Version, &e)
	case *VersionReport:
		s.told(now, from, m, &e)
	case *Pull:
		if u := s.update(m.Version); u != nil {
			e.Send = append(e.Send, Send{from, u})
		}
	case *Update:
		s.updated(now, rng, from, m, &e)
	default:
		panic(fmt.Sprintf("dfpconfig: unknown message %T", m))
	}
	return e
}

// ObserveVersion takes a version that another node has put on some frame of a link.
func (s *State) ObserveVersion(now time.Time, from string, version uint64) Effects {
	var e Effects
	s.heard(now, from, version, &e)
	return e
}

// heard pulls from a node that has a newer version, unless a pull is under way.
func (s *State) heard(now time.Time, from string, version uint64, e *Effects) {
	if version <= max(s.Version(), s.rejected) || s.off.spread {
		return
	}
	if now.Before(s.pullEnd) && version <= s.pullVersion {
		return
	}
	s.pullEnd = now.Add(s.cfg.PullTimeout)
	s.pullVersion = version
	e.Send = append(e.Send, Send{from, &Pull{Version: s.Version()}})
}

// told takes an answer. The age counts from when the ask was sent. It says nothing
// of what this node has unless the other's version is no newer, so a node that is behind
// becomes fresh only by the pull's successor.
func (s *State) told(now time.Time, from string, m *VersionReport, e *Effects) {
	s.heard(now, from, m.Version, e)
	ask, found := s.asked[from]
	if !found || m.Nonce == 0 || ask.nonce != m.Nonce {
		return
	}
	delete(s.asked, from)
	if m.Age < 0 || m.Version != s.Version() {
		return
	}
	since := ask.at
	if s.off.ageFromAsk {
		since = now
	}
	s.refresh(since.Add(-m.Age))
}

func (s *State) refresh(at time.Time) {
	if !s.isFresh || at.After(s.freshAt) {
		s.freshAt, s.isFresh = at, true
	}
}

// age is what a VersionReport says.
func (s *State) age(now time.Time) time.Duration {
	if !s.isFresh {
		return -1
	}
	return max(0, now.Sub(s.freshAt))
}

// update returns what a node with a version lacks, or nil.
func (s *State) update(version uint64) *Update {
	if s.installed == nil || version >= s.Version() {
		return nil
	}
	u := &Update{Head: s.installed.Head}
	if version == 0 || !u.Head.hasPatches(version) {
		u.Text = s.installed.Text
	}
	return u
}

// hasPatches reports whether the history has every patch after a version.
func (h *Head) hasPatches(version uint64) bool {
	if !h.covers(version + 1) {
		return false
	}
	return !slices.ContainsFunc(h.History, func(a Apply) bool { return a.Version > version && a.Patch == nil })
}

// ask asks one node of the zone. The parent in the tree of ranks brings word of the platform
// down quickly; once such word is late, every second ask goes to a node near on the
// ring, which gets round dead parents. Watchers also ask one watcher of another zone.
func (s *State) ask(now time.Time, rng *rand.Rand, e *Effects) {
	s.nonce++
	var to []string
	if len(s.zone) > 1 {
		isLate := !s.isFresh || now.Sub(s.freshAt) > lateWord
		if s.rank > 0 && (s.nonce%2 == 0 || !isLate) {
			to = append(to, s.zone[(s.rank-1)/treeFanout])
		} else {
			to = append(to, s.neighbour(rng))
		}
	}
	if s.IsWatcher() && len(s.remote) > 0 {
		to = append(to, s.remote[rng.IntN(len(s.remote))])
	}
	if len(to) == 0 && len(s.cfg.Seeds) > 0 {
		to = append(to, s.cfg.Seeds[rng.IntN(len(s.cfg.Seeds))])
	}
	s.forgetAsks(now)
	for _, address := range to {
		s.asked[address] = sentAsk{s.nonce, now}
		e.Send = append(e.Send, Send{address, &VersionQuery{Version: s.Version(), Nonce: s.nonce}})
	}
}

// forgetAsks drops asks that will hardly be answered, which bounds the map.
func (s *State) forgetAsks(now time.Time) {
	for address, a := range s.asked {
		if now.Sub(a.at) > s.cfg.StaleAfter {
			delete(s.asked, address)
		}
	}
}

// neighbour returns a node whose rank is a power of two further round the ring. So a
// node has a link to a number of others that grows with the logarithm of the zone.
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

// tell tells the children in the tree and a few others of a new version.
func (s *State) tell(rng *rand.Rand, e *Effects) {
	if s.off.spread {
		return
	}
	var to []string
	for i := s.rank*treeFanout + 1; i <= s.rank*treeFanout+treeFanout && i < len(s.zone); i++ {
		to = append(to, s.zone[i])
	}
	for range extraTells {
		if len(s.zone) > 1 {
			to = append(to, s.neighbour(rng))
		}
		if s.IsWatcher() && len(s.remote) > 0 {
			to = append(to, s.remote[rng.IntN(len(s.remote))])
		}
	}
	slices.Sort(to)
	for _, address := range slices.Compact(to) {
		e.Send = append(e.Send, Send{address, &VersionReport{Version: s.Version(), Age: -1}})
	}
}

// ranked returns addresses in the order of their hashes, so that ranks say nothing
// about racks.
func ranked(addresses []string) []string {
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
