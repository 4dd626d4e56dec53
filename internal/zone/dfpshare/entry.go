package dfpshare

import (
	"math"
	"time"
)

// returnLead is how long before the expiry of a batch its remaining tokens are returned.
const returnLead = 20 * time.Millisecond

// Tokens are requested ahead of demand, for prefetchHorizons horizons, if this makes at least minPrefetch
// tokens. A home with few tokens grants none of them.
const (
	prefetchHorizons = 3
	minPrefetch      = 0.25
)

// promptReportFraction is a fraction of the burst. The use of a larger batch is reported after ReportDelay,
// since the bucket can't fill up while the batch's tokens count as outstanding, and that of a smaller one only
// after BatchHorizon.
const promptReportFraction = 1.0 / 50

// account holds an entry node's tokens and waiting requests of one organisation.
type account struct {
	org     *organisation
	batches []*batch
	waiters []waiter
	request *inFlightRequest
	horizon time.Duration
	demand  meter
	// refusedUntil is the earliest time to request tokens again after a refusal.
	refusedUntil time.Time
	// nextPrefetchAt is the earliest time to request tokens ahead of demand again.
	nextPrefetchAt time.Time
	busy           bool
}

// batch holds tokens that this entry node may spend until expires.
type batch struct {
	granted            Granted // shared by all requests that the batch admits
	home               string
	key                string // the part that the tokens came from
	idAtHome           uint64
	total              int
	left               int
	reported           int // number of tokens reported to the home as spent
	expires            time.Time
	firstUnreportedUse time.Time // first use since the last report
	lastUse            time.Time
}

func (b *batch) spent() int { return b.total - b.left }

type waiter struct {
	id WaiterID
	at time.Time
}

type inFlightRequest struct {
	id       uint64
	address  string
	sentAt   time.Time
	need     int
	deferred bool // the home said that its final response comes later
}

// Take admits a request, refuses it or lets it wait. If the node has tokens it takes constant time and doesn't
// allocate. After *Waiting the node must call Tick at once. An organisation without a rule is refused.
func (lim *Limiter) Take(now time.Time, organisation string) Result {
	a := lim.accountOf(organisation)
	if a == nil {
		return &Refused{RetryAfter: lim.cfg.ContactTimeout}
	}
	a.demand.add(now, 1)
	if len(a.waiters) == 0 {
		if v := a.spend(now); v != nil {
			lim.setBusyAccount(a)
			return v
		}
	}
	if now.Before(a.refusedUntil) {
		return &Refused{RetryAfter: a.refusedUntil.Sub(now)}
	}
	lim.lastWaiterID++
	w := waiter{id: WaiterID(lim.lastWaiterID), at: now}
	a.waiters = append(a.waiters, w)
	lim.setBusyAccount(a)
	return &Waiting{Waiter: w.id}
}

// spend takes one token from the first batch that has any. It returns nil if there are none.
func (a *account) spend(now time.Time) *Granted {
	for _, b := range a.batches {
		if b.left == 0 || !now.Before(b.expires) {
			continue
		}
		if b.spent() == b.reported {
			b.firstUnreportedUse = now
		}
		b.left--
		b.lastUse = now
		return &b.granted
	}
	return nil
}

// ReturnToken returns the token of a request that did not run. It has no effect once the token was reported
// to the home as spent or its batch has expired: the home may have refilled the bucket in its place.
func (lim *Limiter) ReturnToken(now time.Time, token Token) {
	a, ok := lim.accounts[token.Organisation]
	if !ok {
		return
	}
	for _, b := range a.batches {
		if b.granted.Token == token && now.Before(b.expires) && b.spent() > b.reported {
			b.left++
			lim.setBusyAccount(a)
		}
	}
}

// Cancel removes a waiting request whose caller has gone.
func (lim *Limiter) Cancel(id WaiterID) {
	for _, a := range lim.busyAccounts {
		for i, w := range a.waiters {
			if w.id == id {
				a.waiters = append(a.waiters[:i:i], a.waiters[i+1:]...)
				return
			}
		}
	}
}

// tickAccount does the account's pending work and reports whether the account needs more ticks.
func (lim *Limiter) tickAccount(now time.Time, a *account) bool {
	lim.admit(now, a)
	if a.request != nil && now.Sub(a.request.sentAt) >= lim.responseTimeout(a.request.deferred) {
		lim.suspect(now, a.request.address)
		a.request = nil
	}
	lim.expireWaiters(now, a)
	lim.tickBatches(now, a)
	lim.requestTokens(now, a)
	return len(a.waiters) > 0 || a.request != nil || len(a.batches) > 0
}

// admit gives tokens to the waiting requests, in order of arrival.
func (lim *Limiter) admit(now time.Time, a *account) {
	n := 0
	for _, w := range a.waiters {
		v := a.spend(now)
		if v == nil {
			break
		}
		lim.decide(w, v)
		n++
	}
	a.waiters = a.waiters[n:]
}

func (lim *Limiter) decide(w waiter, v Result) {
	lim.decided = append(lim.decided, Decision{Waiter: w.id, Result: v})
}

// refuse refuses the last n waiting requests.
func (lim *Limiter) refuse(now time.Time, a *account, n int, retry time.Duration) {
	first := max(0, len(a.waiters)-n)
	for _, w := range a.waiters[first:] {
		lim.decide(w, &Refused{RetryAfter: retry})
	}
	a.waiters = a.waiters[:first]
	a.refusedUntil = now.Add(min(retry, lim.cfg.RefillWait/2))
}

func (lim *Limiter) expireWaiters(now time.Time, a *account) {
	for len(a.waiters) > 0 && now.Sub(a.waiters[0].at) >= lim.cfg.MaxWait {
		lim.decide(a.waiters[0], &Refused{RetryAfter: lim.cfg.MaxWait})
		a.waiters = a.waiters[1:]
	}
}

// tickBatches reports spent tokens and returns the rest of batches that are about to expire.
func (lim *Limiter) tickBatches(now time.Time, a *account) {
	kept := a.batches[:0]
	for _, b := range a.batches {
		if !now.Before(b.expires) {
			continue
		}
		switch {
		case b.left > 0 && !now.Before(b.expires.Add(-returnLead)):
			lim.reportUsage(now, b, true)
			continue
		case b.spent() > b.reported && now.Sub(b.firstUnreportedUse) >= lim.reportDelay(a, b):
			lim.reportUsage(now, b, false)
		}
		if b.left > 0 || b.spent() > b.reported {
			kept = append(kept, b)
		}
	}
	clear(a.batches[len(kept):])
	a.batches = kept
}

func (lim *Limiter) reportDelay(a *account, b *batch) time.Duration {
	if float64(b.total) > a.org.burst*promptReportFraction {
		return lim.cfg.ReportDelay
	}
	return lim.cfg.BatchHorizon
}

func (lim *Limiter) reportUsage(now time.Time, b *batch, final bool) {
	b.reported = b.spent()
	m := lim.send(b.home)
	m.UsageReports = append(m.UsageReports, UsageReport{
		Part: b.key, Batch: b.idAtHome, Spent: float64(b.spent()),
		Age: now.Sub(b.lastUse), Final: final,
	})
}

// requestTokens requests a batch if requests wait or are expected soon. At most one request for a batch is
// in flight; requests that arrive meanwhile are covered by the next one.
func (lim *Limiter) requestTokens(now time.Time, a *account) {
	if a.request != nil {
		return
	}
	left := 0
	for _, b := range a.batches {
		if b.expires.Sub(now) > a.horizon/2 {
			left += b.left
		}
	}
	wanted := a.demand.get(now) * prefetchHorizons * a.horizon.Seconds()
	need := len(a.waiters)
	if need == 0 && (wanted < minPrefetch || float64(left) >= wanted/2 || now.Before(a.nextPrefetchAt)) {
		return
	}
	a.nextPrefetchAt = now.Add(a.horizon / 2)
	key, address, ok := lim.home(now, a.org)
	if !ok {
		lim.refuse(now, a, need, lim.cfg.ContactTimeout)
		return
	}
	lim.lastRequestID++
	a.request = &inFlightRequest{id: lim.lastRequestID, address: address, sentAt: now, need: need}
	m := lim.send(address)
	m.BatchRequests = append(m.BatchRequests, BatchRequest{
		ID: lim.lastRequestID, Part: key, Need: float64(need),
		Extra: max(0, math.Ceil(wanted-minPrefetch)-float64(left)),
	})
}

// handleBatchResponse handles a home's response to a request that this node made as an entry node or as a
// home.
func (lim *Limiter) handleBatchResponse(now time.Time, from string, m BatchResponse) {
	if lim.handleFetchResponse(now, from, m) {
		return
	}
	a, ok := lim.accounts[organisationOf(m.Part)]
	if !ok || a.request == nil || a.request.id != m.ID {
		return // The request was given up; its tokens stay unused until the home expires them.
	}
	request := a.request
	if m.Deferred {
		request.deferred = true
		return
	}
	a.request = nil
	lim.setBusyAccount(a)
	if m.NotHome {
		lim.suspectHome(now, from, a.org)
		return
	}
	if m.Horizon > 0 {
		a.horizon = m.Horizon
	}
	expires := lim.expiry(now, request.sentAt, m.Lifetime)
	if n := int(math.Floor(m.Tokens + epsilon)); n > 0 && now.Before(expires) {
		a.batches = append(a.batches, &batch{
			granted: Granted{Token: Token{Organisation: a.org.name, Batch: m.ID}},
			home:    from, key: m.Part, idAtHome: m.Batch, total: n, left: n, expires: expires,
		})
	}
	lim.admit(now, a)
	if n := int(math.Ceil(m.Refused - epsilon)); n > 0 {
		// Requests that arrived after the batch request stay in the queue for the next one.
		newer := max(0, len(a.waiters)-(request.need-int(m.Tokens)))
		lim.refuseRequested(now, a, n, newer, m.RetryAfter)
	}
}

// refuseRequested refuses the last n of the waiting requests that the batch request covered. The last newer
// waiting requests arrived after it and stay.
func (lim *Limiter) refuseRequested(now time.Time, a *account, n, newer int, retry time.Duration) {
	requested := len(a.waiters) - newer
	tail := append([]waiter(nil), a.waiters[requested:]...)
	a.waiters = a.waiters[:requested]
	lim.refuse(now, a, n, retry)
	a.waiters = append(a.waiters, tail...)
}
