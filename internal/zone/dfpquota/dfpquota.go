// Package dfpquota keeps each organisation within its rate over the whole fleet, without a
// coordination service and without asking another node on the usual path of a request.
//
// One node of the fleet, the allocator, divides each rate by demand. Every node picks the
// allocator by itself from the roster. The terms of this package are:
//
//   - report: a node's message to the allocator with its demand for each organisation;
//   - allocation: the answer to a report, the rates that the node may use for AllocationTTL;
//   - floor: what a node without an allocation may use, an equal part of FloorFraction of a rate;
//   - reserve: the part of a rate, ReserveFraction, from which the allocator grants single tokens.
//
// The sum of what the nodes may use stays within the rate because
//
//   - the allocator sets aside the floor of every node that does not report to it;
//   - it counts an allocation as outstanding until its holder has reported that it uses a later
//     one, or until the allocation has expired by the allocator's clock, which started the period later
//     than the holder's;
//   - a node whose allocation has expired uses the smaller of the allocation and its floor for
//     another AllocationTTL, by when what other nodes were allocated of its floor has expired, too;
//   - a report binds its sender to one allocator: a node that reports to another one first drops
//     its allocation, so that of two allocators at most one has reports from a majority of the fleet;
//   - an allocator grants nothing until it is established: a majority has reported to it for
//     AllocationTTL, by when everything that an earlier allocator granted has expired, or the whole
//     fleet reports to it and no process of the fleet has ever had an allocation;
//   - an allocator that is replaced, because it leaves or because a node with a lower address has
//     joined, hands its reserves over and grants nothing from then on. Its successor grants from
//     them for handoverTTL, within which a majority must report to it.
//
// The reserve serves nodes that run out of tokens between two reports: requests arrive at random,
// and one node's part of a small rate is smaller than the random variation of its arrivals. Such a
// node requests a few tokens at once.
//
// A rate is a bound on windows: in no Window does the fleet run more than rate*Window + burst
// requests, and what its tolerance allows. So an organisation can run rate + burst/Window requests
// a second continuously, and the buckets hold no more than the tolerance.
//
// No state outlives a process. A node starts with empty buckets, so that a fleet whose processes
// all restart does not grant a burst twice.
//
// # Usage
//
//	limiter := dfpquota.New(now, dfpquota.Config{Self: address, Window: 5 * time.Second})
//	limiter.SetRules(now, organisations)
//	sends := limiter.SetFleet(now, dfpquota.Fleet{Nodes: 18, Allocator: address})
//	result, sends := limiter.Take(now, "waldspiel", false)
//	sends := limiter.Tick(now)              // Every TickInterval.
//	sends = limiter.Handle(now, from, msg)  // For each message of another node.
//
// A Limiter does no I/O and is not safe for concurrent use. The times passed to it must come from a
// clock that includes the time during which the machine was suspended.
package dfpquota

import "time"

const (
	// TickInterval is the time between calls of Tick.
	TickInterval = 250 * time.Millisecond
	// ReportInterval is the time between a node's reports; two may be lost before an allocation
	// expires.
	ReportInterval = 500 * time.Millisecond
	// AllocationTTL is how long an allocation may be used, counted from when its report was sent.
	AllocationTTL = 1500 * time.Millisecond
	// allocatorChangeTime is the time within which all nodes learn of a new allocator and report to
	// it: two ticks of the roster and one tick of the reports.
	allocatorChangeTime = 450 * time.Millisecond
	// handoverTTL is how long an allocator that is not yet established grants from reserves that
	// were handed over to it.
	handoverTTL = AllocationTTL + allocatorChangeTime
	// FloorFraction is the part of each rate that nodes without an allocation divide evenly. The
	// rest is a margin, since nodes know the size of the fleet only approximately.
	FloorFraction = 0.5
	// ReserveFraction is the part of each rate for nodes that run out of tokens. The rest, which is
	// allocated to nodes in advance, is small, since tokens that a full bucket can't take are lost.
	ReserveFraction = 0.85
	// excessTokenTTL is how long a bucket without requests may hold more than its capacity.
	excessTokenTTL = time.Second
	// TokenRequestTimeout is how long a node, and its waiting requests, wait for tokens that the
	// node has requested: twice the round-trip time between two regions.
	TokenRequestTimeout = 100 * time.Millisecond
	// tokenRequestBackoff is how long a node requests no tokens after it got fewer than requested.
	tokenRequestBackoff = 100 * time.Millisecond
	// tokenRequestHorizon is the time whose expected demand one token request covers.
	tokenRequestHorizon = 400 * time.Millisecond
	// evenFraction is the part of a rate that is divided evenly among the nodes, however high the
	// demand of some, so that an organisation's first requests at a node find tokens.
	evenFraction = 0.05
	// demandTimeConstant is the time constant of the exponential decay of the reported demand.
	demandTimeConstant = 10 * time.Second
	// headroom is the factor on a node's demand that is allocated first, so that random variation
	// does not make the node refuse requests.
	headroom = 1.3
	// minRetryAfter and maxRetryAfter bound the retry time of a refused request. The lower bound is
	// of the order of a report interval: before that, nothing will have changed.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// bucketFraction is the part of a rate's tolerance that buckets may hold at once. The rest
	// covers changes of the fleet's size that nodes notice at different times.
	bucketFraction = 0.3
)

// Organisation is one organisation's rate over the whole fleet; a Rate of 0 sets no limit.
type Organisation struct {
	Name string
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
}

// Fleet is what a node knows of the fleet.
type Fleet struct {
	// Nodes is the number of nodes that may accept callers' requests, including this one and
	// nodes that cannot be reached at present. It is 0 while unknown; then the node may use nothing.
	Nodes int
	// Allocator is the address of the node to report to.
	Allocator string
}

// Config configures a Limiter.
type Config struct {
	// Self is this node's address.
	Self string
	// Window, Overage and Slack are the tolerance of a rate: in no Window does the fleet run more
	// than (rate*Window + burst) * (1 + Overage) + Slack requests.
	Window  time.Duration
	Overage float64
	Slack   float64
}

// sustainedRate returns the requests a second that an organisation may run continuously. It includes
// the burst, which is allowed in each window again.
func (c Config) sustainedRate(o Organisation) float64 {
	return o.Rate + o.Burst/c.Window.Seconds()
}

// tolerance returns the number of requests that a window may run beyond rate*Window + burst.
func (c Config) tolerance(o Organisation) float64 {
	return (o.Rate*c.Window.Seconds()+o.Burst)*c.Overage + c.Slack
}

// Result is *Granted, *Waiting or *Refused.
type Result interface{ result() }

// Granted means that the request may run.
type Granted struct{}

// Waiting means that tokens have been requested from the allocator. The caller must call Take again for
// the request when a message has been handled, or after TokenRequestTimeout.
type Waiting struct{}

// Refused means that the organisation is over its rate.
type Refused struct{ RetryAfter time.Duration }

func (*Granted) result() {}
func (*Waiting) result() {}
func (*Refused) result() {}

// Amount is a number for one organisation: a rate in requests a second or a number of tokens.
type Amount struct {
	Organisation string  `cbor:"1,keyasint"`
	Value        float64 `cbor:"2,keyasint"`
}

// Message is one message between two nodes: a report, a token request, the answer to either, or the
// handover of an allocator's reserves.
type Message struct {
	// Sequence numbers a node's reports; the answer repeats it.
	Sequence uint64 `cbor:"1,keyasint"`
	// Report is true for a report and for a token request.
	Report bool `cbor:"2,keyasint,omitempty"`
	// HeldSequence is, in a report, the Sequence of the report that was answered by the allocation
	// in use; 0 for none.
	HeldSequence uint64 `cbor:"4,keyasint,omitempty"`
	// Tokens is the number of tokens that a token request asks for, or that its answer grants.
	Tokens *Amount `cbor:"5,keyasint,omitempty"`
	// Requested is, in the answer to a token request, the number of tokens that it asked for.
	Requested float64 `cbor:"6,keyasint,omitempty"`
	// Rates are, in requests a second, the node's demand in a report and its allocation in the answer.
	Rates []Amount `cbor:"3,keyasint,omitempty"`
	// Handover, if not 0, makes this a handover: the sender no longer divides the rates, and the
	// receiver may grant from the sender's reserves for this time before it is established.
	// ReserveUsage is what was granted of each reserve.
	Handover     time.Duration  `cbor:"7,keyasint,omitempty"`
	ReserveUsage []ReserveUsage `cbor:"8,keyasint,omitempty"`
}

// ReserveUsage is the number of tokens granted from one organisation's reserve in each slice of the
// last window, the current slice first.
type ReserveUsage struct {
	Organisation string   `cbor:"1,keyasint"`
	Slices       []uint32 `cbor:"2,keyasint"`
}

// Send is a message to send to a node.
type Send struct {
	To      string
	Message Message
}

// State is a snapshot of a Limiter for operators.
type State struct {
	AllocationState
	Organisations []OrganisationState `json:"organisations"`
}

// AllocationState is the allocator that a node reports to and the validity of the node's allocation.
type AllocationState struct {
	Allocator string `json:"allotter"`
	Nodes     int    `json:"nodes"`
	// ValidUntil is when the allocation in use expires; zero if there has been none.
	ValidUntil time.Time `json:"held_until"`
}

// OrganisationState is the state of one organisation's rate at this node.
type OrganisationState struct {
	Name string `json:"name"`
	// PerSecond is what this node may use now and Demand is its demand, both in requests a second.
	PerSecond float64 `json:"per_second"`
	Demand    float64 `json:"demand"`
	Tokens    float64 `json:"tokens"`
	// Taken and Refused count requests.
	Taken   int64 `json:"taken"`
	Refused int64 `json:"refused"`
}
