package dfpquota

import (
	"math"
	"time"
)

// reserveSlices is the number of parts in which a window is counted. One more is kept, so that the
// count is of a span that is never shorter than the window.
const reserveSlices = 20

// reserve counts the tokens of one organisation that the allotter has given to nodes that ran
// short, so that no window has more than its number. Unlike a bucket it can give a whole window's
// number at once, which arrivals in clumps need.
type reserve struct {
	slices [reserveSlices + 1]float64
	slice  int64
	// shortAt is when it last gave less than was wanted.
	shortAt time.Time
}

// evenness is how many times the even part of a slice may be given while the reserve runs short. Otherwise a
// flood would have a whole window's number at once, window after window, and a fleet that has lost
// its memory could not take the window before as spent evenly.
const evenness = 1.25

// newReserve returns a reserve that counts the window before now as spent evenly: another allotter
// may have given it.
func newReserve(now time.Time, window time.Duration, number float64) *reserve {
	r := &reserve{slice: sliceOf(now, window)}
	for i := range r.slices {
		r.slices[i] = number / reserveSlices
	}
	return r
}

func sliceOf(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / int64(window/reserveSlices)
}

// take takes up to wanted whole tokens, of which a window has so many as number.
func (r *reserve) take(now time.Time, window time.Duration, number, wanted float64) float64 {
	r.advance(now, window)
	spent := 0.0
	for _, n := range r.slices {
		spent += n
	}
	left := number - spent
	if now.Sub(r.shortAt) < window {
		left = min(left, evenness*number/reserveSlices-r.slices[r.index()])
	}
	taken := math.Floor(max(0, min(wanted, left)))
	if taken < math.Floor(wanted) {
		r.shortAt = now
	}
	r.slices[r.index()] += taken
	return taken
}

// advance forgets the slices that have left the window.
func (r *reserve) advance(now time.Time, window time.Duration) {
	slice := sliceOf(now, window)
	r.slice = max(r.slice, slice-int64(len(r.slices)))
	for r.slice < slice {
		r.slice++
		r.slices[r.index()] = 0
	}
}

// spent returns what was taken in each slice, the present one first, rounded up.
func (r *reserve) spent(now time.Time, window time.Duration) []uint32 {
	r.advance(now, window)
	spent := make([]uint32, len(r.slices))
	for age := range spent {
		spent[age] = uint32(math.Ceil(*r.aged(age)))
	}
	return spent
}

// add counts what another allotter has given. Its slices are older than these by the time of the
// message, so that what they hold stays counted for longer.
func (r *reserve) add(now time.Time, window time.Duration, spent []uint32) {
	r.advance(now, window)
	for age, n := range spent[:min(len(spent), len(r.slices))] {
		*r.aged(age) += float64(n)
	}
}

// aged returns the slice that is so many before the present one.
func (r *reserve) aged(age int) *float64 {
	n := int64(len(r.slices))
	return &r.slices[((r.slice-int64(age))%n+n)%n]
}

func (r *reserve) index() int { return int(r.slice % int64(len(r.slices))) }
