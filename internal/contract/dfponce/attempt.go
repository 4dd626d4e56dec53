package dfponce

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

const (
	// finishRetryFactor times VoteTimeout is how long a Finish is resent to members that do
	// not acknowledge it.
	finishRetryFactor = 20
	// withdrawnKeepFactor times VoteTimeout is how long a withdrawn attempt is kept to answer
	// late votes.
	withdrawnKeepFactor = 4
	// maxEpochs bounds the epochs in which one attempt requests votes.
	maxEpochs = 8
)

// ClaimRequest is a request with an Idempotency-Key that asks to run.
type ClaimRequest struct {
	Organisation string
	Key          string
	// Fingerprint tells apart different requests that come with the same key.
	Fingerprint uint64
	// Attempt is the ID of this request. It is never reused.
	Attempt dfpcall.RequestID
	// Zone is the home zone of the key (HomeZone). It must be the same on all nodes.
	Zone string
	// Contact is the address of any node in Zone. It is needed only if Zone is not the zone of this
	// node.
	Contact string
}

type attemptState uint8

const (
	attemptWaiting attemptState = iota
	attemptRunning
	attemptEnded
)

// attempt is the state of one ClaimRequest at its entry node.
type attempt struct {
	request    VoteRequest
	finish     *Finish // Set once the attempt has ended.
	contact    string
	state      attemptState
	phaseStart time.Time // When the attempt began or, once it has ended, when it ended.
	lastSent   time.Time
	epochs     int
	// row is the slot-table row by which votes are counted, and slot is its index. Epoch 0 means
	// that no row is known yet.
	row  Slot
	slot int
	// Bit sets of members by their index in row: those that granted the attempt, those that refused
	// it, and those that acknowledged its finish.
	granted, refused, recorded uint8
	strongest                  Vote // The refusal with the highest VoteResult.
	withdrawn, removed         bool
}

// Begin starts an attempt. Its Decision is in the returned Effects or in those of a later call.
// Begin panics if an attempt with the same ID has begun here and has not been removed yet.
func (c *ClaimManager) Begin(now time.Time, req ClaimRequest) Effects {
	var effects Effects
	if c.attempts[req.Attempt] != nil {
		panic("dfponce: Begin called twice for attempt " + req.Attempt.String())
	}
	if reason := c.rejectReason(req); reason != "" {
		outcome := &dfpcall.NotRun{Reason: reason, RetryAfter: c.cfg.VoteTimeout}
		effects.Decisions = append(effects.Decisions, Decision{Attempt: req.Attempt, Outcome: outcome})
		return effects
	}
	a := &attempt{
		request: VoteRequest{
			Zone: req.Zone, ID: NewClaimID(req.Organisation, req.Key), Attempt: req.Attempt,
			Fingerprint: req.Fingerprint, KeyTime: KeyTime(req.Key),
		},
		contact:    req.Contact,
		phaseStart: now,
	}
	c.attempts[req.Attempt] = a
	c.attemptList = append(c.attemptList, a)
	c.sendPending(now, a, &effects)
	effects.NewerVersion = c.newerVersion()
	return effects
}

// rejectReason returns the reason why a request can't start as an attempt, or "" if it can.
func (c *ClaimManager) rejectReason(req ClaimRequest) dfpcall.Reason {
	known := c.zoneRows[req.Zone]
	switch {
	case c.stopping:
		return dfpcall.ReasonDraining
	case len(c.attempts) >= c.cfg.MaxAttempts:
		return dfpcall.ReasonEntryFull
	case known == nil && (req.Zone == c.cfg.Zone || req.Contact == ""):
		return dfpcall.ReasonClaimUnreachable
	}
	return ""
}

// sendPending sends the VoteRequest of an attempt, or its Finish, to each member that has not
// answered yet.
func (c *ClaimManager) sendPending(now time.Time, a *attempt, effects *Effects) {
	a.lastSent = now
	c.useLatestRow(a)
	if a.row.Epoch == 0 {
		c.requestRow(now, a, effects)
		return
	}
	row := a.row
	for j, m := range row.Members {
		bit := uint8(1) << j
		switch {
		case a.row.Epoch != row.Epoch || a.removed:
			return // A member on this node answered at once and changed the attempt.
		case a.finish != nil && a.recorded&bit == 0:
			c.send(now, m.Member.Address, a.finish, effects)
		case a.state == attemptWaiting && (a.granted|a.refused)&bit == 0:
			request := a.request
			c.send(now, m.Member.Address, &request, effects)
		}
	}
}

// requestRow asks a node of another zone for the row of the attempt's slot.
func (c *ClaimManager) requestRow(now time.Time, a *attempt, effects *Effects) {
	if a.contact == "" || a.request.Zone == c.cfg.Zone {
		return
	}
	request := a.request
	request.Epoch = 0
	c.send(now, a.contact, &request, effects)
}

// useLatestRow makes an attempt count votes by the latest known row of its slot. Votes of an earlier
// epoch no longer count.
func (c *ClaimManager) useLatestRow(a *attempt) {
	known := c.zoneRows[a.request.Zone]
	if known == nil {
		return
	}
	a.slot = a.request.ID.slot(len(known.rows))
	row := known.rows[a.slot]
	if !row.newer(a.row) {
		return
	}
	if row.Epoch != a.row.Epoch {
		a.granted, a.refused, a.recorded = 0, 0, 0
		a.epochs++
	} else if u := a.row.unsyncedIndex(); u >= 0 && !c.cfg.faults.countUnsynced {
		a.granted &^= 1 << u // A grant from before the member had copied the claims does not count.
	}
	a.row = row
	a.request.Epoch = row.Epoch
}

func (c *ClaimManager) onVote(now time.Time, from string, m *Vote, effects *Effects) {
	a := c.attempts[m.Attempt]
	if a == nil || a.request.ID != m.ID {
		return
	}
	if a.withdrawn && m.Result == Granted {
		c.send(now, from, a.finish, effects) // The grant came too late: release it.
		return
	}
	j := a.row.indexByAddress(from)
	if a.state != attemptWaiting || j < 0 || m.Epoch != a.row.Epoch || m.Unsynced && a.row.Members[j].Synced && !c.cfg.faults.countUnsynced {
		return
	}
	if m.Result != Granted {
		a.granted &^= 1 << j
		a.refused |= 1 << j
		if m.Result > a.strongest.Result || m.Result == a.strongest.Result && a.strongest.Answer == nil {
			a.strongest = *m
		}
		c.checkRefusals(now, a, effects)
		return
	}
	a.granted |= 1 << j
	if a.row.isQuorum(a.granted) || c.cfg.faults.oneVote {
		c.grant(now, a, effects)
	}
}

// grant lets an attempt with a quorum run. After VoteTimeout it rejects the attempt instead, because
// its claim may have expired by then.
func (c *ClaimManager) grant(now time.Time, a *attempt, effects *Effects) {
	if now.Sub(a.phaseStart) > c.cfg.VoteTimeout && !c.cfg.faults.acceptLateGrant {
		c.rejectWaiting(now, a, dfpcall.ReasonClaimUnreachable, effects)
		return
	}
	a.state = attemptRunning
	effects.Decisions = append(effects.Decisions, Decision{Attempt: a.request.Attempt, Run: true})
}

// checkRefusals ends a waiting attempt that can no longer reach a quorum, or whose key is known to
// have run.
func (c *ClaimManager) checkRefusals(now time.Time, a *attempt, effects *Effects) {
	all := uint8(1)<<len(a.row.Members) - 1
	quorumLost := !a.row.isQuorum(all &^ a.refused)
	if !quorumLost && a.strongest.Result != AlreadyRan {
		return
	}
	effects.Decisions = append(effects.Decisions, Decision{Attempt: a.request.Attempt, Outcome: refusalOutcome(a.strongest)})
	if a.refused == all {
		c.removeAttempt(a)
		return
	}
	refused := a.refused
	c.withdraw(now, a, refused, effects)
}

// refusalOutcome returns the caller's outcome for a vote that is not Granted.
func refusalOutcome(v Vote) dfpcall.Outcome {
	switch v.Result {
	case AlreadyRan:
		if v.Answer != nil {
			answer := *v.Answer // The recorded answer is shared.
			return &answer
		}
		return &dfpcall.Unknown{Reason: dfpcall.ReasonAnswerNotKept}
	case OutcomeUnknown:
		return &dfpcall.Unknown{Reason: dfpcall.ReasonRepeatOfUnknown}
	case InProgress:
		return &dfpcall.NotRun{Reason: dfpcall.ReasonRepeatInProgress, RetryAfter: v.RetryAfter}
	case KeyReused:
		return &dfpcall.NotRun{Reason: dfpcall.ReasonKeyReused}
	case KeyTooOld:
		return &dfpcall.NotRun{Reason: dfpcall.ReasonKeyTooOld}
	case ClaimsLost:
		return &dfpcall.NotRun{Reason: dfpcall.ReasonClaimsLost, RetryAfter: v.RetryAfter}
	case ClaimsFull:
		return &dfpcall.NotRun{Reason: dfpcall.ReasonClaimsFull, RetryAfter: v.RetryAfter}
	}
	return &dfpcall.NotRun{Reason: dfpcall.ReasonClaimUnreachable, RetryAfter: v.RetryAfter}
}

// rejectWaiting ends a waiting attempt. It will not run even if the missing votes arrive later.
func (c *ClaimManager) rejectWaiting(now time.Time, a *attempt, reason dfpcall.Reason, effects *Effects) {
	outcome := &dfpcall.NotRun{Reason: reason, RetryAfter: c.cfg.VoteTimeout}
	effects.Decisions = append(effects.Decisions, Decision{Attempt: a.request.Attempt, Outcome: outcome})
	c.withdraw(now, a, 0, effects)
}

// withdraw tells the members that granted an attempt, or still may, that it will not run. The
// members in refused hold no grant and are not told.
func (c *ClaimManager) withdraw(now time.Time, a *attempt, refused uint8, effects *Effects) {
	a.withdrawn = true
	a.recorded = refused
	c.finishAttempt(now, a, ClaimNotRun, nil, effects)
}

// Finish records the outcome of a running attempt. After an Answer or an Unknown no other attempt
// with the key may run; after a NotRun one may. Finish panics if the attempt is not running.
func (c *ClaimManager) Finish(now time.Time, id dfpcall.RequestID, outcome dfpcall.Outcome) Effects {
	a := c.attempts[id]
	if a == nil || a.state != attemptRunning {
		panic("dfponce: Finish called for an attempt that is not running: " + id.String())
	}
	var effects Effects
	switch o := outcome.(type) {
	case *dfpcall.Answer:
		kept := o
		if len(o.Body) > c.cfg.MaxAnswerBody {
			kept = nil
		}
		c.finishAttempt(now, a, ClaimRan, kept, &effects)
	case *dfpcall.NotRun:
		c.finishAttempt(now, a, ClaimNotRun, nil, &effects)
	default:
		c.finishAttempt(now, a, ClaimUnknown, nil, &effects)
	}
	effects.NewerVersion = c.newerVersion()
	return effects
}

func (c *ClaimManager) finishAttempt(now time.Time, a *attempt, state ClaimState, answer *dfpcall.Answer, effects *Effects) {
	a.state, a.phaseStart = attemptEnded, now
	a.finish = &Finish{
		Zone: a.request.Zone, ID: a.request.ID, Attempt: a.request.Attempt, Fingerprint: a.request.Fingerprint,
		State: state, Answer: answer,
	}
	c.sendPending(now, a, effects)
}

// onFinishAck notes that a member has recorded the finish of an attempt.
func (c *ClaimManager) onFinishAck(from string, m *FinishAck) {
	a := c.attempts[m.Attempt]
	if a == nil || a.state != attemptEnded || a.request.ID != m.ID {
		return
	}
	if j := a.row.indexByAddress(from); j >= 0 {
		a.recorded |= 1 << j
	}
	if !a.withdrawn && a.row.isQuorum(a.recorded) {
		c.removeAttempt(a)
	}
}

func (c *ClaimManager) removeAttempt(a *attempt) {
	a.removed = true
	delete(c.attempts, a.request.Attempt)
}

func (c *ClaimManager) tickAttempts(now time.Time, effects *Effects) {
	kept := c.attemptList[:0]
	for _, a := range c.attemptList {
		if !a.removed {
			c.tickAttempt(now, a, effects)
		}
		if !a.removed {
			kept = append(kept, a)
		}
	}
	clear(c.attemptList[len(kept):])
	c.attemptList = kept
}

func (c *ClaimManager) tickAttempt(now time.Time, a *attempt, effects *Effects) {
	waited := now.Sub(a.phaseStart)
	switch {
	case a.state == attemptRunning:
	case a.state == attemptWaiting && (waited > c.cfg.VoteTimeout || a.epochs > maxEpochs):
		c.rejectWaiting(now, a, dfpcall.ReasonClaimUnreachable, effects)
	case a.state == attemptEnded && waited > finishRetryFactor*c.cfg.VoteTimeout,
		a.withdrawn && waited > withdrawnKeepFactor*c.cfg.VoteTimeout:
		c.removeAttempt(a)
	case now.Sub(a.lastSent) > c.cfg.ResendInterval:
		c.requestRow(now, a, effects) // The members may have been replaced.
		c.sendPending(now, a, effects)
	}
}
