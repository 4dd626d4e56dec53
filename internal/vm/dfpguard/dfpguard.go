// Package dfpguard decides what runs in a backend server: it is the admission
// control of the node in front of it.
//
// Everything that the backend server runs passes its guard, so the number in
// flight is counted, not estimated. The backend server's own health and load
// pages are not asked. Five mechanisms work together:
//
//   - A limit on the number in flight, learned from observed service times and
//     failures and never above the backend server's slots; see limiter.go.
//   - A short queue, ordered by importance, then fairly between organisations,
//     then by depth, since a nested call has more work sunk in it; see queue.go.
//   - A stop when the backend server gets nothing done; see stall.go.
//   - Refusal at once of what cannot finish before its deadline, and of what
//     a more important arrival displaces from a full queue.
//   - An admission level, reported as dfpcall.Load, by which entry nodes
//     refuse early. It follows the queue's length; see admission.go. Its order is
//     (importance, cohort), so that all calls of one root request meet the same verdict.
//
// A Guard is pure: it has no clock and does nothing by itself. It is not safe
// for concurrent use: the node holds one mutex around it and carries out the
// returned Effects after releasing it.
//
// # Usage
//
//	guard := dfpguard.New(dfpguard.Config{Slots: 120, Rand: rand.New(rand.NewPCG(seed1, seed2))})
//	verdict, effects := guard.Arrive(now, ticket)
//	switch v := verdict.(type) {
//	case *dfpguard.Start: // Run it, then call Done.
//	case *dfpguard.Wait: // A later Effects starts or refuses it.
//	case *dfpguard.Refuse: // Answer with *dfpcall.NotRun at once.
//	}
//	// Carry out effects: start and refuse others that wait.
//
// The node calls Tick at least every DefaultWindow.
package dfpguard

import (
	"math/rand/v2"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// Handle names a ticket from Arrive until Done or Cancel; the node never has
// two live tickets with the same one.
type Handle uint64

// Request is what the guard needs to know of a request.
type Request struct {
	Handle       Handle
	Organisation string
	Importance   dfpcall.Importance
	// Cohort is the root request's; the guard counts the depth in.
	Cohort uint8
	Depth  uint8
	// Deadline is when the caller gives up; zero for never.
	Deadline time.Time
}

// Mode selects how much of the control is active.
type Mode int

// The modes. All but ModeAdaptive serve as baselines of measurements.
const (
	// ModeAdaptive is the whole policy.
	ModeAdaptive Mode = iota
	// ModeFixed runs up to Slots at once behind a first-in, first-out queue.
	ModeFixed
	// ModeOff starts everything at once.
	ModeOff
)

// Config configures a Guard. Zero values take the defaults.
type Config struct {
	Mode Mode
	// Slots is the number of requests that the backend server runs at once;
	// below 1 counts as 1.
	Slots int
	// QueueLimit is the number of requests that may wait; 0 takes the
	// slots and at least MinQueueLimit.
	QueueLimit int
	// Window is the shortest control interval of the admission level.
	Window time.Duration
	// RampTime is how long a new backend server takes to reach its slots;
	// negative for no ramp.
	RampTime time.Duration
	// QueueNested lets nested calls, which have the highest importance, wait rather than refuse them
	// for load, and steers by their waiting what entries take in; see steer.go.
	QueueNested bool
	// SlotsFraction, if not 0, is the part of the slots that is used, in place of a learned limit.
	SlotsFraction float64
	// Rand spreads RetryAfter. It is required.
	Rand *rand.Rand
}

// The defaults of Config, and its fixed parameters.
const (
	DefaultWindow   = 100 * time.Millisecond
	DefaultRampTime = 5 * time.Second
	MinQueueLimit   = 4
	// nestedQueue is how many times the slots may wait where nested calls are spared.
	nestedQueue = 6
	// windowServices is the least number of mean service times in a control interval.
	windowServices = 2
	maxWindow      = 300 * time.Millisecond
	// RampStartFraction is the part of the slots with which a new backend server begins.
	RampStartFraction = 0.25
)

// Decision is the decision on an arrival: *Start, *Wait or *Refuse.
type Decision interface{ verdict() }

// Start runs the request now.
type Start struct{}

// Wait keeps the request in the queue until a later Effects names it.
type Wait struct{}

// Refuse answers the request at once: it did not run and will not.
type Refuse struct {
	Reason     dfpcall.Reason
	RetryAfter time.Duration
}

func (*Start) verdict()  {}
func (*Wait) verdict()   {}
func (*Refuse) verdict() {}

// Start and Wait hold nothing, so that one value of each serves every call.
var (
	start = &Start{}
	wait  = &Wait{}
)

// Refusal refuses a ticket that waited.
type Refusal struct {
	Handle     Handle
	Reason     dfpcall.Reason
	RetryAfter time.Duration
}

// Effects lists tickets that waited until now and are to be started or
// refused, at once and in this order.
type Effects struct {
	Start  []Handle
	Refuse []Refusal
}
