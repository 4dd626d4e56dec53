package dfponce

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// onVoteRequest votes on an attempt if this node is a member of the slot in the epoch of the
// request. Otherwise it answers with a Redirect, or notes that the requester knows a newer table.
func (c *ClaimManager) onVoteRequest(now time.Time, from string, m *VoteRequest, effects *Effects) {
	if m.Zone != c.cfg.Zone || len(c.localSlots) == 0 {
		return
	}
	i := m.ID.slot(len(c.localSlots))
	ls := c.localSlots[i]
	switch {
	case ls != nil && (ls.row.Epoch == m.Epoch || c.cfg.faults.acceptAnyEpoch && m.Epoch != 0):
		c.castVote(now, from, ls, m, effects)
	case m.Epoch > c.table.Slots[i].Epoch:
		c.highestVersion = max(c.highestVersion, c.table.Version+1)
	default:
		c.sendRedirect(now, from, i, m.ID, m.Attempt, effects)
	}
}

func (c *ClaimManager) sendRedirect(now time.Time, to string, i int, id ClaimID, attempt dfpcall.RequestID, effects *Effects) {
	c.send(now, to, &Redirect{
		ID: id, Attempt: attempt, Zone: c.cfg.Zone, Version: c.table.Version,
		Slot: i, Slots: len(c.localSlots), Row: c.table.Slots[i],
	}, effects)
}

func (c *ClaimManager) castVote(now time.Time, from string, ls *localSlot, m *VoteRequest, effects *Effects) {
	c.expire(now, ls)
	v := &Vote{ID: m.ID, Epoch: m.Epoch, Attempt: m.Attempt, Unsynced: !ls.row.Members[ls.selfIndex].Synced}
	cl := ls.claims[m.ID]
	switch {
	case cl != nil && cl.attempt == m.Attempt:
		if cl.state != ClaimRunning {
			return // The entry node has already ended the attempt; the request is late.
		}
		v.Result = Granted
	case cl != nil && cl.state != ClaimNotRun || cl != nil && cl.fingerprint != m.Fingerprint:
		v.Result, v.Answer, v.RetryAfter = c.resultForRepeat(now, cl, m), cl.answer, c.cfg.VoteTimeout
	default:
		v.Result, v.RetryAfter = c.resultForNewKey(now, ls, m)
	}
	if v.Result == Granted && (cl == nil || cl.attempt != m.Attempt) {
		c.recordGrant(now, ls, cl, m)
	}
	c.send(now, from, v, effects)
}

// recordGrant records the grant of an attempt. old is the claim of an earlier attempt that did not
// run, or nil.
func (c *ClaimManager) recordGrant(now time.Time, ls *localSlot, old *claim, m *VoteRequest) {
	cl := old
	if cl == nil {
		cl = &claim{id: m.ID}
	}
	cl.attempt, cl.fingerprint, cl.begun, cl.state = m.Attempt, m.Fingerprint, c.elapsed(now), ClaimRunning
	c.addClaim(ls, cl)
}

// resultForRepeat returns the result for an attempt whose key is claimed by another attempt.
func (c *ClaimManager) resultForRepeat(now time.Time, cl *claim, m *VoteRequest) VoteResult {
	switch {
	case cl.fingerprint != m.Fingerprint:
		return KeyReused
	case cl.state == ClaimRan:
		return AlreadyRan
	case cl.state == ClaimUnknown, c.elapsed(now)-cl.begun > c.cfg.RunTimeout:
		return OutcomeUnknown
	}
	return InProgress
}

// resultForNewKey returns the result for a key that no attempt claims: Granted, unless an earlier
// claim may have expired or been lost, or there is no room for a new one. The duration is the time
// after which the caller may retry, or 0.
func (c *ClaimManager) resultForNewKey(now time.Time, ls *localSlot, m *VoteRequest) (VoteResult, time.Duration) {
	skew, wallMs := c.cfg.MaxClockSkew.Milliseconds(), now.UnixMilli()
	age := wallMs - m.KeyTime
	lostUntil := ls.row.LostAt + c.cfg.Retention.Milliseconds() + skew
	switch {
	case c.cfg.faults.ignoreKeyTime:
		return Granted, 0
	case m.KeyTime != 0 && (age > c.cfg.Retention.Milliseconds()-2*skew || age < -skew):
		return KeyTooOld, 0
	case ls.row.LostAt != 0 && m.KeyTime != 0 && m.KeyTime <= ls.row.LostAt+skew:
		return ClaimsLost, 0
	case ls.row.LostAt != 0 && m.KeyTime == 0 && wallMs <= lostUntil:
		return ClaimsLost, time.Duration(lostUntil-wallMs) * time.Millisecond
	case c.claimCount >= c.cfg.MaxClaims:
		return ClaimsFull, c.cfg.Retention / 16
	}
	return Granted, 0
}

// onFinish records the outcome of an attempt.
func (c *ClaimManager) onFinish(now time.Time, from string, m *Finish, effects *Effects) {
	if m.Zone != c.cfg.Zone || len(c.localSlots) == 0 {
		return
	}
	i := m.ID.slot(len(c.localSlots))
	ls := c.localSlots[i]
	if ls == nil {
		c.sendRedirect(now, from, i, m.ID, m.Attempt, effects)
		return
	}
	c.recordOutcome(now, ls, ClaimRecord{ID: m.ID, Attempt: m.Attempt, Fingerprint: m.Fingerprint, State: m.State, Answer: m.Answer})
	c.send(now, from, &FinishAck{ID: m.ID, Attempt: m.Attempt}, effects)
}

// recordOutcome updates a claim with the outcome of an attempt. An attempt that ran, or may have
// run, had a quorum. So no other attempt can have run, and the record replaces those of other attempts.
func (c *ClaimManager) recordOutcome(now time.Time, ls *localSlot, r ClaimRecord) {
	cl := ls.claims[r.ID]
	switch {
	case cl == nil && r.State == ClaimNotRun:
		return
	case cl != nil && cl.attempt != r.Attempt && r.State == ClaimNotRun:
		return
	case cl != nil && cl.state >= r.State:
		return
	}
	c.setClaim(now, ls, cl, r)
}

// setClaim overwrites a claim with a record, or creates it if cl is nil.
func (c *ClaimManager) setClaim(now time.Time, ls *localSlot, cl *claim, r ClaimRecord) {
	begun := c.elapsed(now) - r.Age
	if cl == nil {
		cl = &claim{id: r.ID}
	} else if cl.attempt == r.Attempt {
		begun = max(begun, cl.begun)
	}
	cl.attempt, cl.fingerprint, cl.state = r.Attempt, r.Fingerprint, r.State
	c.keepAnswer(cl, r.Answer)
	if _, ok := ls.claims[r.ID]; !ok || begun != cl.begun {
		cl.begun = begun
		c.addClaim(ls, cl)
	}
}
