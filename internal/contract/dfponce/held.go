package dfponce

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// claim is a member's record of one ClaimID.
type claim struct {
	id          ClaimID
	attempt     dfpcall.RequestID
	fingerprint uint64
	begun       time.Duration // When the attempt began, as returned by ClaimManager.elapsed.
	answer      *dfpcall.Answer
	state       ClaimState
}

// expiryEntry is an entry of a slot's list of claims by age. It is obsolete if the claim's latest
// attempt began later.
type expiryEntry struct {
	claim *claim
	begun time.Duration
}

// localSlot is a slot of which this node is a member.
type localSlot struct {
	index     int
	row       Slot
	selfIndex int // This node's index in row.Members.
	claims    map[ClaimID]*claim
	byAge     []expiryEntry
	// outgoing is the progress of copying this node's claims to a new member, or nil.
	outgoing *outgoingCopy
	// partsReceived is used if this node is the new member. It counts the parts received from each
	// member; copiedFrom has a bit set for each member whose last part was received.
	partsReceived [MembersPerSlot]int
	copiedFrom    uint8
}

// applyRow updates the local slot with index i to its row in a new slot table.
func (c *ClaimManager) applyRow(now time.Time, i int, row Slot, effects *Effects) {
	local := c.localSlots[i]
	self := row.index(c.cfg.Self)
	if local != nil && local.row.Epoch == row.Epoch {
		local.row = row
		if row.synced() {
			local.outgoing = nil
		}
		return
	}
	if local != nil && (self < 0 || local.row.ResetEpoch != row.ResetEpoch || !row.Members[self].Synced) {
		c.releaseSlot(local)
		local = nil
	}
	c.localSlots[i] = nil
	if self < 0 {
		return
	}
	if local == nil {
		local = &localSlot{index: i, claims: make(map[ClaimID]*claim)}
	}
	local.row, local.selfIndex, local.outgoing = row, self, nil
	local.partsReceived, local.copiedFrom = [MembersPerSlot]int{}, 0
	c.localSlots[i] = local
	if u := row.unsyncedIndex(); u >= 0 && u != self {
		c.startCopy(now, local, effects)
	}
}

// releaseSlot subtracts the claims and answers of a dropped slot from the totals.
func (c *ClaimManager) releaseSlot(ls *localSlot) {
	for _, cl := range ls.claims {
		c.dropAnswer(cl)
	}
	c.claimCount -= len(ls.claims)
}

// addClaim stores a new claim, or records the start of a new attempt for a stored one.
func (c *ClaimManager) addClaim(ls *localSlot, cl *claim) {
	if _, ok := ls.claims[cl.id]; !ok {
		ls.claims[cl.id] = cl
		c.claimCount++
	}
	ls.byAge = append(ls.byAge, expiryEntry{cl, cl.begun})
}

// expire deletes the claims whose latest attempt began longer than Retention ago.
func (c *ClaimManager) expire(now time.Time, ls *localSlot) {
	limit := c.elapsed(now) - c.cfg.Retention
	n := 0
	for n < len(ls.byAge) && ls.byAge[n].begun < limit {
		e := ls.byAge[n]
		n++
		if e.claim.begun != e.begun || ls.claims[e.claim.id] != e.claim {
			continue
		}
		c.dropAnswer(e.claim)
		delete(ls.claims, e.claim.id)
		c.claimCount--
	}
	if n > 0 {
		ls.byAge = append(ls.byAge[:0], ls.byAge[n:]...)
	}
}

func (c *ClaimManager) keepAnswer(cl *claim, answer *dfpcall.Answer) {
	c.dropAnswer(cl)
	if answer == nil || c.answerBytes+answerSize(answer) > c.cfg.MaxAnswerBytes {
		return
	}
	cl.answer = answer
	c.answerBytes += answerSize(answer)
}

func (c *ClaimManager) dropAnswer(cl *claim) {
	if cl.answer != nil {
		c.answerBytes -= answerSize(cl.answer)
		cl.answer = nil
	}
}

// answerSize estimates the memory that an answer takes, in bytes.
func answerSize(a *dfpcall.Answer) int {
	const fixed = 96
	n := fixed + len(a.Body)
	for name, values := range a.Header {
		n += len(name)
		for _, v := range values {
			n += len(v)
		}
	}
	return n
}

// tickSlot deletes expired claims, resends an unacknowledged Copy and reports a completed copy.
func (c *ClaimManager) tickSlot(now time.Time, ls *localSlot, effects *Effects) {
	c.expire(now, ls)
	if ls.outgoing != nil && now.Sub(ls.outgoing.lastSent) > c.cfg.ResendInterval {
		c.sendPart(now, ls, effects)
	}
	if c.hasCopied(ls) {
		effects.Copied = append(effects.Copied, CopiedSlot{Slot: ls.index, Epoch: ls.row.Epoch})
	}
}
