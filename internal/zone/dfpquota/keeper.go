package dfpquota

import (
	"math"
	"sort"
	"time"
)

// Limiter applies the organisations' rates at one node, and divides them if the node is the allocator.
// See the package comment.
type Limiter struct {
	cfg     Config
	fleet   Fleet
	buckets map[string]*bucket

	sequence   uint64
	nextReport time.Time
	// sentReports holds when each report that may still be answered was sent, by Sequence.
	sentReports map[uint64]time.Time
	// heldSequence is the Sequence of the report that was answered by the last allocation, and
	// heldUntil is when that allocation expires.
	heldSequence uint64
	heldUntil    time.Time
	// requestUntil is until when the node requests tokens without a new answer from the allocator.
	requestUntil time.Time
	// noFloorUntil is until when the node has no floor, since its allocator grants from its reserves,
	// which leave no room for floors.
	noFloorUntil time.Time

	allocator allocator
}

// bucket is one organisation's token bucket at this node.
type bucket struct {
	organisation Organisation
	tokens       float64
	updatedAt    time.Time
	// allocated is the allocation, in requests a second, until Limiter.heldUntil.
	allocated float64
	demand    demand
	// requested is the number of tokens requested and not yet answered, the last at requestedAt;
	// awaited is how many of them requests wait for.
	requested, awaited float64
	requestedAt        time.Time
	// backoffUntil is until when the node requests no tokens, since it got fewer than requested.
	backoffUntil time.Time
	// taken and refused count requests.
	taken, refused int64
}

// New returns the Limiter of a node that has just started.
func New(now time.Time, cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, buckets: map[string]*bucket{},
		sentReports: map[uint64]time.Time{}, nextReport: now, allocator: newAllocator(),
	}
}

// SetRules replaces the organisations. The bucket of an organisation that was there before keeps its
// tokens, up to its capacity at the new rate.
func (l *Limiter) SetRules(now time.Time, organisations []Organisation) {
	next := make(map[string]*bucket, len(organisations))
	for _, o := range organisations {
		b := l.buckets[o.Name]
		if b == nil {
			// Until the next allocation the node may use its floor, as the other nodes assume.
			b = &bucket{updatedAt: now, allocated: l.floor(o)}
		}
		l.refill(now, b)
		b.organisation = o
		b.tokens = min(b.tokens, l.capacity(now, b))
		next[o.Name] = b
	}
	l.buckets = next
}

// SetFleet replaces what the node knows of the fleet. If the allocator changes, the node drops its
// allocation; if the node itself was the allocator, it hands its reserves over.
func (l *Limiter) SetFleet(now time.Time, fleet Fleet) []Send {
	if fleet == l.fleet {
		return nil
	}
	before := l.fleet.Allocator
	l.refillAll(now)
	l.fleet = fleet
	if fleet.Allocator == before {
		return nil
	}
	l.dropAllocation(now)
	l.requestUntil = now.Add(handoverTTL)
	l.sentReports = map[uint64]time.Time{}
	l.nextReport = now
	if before != l.cfg.Self || fleet.Allocator == "" {
		return nil
	}
	for name, b := range l.buckets {
		if b.organisation.Rate > 0 {
			l.allocator.reserveOf(now, l.cfg.Window, name, l.reservePerWindow(b.organisation))
		}
	}
	ttl, usage := l.allocator.handOver(now, l.cfg.Window)
	if ttl == 0 {
		return nil
	}
	return []Send{{fleet.Allocator, Message{Handover: ttl, ReserveUsage: usage}}}
}

// Take decides on one request. Repeated is true if an earlier Take for the same request returned
// Waiting. An organisation that has no limit, or that the rules do not name, is never refused.
func (l *Limiter) Take(now time.Time, organisation string, repeated bool) (Result, []Send) {
	b := l.buckets[organisation]
	if b == nil || b.organisation.Rate <= 0 {
		return &Granted{}, nil
	}
	if !repeated {
		b.demand.add(now)
	}
	l.refill(now, b)
	if b.tokens >= 1 {
		b.tokens--
		b.taken++
		return &Granted{}, l.requestTokens(now, b, 0)
	}
	if sends := l.requestTokens(now, b, 1); len(sends) > 0 || now.Sub(b.requestedAt) < TokenRequestTimeout && b.requested > 0 {
		return &Waiting{}, sends
	}
	if b.tokens >= 1 { // This node is the allocator and has granted itself tokens.
		b.tokens--
		b.taken++
		return &Granted{}, nil
	}
	b.refused++
	return &Refused{RetryAfter: l.retryAfter(now, b)}, nil
}

// requestTokens requests tokens from the allocator if the bucket has less than one: for the requests
// that wait, of which waiting are new, and for the demand of the next tokenRequestHorizon. It requests
// none shortly after the node got fewer than requested, nor if the allocator has granted nothing for long.
func (l *Limiter) requestTokens(now time.Time, b *bucket, waiting float64) []Send {
	if now.Sub(b.requestedAt) >= TokenRequestTimeout {
		b.requested, b.awaited = 0, 0
	}
	b.awaited += waiting
	if b.tokens >= 1 || b.awaited <= b.requested && b.requested > 0 || now.Before(b.backoffUntil) || !now.Before(l.requestUntil) {
		return nil
	}
	number := math.Ceil(b.awaited - b.requested + b.demand.perSecond(now)*tokenRequestHorizon.Seconds())
	b.requestedAt = now
	b.requested += number
	request := Message{Report: true, Tokens: &Amount{b.organisation.Name, number}}
	if l.fleet.Allocator == l.cfg.Self {
		return l.Handle(now, l.cfg.Self, request)
	}
	return []Send{{l.fleet.Allocator, request}}
}

// ReturnToken returns the token of a request that did not run.
func (l *Limiter) ReturnToken(now time.Time, organisation string) {
	if b := l.buckets[organisation]; b != nil {
		l.refill(now, b)
		b.tokens = min(b.tokens+1, l.capacity(now, b))
	}
}

func (l *Limiter) retryAfter(now time.Time, b *bucket) time.Duration {
	seconds := (1 - b.tokens) / math.Max(l.rate(now, b), math.SmallestNonzeroFloat32)
	wait := time.Duration(math.Min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	return max(wait, minRetryAfter)
}

// floor returns what this node may use of a rate without an allocation, in requests a second.
func (l *Limiter) floor(o Organisation) float64 {
	if l.fleet.Nodes == 0 {
		return 0
	}
	return FloorFraction * l.cfg.sustainedRate(o) / float64(l.fleet.Nodes)
}

// rate returns what the node may use of an organisation's rate at a time, in requests a second.
func (l *Limiter) rate(now time.Time, b *bucket) float64 {
	floor := l.floor(b.organisation)
	switch {
	case now.Before(l.heldUntil):
		return b.allocated
	case now.Before(l.heldUntil.Add(AllocationTTL)):
		return min(b.allocated, floor)
	case now.Before(l.noFloorUntil):
		return 0
	default:
		return floor
	}
}

// capacity returns the number of tokens up to which a bucket is refilled: a part of the tolerance, in
// proportion to what the node may use of the rate, and at least 1.
func (l *Limiter) capacity(now time.Time, b *bucket) float64 {
	o := b.organisation
	if o.Rate <= 0 {
		return 1
	}
	return max(1, bucketFraction*l.cfg.tolerance(o)*l.rate(now, b)/l.cfg.sustainedRate(o))
}

// refill adds the tokens since the last refill. If the rate has changed in between, as when the
// allocation expires, the smaller rate applies to the whole time.
func (l *Limiter) refill(now time.Time, b *bucket) {
	elapsed := now.Sub(b.updatedAt).Seconds()
	if elapsed <= 0 {
		return
	}
	rate := min(l.rate(b.updatedAt, b), l.rate(now, b))
	b.updatedAt = now
	if elapsed > excessTokenTTL.Seconds() {
		b.tokens = min(b.tokens, l.capacity(now, b))
	}
	b.tokens = max(b.tokens, min(b.tokens+rate*elapsed, l.capacity(now, b)))
}

func (l *Limiter) refillAll(now time.Time) {
	for _, b := range l.buckets {
		l.refill(now, b)
	}
}

// dropAllocation makes the allocation in use expire now.
func (l *Limiter) dropAllocation(now time.Time) {
	if now.Before(l.heldUntil) {
		l.heldUntil = now
	}
}

// Tick sends the report that is due.
func (l *Limiter) Tick(now time.Time) []Send {
	if now.Before(l.nextReport) || l.fleet.Allocator == "" {
		return nil
	}
	l.nextReport = now.Add(ReportInterval)
	l.sequence++
	for sequence, sentAt := range l.sentReports {
		if now.Sub(sentAt) > AllocationTTL {
			delete(l.sentReports, sequence)
		}
	}
	l.sentReports[l.sequence] = now
	report := Message{Sequence: l.sequence, Report: true, HeldSequence: l.heldSequence, Rates: l.demands(now)}
	if l.fleet.Allocator == l.cfg.Self {
		return l.Handle(now, l.cfg.Self, report)
	}
	return []Send{{l.fleet.Allocator, report}}
}

// demands returns the demand at this node, in requests a second, sorted by organisation.
func (l *Limiter) demands(now time.Time) []Amount {
	var demands []Amount
	for name, b := range l.buckets {
		if perSecond := b.demand.perSecond(now); perSecond > minDemand {
			demands = append(demands, Amount{name, perSecond})
		}
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Organisation < demands[j].Organisation })
	return demands
}

// Handle processes a message of another node, or of this node to itself.
func (l *Limiter) Handle(now time.Time, from string, m Message) []Send {
	if m.Handover > 0 {
		l.allocator.takeOver(now, l.cfg.Window, m.Handover, m.ReserveUsage)
		return nil
	}
	if !m.Report {
		if from == l.fleet.Allocator {
			l.handleAnswer(now, m)
		}
		return nil
	}
	if m.Tokens != nil {
		return l.handleTokenRequest(now, from, *m.Tokens)
	}
	answer, ok := l.allocator.handleReport(now, from, m, l.limits(), l.fleet.Nodes)
	if !ok {
		return nil
	}
	if from == l.cfg.Self {
		l.handleAnswer(now, answer)
		return nil
	}
	return []Send{{from, answer}}
}

// handleTokenRequest answers a token request with as many of the tokens as the reserve can grant.
func (l *Limiter) handleTokenRequest(now time.Time, from string, request Amount) []Send {
	b := l.buckets[request.Organisation]
	if b == nil || b.organisation.Rate <= 0 {
		return nil
	}
	number := l.allocator.takeTokens(now, request, l.cfg.Window, l.reservePerWindow(b.organisation))
	answer := Message{Tokens: &Amount{request.Organisation, number}, Requested: request.Value}
	if from == l.cfg.Self {
		l.handleAnswer(now, answer)
		return nil
	}
	return []Send{{from, answer}}
}

// reservePerWindow returns how many tokens an organisation's reserve may grant in each window.
func (l *Limiter) reservePerWindow(o Organisation) float64 {
	return ReserveFraction * l.cfg.sustainedRate(o) * l.cfg.Window.Seconds()
}

// limits returns what the whole fleet may run of each limited organisation, in requests a second.
func (l *Limiter) limits() map[string]float64 {
	limits := make(map[string]float64, len(l.buckets))
	for name, b := range l.buckets {
		if b.organisation.Rate > 0 {
			limits[name] = l.cfg.sustainedRate(b.organisation)
		}
	}
	return limits
}

// handleAnswer adds granted tokens to their bucket, or puts an allocation into use. It ignores an
// allocation that answers an older report than the allocation in use, or that has expired.
func (l *Limiter) handleAnswer(now time.Time, m Message) {
	if m.Tokens != nil {
		if b := l.buckets[m.Tokens.Organisation]; b != nil {
			l.refill(now, b)
			b.tokens += m.Tokens.Value
			if m.Tokens.Value > 0 {
				l.requestUntil, l.noFloorUntil = now.Add(AllocationTTL), now.Add(AllocationTTL)
			}
			if m.Tokens.Value < m.Requested {
				b.backoffUntil = now.Add(tokenRequestBackoff)
			}
			b.requested, b.awaited = max(0, b.requested-m.Requested), max(0, b.awaited-m.Tokens.Value)
		}
		return
	}
	sentAt, found := l.sentReports[m.Sequence]
	if !found || m.Sequence <= l.heldSequence || now.Sub(sentAt) >= AllocationTTL {
		return
	}
	l.refillAll(now)
	delete(l.sentReports, m.Sequence)
	l.heldSequence, l.heldUntil = m.Sequence, sentAt.Add(AllocationTTL)
	l.requestUntil = l.heldUntil
	for _, b := range l.buckets {
		b.allocated = 0
	}
	for _, d := range m.Rates {
		if b := l.buckets[d.Organisation]; b != nil {
			b.allocated = max(0, d.Value)
		}
	}
}

// State returns a snapshot with the organisations sorted by name.
func (l *Limiter) State(now time.Time) State {
	s := State{AllocationState: l.AllocationState()}
	for name := range l.buckets {
		organisation, _ := l.Organisation(now, name)
		s.Organisations = append(s.Organisations, organisation)
	}
	sort.Slice(s.Organisations, func(i, j int) bool { return s.Organisations[i].Name < s.Organisations[j].Name })
	return s
}

// AllocationState returns the node's allocator and the validity of the node's allocation.
func (l *Limiter) AllocationState() AllocationState {
	return AllocationState{Allocator: l.fleet.Allocator, Nodes: l.fleet.Nodes, ValidUntil: l.heldUntil}
}

// Organisation returns the state of one organisation's rate at this node; false if the rules do not
// name the organisation.
func (l *Limiter) Organisation(now time.Time, name string) (OrganisationState, bool) {
	b := l.buckets[name]
	if b == nil {
		return OrganisationState{}, false
	}
	l.refill(now, b)
	return OrganisationState{
		Name: name, PerSecond: l.rate(now, b), Demand: b.demand.perSecond(now), Tokens: b.tokens,
		Taken: b.taken, Refused: b.refused,
	}, true
}

// minDemand is the demand, in requests a second, up to which a report omits an organisation.
const minDemand = 0.01

// demand measures requests a second as an exponentially decaying mean with the time constant
// demandTimeConstant.
type demand struct {
	requests  float64
	updatedAt time.Time
}

func (d *demand) add(now time.Time) {
	d.decay(now)
	d.requests++
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.updatedAt); elapsed > 0 {
		d.requests *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		d.updatedAt = now
	}
}

func (d *demand) perSecond(now time.Time) float64 {
	d.decay(now)
	return d.requests / demandTimeConstant.Seconds()
}
