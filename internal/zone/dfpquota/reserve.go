package dfpquota

import (
	"math"
	"time"
)

// reserveSlices is the number of slices in which the tokens of a window are counted. One more
// slice is kept, so that the counted span is never shorter than the window.
const reserveSlices = 20

// reserve counts the tokens of one organisation that the allocator has granted to nodes that ran
// out, and bounds them in each window. Unlike a token bucket it can grant a whole window's tokens
// at once, which bursts of arrivals need.
type reserve struct {
	slices [reserveSlices + 1]float64
	// current is the index of the newest slice since the Unix epoch.
	current int64
	// shortAt is when the reserve last granted less than was wanted.
	shortAt time.Time
}

// evenPaceFactor is how many times its even part a slice may grant while the reserve runs short.
// Without this bound a flood would use up a whole window's tokens at once, window after window, and
// a fleet whose processes all restart could not count the window before as granted evenly.
const evenPaceFactor = 1.25

// newReserve returns a reserve whose last window counts as granted evenly, since another allocator
// may have granted it.
func newReserve(now time.Time, window time.Duration, perWindow float64) *reserve {
	r := &reserve{current: sliceNumber(now, window)}
	for i := range r.slices {
		r.slices[i] = perWindow / reserveSlices
	}
	return r
}

func sliceNumber(now time.Time, window time.Duration) int64 {
	return now.UnixNano() / int64(window/reserveSlices)
}

// take grants up to wanted whole tokens of the perWindow tokens that each window has, and returns the
// number granted.
func (r *reserve) take(now time.Time, window time.Duration, perWindow, wanted float64) float64 {
	r.advance(now, window)
	granted := 0.0
	for _, n := range r.slices {
		granted += n
	}
	left := perWindow - granted
	if now.Sub(r.shortAt) < window {
		left = min(left, evenPaceFactor*perWindow/reserveSlices-r.slices[r.index()])
	}
	taken := math.Floor(max(0, min(wanted, left)))
	if taken < math.Floor(wanted) {
		r.shortAt = now
	}
	r.slices[r.index()] += taken
	return taken
}

// advance clears the slices that have left the window.
func (r *reserve) advance(now time.Time, window time.Duration) {
	slice := sliceNumber(now, window)
	r.current = max(r.current, slice-int64(len(r.slices)))
	for r.current < slice {
		r.current++
		r.slices[r.index()] = 0
	}
}

// usage returns the tokens granted in each slice, the current slice first, rounded up.
func (r *reserve) usage(now time.Time, window time.Duration) []uint32 {
	r.advance(now, window)
	usage := make([]uint32, len(r.slices))
	for age := range usage {
		usage[age] = uint32(math.Ceil(*r.sliceAt(age)))
	}
	return usage
}

// add counts what another allocator has granted. The other allocator's slices are older by the
// transit time of the message, so their tokens stay counted for longer here, never for less time.
func (r *reserve) add(now time.Time, window time.Duration, usage []uint32) {
	r.advance(now, window)
	for age, n := range usage[:min(len(usage), len(r.slices))] {
		*r.sliceAt(age) += float64(n)
	}
}

// sliceAt returns the slice that is age slices before the current one.
func (r *reserve) sliceAt(age int) *float64 {
	n := int64(len(r.slices))
	return &r.slices[((r.current-int64(age))%n+n)%n]
}

func (r *reserve) index() int { return int(r.current % int64(len(r.slices))) }
