package dfpshare

import (
	"slices"
	"time"
)

// State is a dump for operators.
type State struct {
	Table    Table  `json:"table"`
	Revision uint64 `json:"revision"`
	// MayUse says whether this node may use the slots that it owns.
	MayUse bool `json:"may_use"`
	Slots  int  `json:"slots"`
	// Fraction is this zone's part of every rate.
	Fraction     float64       `json:"fraction"`
	RulesVersion uint64        `json:"rules"`
	Buckets      []BucketState `json:"buckets,omitempty"`
	Accounts     int           `json:"accounts"`
}

// BucketState is one organisation's bucket at its home. Tokens are in requests,
// rates in requests a second.
type BucketState struct {
	// Part is the organisation's name and the part's number in the zone.
	Part        string  `json:"part"`
	Level       float64 `json:"level"`
	Outstanding float64 `json:"out"`
	Rate        float64 `json:"rate"`
	Burst       float64 `json:"burst"`
	// LentTo is the part, by zone and number, whose home uses this one for now.
	LentTo string `json:"lent_to,omitempty"`
	// Borrowed are the parts that this home uses for now.
	Borrowed []string `json:"borrowed,omitempty"`
	Waiting  int      `json:"waiting,omitempty"`
}

// State returns a dump.
func (s *Limiter) State(now time.Time) State {
	st := State{
		Table: s.table, Revision: s.revision, MayUse: s.mayUse(now), Slots: len(s.slots),
		Fraction: s.fraction(), RulesVersion: s.rules.Version, Accounts: len(s.accounts),
	}
	for _, name := range sortedKeys(s.buckets) {
		st.Buckets = append(st.Buckets, s.buckets[name].state(now, s.cfg.Unsafe))
	}
	return st
}

func (b *bucket) state(now time.Time, opts UnsafeOptions) BucketState {
	b.refill(now, opts)
	burst, rate := b.capAndRate()
	st := BucketState{
		Part: b.key, Level: b.level, Outstanding: b.out + b.phantom,
		Rate: rate, Burst: burst, Waiting: len(b.queue) + len(b.short),
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
