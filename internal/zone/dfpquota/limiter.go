package dfpquota

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math"
	"sort"
	"time"
)

// Limiter applies the organisations' rates at one node, and grants tokens to others if the node is the
// allocator. See the package comment.
type Limiter struct {
	cfg     Config
	fleet   Fleet
	buckets map[string]*bucket

	sequence   uint64
	nextReport time.Time
	// sentReports holds when each report that may still be confirmed was sent, by Sequence.
	sentReports map[uint64]time.Time
	// heldSequence is the Sequence of the last report that was confirmed, and heldUntil is when that
	// confirmation expires.
	heldSequence uint64
	heldUntil    time.Time
	// requestUntil is until when the node requests tokens without a new answer from the allocator.
	requestUntil time.Time
	// noFloorUntil is until when the node has no floor, since an allocator may have granted a whole reserve shortly
	// before.
	noFloorUntil time.Time

	allocator allocator
}

// bucket is one organisation's tokens at this node.
type bucket struct {
	organisation Organisation
	// granted tokens came from the allocator and may be used until grantedUntil.
	granted      float64
	grantedUntil time.Time
	// floor is the number of tokens of the node's floor at floorAt.
	floor   float64
	floorAt time.Time
	demand  demand
	// received counts the tokens of the last window by grantor.
	received map[Grantor]*reserve
	// requested is the number of tokens requested and not yet answered, the last at requestedAt;
	// awaited is how many of them requests wait for.
	requested, awaited float64
	requestedAt        time.Time
	// backoffUntil is until when the node requests no tokens, since it got fewer than requested.
	backoffUntil time.Time
	// retryAt is the time for which the next refused request is told to come back, and retryInterval the
	// time from it to the one after.
	retryAt       time.Time
	retryInterval time.Duration
	// taken and refused count requests.
	taken, refused int64
}

// New returns the Limiter of a node that has just started.
func New(now time.Time, cfg Config) *Limiter {
	l := &Limiter{
		cfg: cfg, buckets: map[string]*bucket{},
		sentReports: map[uint64]time.Time{}, nextReport: now, allocator: newAllocator(grantorOf(now, cfg.Self)),
	}
	l.delayFloor(now) // All nodes may have been lost just before.
	return l
}

// grantorOf returns the Grantor of a process that starts now.
func grantorOf(now time.Time, self string) Grantor {
	hash := fnv.New64a()
	_, _ = fmt.Fprintf(hash, "%s %d", self, now.UnixNano()) // Never fails.
	return Grantor(hash.Sum64())
}

// SetRules replaces the organisations. The bucket of an organisation that was there before keeps its
// tokens.
func (l *Limiter) SetRules(now time.Time, organisations []Organisation) {
	next := make(map[string]*bucket, len(organisations))
	for _, o := range organisations {
		b := l.buckets[o.Name]
		if b == nil {
			b = &bucket{floorAt: now}
		}
		l.refill(now, b)
		b.organisation = o
		b.floor = min(b.floor, l.floorCapacity(o))
		next[o.Name] = b
	}
	l.buckets = next
}

// SetFleet replaces what the node knows of the fleet. If the allocator changes, the node drops its
// confirmation; if the node itself was the allocator, it hands its reserves over.
func (l *Limiter) SetFleet(now time.Time, fleet Fleet) []Send {
	if fleet == l.fleet {
		return nil
	}
	before := l.fleet.Allocator
	for _, b := range l.buckets {
		l.refill(now, b)
	}
	l.fleet = fleet
	if fleet.Allocator == before {
		return nil
	}
	if now.Before(l.heldUntil) {
		l.heldUntil = now
	}
	l.requestUntil = now.Add(handoverTTL)
	l.sentReports = map[uint64]time.Time{}
	l.nextReport = now
	if before != l.cfg.Self || fleet.Allocator == "" {
		return nil
	}
	// The successor must know how far ahead each organisation may be, also of those that this allocator has granted nothing.
	budgets := make(map[string]budget, len(l.buckets))
	for name, b := range l.buckets {
		if b.organisation.Rate > 0 && l.allocator.mayGrant(now) {
			budgets[name] = l.budget(b.organisation)
			l.allocator.reserveOf(now, name, budgets[name])
		}
	}
	if handover := l.allocator.handOver(now, l.cfg.Window, budgets); handover.Handover > 0 {
		return []Send{{fleet.Allocator, handover}}
	}
	return nil
}

// Take decides on one request. Repeated is true if an earlier Take for the same request returned
// Waiting. An organisation that has no limit, or that the rules do not name, is never refused.
func (l *Limiter) Take(now time.Time, organisation string, repeated bool) (Result, []Send) {
	b := l.buckets[organisation]
	if b == nil || b.organisation.Rate <= 0 {
		return &Granted{now}, nil
	}
	if !repeated {
		b.demand.add(now)
	}
	l.refill(now, b)
	if l.spend(now, b) {
		return &Granted{now}, l.requestTokens(now, b, 0)
	}
	sends := l.requestTokens(now, b, 1)
	if l.spend(now, b) { // This node is the allocator and has granted itself tokens.
		return &Granted{now}, sends
	}
	if b.requested > 0 && now.Sub(b.requestedAt) < TokenRequestTimeout {
		return &Waiting{}, sends
	}
	b.refused++
	return &Refused{RetryAfter: l.retryAfter(now, b)}, sends
}

// spend takes one token, if there is one.
func (l *Limiter) spend(now time.Time, b *bucket) bool {
	switch {
	case b.granted >= 1:
		b.granted--
	case b.floor >= 1:
		b.floor--
		b.receive(now, l.cfg.Window, floorGrantor, 1)
	default:
		return false
	}
	b.taken++
	return true
}

// receive counts tokens of a grantor.
func (b *bucket) receive(now time.Time, window time.Duration, grantor Grantor, tokens float64) {
	if b.received == nil {
		b.received = map[Grantor]*reserve{}
	}
	if b.received[grantor] == nil {
		b.received[grantor] = newReserve(now, window)
	}
	b.received[grantor].count(now, window, tokens)
}

// requestTokens requests tokens from the allocator if none are left: for the requests that wait, of
// which waiting are new, and for the demand of the next tokenRequestHorizon. It requests none shortly
// after the node got fewer than requested, nor if the allocator has answered nothing for long.
func (l *Limiter) requestTokens(now time.Time, b *bucket, waiting float64) []Send {
	if now.Sub(b.requestedAt) >= TokenRequestTimeout {
		b.requested, b.awaited = 0, 0
	}
	if b.granted >= 1 || now.Before(b.backoffUntil) || !now.Before(l.requestUntil) || l.fleet.Allocator == "" {
		return nil
	}
	b.awaited += waiting
	if b.requested > 0 && b.awaited <= b.requested {
		return nil
	}
	number := b.awaited - b.requested + math.Floor(b.demand.perSecond(now)*tokenRequestHorizon.Seconds())
	if number < 1 {
		return nil
	}
	b.requestedAt = now
	b.requested += number
	return l.sendToAllocator(now, Message{Report: true, Tokens: &Amount{b.organisation.Name, number}, RequestedAt: now.UnixNano()})
}

// sendToAllocator sends a message to the allocator, or handles it if that is this node.
func (l *Limiter) sendToAllocator(now time.Time, m Message) []Send {
	if l.fleet.Allocator == l.cfg.Self {
		return l.Handle(now, l.cfg.Self, m)
	}
	return []Send{{l.fleet.Allocator, m}}
}

// ReturnToken returns the token of a request that did not run, by the time at which it was granted.
func (l *Limiter) ReturnToken(now time.Time, organisation string, granted time.Time) {
	b := l.buckets[organisation]
	if b == nil || now.Sub(granted) >= TokenTTL {
		return
	}
	l.refill(now, b)
	b.grant(1, granted)
}

// grant adds tokens that count from a time.
func (b *bucket) grant(tokens float64, from time.Time) {
	b.granted += tokens
	if until := from.Add(TokenTTL); until.After(b.grantedUntil) {
		b.grantedUntil = until
	}
}

// retryAfter returns when a request that is refused now finds room: at the place that the allocator
// gave to this node's last one, or a place after the last one that was handed out here.
func (l *Limiter) retryAfter(now time.Time, b *bucket) time.Duration {
	wait := unknownRetryAfter
	if now.Before(b.backoffUntil) {
		wait = b.retryAt.Sub(now)
		b.retryAt = b.retryAt.Add(b.retryInterval)
	} else if perWindow := l.floorNow(now, b.organisation); perWindow > 0 {
		wait = min(wait, time.Duration((1-b.floor)/perWindow*float64(l.cfg.Window)))
	}
	return min(max(wait, minRetryAfter), l.budget(b.organisation).maxRetryAfter())
}

// floorNow returns what this node may run of an organisation without the allocator now, in requests
// in each window.
func (l *Limiter) floorNow(now time.Time, o Organisation) float64 {
	if now.Before(l.heldUntil) || now.Before(l.noFloorUntil) {
		return 0
	}
	return l.cfg.floor(o, l.fleet.Nodes)
}

// floorCapacity returns the largest number of floor tokens that this node keeps.
func (l *Limiter) floorCapacity(o Organisation) float64 {
	return math.Max(1, l.cfg.floor(o, l.fleet.Nodes)/reserveSlices)
}

// refill adds the floor's tokens since the last refill and drops granted tokens that have expired. If
// the floor has changed in between, the smaller one applies to the whole time.
func (l *Limiter) refill(now time.Time, b *bucket) {
	if !now.Before(b.grantedUntil) {
		b.granted = 0
	}
	elapsed := now.Sub(b.floorAt)
	if elapsed <= 0 {
		return
	}
	perWindow := min(l.floorNow(b.floorAt, b.organisation), l.floorNow(now, b.organisation))
	b.floorAt = now
	if perWindow == 0 {
		b.floor = 0
		return
	}
	b.floor = min(b.floor+perWindow*elapsed.Seconds()/l.cfg.Window.Seconds(), l.floorCapacity(b.organisation))
}

// Tick sends the report that is due.
func (l *Limiter) Tick(now time.Time) []Send {
	if now.Before(l.nextReport) || l.fleet.Allocator == "" {
		return nil
	}
	l.nextReport = now.Add(ReportInterval)
	l.allocator.record.review = true
	l.sequence++
	for sequence, sentAt := range l.sentReports {
		if now.Sub(sentAt) > ConfirmationTTL {
			delete(l.sentReports, sequence)
		}
	}
	l.sentReports[l.sequence] = now
	report := Message{Sequence: l.sequence, Report: true, HeldSequence: l.heldSequence}
	if l.heldSequence+1 != l.sequence {
		report.ReserveUsage = l.received(now)
	}
	return l.sendToAllocator(now, report)
}

// received returns the tokens that the node has received in the last window. It forgets the grantors of
// which it has received none.
func (l *Limiter) received(now time.Time) []ReserveUsage {
	var received []ReserveUsage
	for name, b := range l.buckets {
		for grantor, r := range b.received {
			usage := r.usage(now, l.cfg.Window)
			if len(usage) == 0 {
				delete(b.received, grantor)
				continue
			}
			received = append(received, ReserveUsage{Organisation: name, Slices: usage, Grantor: grantor})
		}
	}
	sort.Slice(received, func(i, j int) bool {
		return cmp.Or(cmp.Compare(received[i].Organisation, received[j].Organisation), cmp.Compare(received[i].Grantor, received[j].Grantor)) < 0
	})
	return received
}

// Handle processes a message of another node, or of this node to itself.
func (l *Limiter) Handle(now time.Time, from string, m Message) []Send {
	if m.Handover > 0 {
		l.allocator.takeOver(now, l.cfg.Window, m)
		return nil
	}
	if !m.Report {
		if from == l.fleet.Allocator {
			l.handleAnswer(now, m)
		}
		return nil
	}
	answer, ok := l.answer(now, from, m)
	if !ok {
		return nil
	}
	if from == l.cfg.Self {
		l.handleAnswer(now, answer)
		return nil
	}
	return []Send{{from, answer}}
}

// answer returns the answer to a report or token request; false if there is none.
func (l *Limiter) answer(now time.Time, from string, m Message) (Message, bool) {
	if m.Tokens == nil {
		return l.allocator.handleReport(now, l.cfg.Window, from, m, l.fleet.Nodes)
	}
	b := l.buckets[m.Tokens.Organisation]
	if b == nil || b.organisation.Rate <= 0 {
		return Message{}, false
	}
	number, retryAfter := l.allocator.takeTokens(now, *m.Tokens, l.budget(b.organisation))
	return Message{
		Tokens: &Amount{m.Tokens.Organisation, number}, Requested: m.Tokens.Value, RequestedAt: m.RequestedAt, RetryAfter: retryAfter,
		Grantor: l.allocator.grantors[0],
	}, true
}

// budget returns what an organisation's reserve may grant. The floors of the nodes that do not report
// here are set aside.
func (l *Limiter) budget(o Organisation) budget {
	perWindow := l.cfg.perWindow(o)
	floors := floorFraction * perWindow * float64(l.allocator.silent) / float64(max(1, l.fleet.Nodes))
	return budget{
		window:    l.cfg.Window,
		perWindow: max(0, perWindow+slackFraction*l.cfg.Slack-floors),
		depth:     depthFraction*perWindow + depthSlack*l.cfg.Slack,
	}
}

// handleAnswer adds granted tokens to their bucket, or confirms a report. It ignores tokens and
// confirmations that have expired, and confirmations of earlier reports than the last one confirmed.
func (l *Limiter) handleAnswer(now time.Time, m Message) {
	if m.Tokens != nil {
		if b := l.buckets[m.Tokens.Organisation]; b != nil {
			l.refill(now, b)
			l.handleTokens(now, b, m)
		}
		return
	}
	sentAt, found := l.sentReports[m.Sequence]
	if !found || m.Sequence <= l.heldSequence || now.Sub(sentAt) >= ConfirmationTTL {
		return
	}
	for _, b := range l.buckets {
		l.refill(now, b)
	}
	delete(l.sentReports, m.Sequence)
	l.heldSequence, l.heldUntil = m.Sequence, sentAt.Add(ConfirmationTTL)
	l.requestUntil = l.heldUntil
	l.delayFloor(sentAt.Add(ReportInterval))
}

// delayFloor records that an allocator may have granted the whole reserve until a time.
func (l *Limiter) delayFloor(granted time.Time) {
	if until := granted.Add(floorDelay); until.After(l.noFloorUntil) {
		l.noFloorUntil = until
	}
}

// handleTokens adds the tokens that a token request was granted.
func (l *Limiter) handleTokens(now time.Time, b *bucket, m Message) {
	b.requested = max(0, b.requested-m.Requested)
	b.awaited = max(0, b.awaited-m.Requested)
	if m.Tokens.Value < m.Requested {
		b.backoffUntil = now.Add(min(max(m.RetryAfter, minBackoff), maxBackoff))
		b.retryAt, b.retryInterval = now.Add(cmp.Or(m.RetryAfter, unknownRetryAfter)), l.budget(b.organisation).interval()
	}
	requestedAt := time.Unix(0, m.RequestedAt)
	if m.Tokens.Value <= 0 || now.Sub(requestedAt) >= TokenTTL {
		return
	}
	b.receive(now, l.cfg.Window, m.Grantor, m.Tokens.Value)
	b.grant(m.Tokens.Value, requestedAt)
	l.requestUntil = now.Add(ConfirmationTTL)
	l.delayFloor(now)
}

// State returns a snapshot with the organisations sorted by name.
func (l *Limiter) State(now time.Time) State {
	s := State{AllocatorState: l.AllocatorState()}
	for name := range l.buckets {
		organisation, _ := l.Organisation(now, name)
		s.Organisations = append(s.Organisations, organisation)
	}
	sort.Slice(s.Organisations, func(i, j int) bool { return s.Organisations[i].Name < s.Organisations[j].Name })
	return s
}

// AllocatorState returns the node's allocator and the validity of the node's confirmation.
func (l *Limiter) AllocatorState() AllocatorState {
	return AllocatorState{Allocator: l.fleet.Allocator, Nodes: l.fleet.Nodes, ValidUntil: l.heldUntil}
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
		Name: name, PerSecond: l.floorNow(now, b.organisation) / l.cfg.Window.Seconds(),
		Demand: b.demand.perSecond(now), Tokens: b.granted + b.floor,
		Taken: b.taken, Refused: b.refused,
	}, true
}

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
