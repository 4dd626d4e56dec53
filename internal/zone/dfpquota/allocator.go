package dfpquota

import (
	"maps"
	"slices"
	"strings"
	"time"
)

// allocator grants tokens to the nodes that report to this one.
type allocator struct {
	// grantors are this process and the allocators that handed their reserves over to it.
	grantors  []Grantor
	reporters map[string]*reporter
	// majoritySince is when a majority of the fleet began to report here without a break.
	majoritySince time.Time
	hasMajority   bool
	reserves      map[string]*reserve
	// silent is the largest number of nodes that did not report here within the last window, silentAt
	// when there were so many.
	silent   int
	silentAt time.Time
	// others holds what each node has run of other grantors' tokens.
	others map[string]otherUsage
	// handoverUntil is until when this allocator grants from reserves that another one handed over,
	// without being established, and limitedUntil is until when its successors may.
	handoverUntil, limitedUntil time.Time
	// majorityDeadline is when a majority must report here after a handover. Until then nodes that
	// report to no allocator run nothing.
	majorityDeadline time.Time
	// termSince is when this allocator began to grant tokens, zero while it may not. termMajority is the
	// majoritySince of the term, zero if it has only a handover so far.
	termSince, termMajority time.Time
	// counted reports that all tokens of the last window are known, by a handover.
	counted bool
	record  record
}

// reporter is a node that reports here.
type reporter struct {
	lastReport time.Time
	// confirmed reports whether its process has ever been confirmed, by any allocator.
	confirmed bool
}

// otherUsage is what a node had run of other grantors' tokens when its report arrived.
type otherUsage struct {
	arrived time.Time
	usage   []ReserveUsage
}

func newAllocator(grantor Grantor) allocator {
	return allocator{
		grantors: []Grantor{grantor}, reporters: map[string]*reporter{},
		reserves: map[string]*reserve{}, others: map[string]otherUsage{},
	}
}

// handleReport records one report and returns its confirmation; false if there is none.
func (a *allocator) handleReport(now time.Time, window time.Duration, from string, m Message, nodes int) (Message, bool) {
	r := a.reporters[from]
	if r == nil {
		r = &reporter{}
		a.reporters[from] = r
	}
	r.lastReport, r.confirmed = now, m.HeldSequence != 0
	a.recordUsage(now, window, from, m.ReserveUsage)
	a.expire(now)
	a.updateMajority(now, nodes)
	a.updateSilent(now, window, nodes)
	if !a.established(now) {
		// Until the allocator is established, it confirms new processes only: they use tokens of the
		// reserve, which leaves no room for their floors.
		return Message{Sequence: m.Sequence}, m.HeldSequence == 0 && a.mayGrant(now)
	}
	return Message{Sequence: m.Sequence}, true
}

// recordUsage records what a node has run of other grantors' tokens, and forgets what left the window.
func (a *allocator) recordUsage(now time.Time, window time.Duration, from string, usage []ReserveUsage) {
	maps.DeleteFunc(a.others, func(_ string, o otherUsage) bool { return now.Sub(o.arrived) > 2*window })
	usage = slices.DeleteFunc(slices.Clone(usage), func(u ReserveUsage) bool { return slices.Contains(a.grantors, u.Grantor) })
	if len(usage) > 0 {
		a.others[from] = otherUsage{now, usage}
	}
}

// otherTokens returns how many of an organisation's tokens that ran in the last window came from other
// grantors.
func (a *allocator) otherTokens(now time.Time, window time.Duration, organisation string) float64 {
	sum := 0.0
	for _, o := range a.others {
		shift := int(sliceNumber(now, window) - sliceNumber(o.arrived, window))
		for _, u := range o.usage {
			if u.Organisation != organisation {
				continue
			}
			for age, n := range u.Slices {
				if age+shift <= reserveSlices {
					sum += float64(n)
				}
			}
		}
	}
	return sum
}

// takeTokens takes the requested tokens, or as many as there are, from an organisation's reserve. It
// returns the number taken and, if there were fewer, when there will be another one; 0 if that is not
// known because the allocator is not established.
func (a *allocator) takeTokens(now time.Time, request Amount, budget budget) (float64, time.Duration) {
	if !a.mayGrant(now) {
		return 0, 0
	}
	r := a.reserveOf(now, request.Organisation, budget)
	budget.others = a.otherTokens(now, budget.window, request.Organisation)
	budget.advance = a.record.permitted[request.Organisation]
	taken, retryAfter, raise := r.take(now, budget, request.Value)
	a.record.raise = a.record.raise || raise
	return taken, retryAfter
}

// reserveOf returns an organisation's reserve. What an earlier allocator granted, if it did not hand its reserves over,
// is bounded only by the even rate, the depth and the advance that the store's record permitted; as long as the
// record has not been read, by the largest one.
func (a *allocator) reserveOf(now time.Time, organisation string, budget budget) *reserve {
	r := a.reserves[organisation]
	if r == nil {
		r = newReserve(now, budget.window)
		a.reserves[organisation] = r
	}
	if a.termSince.IsZero() || a.counted || now.Sub(a.termSince) >= budget.window {
		return r
	}
	advance := budget.maxAdvance()
	if a.record.read {
		advance = a.record.initial[organisation]
	}
	if !r.debtAt.Equal(a.termSince) {
		r.debtAt, r.sinceDebt = a.termSince, 0
	}
	r.debt = budget.depth + advance
	return r
}

// mayGrant reports whether the allocator may grant tokens from its reserves, and keeps its term up to date.
func (a *allocator) mayGrant(now time.Time) bool {
	established := a.established(now)
	handedOver := now.Before(a.handoverUntil) && (a.hasMajority || now.Before(a.majorityDeadline))
	switch {
	case !established && !handedOver:
		a.termSince = time.Time{}
		return false
	case a.termSince.IsZero():
		a.beginTerm(now, established)
	case established && a.termMajority.IsZero() && !a.majoritySince.Add(ConfirmationTTL).After(a.handoverUntil):
		a.termMajority = a.majoritySince // The term goes on from the handover.
	case established && !a.termMajority.Equal(a.majoritySince):
		a.beginTerm(now, established)
	}
	return true
}

// beginTerm begins a term in which the allocator grants tokens.
func (a *allocator) beginTerm(now time.Time, established bool) {
	a.termSince, a.termMajority, a.counted = now, time.Time{}, !established
	if established {
		a.termSince, a.termMajority = a.majoritySince.Add(ConfirmationTTL), a.majoritySince
	}
	a.record = record{calling: a.record.calling, discard: a.record.calling, notBefore: a.record.notBefore}
}

// established reports whether a majority of the fleet has reported here for so long that no other
// allocator has one.
func (a *allocator) established(now time.Time) bool {
	return a.hasMajority && now.Sub(a.majoritySince) >= ConfirmationTTL
}

// handOver returns the handover to the next allocator; one without a time if this one granted nothing. It
// resets the allocator, which from then on grants nothing. An allocator that still depends on a handover
// itself passes on what is left of handoverLimit, since nodes use their floors after it.
func (a *allocator) handOver(now time.Time, window time.Duration, budgets map[string]budget) Message {
	m := Message{Grantors: a.grantors}
	switch {
	case a.established(now):
		m.Handover, m.HandoverLimit = handoverTTL, handoverLimit
	case a.mayGrant(now):
		m.HandoverLimit = max(0, a.limitedUntil.Sub(now))
		m.Handover = min(handoverTTL, m.HandoverLimit)
	}
	for organisation, r := range a.reserves {
		for _, o := range a.others {
			for _, u := range o.usage {
				if u.Organisation == organisation {
					r.add(now, o.arrived, window, u.Slices)
				}
			}
		}
		usage := ReserveUsage{Organisation: organisation, Slices: r.usage(now, window), Short: r.short(now, window)}
		if budget, found := budgets[organisation]; found {
			usage.Ahead = r.ahead(now, budget)
		}
		if r.inDebt(now, window) {
			usage.DebtAge = now.Sub(r.debtAt)
		}
		m.ReserveUsage = append(m.ReserveUsage, usage)
	}
	calling := a.record.calling
	*a = newAllocator(a.grantors[0])
	a.record = record{calling: calling, discard: calling}
	slices.SortFunc(m.ReserveUsage, func(a, b ReserveUsage) int { return strings.Compare(a.Organisation, b.Organisation) })
	return m
}

// takeOver continues the reserves of another allocator. What was granted here counts, too.
func (a *allocator) takeOver(now time.Time, window time.Duration, m Message) {
	a.handoverUntil, a.majorityDeadline = now.Add(min(m.Handover, handoverTTL)), now.Add(allocatorChangeTime)
	a.limitedUntil = now.Add(min(m.HandoverLimit, handoverLimit))
	for _, g := range m.Grantors {
		if !slices.Contains(a.grantors, g) {
			a.grantors = append(a.grantors, g)
		}
	}
	clear(a.others) // What they hold is part of the handover.
	for _, u := range m.ReserveUsage {
		r := a.reserves[u.Organisation]
		if r == nil {
			r = newReserve(now, window)
			a.reserves[u.Organisation] = r
		}
		r.add(now, now, window, u.Slices)
		r.level, r.levelAt = r.level+max(0, u.Ahead), now
		if u.DebtAge > 0 {
			// What is not known is part of Ahead.
			r.debt, r.sinceDebt, r.debtAt = 0, 0, now.Add(-min(u.DebtAge, window))
		}
		if u.Short {
			r.pace(now)
		}
	}
}

// expire removes the nodes that no longer report. The margin over ConfirmationTTL covers clocks that
// run at different speeds.
func (a *allocator) expire(now time.Time) {
	const retention = ConfirmationTTL + ConfirmationTTL/20
	for from, r := range a.reporters {
		if now.Sub(r.lastReport) > retention {
			delete(a.reporters, from)
		}
	}
}

// updateMajority records whether a majority of the fleet reports here, and since when.
func (a *allocator) updateMajority(now time.Time, nodes int) {
	if nodes == 0 || 2*len(a.reporters) <= nodes {
		a.hasMajority = false
		return
	}
	if !a.hasMajority {
		a.hasMajority, a.majoritySince = true, now
	}
	if !a.established(now) && float64(len(a.reporters)) >= startFraction*float64(nodes) && a.noneConfirmed() {
		a.majoritySince = now.Add(-ConfirmationTTL)
	}
}

// updateSilent records how many nodes do not report here. Before the allocator is established, nodes
// that have not heard of it yet have no floors.
func (a *allocator) updateSilent(now time.Time, window time.Duration, nodes int) {
	silent := 0
	if a.established(now) {
		silent = max(0, nodes-len(a.reporters))
	}
	if silent >= a.silent || now.Sub(a.silentAt) >= window {
		a.silent, a.silentAt = silent, now
	}
}

// startFraction is the part of the fleet that must report to an allocator, all of it new processes, for it
// to be established at once. The rest may not have come back from a loss of power.
const startFraction = 0.85

// noneConfirmed reports whether none of the reporting processes has ever been confirmed. If they are
// nearly the whole fleet, as after all have lost power, no other allocator grants tokens.
func (a *allocator) noneConfirmed() bool {
	for _, r := range a.reporters {
		if r.confirmed {
			return false
		}
	}
	return true
}
