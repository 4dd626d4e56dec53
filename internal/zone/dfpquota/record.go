package dfpquota

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// raiseInterval and lowerInterval are the least times from one write of the record to the next one that raises
	// an advance, and to one that only lowers some.
	raiseInterval = 50 * time.Millisecond
	lowerInterval = 500 * time.Millisecond
	// storeBackoff is the time after a failed call to the store.
	storeBackoff = 250 * time.Millisecond
)

// StoreCall is *ReadRecord or *WriteRecord.
type StoreCall interface{ storeCall() }

// ReadRecord asks for the record of advances. The caller passes it to HandleRecord.
type ReadRecord struct{}

// WriteRecord replaces the record of advances if it is the one that was last read or written by this process. The
// caller reports the result to HandleWritten.
type WriteRecord struct {
	// Record has the organisations that have an advance, sorted by name.
	Record []Amount
}

func (*ReadRecord) storeCall()  {}
func (*WriteRecord) storeCall() {}

// record is what the allocator knows of the record of advances in the store.
type record struct {
	// read reports that the record was read in this term, and initial is what it held then.
	read    bool
	initial map[string]float64
	// permitted holds what the store is certain to have, whatever becomes of calls whose outcome is not known.
	permitted map[string]float64
	// unsure reports that the record must be read again before it is written.
	unsure bool
	// calling is set while a call is made, and writing is the record that it writes; nil for a reading.
	calling bool
	writing map[string]float64
	// discard is set if the call was made in an earlier term.
	discard bool
	// notBefore is when the next call may be made, and writtenAt when the last write began.
	notBefore, writtenAt time.Time
	// raise is set if an organisation needs a larger advance, and review if some may need less.
	raise, review bool
}

// StoreCall returns the call to the store that is due; nil if there is none. The next one is returned only after
// the result of this one has been handled.
func (l *Limiter) StoreCall(now time.Time) StoreCall {
	a := &l.allocator
	rec := &a.record
	if rec.calling || now.Before(rec.notBefore) || !a.mayGrant(now) {
		return nil
	}
	if !rec.read || rec.unsure {
		rec.calling, rec.writing = true, nil
		return &ReadRecord{}
	}
	raise := rec.raise && now.Sub(rec.writtenAt) >= raiseInterval
	if !raise && (!rec.review || now.Sub(rec.writtenAt) < lowerInterval) {
		return nil
	}
	rec.raise, rec.review = false, false
	next := l.nextRecord(now)
	if maps.Equal(next, rec.permitted) {
		return nil
	}
	rec.calling, rec.writing, rec.writtenAt = true, next, now
	// What the write lowers must not be used any more, and what it raises not yet.
	rec.permitted = lesser(rec.permitted, next)
	var amounts []Amount
	for name, tokens := range next {
		amounts = append(amounts, Amount{name, tokens})
	}
	slices.SortFunc(amounts, func(a, b Amount) int { return cmp.Compare(a.Organisation, b.Organisation) })
	return &WriteRecord{Record: amounts}
}

// nextRecord returns the record that the store should have.
func (l *Limiter) nextRecord(now time.Time) map[string]float64 {
	a := &l.allocator
	next := map[string]float64{}
	for name, held := range a.record.permitted {
		if l.buckets[name] == nil && now.Sub(a.termSince) < l.cfg.Window {
			next[name] = held // The rules that name the organisation may not have arrived yet.
		}
	}
	for name, b := range l.buckets {
		held := a.record.permitted[name]
		if b.organisation.Rate <= 0 || a.reserves[name] == nil && held == 0 {
			continue
		}
		budget := l.budget(b.organisation)
		if advance := a.reserveOf(now, name, budget).nextAdvance(now, budget, held); advance > 0 {
			next[name] = advance
		}
	}
	return next
}

// HandleRecord processes the record that ReadRecord asked for; found is false if the reading failed.
func (l *Limiter) HandleRecord(now time.Time, amounts []Amount, found bool) {
	rec := &l.allocator.record
	if rec.handled() {
		return
	}
	if !found {
		rec.notBefore = now.Add(storeBackoff)
		return
	}
	held := make(map[string]float64, len(amounts))
	for _, amount := range amounts {
		if amount.Value > 0 && !math.IsInf(amount.Value, 1) {
			held[amount.Organisation] = amount.Value
		}
	}
	if rec.read {
		rec.permitted = lesser(rec.permitted, held)
	} else {
		rec.initial, rec.permitted = held, maps.Clone(held)
	}
	rec.read, rec.unsure, rec.review = true, false, true
}

// HandleWritten processes the result of WriteRecord: written if it is certain to have taken effect.
func (l *Limiter) HandleWritten(now time.Time, written bool) {
	rec := &l.allocator.record
	if rec.handled() {
		return
	}
	if !written {
		rec.unsure, rec.raise, rec.notBefore = true, true, now.Add(storeBackoff)
		return
	}
	rec.permitted = rec.writing
}

// handled records that the call has ended, and reports whether its result must be discarded.
func (rec *record) handled() (discard bool) {
	discard = rec.discard
	rec.calling, rec.discard = false, false
	return discard
}

// lesser returns the smaller value of each key; one that is missing counts as 0.
func lesser(a, b map[string]float64) map[string]float64 {
	least := map[string]float64{}
	for name, tokens := range a {
		if tokens = min(tokens, b[name]); tokens > 0 {
			least[name] = tokens
		}
	}
	return least
}
