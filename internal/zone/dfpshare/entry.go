package dfpshare

import (
	"math"
	"time"
)

// returnLead is how long before the end of a batch's life the rest is given back.
const returnLead = 20 * time.Millisecond

// Tokens are asked for ahead of demand, for aheadHorizons horizons, where that is
// minAhead tokens or more. A home with few tokens gives none.
const (
	aheadHorizons = 3
	minAhead      = 0.25
)

// settleSoonPart: a batch of more than this part of the burst is settled soon
// after use, since holding it back would keep the bucket from filling.
const settleSoonPart = 1.0 / 50

// account is what an entry holds of one organisation's tokens.
type account struct {
	org     *organisation
	batches []*batch
	tickets []ticket
	ask     *askInFlight
	horizon time.Duration
	demand  meter
	// refusedUntil is when asking again makes sense.
	refusedUntil time.Time
	// aheadAt is when tokens may be asked for ahead of demand again.
	aheadAt time.Time
	busy    bool
}

// batch is a number of tokens that this entry may spend until expires.
type batch struct {
	granted Granted // shared by all requests that it admits
	home    string
	key     string // the part that it came from
	homeID  uint64
	total   int
	left    int
	settled int // told the home as spent
	expires time.Time
	usedAt  time.Time // of the first use that isn't settled
	lastUse time.Time
}

func (b *batch) spent() int { return b.total - b.left }

type ticket struct {
	id WaiterID
	at time.Time
}

type askInFlight struct {
	id      uint64
	address string
	sentAt  time.Time
	need    int
	later   bool // the home said that its answer comes later
}

// Take asks for one admission. Where tokens are at hand it takes constant time and
// allocates nothing. After *Waiting the node calls Tick at once.
func (s *Limiter) Take(now time.Time, organisation string) Result {
	a := s.accountOf(organisation)
	if a == nil {
		return &Refused{RetryAfter: s.cfg.ContactTimeout}
	}
	a.demand.add(now, 1)
	if len(a.tickets) == 0 {
		if v := a.spend(now); v != nil {
			s.setBusyAccount(a)
			return v
		}
	}
	if now.Before(a.refusedUntil) {
		return &Refused{RetryAfter: a.refusedUntil.Sub(now)}
	}
	s.tickets++
	t := ticket{id: WaiterID(s.tickets), at: now}
	a.tickets = append(a.tickets, t)
	s.setBusyAccount(a)
	return &Waiting{Waiter: t.id}
}

// spend takes one token of the batch that dies first.
func (a *account) spend(now time.Time) *Granted {
	for _, b := range a.batches {
		if b.left == 0 || !now.Before(b.expires) {
			continue
		}
		if b.spent() == b.settled {
			b.usedAt = now
		}
		b.left--
		b.lastUse = now
		return &b.granted
	}
	return nil
}

// ReturnToken returns the token of a request that did not run. Once the home has been
// told that the token is spent, or the batch has expired, it is too late: the home may
// have refilled for it.
func (s *Limiter) ReturnToken(now time.Time, token Token) {
	a, ok := s.accounts[token.Organisation]
	if !ok {
		return
	}
	for _, b := range a.batches {
		if b.granted.Token == token && now.Before(b.expires) && b.spent() > b.settled {
			b.left++
			s.setBusyAccount(a)
		}
	}
}

// Cancel forgets a request that waited; its caller has gone.
func (s *Limiter) Cancel(ticket WaiterID) {
	for _, a := range s.busyAccounts {
		for i, t := range a.tickets {
			if t.id == ticket {
				a.tickets = append(a.tickets[:i:i], a.tickets[i+1:]...)
				return
			}
		}
	}
}

// tickAccount does what is due at one account and reports whether it needs more ticks.
func (s *Limiter) tickAccount(now time.Time, a *account) bool {
	s.admit(now, a)
	if a.ask != nil && now.Sub(a.ask.sentAt) >= s.responseTimeout(a.ask.later) {
		s.suspect(now, a.ask.address)
		a.ask = nil
	}
	s.expireTickets(now, a)
	s.tickBatches(now, a)
	s.askMore(now, a)
	return len(a.tickets) > 0 || a.ask != nil || len(a.batches) > 0
}

// admit gives tokens to the requests that wait, in order.
func (s *Limiter) admit(now time.Time, a *account) {
	n := 0
	for _, t := range a.tickets {
		v := a.spend(now)
		if v == nil {
			break
		}
		s.decide(t, v)
		n++
	}
	a.tickets = a.tickets[n:]
}

func (s *Limiter) decide(t ticket, v Result) {
	s.decided = append(s.decided, Decision{Waiter: t.id, Result: v})
}

// refuse refuses the last n requests that wait.
func (s *Limiter) refuse(now time.Time, a *account, n int, retry time.Duration) {
	first := max(0, len(a.tickets)-n)
	for _, t := range a.tickets[first:] {
		s.decide(t, &Refused{RetryAfter: retry})
	}
	a.tickets = a.tickets[:first]
	a.refusedUntil = now.Add(min(retry, s.cfg.RefillWait/2))
}

func (s *Limiter) expireTickets(now time.Time, a *account) {
	for len(a.tickets) > 0 && now.Sub(a.tickets[0].at) >= s.cfg.MaxWait {
		s.decide(a.tickets[0], &Refused{RetryAfter: s.cfg.MaxWait})
		a.tickets = a.tickets[1:]
	}
}

// tickBatches settles what was spent and gives back what is about to expire.
func (s *Limiter) tickBatches(now time.Time, a *account) {
	kept := a.batches[:0]
	for _, b := range a.batches {
		if !now.Before(b.expires) {
			continue
		}
		switch {
		case b.left > 0 && !now.Before(b.expires.Add(-returnLead)):
			s.settle(now, b, true)
			continue
		case b.spent() > b.settled && now.Sub(b.usedAt) >= s.settleDelay(a, b):
			s.settle(now, b, false)
		}
		if b.left > 0 || b.spent() > b.settled {
			kept = append(kept, b)
		}
	}
	clear(a.batches[len(kept):])
	a.batches = kept
}

func (s *Limiter) settleDelay(a *account, b *batch) time.Duration {
	if float64(b.total) > a.org.burst*settleSoonPart {
		return s.cfg.ReportDelay
	}
	return s.cfg.BatchHorizon
}

func (s *Limiter) settle(now time.Time, b *batch, final bool) {
	b.settled = b.spent()
	m := s.send(b.home)
	m.UsageReports = append(m.UsageReports, UsageReport{
		Part: b.key, Batch: b.homeID, Spent: float64(b.spent()),
		Age: now.Sub(b.lastUse), Final: final,
	})
}

// askMore asks for a batch if requests wait or soon will. There is one ask under way
// at most; requests that come meanwhile ask again.
func (s *Limiter) askMore(now time.Time, a *account) {
	if a.ask != nil {
		return
	}
	left := 0
	for _, b := range a.batches {
		if b.expires.Sub(now) > a.horizon/2 {
			left += b.left
		}
	}
	wanted := a.demand.get(now) * aheadHorizons * a.horizon.Seconds()
	need := len(a.tickets)
	if need == 0 && (wanted < minAhead || float64(left) >= wanted/2 || now.Before(a.aheadAt)) {
		return
	}
	a.aheadAt = now.Add(a.horizon / 2)
	key, address, ok := s.home(now, a.org)
	if !ok {
		s.refuse(now, a, need, s.cfg.ContactTimeout)
		return
	}
	s.asks++
	a.ask = &askInFlight{id: s.asks, address: address, sentAt: now, need: need}
	m := s.send(address)
	m.BatchRequests = append(m.BatchRequests, BatchRequest{
		ID: s.asks, Part: key, Need: float64(need),
		Extra: max(0, math.Ceil(wanted-minAhead)-float64(left)),
	})
}

// handleBatchResponse takes a home's answer to an ask of this node as an entry or a home.
func (s *Limiter) handleBatchResponse(now time.Time, from string, m BatchResponse) {
	if s.handlePurchase(now, from, m) {
		return
	}
	a, ok := s.accounts[organisationOf(m.Part)]
	if !ok || a.ask == nil || a.ask.id != m.ID {
		return // It was given up; the tokens are lost, which is safe.
	}
	ask := a.ask
	if m.Deferred {
		ask.later = true
		return
	}
	a.ask = nil
	s.setBusyAccount(a)
	if m.NotHome {
		s.suspectHome(now, from, a.org)
		return
	}
	if m.Horizon > 0 {
		a.horizon = m.Horizon
	}
	expires := s.expiry(now, ask.sentAt, m.Lifetime)
	if n := int(math.Floor(m.Tokens + epsilon)); n > 0 && now.Before(expires) {
		a.batches = append(a.batches, &batch{
			granted: Granted{Token: Token{Organisation: a.org.name, Batch: m.ID}},
			home:    from, key: m.Part, homeID: m.Batch, total: n, left: n, expires: expires,
		})
	}
	s.admit(now, a)
	if n := int(math.Ceil(m.Refused - epsilon)); n > 0 {
		// Requests that came after the ask are behind and ask again.
		later := max(0, len(a.tickets)-(ask.need-int(m.Tokens)))
		s.refuseAsked(now, a, n, later, m.RetryAfter)
	}
}

// refuseAsked refuses n requests among those that the ask was for; the last later
// ones came after it.
func (s *Limiter) refuseAsked(now time.Time, a *account, n, later int, retry time.Duration) {
	asked := len(a.tickets) - later
	tail := append([]ticket(nil), a.tickets[asked:]...)
	a.tickets = a.tickets[:asked]
	s.refuse(now, a, n, retry)
	a.tickets = append(a.tickets, tail...)
}
