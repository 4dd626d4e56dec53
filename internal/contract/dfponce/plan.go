package dfponce

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// slack is the number of slots by which processes may differ in any case.
const slack = 3

// maxCopying bounds the slots of a zone that are moved at once to spread the load.
const maxCopying = 4

// Candidate is a process of the zone as the planner of a table sees it.
type Candidate struct {
	Member Member
	// Alive is false if the process is believed dead. Being wrong costs
	// copying, not safety.
	Alive bool
	// Terminated is true only on proof that the process has ended: its address refuses
	// connections, another incarnation answers there, or it said that it left.
	Terminated bool
	// Draining processes are about to stop and are given no slots.
	Draining bool
}

// Copied reports that a slot's new member has copied all claims in an epoch.
type CopiedSlot struct {
	Slot  int    `cbor:"slot" json:"slot"`
	Epoch uint64 `cbor:"epoch" json:"epoch"`
}

// Plan is what NextSlotTable goes by.
type PlanInput struct {
	// Zone names the zone, and Slots the number of slots of a new table.
	Zone  string
	Slots int
	// Self is the process that plans. The table that it plans from must have
	// been given to its Claims before.
	Self Member
	// Now is the time in milliseconds since 1970.
	Now        int64
	Candidates []Candidate
	Copied     []CopiedSlot
}

// NextSlotTable returns the table that should follow prev, and whether it differs.
// The zero SlotTable is the table of a zone that never had one.
//
// A member that is believed dead or about to leave is replaced as long as the
// others can tell all claims. Where they can't, the slot's claims are given up only
// once it is sure that nobody can be granted a claim of an earlier epoch any more.
// Until then the slot stays as it is, and keys of that slot are refused.
func NextSlotTable(prev SlotTable, plan PlanInput) (SlotTable, bool) {
	p := newPlanner(plan)
	next := SlotTable{Zone: plan.Zone, Version: prev.Version + 1}
	if len(prev.Slots) == 0 {
		return p.first(next)
	}
	for _, s := range prev.Slots {
		s.Members = slices.Clone(s.Members)
		next.Slots = append(next.Slots, s)
	}
	for _, c := range plan.Copied {
		p.setSynced(next, c)
	}
	for _, s := range next.Slots {
		if !s.synced() {
			p.copying++
		}
		for _, m := range s.Members {
			p.kept[m.Member]++
		}
	}
	changed := false
	for i := range next.Slots {
		next.Slots[i] = p.next(i, next.Slots[i])
		changed = changed || !next.Slots[i].equal(prev.Slots[i])
	}
	if !changed {
		return prev, false
	}
	return next, true
}

// planner makes one table.
type planner struct {
	plan    PlanInput
	byName  map[Member]Candidate
	able    []Member // Alive and not leaving.
	copying int
	// kept is the number of slots that each process keeps.
	kept map[Member]int
}

func newPlanner(plan PlanInput) *planner {
	p := &planner{plan: plan, byName: make(map[Member]Candidate), kept: make(map[Member]int)}
	for _, c := range plan.Candidates {
		p.byName[c.Member] = c
		if c.Alive && !c.Terminated && !c.Draining {
			p.able = append(p.able, c.Member)
		}
	}
	sort.Slice(p.able, func(i, j int) bool { return p.able[i].Address < p.able[j].Address })
	return p
}

func (p *planner) alive(m Member) bool {
	c := p.byName[m]
	return c.Alive && !c.Terminated
}

func (p *planner) setSynced(next SlotTable, c CopiedSlot) {
	if c.Slot < 0 || c.Slot >= len(next.Slots) || next.Slots[c.Slot].Epoch != c.Epoch {
		return
	}
	for i := range next.Slots[c.Slot].Members {
		next.Slots[c.Slot].Members[i].Synced = true
	}
}

func (p *planner) first(next SlotTable) (SlotTable, bool) {
	n := p.plan.Slots
	if n <= 0 {
		n = DefaultSlots
	}
	if len(p.able) == 0 {
		return SlotTable{}, false
	}
	for i := range n {
		next.Slots = append(next.Slots, Slot{Epoch: 1, ResetEpoch: 1, Members: p.fresh(i)})
	}
	return next, true
}

// fresh returns members for a slot that begins with no claims.
func (p *planner) fresh(slot int) []SlotMember {
	var ms []SlotMember
	for _, m := range p.ideal(slot) {
		ms = append(ms, SlotMember{Member: m, Synced: true})
	}
	return ms
}

// ideal returns the members that come first for a slot by rendezvous hash.
func (p *planner) ideal(slot int) []Member {
	ranked := p.rank(slot)
	return ranked[:min(MembersPerSlot, len(ranked))]
}

// rank returns the processes that can keep a slot, in the order of the scores
// that a rendezvous hash gives them.
func (p *planner) rank(slot int) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	scores := make([]scored, len(p.able))
	for i, m := range p.able {
		scores[i] = scored{m, xxhash.Sum64(append([]byte(m.Address), byte(slot), byte(slot>>8)))}
	}
	slices.SortStableFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]Member, len(scores))
	for i, s := range scores {
		ranked[i] = s.member
	}
	return ranked
}

// joiner returns the process that should join a slot next, if any.
func (p *planner) joiner(slot int, s Slot) (Member, bool) {
	for _, m := range p.rank(slot) {
		if s.index(m) < 0 {
			return m, true
		}
	}
	return Member{}, false
}

// next makes at most one step with a slot.
func (p *planner) next(i int, s Slot) Slot {
	if p.lost(s) {
		return p.restarted(i, s)
	}
	if u := s.unsynced(); u >= 0 {
		if p.alive(s.Members[u].Member) && !p.byName[s.Members[u].Member].Draining {
			return s
		}
		return p.replaced(i, s, u)
	}
	if dead := p.worst(s); dead >= 0 {
		return p.replaced(i, s, dead)
	}
	if len(s.Members) < MembersPerSlot {
		return p.grown(i, s)
	}
	return p.balanced(i, s)
}

// worst is the member of a synced slot to be replaced first, -1 if none is. If
// too many are dead none is, since the others can't tell all claims.
func (p *planner) worst(s Slot) int {
	if len(s.Members) == 1 {
		return -1
	}
	dead, leaving, n := -1, -1, 0
	for j, m := range s.Members {
		switch {
		case !p.alive(m.Member):
			dead = j
			n++
		case p.byName[m.Member].Draining:
			leaving = j
		}
	}
	switch n {
	case 0:
		return leaving
	case 1:
		return dead
	}
	return -1
}

// lost reports whether claims of the slot are lost and no earlier grant can
// still be under way.
func (p *planner) lost(s Slot) bool {
	if len(p.able) == 0 {
		return false
	}
	gone, inert, synced := 0, 0, 0
	for _, m := range s.Members {
		if p.byName[m.Member].Terminated {
			gone++
		}
		if !m.Synced {
			continue
		}
		synced++
		if p.byName[m.Member].Terminated || m.Member == p.plan.Self {
			inert++
		}
	}
	if !s.synced() {
		// No member counts on the epoch before: all must have left it, and one is gone.
		return inert == synced && p.anySyncedGone(s)
	}
	if len(s.Members) == 2 {
		// Each member can tell all claims.
		return gone > 0 && p.noneAlive(s)
	}
	return gone > len(s.Members)-s.majority()
}

func (p *planner) anySyncedGone(s Slot) bool {
	return slices.ContainsFunc(s.Members, func(m SlotMember) bool { return m.Synced && p.byName[m.Member].Terminated })
}

func (p *planner) noneAlive(s Slot) bool {
	return !slices.ContainsFunc(s.Members, func(m SlotMember) bool { return p.alive(m.Member) })
}

// restarted begins a slot anew with no claims.
func (p *planner) restarted(i int, s Slot) Slot {
	return Slot{Epoch: s.Epoch + 1, ResetEpoch: s.Epoch + 1, LostAt: p.plan.Now, Members: p.fresh(i)}
}

// replaced gives the place of member j to a process that has yet to copy.
func (p *planner) replaced(i int, s Slot, j int) Slot {
	m, ok := p.joiner(i, s)
	if !ok {
		return s
	}
	return withMember(s, j, m)
}

func withMember(s Slot, j int, m Member) Slot {
	s.Epoch++
	s.Members = slices.Clone(s.Members)
	s.Members[j] = SlotMember{Member: m}
	return s
}

// grown adds a member.
func (p *planner) grown(i int, s Slot) Slot {
	m, ok := p.joiner(i, s)
	if !ok {
		return s
	}
	s.Epoch++
	s.Members = append(slices.Clone(s.Members), SlotMember{Member: m})
	return s
}

// balanced moves a synced slot from a process that keeps far more slots than
// the others to one that comes first for it and keeps fewer. Small differences are left,
// since a slot stands less while a new member copies.
func (p *planner) balanced(i int, s Slot) Slot {
	if len(p.able) == 0 {
		return s
	}
	total := 0
	for _, n := range p.kept {
		total += n
	}
	fair := total/len(p.able) + 1
	for j, old := range s.Members {
		if p.copying >= maxCopying || p.kept[old.Member] <= fair+fair/2+slack {
			continue
		}
		for _, m := range p.rank(i) {
			if s.index(m) < 0 && p.kept[m] < fair {
				p.copying++
				p.kept[m]++
				p.kept[old.Member]--
				return withMember(s, j, m)
			}
		}
	}
	return s
}
