package dfpshare

import (
	"time"
)

// tickMembership sends heartbeats and proposes changes of the table.
func (lim *Limiter) tickMembership(now time.Time) {
	m := &lim.member
	if now.Sub(m.lastTick) >= lim.cfg.ContactTimeout/2 {
		m.stalled, m.stallEnd = true, now
		lim.resetSilence(now)
	}
	m.lastTick = now
	if now.Sub(m.lastWorkAt) < membershipInterval && !lim.stopping {
		return
	}
	m.lastWorkAt = now
	lim.ping(now)
	lim.announceRules(now)
	lim.requestTableRead(now)
	if lim.table.Version > 0 {
		lim.noteAcks(now)
	}
	if !m.proposedAt.IsZero() && now.Sub(m.proposedAt) < proposalTimeout {
		return
	}
	if t, ok := lim.proposeTable(now); ok {
		m.proposedAt = now
		lim.proposed = &TableProposal{Table: t, Revision: lim.revision}
	}
}

// resetSilence restarts the measurement of the members' silence: after a stall it was this node that did
// not listen.
func (lim *Limiter) resetSilence(now time.Time) {
	for _, p := range lim.member.peers {
		p.firstSeen, p.lastHeard = now, now
	}
	lim.member.lastContactAt = now
}

// ping sends heartbeats. Members, and nodes that may join, ping all members; other nodes ping one of them
// from time to time.
func (lim *Limiter) ping(now time.Time) {
	m := &lim.member
	interval := lim.cfg.PingInterval
	active := lim.table.member(lim.self()) >= 0 || lim.mayJoin() ||
		now.Sub(m.lastContactAt) >= 2*lim.cfg.ContactTimeout
	switch {
	case !active:
		interval = nonMemberPingInterval
		m.pingingSince = time.Time{}
	case m.pingingSince.IsZero():
		m.pingingSince = now
	}
	if now.Sub(m.lastPingAt) < interval {
		return
	}
	m.lastPingAt = now
	m.pingID++
	m.pings[m.pingID] = now
	delete(m.pings, m.pingID-uint64(2*lim.cfg.ContactTimeout/lim.cfg.PingInterval))
	for _, address := range lim.pingTargets(active) {
		lim.send(address).Ping = &Ping{ID: m.pingID, Version: lim.table.Version}
	}
}

func (lim *Limiter) pingTargets(all bool) []string {
	var targets []string
	for _, member := range lim.table.Members {
		if member.Owner.Address != lim.cfg.Self.Address {
			targets = append(targets, member.Owner.Address)
		}
	}
	if len(targets) == 0 {
		targets = lim.peers[lim.cfg.Self.Zone]
		all = false
	}
	if all || len(targets) == 0 {
		return targets
	}
	i := lim.rand.IntN(len(targets))
	return targets[i : i+1]
}

// requestTableRead requests a read of the table when heartbeats don't suffice, and at long intervals in any
// case.
func (lim *Limiter) requestTableRead(now time.Time) {
	m := &lim.member
	if now.Sub(m.lastReadRequest) < minTableReadInterval {
		return
	}
	wanted := lim.table.Version == 0 || m.stalled || now.Sub(m.lastReadAt) > tablePollInterval
	if !wanted && lim.table.member(lim.self()) >= 0 {
		// A sole member has no other member that could tell it of its eviction.
		wanted = len(lim.table.Members) == 1 || !lim.quorum(func(o Owner) bool {
			return now.Sub(lim.peer(o).lastAnsweredPing) < lim.cfg.ContactTimeout/2
		})
	}
	if wanted {
		m.lastReadRequest = now
		lim.readTable = true
	}
}

// noteAcks records when enough members know of a member's new state.
func (lim *Limiter) noteAcks(now time.Time) {
	for _, member := range lim.table.Members {
		p := lim.peer(member.Owner)
		if member.State == Established || !p.ackedAt.IsZero() {
			continue
		}
		acked := lim.blocksQuorum(func(o Owner) bool { return lim.peer(o).version >= p.stateVersion })
		if acked || lim.othersDead(now) {
			p.ackedAt = now
		}
	}
}

// othersDead reports whether every member but this node is evicted and silent.
func (lim *Limiter) othersDead(now time.Time) bool {
	for _, member := range lim.table.Members {
		if member.Owner == lim.self() {
			continue
		}
		if member.State != Evicted || !lim.silent(now, member.Owner, lim.cfg.ContactTimeout) {
			return false
		}
	}
	return true
}

// silent reports whether a member has been silent for limit, or is known to have ended.
func (lim *Limiter) silent(now time.Time, o Owner, limit time.Duration) bool {
	p := lim.peer(o)
	last := p.firstSeen
	if p.lastHeard.After(last) {
		last = p.lastHeard
	}
	if lim.member.pingingSince.After(last) {
		last = lim.member.pingingSince
	}
	replaced := o.Address == lim.cfg.Self.Address && o != lim.self()
	return replaced || p.replaced || lim.member.unreachable[o.Address] || now.Sub(last) >= limit
}

// proposeTable returns the next table if a change is needed. It and the functions that it calls return the
// changed table and whether it is to be proposed.
func (lim *Limiter) proposeTable(now time.Time) (Table, bool) {
	if lim.table.Version == 0 {
		return lim.firstTable()
	}
	me := lim.table.member(lim.self())
	switch {
	case me < 0:
		return lim.joinTable(now)
	case lim.table.Members[me].State == Evicted:
		return Table{}, false
	case lim.stopping:
		return lim.leaveTable(now, me)
	}
	for _, propose := range []func(time.Time, int) (Table, bool){
		lim.evictTable, lim.fenceTable, lim.establishTable, lim.balanceTable, lim.fractionTable,
	} {
		if t, ok := propose(now, me); ok {
			return t, true
		}
	}
	return Table{}, false
}

// firstTable creates the table of a new zone, with this node as the owner of all slots.
func (lim *Limiter) firstTable() (Table, bool) {
	if !lim.member.noStoredTable || lim.stopping || lim.rules.Version == 0 {
		return Table{}, false
	}
	t := Table{
		Zone: lim.cfg.Self.Zone, Version: firstVersion,
		Members:      []Member{{Owner: lim.self(), Since: firstVersion}},
		Slots:        make([]Slot, lim.cfg.Slots),
		Fraction:     lim.rulesFraction(),
		RulesVersion: lim.rules.Version,
	}
	for i := range t.Slots {
		t.assign(i, 0)
	}
	return t, true
}

// mayJoin reports whether the table has room for this node as a member.
func (lim *Limiter) mayJoin() bool {
	if lim.stopping || lim.table.Version == 0 || lim.rules.Version == 0 {
		return false
	}
	n := 0
	for _, member := range lim.table.Members {
		if member.State != Evicted {
			n++
		}
	}
	return n < lim.cfg.MaxMembers
}

// joinTable adds this node as a member. If all members have been silent for long it evicts them, to take
// over the zone.
func (lim *Limiter) joinTable(now time.Time) (Table, bool) {
	if lim.stopping || lim.rules.Version == 0 || lim.member.pingingSince.IsZero() {
		return Table{}, false
	}
	t := lim.table.nextVersion()
	allSilent := true
	for _, member := range t.Members {
		if !lim.silent(now, member.Owner, takeoverFactor*lim.cfg.ContactTimeout) {
			allSilent = allSilent && member.State == Evicted
		}
	}
	if !allSilent && !lim.mayJoin() {
		return Table{}, false
	}
	if allSilent {
		for i := range t.Members {
			t.setState(i, Evicted)
		}
	}
	t.Members = append(t.Members, Member{Owner: lim.self(), State: Joining, Since: t.Version})
	return t, true
}

// leaveTable reassigns all slots of this node to other members and evicts this node.
func (lim *Limiter) leaveTable(now time.Time, me int) (Table, bool) {
	t := lim.table.nextVersion()
	recipients := lim.recipients(now, me, false)
	for i := range t.Slots {
		if t.Slots[i].Member == me && len(recipients) > 0 {
			t.assign(i, t.recipientFor(i, recipients))
		}
	}
	for _, slot := range lim.slots {
		slot.releasing = true
	}
	t.setState(me, Evicted)
	return t, true
}

// recipients returns the indexes of the members that can get slots; self says whether this node is one of
// them.
func (lim *Limiter) recipients(now time.Time, me int, self bool) []int {
	var recipients []int
	for i, member := range lim.table.Members {
		if i == me && !self || member.State != Established {
			continue
		}
		if i == me || !lim.silent(now, member.Owner, lim.cfg.ContactTimeout) {
			recipients = append(recipients, i)
		}
	}
	return recipients
}

// evictTable evicts the silent members.
func (lim *Limiter) evictTable(now time.Time, me int) (Table, bool) {
	t := lim.table.nextVersion()
	found := false
	for i, member := range t.Members {
		if i == me || member.State == Evicted || !lim.silent(now, member.Owner, lim.cfg.ContactTimeout) {
			continue
		}
		t.setState(i, Evicted)
		found = true
	}
	return t, found
}

// fenceTable reassigns the slots of evicted members whose tokens have all expired, and removes these
// members.
func (lim *Limiter) fenceTable(now time.Time, me int) (Table, bool) {
	recipients := lim.recipients(now, me, true)
	if lim.table.Members[me].State == Joining && lim.othersDead(now) {
		recipients = []int{me}
	}
	if len(recipients) == 0 {
		return Table{}, false
	}
	t := lim.table.nextVersion()
	found := false
	for i := len(t.Members) - 1; i >= 0; i-- {
		if t.Members[i].State != Evicted || !lim.fenced(now, t.Members[i].Owner, lim.table.slotCount(i)) {
			continue
		}
		for slot := range t.Slots {
			if t.Slots[slot].Member == i {
				t.assign(slot, t.recipientFor(slot, recipients))
			}
		}
		found = true
	}
	if !found {
		return Table{}, false
	}
	for i := len(t.Members) - 1; i >= 0; i-- {
		if t.Members[i].State == Evicted && t.slotCount(i) == 0 && lim.fenced(now, t.Members[i].Owner, 0) {
			t.remove(i)
		}
	}
	if i := t.member(lim.self()); t.Members[i].State == Joining && len(recipients) == 1 && recipients[0] == me {
		t.setState(i, Established)
	}
	return t, true
}

// fenced reports whether an evicted member must have stopped and all its tokens have expired: enough
// members have known of the eviction for long enough.
func (lim *Limiter) fenced(now time.Time, o Owner, slots int) bool {
	p := lim.peer(o)
	switch {
	case lim.cfg.Unsafe.SkipFencingWait:
		return true
	case p.ackedAt.IsZero():
		return false
	case slots == 0:
		return true
	}
	return now.Sub(p.ackedAt) >= lim.cfg.ContactTimeout+lim.cfg.quarantine()+lim.cfg.ClockMargin
}

// establishTable gives joining members their vote once enough members know of them.
func (lim *Limiter) establishTable(now time.Time, _ int) (Table, bool) {
	t := lim.table.nextVersion()
	found := false
	for i, member := range t.Members {
		if member.State == Joining && !lim.peer(member.Owner).ackedAt.IsZero() &&
			!lim.silent(now, member.Owner, lim.cfg.ContactTimeout) {
			t.setState(i, Established)
			found = true
		}
	}
	return t, found
}

// balanceTable reassigns slots of this node to members that own fewer.
func (lim *Limiter) balanceTable(now time.Time, me int) (Table, bool) {
	recipients := lim.recipients(now, me, true)
	if len(recipients) < 2 || !lim.mayUseSlots(now) {
		return Table{}, false
	}
	t := lim.table.nextVersion()
	found := false
	for _, paired := range []bool{true, false} { // First the slots whose sibling this node owns too.
		for slot := range t.Slots {
			if t.Slots[slot].Member != me || lim.slots[slot] == nil ||
				(t.Slots[sibling(slot)].Member == me) != paired {
				continue
			}
			recipient := t.recipientFor(slot, recipients)
			if recipient == me || t.slotCount(recipient)+1 >= t.slotCount(me) {
				continue
			}
			t.assign(slot, recipient)
			lim.slots[slot].releasing = true
			found = true
		}
	}
	return t, found
}

// recipientFor returns a recipient with the fewest slots, if possible not the owner of the slot's sibling.
func (t Table) recipientFor(slot int, recipients []int) int {
	best, least := recipients[0], len(t.Slots)*2+2
	for _, i := range recipients {
		n := t.slotCount(i) * 2
		if t.Slots[sibling(slot)].Member == i {
			n++ // Decides between equal counts.
		}
		if n < least {
			best, least = i, n
		}
	}
	return best
}
