package dfponce

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// onBegin votes on an attempt, if this node is a member in the epoch that the
// attempt goes by.
func (c *ClaimManager) onBegin(now time.Time, from string, m *VoteRequest, fx *Effects) {
	if m.Zone != c.cfg.Zone || len(c.held) == 0 {
		return
	}
	i := m.ID.slot(len(c.held))
	h := c.held[i]
	switch {
	case h != nil && (h.line.Epoch == m.Epoch || c.cfg.faults.acceptAnyEpoch && m.Epoch != 0):
		c.vote(now, from, h, m, fx)
	case m.Epoch > c.homes.Slots[i].Epoch:
		c.behind = max(c.behind, c.homes.Version+1)
	default:
		c.redirect(now, from, i, m.ID, m.Attempt, fx)
	}
}

func (c *ClaimManager) redirect(now time.Time, to string, i int, id ClaimID, attempt dfpcall.RequestID, fx *Effects) {
	c.send(now, to, &Redirect{
		ID: id, Attempt: attempt, Zone: c.cfg.Zone, Version: c.homes.Version,
		Slot: i, Slots: len(c.held), Row: c.homes.Slots[i],
	}, fx)
}

func (c *ClaimManager) vote(now time.Time, from string, h *heldSlot, m *VoteRequest, fx *Effects) {
	c.expire(now, h)
	v := &Vote{ID: m.ID, Epoch: m.Epoch, Attempt: m.Attempt, Unsynced: !h.line.Members[h.self].Synced}
	cl := h.claims[m.ID]
	switch {
	case cl != nil && cl.attempt == m.Attempt:
		if cl.state != ClaimRunning {
			return // Its entry has ended the attempt; the message is late.
		}
		v.Result = Granted
	case cl != nil && cl.state != ClaimNotRun || cl != nil && cl.fingerprint != m.Fingerprint:
		v.Result, v.Answer, v.RetryAfter = c.repeated(now, cl, m), cl.answer, c.cfg.VoteTimeout
	default:
		v.Result, v.RetryAfter = c.judge(now, h, m)
	}
	if v.Result == Granted && (cl == nil || cl.attempt != m.Attempt) {
		c.claimFor(now, h, cl, m)
	}
	c.send(now, from, v, fx)
}

// claimFor records the vote for an attempt. old is the claim of an attempt that
// did not run, or nil.
func (c *ClaimManager) claimFor(now time.Time, h *heldSlot, old *claim, m *VoteRequest) {
	cl := old
	if cl == nil {
		cl = &claim{id: m.ID}
	}
	cl.attempt, cl.fingerprint, cl.begun, cl.state = m.Attempt, m.Fingerprint, c.since(now), ClaimRunning
	c.add(h, cl)
}

// repeated rules on an attempt whose key is claimed by another.
func (c *ClaimManager) repeated(now time.Time, cl *claim, m *VoteRequest) VoteResult {
	switch {
	case cl.fingerprint != m.Fingerprint:
		return KeyReused
	case cl.state == ClaimRan:
		return AlreadyRan
	case cl.state == ClaimUnknown, c.since(now)-cl.begun > c.cfg.RunTimeout:
		return OutcomeUnknown
	}
	return InProgress
}

// judge rules on a key that no attempt claims: Granted, unless a claim may have
// been forgotten or lost, or none can be kept. The duration is when to come back.
func (c *ClaimManager) judge(now time.Time, h *heldSlot, m *VoteRequest) (VoteResult, time.Duration) {
	margin, wall := c.cfg.MaxClockSkew.Milliseconds(), now.UnixMilli()
	age := wall - m.KeyTime
	lostUntil := h.line.LostAt + c.cfg.Retention.Milliseconds() + margin
	switch {
	case c.cfg.faults.judgeAll:
		return Granted, 0
	case m.KeyTime != 0 && (age > c.cfg.Retention.Milliseconds()-2*margin || age < -margin):
		return KeyTooOld, 0
	case h.line.LostAt != 0 && m.KeyTime != 0 && m.KeyTime <= h.line.LostAt+margin:
		return ClaimsLost, 0
	case h.line.LostAt != 0 && m.KeyTime == 0 && wall <= lostUntil:
		return ClaimsLost, time.Duration(lostUntil-wall) * time.Millisecond
	case c.claims >= c.cfg.MaxClaims:
		return ClaimsFull, c.cfg.Retention / 16
	}
	return Granted, 0
}

// onFinish records how an attempt ended.
func (c *ClaimManager) onFinish(now time.Time, from string, m *Finish, fx *Effects) {
	if m.Zone != c.cfg.Zone || len(c.held) == 0 {
		return
	}
	i := m.ID.slot(len(c.held))
	h := c.held[i]
	if h == nil {
		c.redirect(now, from, i, m.ID, m.Attempt, fx)
		return
	}
	c.record(now, h, ClaimRecord{ID: m.ID, Attempt: m.Attempt, Fingerprint: m.Fingerprint, State: m.State, Answer: m.Answer})
	c.send(now, from, &FinishAck{ID: m.ID, Attempt: m.Attempt}, fx)
}

// record takes over how an attempt ended. An attempt that ran, or may have, had a
// quorum, so that no other can have run and what is held of others gives way.
func (c *ClaimManager) record(now time.Time, h *heldSlot, r ClaimRecord) {
	cl := h.claims[r.ID]
	switch {
	case cl == nil && r.State == ClaimNotRun:
		return
	case cl != nil && cl.attempt != r.Attempt && r.State == ClaimNotRun:
		return
	case cl != nil && cl.state >= r.State:
		return
	}
	c.replace(now, h, cl, r)
}

// replace sets a claim to a record.
func (c *ClaimManager) replace(now time.Time, h *heldSlot, cl *claim, r ClaimRecord) {
	begun := c.since(now) - r.Age
	if cl == nil {
		cl = &claim{id: r.ID}
	} else if cl.attempt == r.Attempt {
		begun = max(begun, cl.begun)
	}
	cl.attempt, cl.fingerprint, cl.state = r.Attempt, r.Fingerprint, r.State
	c.keepAnswer(cl, r.Answer)
	if _, ok := h.claims[r.ID]; !ok || begun != cl.begun {
		cl.begun = begun
		c.add(h, cl)
	}
}
