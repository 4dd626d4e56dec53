package dfpshare

import (
	"slices"
	"time"
)

// Intervals and timeouts of membership work.
const (
	membershipInterval = 50 * time.Millisecond
	// nonMemberPingInterval is how often a node that is not a member pings one.
	nonMemberPingInterval = 2 * time.Second
	// tablePollInterval is how often a node reads the table from the platform without another reason.
	tablePollInterval = 30 * time.Second
	// minTableReadInterval is the least time between two requests to read the table.
	minTableReadInterval = time.Second
	// proposalTimeout limits the wait for the result of a proposal.
	proposalTimeout = 2 * time.Second
	// takeoverFactor times ContactTimeout is how long all members must have been silent before a node that
	// is not a member may evict them all.
	takeoverFactor = 3
)

// membership is what a node knows about the members of its zone.
type membership struct {
	peers map[Owner]*peerState
	pings map[uint64]time.Time

	lastPingAt      time.Time
	pingID          uint64
	lastReadRequest time.Time
	proposedAt      time.Time
	lastReadAt      time.Time // last read by this node that confirmed the table
	platformReadAt  time.Time // when that read was sent
	noStoredTable   bool      // the platform holds no table
	lastTick        time.Time
	lastWorkAt      time.Time
	lastContactAt   time.Time // last message from any node of the zone
	pingingSince    time.Time // start of pinging all members; zero if they aren't all pinged
	stalled         bool      // the node's loop stalled; see mayUseSlots
	stallEnd        time.Time
	unreachable     map[string]bool
}

// peerState is what this node knows about another member of its zone.
type peerState struct {
	firstSeen        time.Time // first seen in a table
	lastHeard        time.Time // last message
	lastAnsweredPing time.Time // sending time of the newest ping that was answered
	version          uint64    // newest table that it is known to have
	rulesVersion     uint64    // rules whose fractions it applies
	// stateVersion is the table version at which the member entered its state. ackedAt is when enough
	// members were known to have that version.
	stateVersion uint64
	ackedAt      time.Time
	replaced     bool // another incarnation answers at its address
}

func newMembership(now time.Time) membership {
	return membership{
		peers: make(map[Owner]*peerState), pings: make(map[uint64]time.Time),
		unreachable: make(map[string]bool), lastTick: now, lastContactAt: now,
	}
}

func (m *membership) markUnreachable(address string) { m.unreachable[address] = true }

func (lim *Limiter) peer(o Owner) *peerState {
	p, ok := lim.member.peers[o]
	if !ok {
		p = &peerState{}
		lim.member.peers[o] = p
	}
	return p
}

// noteContact records that a node was heard from, and as which incarnation if it is a member of this zone.
func (lim *Limiter) noteContact(now time.Time, from string, m Message) {
	if from == lim.cfg.Self.Address {
		return
	}
	if !slices.ContainsFunc(m.BatchResponses, func(a BatchResponse) bool { return a.NotHome }) {
		delete(lim.suspected, from)
	}
	if m.Zone != lim.cfg.Self.Zone {
		return
	}
	lim.member.lastContactAt = now
	delete(lim.member.unreachable, from)
	for _, member := range lim.table.Members {
		if member.Owner.Address != from {
			continue
		}
		p := lim.peer(member.Owner)
		if member.Owner.Incarnation != m.Incarnation {
			p.replaced = true
			continue
		}
		p.lastHeard = now
		p.rulesVersion = max(p.rulesVersion, m.RulesVersion)
	}
}

func (lim *Limiter) handlePing(from string, p Ping) {
	lim.send(from).Pong = &Pong{ID: p.ID, Version: lim.table.Version}
	if lim.table.Version > p.Version {
		lim.sendTable(from, lim.cfg.Self.Zone)
	}
}

// handlePong counts the response as support from the time when the ping was sent. A newer table of the
// other node comes in the same message and is adopted before, so that an evicted node stops using its
// slots.
func (lim *Limiter) handlePong(now time.Time, from Owner, p Pong) {
	sent, ok := lim.member.pings[p.ID]
	if !ok || lim.table.member(from) < 0 {
		return
	}
	peer := lim.peer(from)
	peer.version = max(peer.version, p.Version)
	if p.Version <= lim.table.Version && sent.After(peer.lastAnsweredPing) {
		peer.lastAnsweredPing = sent
	}
	peer.lastHeard = now
}

// sendTable sends the newest known table of a zone.
func (lim *Limiter) sendTable(to, zone string) {
	t := lim.zoneTables[zone]
	if zone == lim.cfg.Self.Zone {
		t = ZoneTable{Table: lim.table, Revision: lim.revision}
	}
	if t.Table.Version > 0 {
		m := lim.send(to)
		m.ZoneTables = append(m.ZoneTables, t)
	}
}

// learnTable takes a table that a peer sent.
func (lim *Limiter) learnTable(now time.Time, t ZoneTable) {
	if t.Table.Zone == lim.cfg.Self.Zone {
		lim.adoptTable(now, t.Table, t.Revision)
		return
	}
	if t.Table.Version >= lim.zoneTables[t.Table.Zone].Table.Version {
		lim.zoneTables[t.Table.Zone] = t
	}
}

// SetTable reports the zone's table as the platform holds it: after a read, after a compare-and-swap,
// successful or not, or from a watch. sentAt is when the read was sent, zero for a watch. Revision 0 means
// that the platform holds no table.
func (lim *Limiter) SetTable(now, sentAt time.Time, table Table, revision uint64) {
	lim.member.proposedAt = time.Time{}
	lim.member.noStoredTable = revision == 0
	if revision == 0 || table.Version < lim.table.Version {
		return // A stale read, or a store that has lost the table.
	}
	lim.adoptTable(now, table, revision)
	if sentAt.After(lim.member.platformReadAt) {
		lim.member.platformReadAt = sentAt
		lim.member.lastReadAt = now
		if sentAt.After(lim.member.stallEnd) {
			lim.member.stalled = false
		}
	}
}

// adoptTable puts a table in force if it is newer.
func (lim *Limiter) adoptTable(now time.Time, table Table, revision uint64) {
	if table.Version <= lim.table.Version {
		return
	}
	lim.refillBuckets(now)
	lim.table, lim.revision = table, revision
	for _, m := range table.Members {
		p := lim.peer(m.Owner)
		if p.firstSeen.IsZero() {
			p.firstSeen = now
		}
		if p.stateVersion != m.Since {
			// The member may have been in the same state before; that acknowledgement no longer counts.
			p.stateVersion, p.ackedAt = m.Since, time.Time{}
		}
	}
	for o := range lim.member.peers {
		if table.member(o) < 0 {
			delete(lim.member.peers, o)
		}
	}
	lim.adoptSlots(now)
	lim.adjustBuckets(now)
}

// adoptSlots takes up the slots that this node has got and hands over those that it has lost.
func (lim *Limiter) adoptSlots(now time.Time) {
	me := lim.table.member(lim.self())
	evicted := me >= 0 && lim.table.Members[me].State == Evicted
	for i, slot := range lim.table.Slots {
		current := lim.slots[i]
		if slot.Member == me && !evicted {
			if current == nil || current.since != slot.Since {
				lim.dropBuckets(i)
				lim.slots[i] = &slotState{since: slot.Since, start: now}
				continue
			}
			if current.releasing && !lim.stopping {
				current.releasing = false // Another node's change came first; balanceTable tries again.
			}
			continue
		}
		if current == nil {
			continue
		}
		if current.releasing && slot.Member != me {
			lim.handOver(now, i, slot)
		}
		delete(lim.slots, i)
		lim.dropBuckets(i)
	}
	if lim.stopping && (me < 0 || evicted) {
		lim.stopped = true
	}
}

// dropBuckets removes the buckets of a slot. Requests that wait there are told to ask another home.
func (lim *Limiter) dropBuckets(slot int) {
	for _, name := range sortedKeys(lim.buckets) {
		b := lim.buckets[name]
		if lim.table.slotOf(b.org.hash, b.index) != slot {
			continue
		}
		delete(lim.buckets, name)
		for _, p := range append(b.queue, b.awaitingFetch...) {
			lim.reply(p.from, BatchResponse{ID: p.request.ID, Part: name, NotHome: true})
		}
	}
}

// handOver sends the balances of a slot to its new owner. If the message is lost, the new owner waits until
// the outstanding tokens have expired.
func (lim *Limiter) handOver(now time.Time, slot int, to Slot) {
	h := Handover{Slot: slot, Version: to.Since}
	for _, name := range sortedKeys(lim.buckets) {
		b := lim.buckets[name]
		if lim.table.slotOf(b.org.hash, b.index) != slot {
			continue
		}
		b.refill(now, lim.cfg.Unsafe)
		remaining := b.remaining(now)
		b.borrows = nil
		b.advance(now, lim.cfg.Unsafe)
		out := b.outstanding + b.inherited
		if b.lent != nil {
			out = b.burst
		}
		h.Balances = append(h.Balances, Balance{
			Part: name, Level: b.level, Outstanding: out, Remaining: remaining,
		})
	}
	m := lim.send(lim.table.Members[to.Member].Owner.Address)
	m.Handovers = append(m.Handovers, h)
	lim.sendTable(lim.table.Members[to.Member].Owner.Address, lim.cfg.Self.Zone)
}

func (lim *Limiter) handleHandover(now time.Time, h Handover) {
	slot := lim.slots[h.Slot]
	if slot == nil || slot.since != h.Version || slot.balances != nil ||
		now.Sub(slot.start) >= lim.cfg.quarantine() {
		return // Late or repeated; the balance may have been refilled.
	}
	slot.balances = make(map[string]Balance, len(h.Balances))
	slot.handedOverAt = now
	for _, balance := range h.Balances {
		slot.balances[balance.Part] = balance
		if b, ok := lim.buckets[balance.Part]; ok {
			b.refill(now, lim.cfg.Unsafe)
			b.applyBalance(now, balance, lim.cfg)
		}
	}
}

// Stop starts a planned stop: the slots are handed over with their balances. The node continues to call
// Tick and Handle until Effects.Stopped is set, or as long as it can wait.
func (lim *Limiter) Stop(now time.Time) Effects {
	lim.stopping = true
	if len(lim.slots) == 0 && lim.table.member(lim.self()) < 0 {
		lim.stopped = true
	}
	return lim.Tick(now)
}

// mayUseSlots reports whether this node may use its slots now. It may if the platform or a quorum of the
// zone's members has confirmed within ContactTimeout that there is no newer table than this node's. A node
// that takes over the slots of a silent owner waits first until so many members know of the eviction that
// the owner can't get such a quorum, and then for ContactTimeout and the lifetime of the owner's tokens.
//
// A sole member has no other member to hear from. It may use its slots as long as its own loop has not
// stalled; after a stall it reads the table from the platform first. This leaves one known gap, since a
// newcomer that has heard from no member for long may take over the zone. Suppose that a sole member is
// alive, that the newcomer and the platform can reach each other, and that neither can reach the member,
// all inside one zone. Then the member continues for as long as it believes that it is the sole one. To
// close the gap, a member would have to stop whenever it is alone, and a zone with one node could not serve
// while cut off.
func (lim *Limiter) mayUseSlots(now time.Time) bool {
	me := lim.table.member(lim.self())
	if me < 0 || lim.table.Members[me].State != Established {
		return false
	}
	if lim.cfg.Unsafe.IgnoreIsolation {
		return true
	}
	if len(lim.table.Members) == 1 {
		return !lim.member.stalled && now.Sub(lim.member.lastTick) < lim.cfg.ContactTimeout/2
	}
	if now.Sub(lim.member.platformReadAt) < lim.cfg.ContactTimeout {
		return true
	}
	return lim.quorum(func(o Owner) bool {
		return now.Sub(lim.peer(o).lastAnsweredPing) < lim.cfg.ContactTimeout
	})
}

// quorum reports whether has is true of more than half of the members, both with and without the joining
// ones. This node counts as if has were true of it. Evicted members have no vote but are part of the total.
func (lim *Limiter) quorum(has func(Owner) bool) bool {
	votes, joining, n, m := lim.countVotes(has)
	return 2*votes > n && 2*(votes+joining) > m
}

// blocksQuorum reports whether has is true of so many members that the others are no quorum.
func (lim *Limiter) blocksQuorum(has func(Owner) bool) bool {
	votes, joining, n, m := lim.countVotes(has)
	return 2*votes >= n && 2*(votes+joining) >= m
}

// countVotes returns the number of established and of joining members for which has is true, the number n
// of established and evicted members, and the number m of all members.
func (lim *Limiter) countVotes(has func(Owner) bool) (votes, joining, n, m int) {
	for _, member := range lim.table.Members {
		m++
		if member.State != Joining {
			n++
		}
		if member.State == Evicted || (member.Owner != lim.self() && !has(member.Owner)) {
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
