package dfponce

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// outgoingCopy is the progress of a member in sending its claims to a new member.
type outgoingCopy struct {
	claims   []*claim
	part     int
	lastSent time.Time
}

// startCopy begins to send the claims of a slot to its new member. From now on this member votes
// only in the new epoch, so the copy includes every claim that a quorum of an earlier epoch can have
// granted with its vote.
func (c *ClaimManager) startCopy(now time.Time, ls *localSlot, effects *Effects) {
	ls.outgoing = &outgoingCopy{}
	for _, e := range ls.byAge {
		if e.begun == e.claim.begun && ls.claims[e.claim.id] == e.claim {
			ls.outgoing.claims = append(ls.outgoing.claims, e.claim)
		}
	}
	c.sendPart(now, ls, effects)
}

func (c *ClaimManager) sendPart(now time.Time, ls *localSlot, effects *Effects) {
	p := ls.outgoing
	p.lastSent = now
	from := min(p.part*copyClaims, len(p.claims))
	to := min(from+copyClaims, len(p.claims))
	m := &Copy{Slot: ls.index, Epoch: ls.row.Epoch, Part: p.part, Last: to == len(p.claims)}
	for _, cl := range p.claims[from:to] {
		if ls.claims[cl.id] != cl {
			continue // It expired after the copy began.
		}
		m.Claims = append(m.Claims, ClaimRecord{
			ID: cl.id, Attempt: cl.attempt, Fingerprint: cl.fingerprint,
			State: cl.state, Answer: cl.answer, Age: c.elapsed(now) - cl.begun,
		})
	}
	c.send(now, ls.row.Members[ls.row.unsyncedIndex()].Member.Address, m, effects)
}

func (c *ClaimManager) onCopyAck(now time.Time, from string, m *CopyAck, effects *Effects) {
	ls := c.localSlotInEpoch(m.Slot, m.Epoch)
	if ls == nil || ls.outgoing == nil || ls.outgoing.part != m.Part || ls.row.indexByAddress(from) != ls.row.unsyncedIndex() {
		return
	}
	ls.outgoing.part++
	if ls.outgoing.part*copyClaims >= len(ls.outgoing.claims) {
		ls.outgoing = nil
		return
	}
	c.sendPart(now, ls, effects)
}

// localSlotInEpoch returns the slot with the given index if this node is a member of it in the given
// epoch, or else nil.
func (c *ClaimManager) localSlotInEpoch(slot int, epoch uint64) *localSlot {
	if slot < 0 || slot >= len(c.localSlots) || c.localSlots[slot] == nil || c.localSlots[slot].row.Epoch != epoch {
		if slot >= 0 && slot < len(c.localSlots) && c.table.Slots[slot].Epoch < epoch {
			c.highestVersion = max(c.highestVersion, c.table.Version+1)
		}
		return nil
	}
	return c.localSlots[slot]
}

// onCopy merges one part of another member's claims. Each part is merged once, and acknowledged
// again if it arrives again.
func (c *ClaimManager) onCopy(now time.Time, from string, m *Copy, effects *Effects) {
	ls := c.localSlotInEpoch(m.Slot, m.Epoch)
	if ls == nil {
		return
	}
	j := ls.row.indexByAddress(from)
	if j < 0 || j == ls.selfIndex || m.Part > ls.partsReceived[j] {
		return
	}
	if m.Part == ls.partsReceived[j] && ls.copiedFrom&(1<<j) == 0 {
		for _, r := range m.Claims {
			c.mergeRecord(now, ls, r)
		}
		ls.partsReceived[j]++
		if m.Last {
			ls.copiedFrom |= 1 << j
		}
	}
	c.send(now, from, &CopyAck{Slot: m.Slot, Epoch: m.Epoch, Part: m.Part}, effects)
	if c.hasCopied(ls) {
		effects.Copied = append(effects.Copied, CopiedSlot{Slot: ls.index, Epoch: ls.row.Epoch})
	}
}

// hasCopied reports whether this node is a new member that has copied all claims and that the slot
// table does not show as synced yet.
func (c *ClaimManager) hasCopied(ls *localSlot) bool {
	if ls.row.unsyncedIndex() != ls.selfIndex {
		return false
	}
	for j, m := range ls.row.Members {
		if m.Synced && ls.copiedFrom&(1<<j) == 0 {
			return false
		}
	}
	return true
}

// mergeRecord merges another member's record of a claim. If two members voted for different
// attempts, either attempt may have reached its quorum with the vote of the member that was
// replaced. The claim then becomes ClaimUnknown, so that this member grants neither.
func (c *ClaimManager) mergeRecord(now time.Time, ls *localSlot, r ClaimRecord) {
	cl := ls.claims[r.ID]
	switch {
	case c.cfg.faults.skipCopy:
		return
	case cl == nil:
	case cl.attempt == r.Attempt || r.State == ClaimRan:
		if cl.state >= r.State {
			return
		}
	case cl.state == ClaimRan, r.State == ClaimNotRun, c.cfg.faults.keepFirstOnMerge:
		return
	case cl.state == ClaimNotRun:
	default:
		r.Attempt, r.State, r.Answer = dfpcall.RequestID{}, ClaimUnknown, nil
	}
	c.setClaim(now, ls, cl, r)
}
