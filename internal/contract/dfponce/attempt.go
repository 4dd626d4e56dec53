package dfponce

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

const (
	// finishFor is how many times Wait the end of an attempt is told to members
	// that do not answer.
	finishFor = 20
	// gaveUpFor is how many times Wait an attempt that was given up answers late votes.
	gaveUpFor = 4
	// maxRounds bounds the epochs in which one attempt asks for votes.
	maxRounds = 8
)

// Call is a request with an Idempotency-Key that wants to run.
type ClaimRequest struct {
	Organisation string
	Key          string
	// Fingerprint tells requests apart that come with the same key.
	Fingerprint uint64
	// Attempt is the request's id; it is never used again.
	Attempt dfpcall.RequestID
	// Zone is the key's home zone (HomeZone), the same on all nodes.
	Zone string
	// Contact is the address of any node in that zone, where it is not this node's.
	Contact string
}

type attemptState uint8

const (
	attemptWaiting attemptState = iota
	attemptRunning
	attemptEnded
)

// attempt is a call on its way, at the node where it came in.
type attempt struct {
	begin   VoteRequest
	finish  *Finish // Once ended.
	contact string
	state   attemptState
	begun   time.Time // Once ended, when that was.
	sent    time.Time
	rounds  int
	// line is the one by which votes are counted, slot its place; epoch 0 means
	// that none is known yet.
	line Slot
	slot int
	// A bit for each member of line: which granted, which refused, which
	// recorded the end.
	granted, refused, finished uint8
	worst                      Vote // The refusal that says most.
	gaveUp, forgotten          bool
}

// Begin asks for a claim. The Decision follows in these Effects or later ones.
func (c *ClaimManager) Begin(now time.Time, call ClaimRequest) Effects {
	var fx Effects
	if c.attempts[call.Attempt] != nil {
		panic("dfponce: attempt begun twice: " + call.Attempt.String())
	}
	if reason := c.refuses(call); reason != "" {
		outcome := &dfpcall.NotRun{Reason: reason, RetryAfter: c.cfg.VoteTimeout}
		fx.Decisions = append(fx.Decisions, Decision{Attempt: call.Attempt, Outcome: outcome})
		return fx
	}
	a := &attempt{
		begin: VoteRequest{
			Zone: call.Zone, ID: NewClaimID(call.Organisation, call.Key), Attempt: call.Attempt,
			Fingerprint: call.Fingerprint, KeyTime: KeyTime(call.Key),
		},
		contact: call.Contact,
		begun:   now,
	}
	c.attempts[call.Attempt] = a
	c.order = append(c.order, a)
	c.ask(now, a, &fx)
	fx.NewerVersion = c.newerVersion()
	return fx
}

// refuses returns the reason for which no attempt is begun, if any.
func (c *ClaimManager) refuses(call ClaimRequest) dfpcall.Reason {
	view := c.views[call.Zone]
	switch {
	case c.stopping:
		return dfpcall.ReasonDraining
	case len(c.attempts) >= c.cfg.MaxAttempts:
		return dfpcall.ReasonEntryFull
	case view == nil && (call.Zone == c.cfg.Zone || call.Contact == ""):
		return dfpcall.ReasonClaimUnreachable
	}
	return ""
}

// ask sends an attempt's question, or its end, to all members that have not
// answered it.
func (c *ClaimManager) ask(now time.Time, a *attempt, fx *Effects) {
	a.sent = now
	c.follow(a)
	if a.line.Epoch == 0 {
		c.askContact(now, a, fx)
		return
	}
	line := a.line
	for j, m := range line.Members {
		bit := uint8(1) << j
		switch {
		case a.line.Epoch != line.Epoch || a.forgotten:
			return // A member on this node has answered, and changed the attempt.
		case a.finish != nil && a.finished&bit == 0:
			c.send(now, m.Member.Address, a.finish, fx)
		case a.state == attemptWaiting && (a.granted|a.refused)&bit == 0:
			begin := a.begin
			c.send(now, m.Member.Address, &begin, fx)
		}
	}
}

// askContact asks a node of another zone who keeps the attempt's claim.
func (c *ClaimManager) askContact(now time.Time, a *attempt, fx *Effects) {
	if a.contact == "" || a.begin.Zone == c.cfg.Zone {
		return
	}
	begin := a.begin
	begin.Epoch = 0
	c.send(now, a.contact, &begin, fx)
}

// follow has an attempt count votes by the latest line of its slot. Votes of an
// earlier epoch do not count any more.
func (c *ClaimManager) follow(a *attempt) {
	view := c.views[a.begin.Zone]
	if view == nil {
		return
	}
	a.slot = a.begin.ID.slot(len(view.lines))
	line := view.lines[a.slot]
	if !line.newer(a.line) {
		return
	}
	if line.Epoch != a.line.Epoch {
		a.granted, a.refused, a.finished = 0, 0, 0
		a.rounds++
	} else if u := a.line.unsynced(); u >= 0 && !c.cfg.faults.countUnsynced {
		a.granted &^= 1 << u // What it granted before it had copied does not count.
	}
	a.line = line
	a.begin.Epoch = line.Epoch
}

func (c *ClaimManager) onVote(now time.Time, from string, m *Vote, fx *Effects) {
	a := c.attempts[m.Attempt]
	if a == nil || a.begin.ID != m.ID {
		return
	}
	if a.gaveUp && m.Result == Granted {
		c.send(now, from, a.finish, fx) // The vote came late: give it back.
		return
	}
	j := a.line.byAddress(from)
	if a.state != attemptWaiting || j < 0 || m.Epoch != a.line.Epoch || m.Unsynced && a.line.Members[j].Synced && !c.cfg.faults.countUnsynced {
		return
	}
	if m.Result != Granted {
		a.granted &^= 1 << j
		a.refused |= 1 << j
		if m.Result > a.worst.Result || m.Result == a.worst.Result && a.worst.Answer == nil {
			a.worst = *m
		}
		c.countRefused(now, a, fx)
		return
	}
	a.granted |= 1 << j
	if a.line.quorum(a.granted) || c.cfg.faults.oneVote {
		c.win(now, a, fx)
	}
}

// win lets an attempt with a quorum run, unless so much time has passed that
// its claim may have expired.
func (c *ClaimManager) win(now time.Time, a *attempt, fx *Effects) {
	if now.Sub(a.begun) > c.cfg.VoteTimeout && !c.cfg.faults.grantLate {
		c.giveUp(now, a, dfpcall.ReasonClaimUnreachable, fx)
		return
	}
	a.state = attemptRunning
	fx.Decisions = append(fx.Decisions, Decision{Attempt: a.begin.Attempt, Run: true})
}

// countRefused ends an attempt that can't get a quorum any more, or whose key is
// known to have run.
func (c *ClaimManager) countRefused(now time.Time, a *attempt, fx *Effects) {
	all := uint8(1)<<len(a.line.Members) - 1
	hopeless := !a.line.quorum(all &^ a.refused)
	if !hopeless && a.worst.Result != AlreadyRan {
		return
	}
	fx.Decisions = append(fx.Decisions, Decision{Attempt: a.begin.Attempt, Outcome: refusal(a.worst)})
	if a.refused == all {
		c.forget(a)
		return
	}
	refused := a.refused
	c.endWaiting(now, a, refused, fx)
}

// refusal is what a caller hears of a vote that is not Granted.
func refusal(v Vote) dfpcall.Outcome {
	switch v.Result {
	case AlreadyRan:
		if v.Answer != nil {
			answer := *v.Answer // The recorded one is shared.
			return &answer
		}
		return &dfpcall.Unknown{Reason: dfpcall.ReasonAnswerNotKept}
	case OutcomeUnknown:
		return &dfpcall.Unknown{Reason: dfpcall.ReasonRepeatUnknown}
	case InProgress:
		return &dfpcall.NotRun{Reason: dfpcall.ReasonRepeat, RetryAfter: v.RetryAfter}
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

// giveUp ends an attempt that waits: it will not run even if votes come late.
func (c *ClaimManager) giveUp(now time.Time, a *attempt, reason dfpcall.Reason, fx *Effects) {
	outcome := &dfpcall.NotRun{Reason: reason, RetryAfter: c.cfg.VoteTimeout}
	fx.Decisions = append(fx.Decisions, Decision{Attempt: a.begin.Attempt, Outcome: outcome})
	c.endWaiting(now, a, 0, fx)
}

// endWaiting gives back the votes of an attempt that won't run. Those who
// refused need not hear of it.
func (c *ClaimManager) endWaiting(now time.Time, a *attempt, refused uint8, fx *Effects) {
	a.gaveUp = true
	a.finished = refused
	c.end(now, a, ClaimNotRun, nil, fx)
}

// Finish tells how a granted attempt ended. Answer and Unknown forbid another
// attempt, NotRun permits one.
func (c *ClaimManager) Finish(now time.Time, id dfpcall.RequestID, outcome dfpcall.Outcome) Effects {
	a := c.attempts[id]
	if a == nil || a.state != attemptRunning {
		panic("dfponce: finished an attempt that was not running: " + id.String())
	}
	var fx Effects
	switch o := outcome.(type) {
	case *dfpcall.Answer:
		kept := o
		if len(o.Body) > c.cfg.MaxAnswerBody {
			kept = nil
		}
		c.end(now, a, ClaimRan, kept, &fx)
	case *dfpcall.NotRun:
		c.end(now, a, ClaimNotRun, nil, &fx)
	default:
		c.end(now, a, ClaimUnknown, nil, &fx)
	}
	fx.NewerVersion = c.newerVersion()
	return fx
}

func (c *ClaimManager) end(now time.Time, a *attempt, state ClaimState, answer *dfpcall.Answer, fx *Effects) {
	a.state, a.begun = attemptEnded, now
	a.finish = &Finish{
		Zone: a.begin.Zone, ID: a.begin.ID, Attempt: a.begin.Attempt, Fingerprint: a.begin.Fingerprint,
		State: state, Answer: answer,
	}
	c.ask(now, a, fx)
}

// onFinished notes that a member has recorded an attempt's end.
func (c *ClaimManager) onFinished(from string, m *FinishAck) {
	a := c.attempts[m.Attempt]
	if a == nil || a.state != attemptEnded || a.begin.ID != m.ID {
		return
	}
	if j := a.line.byAddress(from); j >= 0 {
		a.finished |= 1 << j
	}
	if !a.gaveUp && a.line.quorum(a.finished) {
		c.forget(a)
	}
}

func (c *ClaimManager) forget(a *attempt) {
	a.forgotten = true
	delete(c.attempts, a.begin.Attempt)
}

func (c *ClaimManager) tickAttempts(now time.Time, fx *Effects) {
	kept := c.order[:0]
	for _, a := range c.order {
		if !a.forgotten {
			c.tickAttempt(now, a, fx)
		}
		if !a.forgotten {
			kept = append(kept, a)
		}
	}
	clear(c.order[len(kept):])
	c.order = kept
}

func (c *ClaimManager) tickAttempt(now time.Time, a *attempt, fx *Effects) {
	waited := now.Sub(a.begun)
	switch {
	case a.state == attemptRunning:
	case a.state == attemptWaiting && (waited > c.cfg.VoteTimeout || a.rounds > maxRounds):
		c.giveUp(now, a, dfpcall.ReasonClaimUnreachable, fx)
	case a.state == attemptEnded && waited > finishFor*c.cfg.VoteTimeout,
		a.gaveUp && waited > gaveUpFor*c.cfg.VoteTimeout:
		c.forget(a)
	case now.Sub(a.sent) > c.cfg.ResendInterval:
		c.askContact(now, a, fx) // The members may have been replaced.
		c.ask(now, a, fx)
	}
}
