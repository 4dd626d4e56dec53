package dfpshare

import (
	"slices"
	"time"
)

// State is a snapshot for operators.
type State struct {
	Table    Table  `json:"table"`
	Revision uint64 `json:"revision"`
	// MayUse reports whether this node may use the slots that it owns.
	MayUse bool `json:"may_use"`
	Slots  int  `json:"slots"`
	// Fraction is this zone's fraction of every rate.
	Fraction     float64       `json:"fraction"`
	RulesVersion uint64        `json:"rules"`
	Buckets      []BucketState `json:"buckets,omitempty"`
	Accounts     int           `json:"accounts"`
}

// BucketState is the state of one part's bucket at its home. Tokens are in requests, rates in requests per
// second.
type BucketState struct {
	// Part is the organisation's name and the part's index in the zone.
	Part        string  `json:"part"`
	Level       float64 `json:"level"`
	Outstanding float64 `json:"out"`
	Rate        float64 `json:"rate"`
	Burst       float64 `json:"burst"`
	// LentTo is the part, by zone and index, that currently borrows this one.
	LentTo string `json:"lent_to,omitempty"`
	// Borrowed lists the parts that this home currently borrows.
	Borrowed []string `json:"borrowed,omitempty"`
	Waiting  int      `json:"waiting,omitempty"`
}

// State returns a snapshot.
func (lim *Limiter) State(now time.Time) State {
	st := State{
		Table: lim.table, Revision: lim.revision, MayUse: lim.mayUseSlots(now), Slots: len(lim.slots),
		Fraction: lim.fraction(), RulesVersion: lim.rules.Version, Accounts: len(lim.accounts),
	}
	for _, name := range sortedKeys(lim.buckets) {
		st.Buckets = append(st.Buckets, lim.buckets[name].state(now, lim.cfg.Unsafe))
	}
	return st
}

func (b *bucket) state(now time.Time, opts UnsafeOptions) BucketState {
	b.refill(now, opts)
	burst, rate := b.capAndRate()
	st := BucketState{
		Part: b.key, Level: b.level, Outstanding: b.outstanding + b.inherited,
		Rate: rate, Burst: burst, Waiting: len(b.queue) + len(b.awaitingFetch),
	}
	if b.lent != nil {
		st.LentTo = b.lent.to.String()
	}
	for _, l := range b.borrows {
		st.Borrowed = append(st.Borrowed, l.from.String())
	}
	slices.Sort(st.Borrowed)
	return st
}
