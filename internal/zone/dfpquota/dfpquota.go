// Package dfpquota keeps each organisation within its rate over the whole fleet, without a
// coordination service and without asking anyone on the path of a request.
//
// Each rate is allotted by demand: each node reports what it is asked for to one node, the
// allotter, which every node picks by itself from the roster, and gets back its allotment for a
// limited time. A node without an allotment has a floor, an equal part of FloorPart of the rate.
//
// The sum of what nodes may use stays within the rate because
//
//   - the allotter keeps the floor of every node aside that does not report to it;
//   - it counts an allotment as out until its holder has reported that it uses a later one, or it
//     has lapsed by the allotter's clock, which began later than the holder's;
//   - a node whose allotment has lapsed goes on with the smaller of it and its floor for
//     AllotmentLife, after which what others had of its floor has lapsed, too;
//   - a report binds its sender to one allotter: a node that reports to another one first drops
//     what it holds, so that of two allotters at most one is heard by a majority of the fleet;
//   - an allotter gives nothing until it has been heard by a majority for AllotmentLife, after
//     which whatever an earlier one gave has lapsed, or by the whole fleet if none of it has ever had
//     an allotment;
//   - an allotter that finds another one in its place, because it leaves or because a node with a
//     lower address has come, hands its reserves over and gives nothing from then on. The next one
//     goes on with them for inheritLife, by when a majority must have found it.
//
// A part of each rate, ReservePart, stays with the allotter for nodes that run short between two
// reports: requests come in by chance, and a fleet's parts of a small rate are
// smaller than what chance adds. Such a node asks for a few tokens at once.
//
// A rate is a bound on windows: in no Window does the fleet run more than rate*Window + burst, and
// what its tolerance allows. So an organisation may run rate + burst/Window all the time, and the
// buckets hold no more than the tolerance.
//
// Nothing outlives a process: a node starts with empty buckets, so that a fleet that has lost its
// memory does not grant a burst twice.
//
// # Usage
//
//	keeper := dfpquota.New(now, dfpquota.Config{Self: address, Window: 5 * time.Second})
//	keeper.SetRules(now, organisations)
//	sends := keeper.SetFleet(now, dfpquota.Fleet{Nodes: 18, Allotter: address})
//	verdict, sends := keeper.Take(now, "waldspiel", false)
//	sends := keeper.Tick(now)              // Every TickInterval.
//	sends = keeper.Handle(now, from, msg)  // For each message of another node.
//
// A Keeper is pure and not safe for concurrent use. The times handed to it must come from a clock
// that counts suspension.
package dfpquota

import "time"

const (
	// TickInterval is the time between calls of Tick.
	TickInterval = 250 * time.Millisecond
	// ReportInterval is the time between a node's reports; two may be lost before an allotment
	// lapses.
	ReportInterval = 500 * time.Millisecond
	// AllocationTTL is how long an allotment may be used, counted from when its report was sent.
	AllocationTTL = 1500 * time.Millisecond
	// newsTime is within what nodes hear of another allotter, and report to it: two ticks of the
	// roster's and one of the reports'.
	newsTime = 450 * time.Millisecond
	// inheritLife is how long an allotter gives from reserves that were handed over before it is
	// established.
	inheritLife = AllocationTTL + newsTime
	// FloorFraction is the part of each rate that nodes without an allotment divide evenly. The rest is
	// left for a fleet whose size they know only about.
	FloorFraction = 0.5
	// ReserveFraction is the part of each rate for nodes that run short. The rest, by which nodes have
	// tokens at once, is small, since what a full bucket does not take is lost.
	ReserveFraction = 0.85
	// tokenLife is how long a bucket may hold more than its capacity without a request.
	tokenLife = time.Second
	// TokenRequestTimeout is how long a node, and its requests, wait for tokens that it has asked for: twice
	// the way between two regions there and back.
	TokenRequestTimeout = 100 * time.Millisecond
	// deniedTime is how long a node asks for none after it got too few.
	deniedTime = 100 * time.Millisecond
	// spotHorizon is how much of its demand a node asks for at once.
	spotHorizon = 400 * time.Millisecond
	// sparePart is the part of a rate that is divided evenly among the nodes however much some are
	// asked for, so that a node's first requests in an organisation's name find tokens.
	sparePart = 0.05
	// demandSpan is the time constant of the demand that a node reports.
	demandSpan = 10 * time.Second
	// headroom is how much more than its demand a node is allotted first, so that chance does not
	// make it refuse.
	headroom = 1.3
	// minRetryAfter and maxRetryAfter bound when a refused request is told to come back. The
	// lower one is a report interval's order: sooner, nothing will have changed.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// slackPart is the part of the rates' tolerance that buckets may hold at once; the rest is
	// left for changes of the fleet's size that nodes notice at different times.
	slackPart = 0.3
)

// Organisation is one organisation's rate over the whole fleet; a Rate of 0 sets no limit.
type Organisation struct {
	Name string
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
}

// Fleet is what a node knows of the others.
type Fleet struct {
	// Nodes is the number of nodes that may take callers' requests, this one included, also
	// those that cannot be reached at present; 0 while it is not known, when the node has no part.
	Nodes int
	// Allocator is the address of the node to report to.
	Allocator string
}

// Config configures a Keeper.
type Config struct {
	// Self is this node's address.
	Self string
	// Window, Overage and Slack are the tolerance of a rate: in no Window does the fleet run more
	// than (rate*Window + burst) * (1 + Overage) + Slack requests.
	Window  time.Duration
	Overage float64
	Slack   float64
}

// sustained is what an organisation may run a second all the time: the burst is allowed in each
// window again.
func (c Config) sustained(o Organisation) float64 {
	return o.Rate + o.Burst/c.Window.Seconds()
}

// tolerance is what a window may run beyond rate*Window + burst.
func (c Config) tolerance(o Organisation) float64 {
	return (o.Rate*c.Window.Seconds()+o.Burst)*c.Overage + c.Slack
}

// Result is *Granted, *Waiting or *Refused.
type Result interface{ verdict() }

// Granted says that the request may run.
type Granted struct{}

// Waiting says that tokens are on their way: decide on the request again when a message has been
// handled, or after AskLife.
type Waiting struct{}

// Refused says that the organisation is over its rate.
type Refused struct{ RetryAfter time.Duration }

func (*Granted) verdict() {}
func (*Waiting) verdict() {}
func (*Refused) verdict() {}

// Amount is what a node is asked for in the name of one organisation, in requests a second.
type Amount struct {
	Organisation string  `cbor:"1,keyasint"`
	Value        float64 `cbor:"2,keyasint"`
}

// Message is one message between two nodes: a report or its answer.
type Message struct {
	// Sequence numbers a node's reports; the answer repeats it.
	Sequence uint64 `cbor:"1,keyasint"`
	// Report says that this is a report.
	Report bool `cbor:"2,keyasint,omitempty"`
	// HeldSequence is the nonce that the allotment in use answers, in a report; 0 for none.
	HeldSequence uint64 `cbor:"4,keyasint,omitempty"`
	// Tokens asks for tokens at once, or brings them; PerSecond then is their number.
	Tokens *Amount `cbor:"5,keyasint,omitempty"`
	// Requested is, in the answer to Spot, how many were asked for.
	Requested float64 `cbor:"6,keyasint,omitempty"`
	// Rates are the report's, or in the answer what the node may use.
	Rates []Amount `cbor:"3,keyasint,omitempty"`
	// Handover, if not 0, says that the sender no longer divides the rates: the receiver may go on with
	// its reserves for so long before it is established. Spent is what is spent of each.
	Handover     time.Duration  `cbor:"7,keyasint,omitempty"`
	ReserveUsage []ReserveUsage `cbor:"8,keyasint,omitempty"`
}

// ReserveUsage is what has been given of one organisation's reserve lately, in the slices of a window, the
// present one first.
type ReserveUsage struct {
	Organisation string   `cbor:"1,keyasint"`
	Slices       []uint32 `cbor:"2,keyasint"`
}

// Send is a message for a node.
type Send struct {
	To      string
	Message Message
}

// State is a dump for operators.
type State struct {
	AllocationState
	Organisations []OrganisationState `json:"organisations"`
}

// AllocationState is by what a node keeps the rates.
type AllocationState struct {
	Allocator string `json:"allotter"`
	Nodes     int    `json:"nodes"`
	// ValidUntil is when the allotment in use lapses; zero without one.
	ValidUntil time.Time `json:"held_until"`
}

// OrganisationState is one organisation's part at this node.
type OrganisationState struct {
	Name string `json:"name"`
	// PerSecond is what this node may use now, Demand what it is asked for.
	PerSecond float64 `json:"per_second"`
	Demand    float64 `json:"demand"`
	Tokens    float64 `json:"tokens"`
	// Taken and Refused count requests.
	Taken   int64 `json:"taken"`
	Refused int64 `json:"refused"`
}
