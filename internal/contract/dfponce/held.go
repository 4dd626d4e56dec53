package dfponce

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// claim is what a member has recorded of one claim id.
type claim struct {
	id          ClaimID
	attempt     dfpcall.RequestID
	fingerprint uint64
	begun       time.Duration // When the attempt began, since Claims' start.
	answer      *dfpcall.Answer
	state       ClaimState
}

// expiring is an entry of a slot's list of claims by age. It is void if the
// claim's latest attempt began later.
type expiring struct {
	claim *claim
	begun time.Duration
}

// heldSlot is a slot of which this node is a member.
type heldSlot struct {
	index  int
	line   Slot
	self   int // This node's place among the members.
	claims map[ClaimID]*claim
	order  []expiring
	// push is this node's progress in sending its claims to a new member.
	push *pushing
	// taken is, if this node is the new member, the number of parts taken from
	// each member; complete holds a bit for each whose last part was taken.
	taken    [MembersPerSlot]int
	complete uint8
}

// adopt takes over one slot's line of a new table.
func (c *ClaimManager) adopt(now time.Time, i int, line Slot, fx *Effects) {
	held := c.held[i]
	self := line.index(c.cfg.Self)
	if held != nil && held.line.Epoch == line.Epoch {
		held.line = line
		if line.synced() {
			held.push = nil
		}
		return
	}
	if held != nil && (self < 0 || held.line.ResetEpoch != line.ResetEpoch || !line.Members[self].Synced) {
		c.dropSlot(held)
		held = nil
	}
	c.held[i] = nil
	if self < 0 {
		return
	}
	if held == nil {
		held = &heldSlot{index: i, claims: make(map[ClaimID]*claim)}
	}
	held.line, held.self, held.push = line, self, nil
	held.taken, held.complete = [MembersPerSlot]int{}, 0
	c.held[i] = held
	if u := line.unsynced(); u >= 0 && u != self {
		c.startPush(now, held, fx)
	}
}

// dropSlot forgets the claims of a slot in which this node has no part any more.
func (c *ClaimManager) dropSlot(h *heldSlot) {
	for _, cl := range h.claims {
		c.dropAnswer(cl)
	}
	c.claims -= len(h.claims)
}

// add puts a claim in, or notes the new attempt of one that is there.
func (c *ClaimManager) add(h *heldSlot, cl *claim) {
	if _, ok := h.claims[cl.id]; !ok {
		h.claims[cl.id] = cl
		c.claims++
	}
	h.order = append(h.order, expiring{cl, cl.begun})
}

// expire forgets the claims that have been kept for Retention.
func (c *ClaimManager) expire(now time.Time, h *heldSlot) {
	limit := c.since(now) - c.cfg.Retention
	n := 0
	for n < len(h.order) && h.order[n].begun < limit {
		e := h.order[n]
		n++
		if e.claim.begun != e.begun || h.claims[e.claim.id] != e.claim {
			continue
		}
		c.dropAnswer(e.claim)
		delete(h.claims, e.claim.id)
		c.claims--
	}
	if n > 0 {
		h.order = append(h.order[:0], h.order[n:]...)
	}
}

func (c *ClaimManager) keepAnswer(cl *claim, answer *dfpcall.Answer) {
	c.dropAnswer(cl)
	if answer == nil || c.bytes+answerSize(answer) > c.cfg.MaxAnswerBytes {
		return
	}
	cl.answer = answer
	c.bytes += answerSize(answer)
}

func (c *ClaimManager) dropAnswer(cl *claim) {
	if cl.answer != nil {
		c.bytes -= answerSize(cl.answer)
		cl.answer = nil
	}
}

// answerSize is about what an answer takes in memory, in bytes.
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

// tickSlot forgets what has expired and goes on with copying.
func (c *ClaimManager) tickSlot(now time.Time, h *heldSlot, fx *Effects) {
	c.expire(now, h)
	if h.push != nil && now.Sub(h.push.sent) > c.cfg.ResendInterval {
		c.sendPart(now, h, fx)
	}
	if c.hasCopied(h) {
		fx.Copied = append(fx.Copied, CopiedSlot{Slot: h.index, Epoch: h.line.Epoch})
	}
}
