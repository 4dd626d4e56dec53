package dfponce

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// pushing is a member's progress in sending its claims to a new one.
type pushing struct {
	claims []*claim
	part   int
	sent   time.Time
}

// startPush begins to send the claims of a slot to its new member. All claims
// are held by now that a quorum of an earlier epoch can ever have granted with this
// member's vote, since from now on it votes in the new epoch only.
func (c *ClaimManager) startPush(now time.Time, h *heldSlot, fx *Effects) {
	h.push = &pushing{}
	for _, e := range h.order {
		if e.begun == e.claim.begun && h.claims[e.claim.id] == e.claim {
			h.push.claims = append(h.push.claims, e.claim)
		}
	}
	c.sendPart(now, h, fx)
}

func (c *ClaimManager) sendPart(now time.Time, h *heldSlot, fx *Effects) {
	p := h.push
	p.sent = now
	from := min(p.part*copyClaims, len(p.claims))
	to := min(from+copyClaims, len(p.claims))
	m := &Copy{Slot: h.index, Epoch: h.line.Epoch, Part: p.part, Last: to == len(p.claims)}
	for _, cl := range p.claims[from:to] {
		if h.claims[cl.id] != cl {
			continue // Expired since.
		}
		m.Claims = append(m.Claims, ClaimRecord{
			ID: cl.id, Attempt: cl.attempt, Fingerprint: cl.fingerprint,
			State: cl.state, Answer: cl.answer, Age: c.since(now) - cl.begun,
		})
	}
	c.send(now, h.line.Members[h.line.unsynced()].Member.Address, m, fx)
}

func (c *ClaimManager) onCopyTaken(now time.Time, from string, m *CopyAck, fx *Effects) {
	h := c.inEpoch(m.Slot, m.Epoch)
	if h == nil || h.push == nil || h.push.part != m.Part || h.line.byAddress(from) != h.line.unsynced() {
		return
	}
	h.push.part++
	if h.push.part*copyClaims >= len(h.push.claims) {
		h.push = nil
		return
	}
	c.sendPart(now, h, fx)
}

// inEpoch returns the slot if this node is a member of it in that epoch.
func (c *ClaimManager) inEpoch(slot int, epoch uint64) *heldSlot {
	if slot < 0 || slot >= len(c.held) || c.held[slot] == nil || c.held[slot].line.Epoch != epoch {
		if slot >= 0 && slot < len(c.held) && c.homes.Slots[slot].Epoch < epoch {
			c.behind = max(c.behind, c.homes.Version+1)
		}
		return nil
	}
	return c.held[slot]
}

// onCopy takes over a part of a member's claims, each part once.
func (c *ClaimManager) onCopy(now time.Time, from string, m *Copy, fx *Effects) {
	h := c.inEpoch(m.Slot, m.Epoch)
	if h == nil {
		return
	}
	j := h.line.byAddress(from)
	if j < 0 || j == h.self || m.Part > h.taken[j] {
		return
	}
	if m.Part == h.taken[j] && h.complete&(1<<j) == 0 {
		for _, r := range m.Claims {
			c.merge(now, h, r)
		}
		h.taken[j]++
		if m.Last {
			h.complete |= 1 << j
		}
	}
	c.send(now, from, &CopyAck{Slot: m.Slot, Epoch: m.Epoch, Part: m.Part}, fx)
	if c.hasCopied(h) {
		fx.Copied = append(fx.Copied, CopiedSlot{Slot: h.index, Epoch: h.line.Epoch})
	}
}

// hasCopied reports whether this node is a new member that has copied all
// claims and is not yet synced in the table.
func (c *ClaimManager) hasCopied(h *heldSlot) bool {
	if h.line.unsynced() != h.self {
		return false
	}
	for j, m := range h.line.Members {
		if m.Synced && h.complete&(1<<j) == 0 {
			return false
		}
	}
	return true
}

// merge takes over what another member holds of a claim. Where two members
// voted for different attempts, either may have got its quorum with the member that was
// replaced: then this one votes for none.
func (c *ClaimManager) merge(now time.Time, h *heldSlot, r ClaimRecord) {
	cl := h.claims[r.ID]
	switch {
	case c.cfg.faults.skipCopy:
		return
	case cl == nil:
	case cl.attempt == r.Attempt || r.State == ClaimRan:
		if cl.state >= r.State {
			return
		}
	case cl.state == ClaimRan, r.State == ClaimNotRun, c.cfg.faults.mergeFirst:
		return
	case cl.state == ClaimNotRun:
	default:
		r.Attempt, r.State, r.Answer = dfpcall.RequestID{}, ClaimUnknown, nil
	}
	c.replace(now, h, cl, r)
}
