package dfpnode

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"

	"dragonflyport/internal/contract/dfponce"
	"dragonflyport/internal/zone/dfproster"
)

// zoneMembers returns the roster's members in this node's zone.
func (t *slotTableLoop) zoneMembers() []dfproster.Member {
	r := &t.l.n.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []dfproster.Member
	for _, m := range r.roster.Members() {
		if m.VM.Zone == t.l.n.cfg.VM.Zone {
			found = append(found, m)
		}
	}
	return found
}

// rank returns the number of eligible nodes of the zone with a lower address than this node's. Planners
// act in the order of their ranks.
func (t *slotTableLoop) rank() int {
	n := 0
	for _, m := range t.zoneMembers() {
		if isEligible(m) && m.VM.Address < t.l.n.cfg.VM.Address {
			n++
		}
	}
	return n
}

func isEligible(m dfproster.Member) bool {
	return m.State == dfproster.StateUp && !m.VM.Left && !m.VM.Draining
}

// canHandOver reports whether enough other nodes are eligible to take over this node's slots.
func (t *slotTableLoop) canHandOver() bool {
	n := 0
	for _, m := range t.zoneMembers() {
		if isEligible(m) && m.VM.Address != t.l.n.cfg.VM.Address {
			n++
		}
	}
	return n >= dfponce.MembersPerSlot && t.l.n.cfg.Platform != nil
}

func (t *slotTableLoop) newPlanInput(prev dfponce.SlotTable, copied []dfponce.CopiedSlot) dfponce.PlanInput {
	plan := dfponce.PlanInput{Zone: t.l.n.cfg.VM.Zone, Self: t.l.self(), Now: time.Now().UnixMilli(), Copied: copied}
	byAddress := make(map[string]dfponce.Member)
	for _, m := range t.zoneMembers() {
		member := dfponce.Member{Address: m.VM.Address, Incarnation: m.VM.Incarnation}
		byAddress[m.VM.Address] = member
		t.recordSeen(member)
		plan.Candidates = append(plan.Candidates, dfponce.Candidate{
			Member: member, Alive: m.State == dfproster.StateUp && !m.VM.Left,
			Terminated: m.VM.Left || t.isTerminated(member), Draining: m.VM.Draining,
		})
	}
	for _, s := range prev.Slots {
		for _, m := range s.Members {
			if byAddress[m.Member.Address] == m.Member {
				continue
			}
			plan.Candidates = append(plan.Candidates, dfponce.Candidate{Member: m.Member, Terminated: t.isTerminated(m.Member)})
		}
	}
	for _, c := range plan.Candidates {
		if !c.Alive && !c.Terminated {
			t.probe(c.Member)
		}
	}
	return plan
}

// recordSeen records that the roster shows the process m. Processes that the roster showed at the same
// address before have terminated.
func (t *slotTableLoop) recordSeen(m dfponce.Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.seen[m] {
		return
	}
	for old := range t.seen {
		if old.Address == m.Address {
			t.terminated[old] = true
			delete(t.seen, old)
		}
	}
	t.seen[m] = true
}

func (t *slotTableLoop) isTerminated(m dfponce.Member) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.terminated[m]
}

// probe checks whether a process has terminated, in which case its address refuses connections.
func (t *slotTableLoop) probe(m dfponce.Member) {
	t.l.n.group.Go(func() error {
		ctx, cancel := context.WithTimeout(t.l.n.runCtx, probeTimeout)
		defer cancel()
		dial := t.l.n.cfg.Dial
		if dial == nil {
			dial = new(net.Dialer).DialContext
		}
		conn, err := dial(ctx, "tcp", m.Address)
		if err == nil {
			_ = conn.Close()
			return nil
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			t.mu.Lock()
			t.terminated[m] = true
			t.mu.Unlock()
		}
		return nil
	})
}
