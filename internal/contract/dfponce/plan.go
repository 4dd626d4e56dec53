package dfponce

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// balanceSlack is the number of slots that a process may have in addition to one and a half times its
// fair share before a slot is moved away from it.
const balanceSlack = 3

// maxCopying limits rebalancing: no slot is moved to balance the load while this many slots of the
// zone are copying their claims.
const maxCopying = 4

// Candidate is a process of the zone, with what the planner knows about it.
type Candidate struct {
	Member Member
	// Alive is false if the process is believed to have failed. A wrong belief causes needless copying
	// but does not affect safety.
	Alive bool
	// Terminated is true only on proof that the process has ended: its address refuses connections,
	// another incarnation answers there, or the process announced that it left.
	Terminated bool
	// Draining processes are about to stop and are given no slots.
	Draining bool
}

// CopiedSlot reports that the new member of a slot has copied all claims in the given epoch.
type CopiedSlot struct {
	Slot  int    `cbor:"slot" json:"slot"`
	Epoch uint64 `cbor:"epoch" json:"epoch"`
}

// PlanInput is the input of NextSlotTable.
type PlanInput struct {
	// Zone is the name of the zone. Slots is the number of slots of a first table; 0 means
	// DefaultSlots.
	Zone  string
	Slots int
	// Self is the planning process. Its ClaimManager must have been given the previous table before.
	Self Member
	// Now is the current time in milliseconds since 1970.
	Now        int64
	Candidates []Candidate
	Copied     []CopiedSlot
}

// NextSlotTable returns the table that should follow prev, and whether it differs from prev. The
// zero SlotTable is the previous table of a zone that never had one.
//
// A member that failed or is draining is replaced as long as the other members together still hold
// all claims. If they do not, the claims of the slot are given up, but only once no attempt can be
// granted in an earlier epoch any more. Until then the slot stays unchanged, and its keys
// are refused.
func NextSlotTable(prev SlotTable, plan PlanInput) (SlotTable, bool) {
	p := newPlanner(plan)
	next := SlotTable{Zone: plan.Zone, Version: prev.Version + 1}
	if len(prev.Slots) == 0 {
		return p.firstTable(next)
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
			p.slotCount[m.Member]++
		}
	}
	changed := false
	for i := range next.Slots {
		next.Slots[i] = p.nextRow(i, next.Slots[i])
		changed = changed || !next.Slots[i].equal(prev.Slots[i])
	}
	if !changed {
		return prev, false
	}
	return next, true
}

// planner computes one slot table.
type planner struct {
	plan     PlanInput
	byMember map[Member]Candidate
	eligible []Member // Alive and not draining, in order of address.
	copying  int
	// slotCount is the number of slots of which each process is a member.
	slotCount map[Member]int
}

func newPlanner(plan PlanInput) *planner {
	p := &planner{plan: plan, byMember: make(map[Member]Candidate), slotCount: make(map[Member]int)}
	for _, c := range plan.Candidates {
		p.byMember[c.Member] = c
		if c.Alive && !c.Terminated && !c.Draining {
			p.eligible = append(p.eligible, c.Member)
		}
	}
	sort.Slice(p.eligible, func(i, j int) bool { return p.eligible[i].Address < p.eligible[j].Address })
	return p
}

func (p *planner) alive(m Member) bool {
	c := p.byMember[m]
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

func (p *planner) firstTable(next SlotTable) (SlotTable, bool) {
	n := p.plan.Slots
	if n <= 0 {
		n = DefaultSlots
	}
	if len(p.eligible) == 0 {
		return SlotTable{}, false
	}
	for i := range n {
		next.Slots = append(next.Slots, Slot{Epoch: 1, ResetEpoch: 1, Members: p.emptySlotMembers(i)})
	}
	return next, true
}

// emptySlotMembers returns the members of a slot that begins with no claims.
func (p *planner) emptySlotMembers(slot int) []SlotMember {
	var ms []SlotMember
	for _, m := range p.topRanked(slot) {
		ms = append(ms, SlotMember{Member: m, Synced: true})
	}
	return ms
}

// topRanked returns the processes that rank first for a slot, up to MembersPerSlot.
func (p *planner) topRanked(slot int) []Member {
	ranked := p.rank(slot)
	return ranked[:min(MembersPerSlot, len(ranked))]
}

// rank returns the eligible processes in the order of their rendezvous hash scores for a slot.
func (p *planner) rank(slot int) []Member {
	type scored struct {
		member Member
		score  uint64
	}
	scores := make([]scored, len(p.eligible))
	for i, m := range p.eligible {
		scores[i] = scored{m, xxhash.Sum64(append([]byte(m.Address), byte(slot), byte(slot>>8)))}
	}
	slices.SortStableFunc(scores, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	ranked := make([]Member, len(scores))
	for i, s := range scores {
		ranked[i] = s.member
	}
	return ranked
}

// nextMember returns the highest-ranked process that is not a member of the slot yet, if any.
func (p *planner) nextMember(slot int, s Slot) (Member, bool) {
	for _, m := range p.rank(slot) {
		if s.index(m) < 0 {
			return m, true
		}
	}
	return Member{}, false
}

// nextRow returns the row that should follow s, at most one change of members away.
func (p *planner) nextRow(i int, s Slot) Slot {
	if p.claimsLost(s) {
		return p.resetSlot(i, s)
	}
	if u := s.unsyncedIndex(); u >= 0 {
		if p.alive(s.Members[u].Member) && !p.byMember[s.Members[u].Member].Draining {
			return s
		}
		return p.replaceMember(i, s, u)
	}
	if failed := p.memberToReplace(s); failed >= 0 {
		return p.replaceMember(i, s, failed)
	}
	if len(s.Members) < MembersPerSlot {
		return p.addMember(i, s)
	}
	return p.rebalance(i, s)
}

// memberToReplace returns the index of the member of a synced slot that should be replaced first, or
// -1 if there is none. With more than one failed member there is none, since the other members may
// not hold all claims.
func (p *planner) memberToReplace(s Slot) int {
	if len(s.Members) == 1 {
		return -1
	}
	failed, draining, n := -1, -1, 0
	for j, m := range s.Members {
		switch {
		case !p.alive(m.Member):
			failed = j
			n++
		case p.byMember[m.Member].Draining:
			draining = j
		}
	}
	switch n {
	case 0:
		return draining
	case 1:
		return failed
	}
	return -1
}

// claimsLost reports whether claims of the slot are lost and no grant of an earlier epoch can still
// be on its way.
func (p *planner) claimsLost(s Slot) bool {
	if len(p.eligible) == 0 {
		return false
	}
	terminated, cannotVote, synced := 0, 0, 0
	for _, m := range s.Members {
		if p.byMember[m.Member].Terminated {
			terminated++
		}
		if !m.Synced {
			continue
		}
		synced++
		if p.byMember[m.Member].Terminated || m.Member == p.plan.Self {
			cannotVote++
		}
	}
	if !s.synced() {
		// Grants of the previous epoch are impossible once every synced member has left it. Claims are
		// lost if one of these members has terminated.
		return cannotVote == synced && p.anySyncedTerminated(s)
	}
	if len(s.Members) == 2 {
		// Both members are needed for a quorum, so each holds all claims.
		return terminated > 0 && p.noneAlive(s)
	}
	return terminated > len(s.Members)-s.majority()
}

func (p *planner) anySyncedTerminated(s Slot) bool {
	return slices.ContainsFunc(s.Members, func(m SlotMember) bool { return m.Synced && p.byMember[m.Member].Terminated })
}

func (p *planner) noneAlive(s Slot) bool {
	return !slices.ContainsFunc(s.Members, func(m SlotMember) bool { return p.alive(m.Member) })
}

// resetSlot returns a new epoch of the slot that begins with no claims.
func (p *planner) resetSlot(i int, s Slot) Slot {
	return Slot{Epoch: s.Epoch + 1, ResetEpoch: s.Epoch + 1, LostAt: p.plan.Now, Members: p.emptySlotMembers(i)}
}

// replaceMember replaces member j by a process that has yet to copy the claims.
func (p *planner) replaceMember(i int, s Slot, j int) Slot {
	m, ok := p.nextMember(i, s)
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

// addMember adds a member that has yet to copy the claims.
func (p *planner) addMember(i int, s Slot) Slot {
	m, ok := p.nextMember(i, s)
	if !ok {
		return s
	}
	s.Epoch++
	s.Members = append(slices.Clone(s.Members), SlotMember{Member: m})
	return s
}

// rebalance moves a synced slot from a process with far more slots than the others to the
// highest-ranked process with fewer slots than its share. It leaves small differences, because a slot
// tolerates fewer failures while a new member copies.
func (p *planner) rebalance(i int, s Slot) Slot {
	if len(p.eligible) == 0 {
		return s
	}
	total := 0
	for _, n := range p.slotCount {
		total += n
	}
	fairShare := total/len(p.eligible) + 1
	for j, old := range s.Members {
		if p.copying >= maxCopying || p.slotCount[old.Member] <= fairShare+fairShare/2+balanceSlack {
			continue
		}
		for _, m := range p.rank(i) {
			if s.index(m) < 0 && p.slotCount[m] < fairShare {
				p.copying++
				p.slotCount[m]++
				p.slotCount[old.Member]--
				return withMember(s, j, m)
			}
		}
	}
	return s
}
