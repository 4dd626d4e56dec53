package dfpshare

import (
	"time"
)

// tickMembership sends heartbeats and proposes the changes that the table needs.
func (s *Limiter) tickMembership(now time.Time) {
	m := &s.member
	if now.Sub(m.lastTick) >= s.cfg.ContactTimeout/2 {
		m.gap, m.gapEnd = true, now
		s.startOver(now)
	}
	m.lastTick = now
	if now.Sub(m.workedAt) < membershipInterval && !s.stopping {
		return
	}
	m.workedAt = now
	s.ping(now)
	s.hello(now)
	s.wantTable(now)
	if s.table.Version > 0 {
		s.noteAcks(now)
	}
	if !m.proposedAt.IsZero() && now.Sub(m.proposedAt) < proposalTimeout {
		return
	}
	if t, ok := s.reshape(now); ok {
		m.proposedAt = now
		s.proposed = &TableProposal{Table: t, Revision: s.revision}
	}
}

// startOver makes silence count from now: after a pause it is this node that was silent.
func (s *Limiter) startOver(now time.Time) {
	for _, p := range s.member.peers {
		p.seen, p.heard = now, now
	}
	s.member.anyHeard = now
}

// ping sends heartbeats: a member, and who would be one, to all members; other
// nodes now and then to one.
func (s *Limiter) ping(now time.Time) {
	m := &s.member
	interval := s.cfg.PingInterval
	active := s.table.member(s.self()) >= 0 || s.wouldJoin() ||
		now.Sub(m.anyHeard) >= 2*s.cfg.ContactTimeout
	switch {
	case !active:
		interval = entryPingInterval
		m.activeAt = time.Time{}
	case m.activeAt.IsZero():
		m.activeAt = now
	}
	if now.Sub(m.pingAt) < interval {
		return
	}
	m.pingAt = now
	m.pingID++
	m.pings[m.pingID] = now
	delete(m.pings, m.pingID-uint64(2*s.cfg.ContactTimeout/s.cfg.PingInterval))
	for _, address := range s.pingTargets(active) {
		s.send(address).Ping = &Ping{ID: m.pingID, Version: s.table.Version}
	}
}

func (s *Limiter) pingTargets(all bool) []string {
	var targets []string
	for _, member := range s.table.Members {
		if member.Owner.Address != s.cfg.Self.Address {
			targets = append(targets, member.Owner.Address)
		}
	}
	if len(targets) == 0 {
		targets = s.peers[s.cfg.Self.Zone]
		all = false
	}
	if all || len(targets) == 0 {
		return targets
	}
	i := s.rand.IntN(len(targets))
	return targets[i : i+1]
}

// wantTable asks for a read of the table when heartbeats don't suffice, and now and
// then in any case.
func (s *Limiter) wantTable(now time.Time) {
	m := &s.member
	if now.Sub(m.wantAt) < tableRetry {
		return
	}
	wanted := s.table.Version == 0 || m.gap || now.Sub(m.readAt) > tablePoll
	if !wanted && s.table.member(s.self()) >= 0 {
		// A sole member has nobody else to hear from that it was condemned.
		wanted = len(s.table.Members) == 1 || !s.quorum(func(o Owner) bool {
			return now.Sub(s.peer(o).supportAt) < s.cfg.ContactTimeout/2
		})
	}
	if wanted {
		m.wantAt = now
		s.want = true
	}
}

// noteAcks notes when enough members know a change of state.
func (s *Limiter) noteAcks(now time.Time) {
	for _, member := range s.table.Members {
		p := s.peer(member.Owner)
		if member.State == Established || !p.ackedAt.IsZero() {
			continue
		}
		acked := s.blocks(func(o Owner) bool { return s.peer(o).version >= p.changed })
		if acked || s.allGone(now) {
			p.ackedAt = now
		}
	}
}

// allGone reports whether every member but this node is condemned and silent.
func (s *Limiter) allGone(now time.Time) bool {
	for _, member := range s.table.Members {
		if member.Owner == s.self() {
			continue
		}
		if member.State != Evicted || !s.silent(now, member.Owner, s.cfg.ContactTimeout) {
			return false
		}
	}
	return true
}

// silent reports whether a member has been silent for limit, or is known to be dead.
func (s *Limiter) silent(now time.Time, o Owner, limit time.Duration) bool {
	p := s.peer(o)
	last := p.seen
	if p.heard.After(last) {
		last = p.heard
	}
	if s.member.activeAt.After(last) {
		last = s.member.activeAt
	}
	replaced := o.Address == s.cfg.Self.Address && o != s.self()
	return replaced || p.replaced || s.member.refused[o.Address] || now.Sub(last) >= limit
}

// reshape returns the next table if there is something to change.
func (s *Limiter) reshape(now time.Time) (Table, bool) {
	if s.table.Version == 0 {
		return s.firstTable()
	}
	me := s.table.member(s.self())
	switch {
	case me < 0:
		return s.joinTable(now)
	case s.table.Members[me].State == Evicted:
		return Table{}, false
	case s.stopping:
		return s.leaveTable(now, me)
	}
	for _, propose := range []func(time.Time, int) (Table, bool){
		s.condemnTable, s.fenceTable, s.establishTable, s.balanceTable, s.fractionTable,
	} {
		if t, ok := propose(now, me); ok {
			return t, true
		}
	}
	return Table{}, false
}

// firstTable makes this node the owner of everything in a new zone.
func (s *Limiter) firstTable() (Table, bool) {
	if !s.member.emptyRead || s.stopping || s.rules.Version == 0 {
		return Table{}, false
	}
	t := Table{
		Zone: s.cfg.Self.Zone, Version: firstVersion,
		Members:      []Member{{Owner: s.self(), Since: firstVersion}},
		Slots:        make([]Slot, s.cfg.Slots),
		Fraction:     s.rulesFraction(),
		RulesVersion: s.rules.Version,
	}
	for i := range t.Slots {
		t.give(i, 0)
	}
	return t, true
}

// wouldJoin reports whether there is room for this node as a member.
func (s *Limiter) wouldJoin() bool {
	if s.stopping || s.table.Version == 0 || s.rules.Version == 0 {
		return false
	}
	n := 0
	for _, member := range s.table.Members {
		if member.State != Evicted {
			n++
		}
	}
	return n < s.cfg.MaxMembers
}

// joinTable adds this node. Where all members have been silent for long it
// condemns them, to take the zone over.
func (s *Limiter) joinTable(now time.Time) (Table, bool) {
	if s.stopping || s.rules.Version == 0 || s.member.activeAt.IsZero() {
		return Table{}, false
	}
	t := s.table.clone()
	dead := true
	for _, member := range t.Members {
		if !s.silent(now, member.Owner, takeoverFactor*s.cfg.ContactTimeout) {
			dead = dead && member.State == Evicted
		}
	}
	if !dead && !s.wouldJoin() {
		return Table{}, false
	}
	if dead {
		for i := range t.Members {
			t.setState(i, Evicted)
		}
	}
	t.Members = append(t.Members, Member{Owner: s.self(), State: Joining, Since: t.Version})
	return t, true
}

// leaveTable hands all slots of this node to the others and takes it out.
func (s *Limiter) leaveTable(now time.Time, me int) (Table, bool) {
	t := s.table.clone()
	heirs := s.heirs(now, me, false)
	for i := range t.Slots {
		if t.Slots[i].Member == me && len(heirs) > 0 {
			t.give(i, t.heirFor(i, heirs))
		}
	}
	for _, slot := range s.slots {
		slot.releasing = true
	}
	t.setState(me, Evicted)
	return t, true
}

// heirs returns the members that can take slots, with this node or without.
func (s *Limiter) heirs(now time.Time, me int, self bool) []int {
	var heirs []int
	for i, member := range s.table.Members {
		if i == me && !self || member.State != Established {
			continue
		}
		if i == me || !s.silent(now, member.Owner, s.cfg.ContactTimeout) {
			heirs = append(heirs, i)
		}
	}
	return heirs
}

// condemnTable condemns the members that are silent.
func (s *Limiter) condemnTable(now time.Time, me int) (Table, bool) {
	t := s.table.clone()
	found := false
	for i, member := range t.Members {
		if i == me || member.State == Evicted || !s.silent(now, member.Owner, s.cfg.ContactTimeout) {
			continue
		}
		t.setState(i, Evicted)
		found = true
	}
	return t, found
}

// fenceTable removes condemned members whose tokens are all dead, and takes their slots.
func (s *Limiter) fenceTable(now time.Time, me int) (Table, bool) {
	heirs := s.heirs(now, me, true)
	if s.table.Members[me].State == Joining && s.allGone(now) {
		heirs = []int{me}
	}
	if len(heirs) == 0 {
		return Table{}, false
	}
	t := s.table.clone()
	found := false
	for i := len(t.Members) - 1; i >= 0; i-- {
		if t.Members[i].State != Evicted || !s.fenced(now, t.Members[i].Owner, s.table.count(i)) {
			continue
		}
		for slot := range t.Slots {
			if t.Slots[slot].Member == i {
				t.give(slot, t.heirFor(slot, heirs))
			}
		}
		found = true
	}
	if !found {
		return Table{}, false
	}
	for i := len(t.Members) - 1; i >= 0; i-- {
		if t.Members[i].State == Evicted && t.count(i) == 0 && s.fenced(now, t.Members[i].Owner, 0) {
			t.remove(i)
		}
	}
	if i := t.member(s.self()); t.Members[i].State == Joining && len(heirs) == 1 && heirs[0] == me {
		t.setState(i, Established)
	}
	return t, true
}

// fenced reports whether a condemned member has certainly stopped and its tokens
// have expired: enough members know, and have known for long enough.
func (s *Limiter) fenced(now time.Time, o Owner, slots int) bool {
	p := s.peer(o)
	switch {
	case s.cfg.Unsafe.SkipFencingWait:
		return true
	case p.ackedAt.IsZero():
		return false
	case slots == 0:
		return true
	}
	return now.Sub(p.ackedAt) >= s.cfg.ContactTimeout+s.cfg.quarantine()+s.cfg.ClockMargin
}

// establishTable gives joining members their vote once enough members know of them.
func (s *Limiter) establishTable(now time.Time, _ int) (Table, bool) {
	t := s.table.clone()
	found := false
	for i, member := range t.Members {
		if member.State == Joining && !s.peer(member.Owner).ackedAt.IsZero() &&
			!s.silent(now, member.Owner, s.cfg.ContactTimeout) {
			t.setState(i, Established)
			found = true
		}
	}
	return t, found
}

// balanceTable hands slots of this node to members that own fewer.
func (s *Limiter) balanceTable(now time.Time, me int) (Table, bool) {
	heirs := s.heirs(now, me, true)
	if len(heirs) < 2 || !s.mayUse(now) {
		return Table{}, false
	}
	t := s.table.clone()
	found := false
	for _, paired := range []bool{true, false} { // Pairs in one hand are parted first.
		for slot := range t.Slots {
			if t.Slots[slot].Member != me || s.slots[slot] == nil ||
				(t.Slots[partner(slot)].Member == me) != paired {
				continue
			}
			heir := t.heirFor(slot, heirs)
			if heir == me || t.count(heir)+1 >= t.count(me) {
				continue
			}
			t.give(slot, heir)
			s.slots[slot].releasing = true
			found = true
		}
	}
	return t, found
}

// heirFor returns which of the members with the fewest slots should get one: if it
// can be, not the owner of its partner.
func (t Table) heirFor(slot int, heirs []int) int {
	best, least := heirs[0], len(t.Slots)*2+2
	for _, i := range heirs {
		n := t.count(i) * 2
		if t.Slots[partner(slot)].Member == i {
			n++ // Decides between equals.
		}
		if n < least {
			best, least = i, n
		}
	}
	return best
}
