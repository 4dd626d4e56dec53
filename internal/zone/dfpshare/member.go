package dfpshare

import (
	"slices"
	"time"
)

// Intervals of membership work.
const (
	membershipInterval = 50 * time.Millisecond
	// entryPingInterval is how often a node that is no member asks for news.
	entryPingInterval = 2 * time.Second
	// tablePoll is how often a member reads the table though all is well.
	tablePoll = 30 * time.Second
	// tableRetry is the least time between two wanted reads.
	tableRetry = time.Second
	// proposalTimeout is how long a proposal's result is waited for.
	proposalTimeout = 2 * time.Second
	// takeoverFactor times ContactTimeout is how long a newcomer must have
	// heard none of the members before it may condemn them all.
	takeoverFactor = 3
)

// membership is what a node knows of its zone's members.
type membership struct {
	peers map[Owner]*peerState
	pings map[uint64]time.Time

	pingAt     time.Time
	pingID     uint64
	wantAt     time.Time
	proposedAt time.Time
	readAt     time.Time // last read by this node that confirmed the table
	platformAt time.Time // when that read was asked for
	emptyRead  bool      // the platform holds no table
	lastTick   time.Time
	workedAt   time.Time
	anyHeard   time.Time // last word from any node of the zone
	activeAt   time.Time // since when all members are pinged; zero if they aren't
	gap        bool      // the loop stood still; see mayUse
	gapEnd     time.Time
	refused    map[string]bool
}

// peerState is what this node knows of another member of its zone.
type peerState struct {
	seen      time.Time // first seen in a table
	heard     time.Time // last sign of life
	supportAt time.Time // when the last answered ping was sent
	version   uint64    // newest table that it has
	rules     uint64    // rules whose parts it keeps to
	// changed is the version at which it came to its state, and ackedAt when enough
	// members had that version.
	changed  uint64
	ackedAt  time.Time
	replaced bool // another incarnation answers at its address
}

func newMembership(now time.Time) membership {
	return membership{
		peers: make(map[Owner]*peerState), pings: make(map[uint64]time.Time),
		refused: make(map[string]bool), lastTick: now, anyHeard: now,
	}
}

func (m *membership) refuse(address string) { m.refused[address] = true }

func (s *Limiter) peer(o Owner) *peerState {
	p, ok := s.member.peers[o]
	if !ok {
		p = &peerState{}
		s.member.peers[o] = p
	}
	return p
}

// hearMember notes a sign of life from a node of this zone.
func (s *Limiter) hearMember(now time.Time, from string, m Message) {
	if from == s.cfg.Self.Address {
		return
	}
	if !slices.ContainsFunc(m.BatchResponses, func(a BatchResponse) bool { return a.NotHome }) {
		delete(s.suspected, from)
	}
	if m.Zone != s.cfg.Self.Zone {
		return
	}
	s.member.anyHeard = now
	delete(s.member.refused, from)
	for _, member := range s.table.Members {
		if member.Owner.Address != from {
			continue
		}
		p := s.peer(member.Owner)
		if member.Owner.Incarnation != m.Incarnation {
			p.replaced = true
			continue
		}
		p.heard = now
		p.rules = max(p.rules, m.RulesVersion)
	}
}

func (s *Limiter) handlePing(from string, p Ping) {
	s.send(from).Pong = &Pong{ID: p.ID, Version: s.table.Version}
	if s.table.Version > p.Version {
		s.offerTable(from, s.cfg.Self.Zone)
	}
}

// handlePong counts the answer as support from when the ping was sent. The table has
// been learnt before, if the other's is newer; a condemned node stops by that.
func (s *Limiter) handlePong(now time.Time, from Owner, p Pong) {
	sent, ok := s.member.pings[p.ID]
	if !ok || s.table.member(from) < 0 {
		return
	}
	peer := s.peer(from)
	peer.version = max(peer.version, p.Version)
	if p.Version <= s.table.Version && sent.After(peer.supportAt) {
		peer.supportAt = sent
	}
	peer.heard = now
}

// offerTable sends the newest known table of a zone.
func (s *Limiter) offerTable(to, zone string) {
	t := s.zoneTables[zone]
	if zone == s.cfg.Self.Zone {
		t = ZoneTable{Table: s.table, Revision: s.revision}
	}
	if t.Table.Version > 0 {
		m := s.send(to)
		m.ZoneTables = append(m.ZoneTables, t)
	}
}

// learnTable takes a table that a peer showed.
func (s *Limiter) learnTable(now time.Time, t ZoneTable) {
	if t.Table.Zone == s.cfg.Self.Zone {
		s.adopt(now, t.Table, t.Revision)
		return
	}
	if t.Table.Version >= s.zoneTables[t.Table.Zone].Table.Version {
		s.zoneTables[t.Table.Zone] = t
	}
}

// SetTable reports the zone's table as the platform holds it: after a read, after
// a compare-and-swap (won or lost), from a watch. Asked is when that read was sent,
// zero for a watch. Revision 0 says that the platform holds none.
func (s *Limiter) SetTable(now, asked time.Time, table Table, revision uint64) {
	s.member.proposedAt = time.Time{}
	s.member.emptyRead = revision == 0
	if revision == 0 || table.Version < s.table.Version {
		return // A stale read, or a store that has lost the table.
	}
	s.adopt(now, table, revision)
	if asked.After(s.member.platformAt) {
		s.member.platformAt = asked
		s.member.readAt = now
		if asked.After(s.member.gapEnd) {
			s.member.gap = false
		}
	}
}

// adopt puts a newer table in force.
func (s *Limiter) adopt(now time.Time, table Table, revision uint64) {
	if table.Version <= s.table.Version {
		return
	}
	s.settleBuckets(now)
	s.table, s.revision = table, revision
	for _, m := range table.Members {
		p := s.peer(m.Owner)
		if p.seen.IsZero() {
			p.seen = now
		}
		if p.changed != m.Since {
			// It may have been in the same state before, and acknowledged in that.
			p.changed, p.ackedAt = m.Since, time.Time{}
		}
	}
	for o := range s.member.peers {
		if table.member(o) < 0 {
			delete(s.member.peers, o)
		}
	}
	s.adoptSlots(now)
	s.adjustBuckets(now)
}

// adoptSlots takes up the slots that have come and hands over those that have gone.
func (s *Limiter) adoptSlots(now time.Time) {
	me := s.table.member(s.self())
	gone := me >= 0 && s.table.Members[me].State == Evicted
	for i, slot := range s.table.Slots {
		held := s.slots[i]
		if slot.Member == me && !gone {
			if held == nil || held.since != slot.Since {
				s.dropBuckets(i)
				s.slots[i] = &slotState{since: slot.Since, start: now}
				continue
			}
			if held.releasing && !s.stopping {
				held.releasing = false // Another's change came first; try again.
			}
			continue
		}
		if held == nil {
			continue
		}
		if held.releasing && slot.Member != me {
			s.handOver(now, i, slot)
		}
		delete(s.slots, i)
		s.dropBuckets(i)
	}
	if s.stopping && (me < 0 || gone) {
		s.stopped = true
	}
}

// dropBuckets forgets the buckets of a slot; what waits there is answered elsewhere.
func (s *Limiter) dropBuckets(slot int) {
	for _, name := range sortedKeys(s.buckets) {
		b := s.buckets[name]
		if s.table.slotOf(b.org.hash, b.index) != slot {
			continue
		}
		delete(s.buckets, name)
		for _, p := range append(b.queue, b.short...) {
			s.reply(p.from, BatchResponse{ID: p.ask.ID, Part: name, NotHome: true})
		}
	}
}

// handOver sends the new owner of a slot its balances. Lost, the new owner waits out
// what may still be in use.
func (s *Limiter) handOver(now time.Time, slot int, to Slot) {
	h := Handover{Slot: slot, Version: to.Since}
	for _, name := range sortedKeys(s.buckets) {
		b := s.buckets[name]
		if s.table.slotOf(b.org.hash, b.index) != slot {
			continue
		}
		b.refill(now, s.cfg.Unsafe)
		remaining := b.remaining(now)
		b.borrows = nil
		b.advance(now, s.cfg.Unsafe)
		out := b.out + b.phantom
		if b.lent != nil {
			out = b.burst
		}
		h.Balances = append(h.Balances, Balance{
			Part: name, Level: b.level, Outstanding: out, Remaining: remaining,
		})
	}
	m := s.send(s.table.Members[to.Member].Owner.Address)
	m.Handovers = append(m.Handovers, h)
	s.offerTable(s.table.Members[to.Member].Owner.Address, s.cfg.Self.Zone)
}

func (s *Limiter) handleHandover(now time.Time, h Handover) {
	slot := s.slots[h.Slot]
	if slot == nil || slot.since != h.Version || slot.balances != nil ||
		now.Sub(slot.start) >= s.cfg.quarantine() {
		return // Late or repeated; the balance may have been refilled.
	}
	slot.balances = make(map[string]Balance, len(h.Balances))
	slot.handed = now
	for _, balance := range h.Balances {
		slot.balances[balance.Part] = balance
		if b, ok := s.buckets[balance.Part]; ok {
			b.refill(now, s.cfg.Unsafe)
			b.takeOver(now, balance, s.cfg)
		}
	}
}

// Stop begins a planned stop: slots are handed over with their balances. The node goes
// on with Tick and Handle until Effects.Stopped, or as long as it can wait.
func (s *Limiter) Stop(now time.Time) Effects {
	s.stopping = true
	if len(s.slots) == 0 && s.table.member(s.self()) < 0 {
		s.stopped = true
	}
	return s.Tick(now)
}

// mayUse reports whether this node may use its slots now: it has word, within
// ContactTimeout, from the platform or a quorum of the zone's members, that is no
// older than the table it goes by. Who takes slots from a silent owner waits until
// so many members know it that no such quorum is left, and then ContactTimeout.
//
// A sole member hears nobody. It goes on while its own loop has not stood still;
// after a gap it asks the platform first. A newcomer that has heard none of the members
// for long may take their zone over, so what is conceded is this: a member that
// lives, but that neither the newcomer nor the platform can reach though they can
// reach each other, inside one zone, goes on for as long as it believes to be the sole
// member. It would have to stop whenever it is alone, and a zone with one node could
// not serve while cut off.
func (s *Limiter) mayUse(now time.Time) bool {
	me := s.table.member(s.self())
	if me < 0 || s.table.Members[me].State != Established {
		return false
	}
	if s.cfg.Unsafe.IgnoreIsolation {
		return true
	}
	if len(s.table.Members) == 1 {
		return !s.member.gap && now.Sub(s.member.lastTick) < s.cfg.ContactTimeout/2
	}
	if now.Sub(s.member.platformAt) < s.cfg.ContactTimeout {
		return true
	}
	return s.quorum(func(o Owner) bool {
		return now.Sub(s.peer(o).supportAt) < s.cfg.ContactTimeout
	})
}

// quorum reports whether more than half of the members do, both with and without
// those that are joining. Evicted members have no vote but are counted.
func (s *Limiter) quorum(does func(Owner) bool) bool {
	votes, joining, n, m := s.poll(does)
	return 2*votes > n && 2*(votes+joining) > m
}

// blocks reports whether so many members do that the others are no quorum.
func (s *Limiter) blocks(does func(Owner) bool) bool {
	votes, joining, n, m := s.poll(does)
	return 2*votes >= n && 2*(votes+joining) >= m
}

// poll counts the votes of established and joining members, among n established
// and condemned ones, and m in all.
func (s *Limiter) poll(does func(Owner) bool) (votes, joining, n, m int) {
	for _, member := range s.table.Members {
		m++
		if member.State != Joining {
			n++
		}
		if member.State == Evicted || (member.Owner != s.self() && !does(member.Owner)) {
			continue
		}
		if member.State == Joining {
			joining++
		} else {
			votes++
		}
	}
	return votes, joining, n, m
}

func sortedKeys(m map[string]*bucket) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
