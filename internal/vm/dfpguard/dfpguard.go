// Package dfpguard implements the admission control of a node: a Guard decides which requests run on the
// node's backend server, and when.
//
// Every request to the backend server passes its guard, so the number of requests in flight is counted, not
// estimated. The guard does not ask the backend server's own health and load pages. It combines six
// mechanisms:
//
//   - A concurrency limit, learned from observed service times and failures and never above the
//     backend server's slots; see limiter.go.
//   - A short queue, ordered by importance, then fairly between organisations, then by call depth,
//     because more work has already been spent on a nested call; see queue.go.
//   - Stall detection: a backend server without any success for too long gets only probe requests; see stall.go.
//   - The rate that the backend server names in its answers, if any, for all nodes together; see rate.go. The
//     guard is the only way to the backend server, so that no node needs to know what others send.
//   - Immediate refusal of requests that cannot finish before their deadline, and of requests that
//     a more important arrival displaces from a full queue.
//   - An admission level, reported in dfpcall.Load, by which entry nodes refuse requests early. It
//     follows the queue's length; see admission.go.
//
// The terms are:
//
//   - The slots are the number of requests that the backend server can run at once.
//   - A request's rank orders it by (importance, cohort). The cohort is a hash of the root request, so
//     that the same level admits or refuses all its calls; see dfpcall.CohortAt for nested calls.
//   - The admission level is the lowest rank admitted.
//   - A nested call is a call that another backend server makes while it serves a request.
//
// A Guard has no clock, goroutines or I/O. It is not safe for concurrent use: the node protects it with one
// mutex and delivers the returned Effects to the waiting requests before it releases the mutex. The delivery
// never blocks.
//
// # Usage
//
//	guard := dfpguard.New(dfpguard.Config{Slots: 120, Rand: rand.New(rand.NewPCG(seed1, seed2))})
//	decision, effects := guard.Arrive(now, request)
//	switch d := decision.(type) {
//	case *dfpguard.Start: // Run it, then call Done.
//	case *dfpguard.Wait: // A later Effects starts or refuses it.
//	case *dfpguard.Refuse: // Answer with *dfpcall.NotRun at once.
//	}
//	// Carry out effects: start and refuse other requests that waited.
//
// The node calls Tick at least every DefaultWindow.
package dfpguard

import (
	"math/rand/v2"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// Handle identifies a request from Arrive until it ends or is refused. The node never uses one handle for
// two requests at the same time.
type Handle uint64

// Request holds the properties of a request that the guard decides by.
type Request struct {
	Handle       Handle
	Organisation string
	Importance   dfpcall.Importance
	// Cohort is the root request's cohort; the guard adjusts it for Depth.
	Cohort uint8
	Depth  uint8
	// Deadline is when the caller gives up; zero means never.
	Deadline time.Time
}

// Mode selects which mechanisms are active.
type Mode int

// The modes. Measurements use all but ModeAdaptive as baselines.
const (
	// ModeAdaptive uses all mechanisms.
	ModeAdaptive Mode = iota
	// ModeFixed runs up to Slots requests at once behind a first-in, first-out queue.
	ModeFixed
	// ModeOff starts every request at once.
	ModeOff
)

// Config configures a Guard. Zero values select the defaults.
type Config struct {
	Mode Mode
	// Slots is the number of requests that the backend server can run at once; values below 1 count as 1.
	Slots int
	// QueueLimit is the number of requests that may wait. 0 selects the number of slots, or six times that
	// with QueueNested, but at least MinQueueLimit.
	QueueLimit int
	// Window is the shortest control interval of the admission level.
	Window time.Duration
	// RampTime is how long the limit of a new backend server takes to reach its slots; a negative value
	// disables the ramp.
	RampTime time.Duration
	// QueueNested queues nested calls, which have the highest importance, instead of refusing them for load,
	// and controls by their waiting time how many requests the entry nodes admit; see steer.go.
	QueueNested bool
	// SlotsFraction, if not 0, sets the limit to this fraction of the slots in place of the learned limit.
	SlotsFraction float64
	// Rand randomises RetryAfter. It is required.
	Rand *rand.Rand
}

// The defaults of Config, and fixed parameters.
const (
	DefaultWindow   = 100 * time.Millisecond
	DefaultRampTime = 5 * time.Second
	MinQueueLimit   = 4
	// nestedQueueFactor is the default queue limit with QueueNested, as a multiple of the slots.
	nestedQueueFactor = 6
	// windowServiceTimes is the least length of a control interval, in mean service times, up to maxWindow.
	windowServiceTimes = 2
	maxWindow          = 300 * time.Millisecond
	// RampStartFraction is the fraction of the slots at which the limit of a new backend server starts.
	RampStartFraction = 0.25
)

// Decision is the result of an arrival: *Start, *Wait or *Refuse.
type Decision interface{ decision() }

// Start means that the request is to run now.
type Start struct{}

// Wait means that the request stays in the queue until a later Effects names it.
type Wait struct{}

// Refuse means that the request is to be answered at once: it has not run and will not run.
type Refuse struct {
	Reason     dfpcall.Reason
	RetryAfter time.Duration
}

func (*Start) decision()  {}
func (*Wait) decision()   {}
func (*Refuse) decision() {}

// Start and Wait have no fields, so one value of each is shared by all calls.
var (
	start = &Start{}
	wait  = &Wait{}
)

// Refusal is the refusal of a request that waited.
type Refusal struct {
	Handle     Handle
	Reason     dfpcall.Reason
	RetryAfter time.Duration
}

// Effects lists requests that waited until now and are to be started or refused, at once and in this order.
type Effects struct {
	Start  []Handle
	Refuse []Refusal
}
