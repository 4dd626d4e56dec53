package dfpquota

import (
	"math"
	"sort"
	"time"
)

// Limiter is one node's part in the organisations' rates. See the package comment.
type Limiter struct {
	cfg     Config
	fleet   Fleet
	buckets map[string]*bucket

	nonce      uint64
	nextReport time.Time
	// sent is when each report that may still be answered was sent.
	sent map[uint64]time.Time
	// heldNonce is the report that the allotment in use answers.
	heldNonce uint64
	heldUntil time.Time
	// askUntil is until when the allotter is asked for tokens without another word of it.
	askUntil time.Time
	// spotUntil is until when the node has no floor, since its allotter gives from its reserves, which leave
	// no room for floors.
	spotUntil time.Time

	allotter allotter
}

// bucket is one organisation's token bucket at this node.
type bucket struct {
	organisation Organisation
	tokens       float64
	at           time.Time
	// allotted is what the node may use, a second, until Keeper.heldUntil.
	allotted float64
	demand   demand
	// asked is the number of tokens asked for at once since askedAt and not answered, wanted how many
	// of them requests wait for.
	asked, wanted float64
	askedAt       time.Time
	// deniedUntil is until when the node asks for none, since it got less than it had asked for.
	deniedUntil time.Time
	// taken and refused count requests.
	taken, refused int64
}

// New returns the keeper of a node that has just started.
func New(now time.Time, cfg Config) *Limiter {
	return &Limiter{
		cfg: cfg, buckets: map[string]*bucket{},
		sent: map[uint64]time.Time{}, nextReport: now, allotter: newAllotter(),
	}
}

// SetRules replaces the organisations. A bucket that was there before keeps its tokens, up to
// what the new rate lets it hold.
func (k *Limiter) SetRules(now time.Time, organisations []Organisation) {
	next := make(map[string]*bucket, len(organisations))
	for _, o := range organisations {
		b := k.buckets[o.Name]
		if b == nil {
			// Until the next allotment it has its floor, as others count on.
			b = &bucket{at: now, allotted: k.floor(o)}
		}
		k.refill(now, b)
		b.organisation = o
		b.tokens = min(b.tokens, k.capacity(now, b))
		next[o.Name] = b
	}
	k.buckets = next
}

// SetFleet tells the keeper of the fleet. To report to another node means to drop what the
// one before has allotted. If that was this node, it hands its reserves over.
func (k *Limiter) SetFleet(now time.Time, fleet Fleet) []Send {
	if fleet == k.fleet {
		return nil
	}
	before := k.fleet.Allocator
	k.refillAll(now)
	k.fleet = fleet
	if fleet.Allocator == before {
		return nil
	}
	k.drop(now)
	k.askUntil = now.Add(inheritLife)
	k.sent = map[uint64]time.Time{}
	k.nextReport = now
	if before != k.cfg.Self || fleet.Allocator == "" {
		return nil
	}
	for name, b := range k.buckets {
		if b.organisation.Rate > 0 {
			k.allotter.reserveOf(now, k.cfg.Window, name, k.reserveNumber(b.organisation))
		}
	}
	life, spent := k.allotter.handOver(now, k.cfg.Window)
	if life == 0 {
		return nil
	}
	return []Send{{fleet.Allocator, Message{Handover: life, ReserveUsage: spent}}}
}

// Take decides on one request. Repeated says that it has waited and is decided on again. An
// organisation without a limit, or that is not known, is never refused.
func (k *Limiter) Take(now time.Time, organisation string, repeated bool) (Result, []Send) {
	b := k.buckets[organisation]
	if b == nil || b.organisation.Rate <= 0 {
		return &Granted{}, nil
	}
	if !repeated {
		b.demand.count(now)
	}
	k.refill(now, b)
	if b.tokens >= 1 {
		b.tokens--
		b.taken++
		return &Granted{}, k.ask(now, b, 0)
	}
	if sends := k.ask(now, b, 1); len(sends) > 0 || now.Sub(b.askedAt) < TokenRequestTimeout && b.asked > 0 {
		return &Waiting{}, sends
	}
	if b.tokens >= 1 { // This node is the allotter and has asked itself.
		b.tokens--
		b.taken++
		return &Granted{}, nil
	}
	b.refused++
	return &Refused{RetryAfter: k.retryAfter(now, b)}, nil
}

// ask asks for tokens at once where the node runs short, for as many waiting requests more and for
// what it will be asked for next. It asks for nothing shortly after it got less than it asked for,
// nor where the allotter has given nothing for long.
func (k *Limiter) ask(now time.Time, b *bucket, waiting float64) []Send {
	if now.Sub(b.askedAt) >= TokenRequestTimeout {
		b.asked, b.wanted = 0, 0
	}
	b.wanted += waiting
	if b.tokens >= 1 || b.wanted <= b.asked && b.asked > 0 || now.Before(b.deniedUntil) || !now.Before(k.askUntil) {
		return nil
	}
	number := math.Ceil(b.wanted - b.asked + b.demand.perSecond(now)*spotHorizon.Seconds())
	b.askedAt = now
	b.asked += number
	ask := Message{Report: true, Tokens: &Amount{b.organisation.Name, number}}
	if k.fleet.Allocator == k.cfg.Self {
		return k.Handle(now, k.cfg.Self, ask)
	}
	return []Send{{k.fleet.Allocator, ask}}
}

// ReturnToken returns the token of a request that did not run.
func (k *Limiter) ReturnToken(now time.Time, organisation string) {
	if b := k.buckets[organisation]; b != nil {
		k.refill(now, b)
		b.tokens = min(b.tokens+1, k.capacity(now, b))
	}
}

func (k *Limiter) retryAfter(now time.Time, b *bucket) time.Duration {
	seconds := (1 - b.tokens) / math.Max(k.rate(now, b), math.SmallestNonzeroFloat32)
	wait := time.Duration(math.Min(seconds, maxRetryAfter.Seconds()) * float64(time.Second))
	return max(wait, minRetryAfter)
}

// floor is this node's even part of a rate.
func (k *Limiter) floor(o Organisation) float64 {
	if k.fleet.Nodes == 0 {
		return 0
	}
	return FloorFraction * k.cfg.sustained(o) / float64(k.fleet.Nodes)
}

// rate is what the node may use of a rate at a time.
func (k *Limiter) rate(now time.Time, b *bucket) float64 {
	floor := k.floor(b.organisation)
	switch {
	case now.Before(k.heldUntil):
		return b.allotted
	case now.Before(k.heldUntil.Add(AllocationTTL)):
		return min(b.allotted, floor)
	case now.Before(k.spotUntil):
		return 0
	default:
		return floor
	}
}

// capacity is the number of tokens that a bucket holds: a part of the tolerance, in proportion to
// what the node may use of the rate. A node can always save up one.
func (k *Limiter) capacity(now time.Time, b *bucket) float64 {
	o := b.organisation
	if o.Rate <= 0 {
		return 1
	}
	return max(1, slackPart*k.cfg.tolerance(o)*k.rate(now, b)/k.cfg.sustained(o))
}

// refill adds the tokens since the last time. What came while the allotment lapsed counts by the
// smaller rate.
func (k *Limiter) refill(now time.Time, b *bucket) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	rate := min(k.rate(b.at, b), k.rate(now, b))
	b.at = now
	if elapsed > tokenLife.Seconds() {
		b.tokens = min(b.tokens, k.capacity(now, b))
	}
	b.tokens = max(b.tokens, min(b.tokens+rate*elapsed, k.capacity(now, b)))
}

func (k *Limiter) refillAll(now time.Time) {
	for _, b := range k.buckets {
		k.refill(now, b)
	}
}

// drop gives the allotment in use up.
func (k *Limiter) drop(now time.Time) {
	if now.Before(k.heldUntil) {
		k.heldUntil = now
	}
}

// Tick sends the report that is due.
func (k *Limiter) Tick(now time.Time) []Send {
	if now.Before(k.nextReport) || k.fleet.Allocator == "" {
		return nil
	}
	k.nextReport = now.Add(ReportInterval)
	k.nonce++
	for nonce, at := range k.sent {
		if now.Sub(at) > AllocationTTL {
			delete(k.sent, nonce)
		}
	}
	k.sent[k.nonce] = now
	report := Message{Sequence: k.nonce, Report: true, HeldSequence: k.heldNonce, Rates: k.demands(now)}
	if k.fleet.Allocator == k.cfg.Self {
		return k.Handle(now, k.cfg.Self, report)
	}
	return []Send{{k.fleet.Allocator, report}}
}

// demands lists what this node is asked for, in the order of names.
func (k *Limiter) demands(now time.Time) []Amount {
	var demands []Amount
	for name, b := range k.buckets {
		if perSecond := b.demand.perSecond(now); perSecond > minDemand {
			demands = append(demands, Amount{name, perSecond})
		}
	}
	sort.Slice(demands, func(i, j int) bool { return demands[i].Organisation < demands[j].Organisation })
	return demands
}

// Handle takes a message of another node, or of this one to itself.
func (k *Limiter) Handle(now time.Time, from string, m Message) []Send {
	if m.Handover > 0 {
		k.allotter.inherit(now, k.cfg.Window, m.Handover, m.ReserveUsage)
		return nil
	}
	if !m.Report {
		if from == k.fleet.Allocator {
			k.take(now, m)
		}
		return nil
	}
	if m.Tokens != nil {
		return k.giveSpot(now, from, *m.Tokens)
	}
	answer, ok := k.allotter.report(now, from, m, k.limits(), k.fleet.Nodes)
	if !ok {
		return nil
	}
	if from == k.cfg.Self {
		k.take(now, answer)
		return nil
	}
	return []Send{{from, answer}}
}

// giveSpot answers an ask for tokens with what the reserve has of them.
func (k *Limiter) giveSpot(now time.Time, from string, ask Amount) []Send {
	b := k.buckets[ask.Organisation]
	if b == nil || b.organisation.Rate <= 0 {
		return nil
	}
	number := k.allotter.spot(now, ask, k.cfg.Window, k.reserveNumber(b.organisation))
	answer := Message{Tokens: &Amount{ask.Organisation, number}, Requested: ask.Value}
	if from == k.cfg.Self {
		k.take(now, answer)
		return nil
	}
	return []Send{{from, answer}}
}

// reserveNumber is how many tokens of an organisation the reserve has in a window.
func (k *Limiter) reserveNumber(o Organisation) float64 {
	return ReserveFraction * k.cfg.sustained(o) * k.cfg.Window.Seconds()
}

// limits returns what the whole fleet may run of each limited organisation, in requests a second.
func (k *Limiter) limits() map[string]float64 {
	limits := make(map[string]float64, len(k.buckets))
	for name, b := range k.buckets {
		if b.organisation.Rate > 0 {
			limits[name] = k.cfg.sustained(b.organisation)
		}
	}
	return limits
}

// take puts an allotment into use. One that answers an older report than the one in use is late.
func (k *Limiter) take(now time.Time, m Message) {
	if m.Tokens != nil {
		if b := k.buckets[m.Tokens.Organisation]; b != nil {
			k.refill(now, b)
			b.tokens += m.Tokens.Value
			if m.Tokens.Value > 0 {
				k.askUntil, k.spotUntil = now.Add(AllocationTTL), now.Add(AllocationTTL)
			}
			if m.Tokens.Value < m.Requested {
				b.deniedUntil = now.Add(deniedTime)
			}
			b.asked, b.wanted = max(0, b.asked-m.Requested), max(0, b.wanted-m.Tokens.Value)
		}
		return
	}
	sentAt, found := k.sent[m.Sequence]
	if !found || m.Sequence <= k.heldNonce || now.Sub(sentAt) >= AllocationTTL {
		return
	}
	k.refillAll(now)
	delete(k.sent, m.Sequence)
	k.heldNonce, k.heldUntil = m.Sequence, sentAt.Add(AllocationTTL)
	k.askUntil = k.heldUntil
	for _, b := range k.buckets {
		b.allotted = 0
	}
	for _, d := range m.Rates {
		if b := k.buckets[d.Organisation]; b != nil {
			b.allotted = max(0, d.Value)
		}
	}
}

// State returns a dump, by organisation.
func (k *Limiter) State(now time.Time) State {
	s := State{AllocationState: k.AllocationState()}
	for name := range k.buckets {
		organisation, _ := k.Organisation(now, name)
		s.Organisations = append(s.Organisations, organisation)
	}
	sort.Slice(s.Organisations, func(i, j int) bool { return s.Organisations[i].Name < s.Organisations[j].Name })
	return s
}

// AllocationState returns by what the rates are kept here.
func (k *Limiter) AllocationState() AllocationState {
	return AllocationState{Allocator: k.fleet.Allocator, Nodes: k.fleet.Nodes, ValidUntil: k.heldUntil}
}

// Organisation returns one organisation's part at this node, and false if the rules do not name it.
func (k *Limiter) Organisation(now time.Time, name string) (OrganisationState, bool) {
	b := k.buckets[name]
	if b == nil {
		return OrganisationState{}, false
	}
	k.refill(now, b)
	return OrganisationState{
		Name: name, PerSecond: k.rate(now, b), Demand: b.demand.perSecond(now), Tokens: b.tokens,
		Taken: b.taken, Refused: b.refused,
	}, true
}

// minDemand is the demand, in requests a second, below which none is reported.
const minDemand = 0.01

// demand is a moving mean of requests a second that fades with demandSpan.
type demand struct {
	seen float64
	at   time.Time
}

func (d *demand) count(now time.Time) {
	d.fade(now)
	d.seen++
}

func (d *demand) fade(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.seen *= math.Exp(-elapsed.Seconds() / demandSpan.Seconds())
		d.at = now
	}
}

func (d *demand) perSecond(now time.Time) float64 {
	d.fade(now)
	return d.seen / demandSpan.Seconds()
}
