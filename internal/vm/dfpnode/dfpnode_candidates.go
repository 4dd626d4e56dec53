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
func (h *slotTableLoop) zoneMembers() []dfproster.Member {
	r := &h.l.n.roster
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []dfproster.Member
	for _, m := range r.roster.Members() {
		if m.VM.Zone == h.l.n.cfg.VM.Zone {
			found = append(found, m)
		}
	}
	return found
}

// rank returns the number of eligible nodes of the zone with a lower address than this node's. Planners
// act in the order of their ranks.
func (h *slotTableLoop) rank() int {
	n := 0
	for _, m := range h.zoneMembers() {
		if isEligible(m) && m.VM.Address < h.l.n.cfg.VM.Address {
			n++
		}
	}
	return n
}

func isEligible(m dfproster.Member) bool {
	return m.State == dfproster.StateUp && !m.VM.Left && !m.VM.Draining
}

// canHandOver reports whether enough other nodes are eligible to take over this node's slots.
func (h *slotTableLoop) canHandOver() bool {
	n := 0
	for _, m := range h.zoneMembers() {
		if isEligible(m) && m.VM.Address != h.l.n.cfg.VM.Address {
			n++
		}
	}
	return n >= dfponce.MembersPerSlot && h.l.n.cfg.Platform != nil
}

func (h *slotTableLoop) newPlanInput(prev dfponce.SlotTable, copied []dfponce.CopiedSlot) dfponce.PlanInput {
	plan := dfponce.PlanInput{Zone: h.l.n.cfg.VM.Zone, Self: h.l.self(), Now: time.Now().UnixMilli(), Copied: copied}
	byAddress := make(map[string]dfponce.Member)
	for _, m := range h.zoneMembers() {
		member := dfponce.Member{Address: m.VM.Address, Incarnation: m.VM.Incarnation}
		byAddress[m.VM.Address] = member
		h.recordSeen(member)
		plan.Candidates = append(plan.Candidates, dfponce.Candidate{
			Member: member, Alive: m.State == dfproster.StateUp && !m.VM.Left,
			Terminated: m.VM.Left || h.isTerminated(member), Draining: m.VM.Draining,
		})
	}
	for _, s := range prev.Slots {
		for _, m := range s.Members {
			if byAddress[m.Member.Address] == m.Member {
				continue
			}
			plan.Candidates = append(plan.Candidates, dfponce.Candidate{Member: m.Member, Terminated: h.isTerminated(m.Member)})
		}
	}
	for _, c := range plan.Candidates {
		if !c.Alive && !c.Terminated {
			h.probe(c.Member)
		}
	}
	return plan
}

// recordSeen records that the roster shows the process m. Processes that the roster showed at the same
// address before have terminated.
func (h *slotTableLoop) recordSeen(m dfponce.Member) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.seen[m] {
		return
	}
	for old := range h.seen {
		if old.Address == m.Address {
			h.terminated[old] = true
			delete(h.seen, old)
		}
	}
	h.seen[m] = true
}

func (h *slotTableLoop) isTerminated(m dfponce.Member) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.terminated[m]
}

// probe checks whether a process has terminated, in which case its address refuses connections.
func (h *slotTableLoop) probe(m dfponce.Member) {
	h.l.n.group.Go(func() error {
		ctx, cancel := context.WithTimeout(h.l.n.runCtx, probeTimeout)
		defer cancel()
		dial := h.l.n.cfg.Dial
		if dial == nil {
			dial = new(net.Dialer).DialContext
		}
		conn, err := dial(ctx, "tcp", m.Address)
		if err == nil {
			_ = conn.Close()
			return nil
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			h.mu.Lock()
			h.terminated[m] = true
			h.mu.Unlock()
		}
		return nil
	})
}
