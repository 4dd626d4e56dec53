// Package dfpquota keeps each organisation within its rate over the whole fleet, without a
// coordination service.
//
// One node of the fleet, the allocator, counts what runs of each organisation. Every node picks the
// allocator by itself from the roster. The terms of this package are:
//
//   - reserve: the tokens of one organisation that the allocator may grant in any window;
//   - token request: a node's message to the allocator for the requests that wait at it, and at a
//     node with much demand for those of the next moment;
//   - report: a node's periodic message to the allocator;
//   - confirmation: the answer to a report. A confirmed node requests tokens and has no floor;
//   - floor: what a node without a confirmation may run, an equal part of floorFraction of a rate.
//
// The bound is on windows: in no Window does the fleet run more than
// (rate*Window + burst) * (1 + Overage) + Slack requests of an organisation. A request that is
// counted in a window took its token in that window, so that a reserve counted by windows is exact
// as long as tokens are used at once. The reserve is rate*Window + burst and a part of the slack. The
// rest of the tolerance is for what the count misses: tokens that were requested in advance, floors,
// and what an earlier allocator granted.
//
//   - An allocator's reserve is smaller by the floors of the nodes that do not report to it, or did
//     not within the last window.
//   - A node has no floor within floorDelay after its start, its last confirmation and the last tokens that it received.
//   - A report binds its sender to one allocator: a node that reports to another one first drops its
//     confirmation, so that of two allocators at most one has reports from a majority of the fleet.
//   - An allocator grants nothing until it is established: a majority has reported to it for
//     ConfirmationTTL, by when an earlier allocator has lost its majority, or nearly the whole fleet
//     reports to it and none of these processes has ever been confirmed.
//   - A report whose predecessor is not confirmed says what its sender has run in the last window, and
//     who granted it. A new allocator counts it.
//   - In no span does an allocator grant more than the even rate, a small depth and an advance that the caller's store
//     had recorded before. A new allocator reads the record, and counts depth and advance as granted right before it was
//     established: that bounds what it cannot know.
//   - An allocator that is replaced, because it leaves or because a node with a lower address has
//     joined, hands its reserves over and grants nothing from then on. Its successor grants from
//     them for handoverTTL, within which a majority must report to it. It may be replaced in turn meanwhile, but within
//     handoverLimit an allocator must be established.
//
// Nothing but that record outlives a process.
//
// # Usage
//
//	limiter := dfpquota.New(now, dfpquota.Config{Self: address, Window: 5 * time.Second})
//	limiter.SetRules(now, organisations)
//	sends := limiter.SetFleet(now, dfpquota.Fleet{Nodes: 18, Allocator: address})
//	result, sends := limiter.Take(now, "waldspiel", false)
//	sends := limiter.Tick(now)              // Every TickInterval.
//	sends = limiter.Handle(now, from, msg)  // For each message of another node.
//	switch call := limiter.StoreCall(now).(type) { // After each of these.
//	case *dfpquota.ReadRecord:  ... limiter.HandleRecord(now, record, err == nil)
//	case *dfpquota.WriteRecord: ... limiter.HandleWritten(now, err == nil)
//	}
//
// A Limiter does no I/O and is not safe for concurrent use. The times passed to it must come from a
// clock that includes the time during which the machine was suspended.
package dfpquota

import (
	"hash/fnv"
	"math"
	"time"
)

const (
	// TickInterval is the time between calls of Tick.
	TickInterval = 250 * time.Millisecond
	// ReportInterval is the time between a node's reports; two may be lost before a confirmation
	// expires.
	ReportInterval = 500 * time.Millisecond
	// ConfirmationTTL is how long a confirmation is valid, counted from when its report was sent.
	ConfirmationTTL = 1500 * time.Millisecond
	// TokenTTL is how long a granted token may be used, counted from when it was requested.
	TokenTTL = 500 * time.Millisecond
	// TokenRequestTimeout is how long a node, and its waiting requests, wait for tokens that the
	// node has requested: twice the round-trip time between two regions.
	TokenRequestTimeout = 100 * time.Millisecond
	// allocatorChangeTime is the time within which all nodes learn of a new allocator and report to
	// it: two ticks of the roster and one tick of the reports.
	allocatorChangeTime = 450 * time.Millisecond
	// handoverTTL is how long an allocator that is not yet established grants from reserves that
	// were handed over to it.
	handoverTTL = ConfirmationTTL + allocatorChangeTime
	// handoverLimit is how long allocators that are not established grant one after another. Nodes that get neither
	// confirmations nor tokens in that time have their floors after it.
	handoverLimit = floorDelay
	// floorFraction is the part of each rate that nodes without a confirmation divide evenly. Its use
	// in the rest of a window in which the whole reserve was granted before the allocator was lost
	// must fit into the tolerance, also if the next allocators are lost, too. So nodes use it only floorDelay after
	// such a grant was last possible.
	floorFraction = 0.25
	floorDelay    = 3500 * time.Millisecond
	// tokenRequestHorizon is the time whose expected demand one token request covers.
	tokenRequestHorizon = 400 * time.Millisecond
	// minBackoff and maxBackoff bound how long a node requests no tokens after it got fewer than
	// requested.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// demandTimeConstant is the time constant of the exponential decay of the measured demand.
	demandTimeConstant = 10 * time.Second
	// minRetryAfter is the least retry time of a refused request. Before that, nothing will have changed.
	minRetryAfter = 200 * time.Millisecond
	// unknownRetryAfter is the retry time while no allocator is known to become established.
	unknownRetryAfter = time.Second
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

// perWindow returns the number of requests of an organisation that the rules allow in each window.
func (c Config) perWindow(o Organisation) float64 {
	return o.Rate*c.Window.Seconds() + o.Burst
}

// floor returns what one of the nodes may run of an organisation without a confirmation, in requests
// in each window. If an equal part is less than one request, some of the nodes, chosen by a hash, have
// one request each instead.
func (c Config) floor(o Organisation, nodes int) float64 {
	if nodes == 0 {
		return 0
	}
	fleet := floorFraction * c.perWindow(o)
	if equal := fleet / float64(nodes); equal >= 1 {
		return equal
	}
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(c.Self + "\x00" + o.Name)) // Never fails.
	if float64(hash.Sum32()%uint32(nodes)) < math.Max(1, math.Floor(fleet)) {
		return 1
	}
	return 0
}

// Result is *Granted, *Waiting or *Refused.
type Result interface{ result() }

// Granted means that the request may run. At is when it took its token, for ReturnToken.
type Granted struct{ At time.Time }

// Waiting means that tokens have been requested from the allocator. The caller must call Take again for
// the request when a message has been handled, or after TokenRequestTimeout.
type Waiting struct{}

// Refused means that the organisation is over its rate.
type Refused struct{ RetryAfter time.Duration }

func (*Granted) result() {}
func (*Waiting) result() {}
func (*Refused) result() {}

// Amount is a number of tokens of one organisation.
type Amount struct {
	Organisation string  `cbor:"1,keyasint"`
	Value        float64 `cbor:"2,keyasint"`
}

// Message is one message between two nodes: a report, a token request, the answer to either, or the
// handover of an allocator's reserves.
type Message struct {
	// Sequence numbers a node's reports; the answer repeats it.
	Sequence uint64 `cbor:"1,keyasint,omitempty"`
	// Report is true for a report and for a token request.
	Report bool `cbor:"2,keyasint,omitempty"`
	// HeldSequence is, in a report, the Sequence of the last report that was confirmed, by any
	// allocator; 0 for none.
	HeldSequence uint64 `cbor:"4,keyasint,omitempty"`
	// Tokens is the number of tokens that a token request asks for, or that its answer grants.
	Tokens *Amount `cbor:"5,keyasint,omitempty"`
	// Requested is, in the answer to a token request, the number of tokens that it asked for.
	Requested float64 `cbor:"6,keyasint,omitempty"`
	// RequestedAt is when a token request was sent, by its sender's clock in nanoseconds; the answer
	// repeats it.
	RequestedAt int64 `cbor:"9,keyasint,omitempty"`
	// RetryAfter is, in the answer to a token request that was not granted in full, when there will
	// be room for another request.
	RetryAfter time.Duration `cbor:"10,keyasint,omitempty"`
	// Grantor is, in the answer to a token request, who granted the tokens.
	Grantor Grantor `cbor:"12,keyasint,omitempty"`
	// Handover, if not 0, makes this a handover: the sender grants no tokens any more, and the
	// receiver may grant from the sender's reserves for this time before it is established.
	Handover time.Duration `cbor:"7,keyasint,omitempty"`
	// HandoverLimit is, in a handover, the time within which all further ones must have ended until an allocator is
	// established again.
	HandoverLimit time.Duration `cbor:"13,keyasint,omitempty"`
	// Grantors are, in a handover, those whose grants ReserveUsage includes.
	Grantors []Grantor `cbor:"11,keyasint,omitempty"`
	// ReserveUsage is, in a handover, what was granted of each reserve, and in a report what the node
	// has received of each. Reports have it while earlier ones are not confirmed.
	ReserveUsage []ReserveUsage `cbor:"8,keyasint,omitempty"`
}

// Grantor identifies one process of an allocator.
type Grantor uint64

// floorGrantor stands for the node's own floor.
const floorGrantor Grantor = 0

// ReserveUsage is the number of one organisation's tokens granted in each slice of the last window,
// the current slice first.
type ReserveUsage struct {
	Organisation string   `cbor:"1,keyasint"`
	Slices       []uint32 `cbor:"2,keyasint"`
	// Grantor is set in a report.
	Grantor Grantor `cbor:"3,keyasint,omitempty"`
	// Short is true in a handover if the reserve granted less than was wanted in the last window.
	Short bool `cbor:"4,keyasint,omitempty"`
	// Ahead is, in a handover, how far the fleet is ahead of the even rate.
	Ahead float64 `cbor:"5,keyasint,omitempty"`
	// DebtAge is, in a handover, how long ago the sender's term began, if not all tokens of the last window are known.
	DebtAge time.Duration `cbor:"6,keyasint,omitempty"`
}

// Send is a message to send to a node.
type Send struct {
	To      string
	Message Message
}

// State is a snapshot of a Limiter for operators.
type State struct {
	AllocatorState
	Organisations []OrganisationState `json:"organisations"`
}

// AllocatorState is the allocator that a node reports to and the validity of its confirmation.
type AllocatorState struct {
	Allocator string `json:"allotter"`
	Nodes     int    `json:"nodes"`
	// ValidUntil is when the last confirmation expires; zero if there has been none.
	ValidUntil time.Time `json:"held_until"`
}

// OrganisationState is the state of one organisation's rate at this node.
type OrganisationState struct {
	Name string `json:"name"`
	// PerSecond is what this node may run without the allocator and Demand is its demand, both in
	// requests a second.
	PerSecond float64 `json:"per_second"`
	Demand    float64 `json:"demand"`
	Tokens    float64 `json:"tokens"`
	// Taken and Refused count requests.
	Taken   int64 `json:"taken"`
	Refused int64 `json:"refused"`
}
