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
}

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
	slice := sliceOf(now, window)
	r.slice = max(r.slice, slice-int64(len(r.slices)))
	for r.slice < slice {
		r.slice++
		r.slices[r.index()] = 0
	}
	spent := 0.0
	for _, n := range r.slices {
		spent += n
	}
	taken := math.Floor(max(0, min(wanted, number-spent)))
	r.slices[r.index()] += taken
	return taken
}

func (r *reserve) index() int { return int(r.slice % int64(len(r.slices))) }
