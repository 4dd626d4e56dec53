package dfpguard

import "time"

// steer sets the admission level of a backend server whose work is mostly nested calls. To refuse
// such a call wastes what was done before it, so the guard lets them wait, and steers how many come
// by the level at which entries take in new requests. It is an integral controller on the time that
// calls wait, since the guard cannot tell how many calls a request at an entry leads to.
type steer struct {
	level  float64
	opened time.Time
}

const (
	// steerTarget is the waiting time in equilibrium: long enough that slots do not run dry between
	// two arrivals, short against the latency objectives of requests with several calls in a row.
	steerTarget = 25 * time.Millisecond
	// steerGain is how many ranks a second the level moves when calls wait twice the target. The
	// whole range takes four seconds, several times the time until an entry's refusals show here.
	steerGain = 90.0
	// maxSteerError bounds how much faster the level rises when calls wait longer still.
	maxSteerError = 2.5
	// steerOpening is how much faster the level falls for each slot that stands idle, as a part of
	// them all: idle slots show that too much is refused.
	steerOpening = 4.0
	// steerBusy is the part of the slots in use from which on the level is not lowered: there is
	// nothing to gain.
	steerBusy = 0.93
	// maxSteerLevel keeps a few of the most important requests admitted, by which the guard learns
	// that it can admit more.
	maxSteerLevel = float64(clientLevels - 12)
	// clientLevels is the number of levels below those of nested calls.
	clientLevels = 3 * ranks / 4
)

// advance moves the level by what was seen since the last time.
func (s *steer) advance(now time.Time, window time.Duration, waiting time.Duration, usage float64) {
	age := now.Sub(s.opened)
	if age < window {
		return
	}
	s.opened = now
	elapsed := min(age, 2*window).Seconds()
	deviation := min(float64(waiting)/float64(steerTarget)-1, maxSteerError)
	if deviation < 0 {
		if usage > steerBusy {
			return
		}
		deviation *= 1 + steerOpening*(steerBusy-usage)
	}
	s.level = min(max(s.level+steerGain*elapsed*deviation, 0), maxSteerLevel)
}
