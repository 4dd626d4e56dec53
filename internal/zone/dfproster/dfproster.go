// Package dfproster keeps the list of VMs that one node knows: who is in its
// availability zone and in the fleet, who is draining, and who can't be reached.
//
// News of a VM comes from the platform, where each node keeps an entry bound to a
// lease, and from peers. Every version of a VM is ordered by sequence and then
// incarnation, and a node replaces a version only by a later one, so the way
// and the order in which news travels don't matter. Only the VM itself makes new
// versions. A process that hears of a version of its own address that isn't its
// own makes a later one.
//
// Fresh news is passed on to a few peers for a few ticks. Besides, every node
// compares a hash of its list with a peer about once a second; where they differ,
// the two narrow it down to zones and buckets and exchange only those. So
// the bytes for control grow with the changes, not with the fleet.
//
// Silence and refusal are this node's own observations and are never passed on
// as versions. A refused connection shows that the process is gone: peers are told
// and look for themselves, and a VM that hears of its own death makes a later
// version. Silence may be a partition, so a silent VM is left out of VMs but not
// forgotten. A lapsed lease is a reason to probe and no verdict.
//
// A Roster isn't safe for concurrent use. The slice that VMs returns is never
// changed afterwards, so it can be published to other goroutines.
//
// # Usage
//
//	roster := dfproster.New(dfproster.Config{Self: vm, Seeds: seeds})
//	perform(roster.Merge(now, dfproster.SourcePlatform, listed))
//	perform(roster.Handle(now, from, message)) // For each message of a peer.
//	perform(roster.Tick(now, rnd))             // Every TickInterval.
//	routes.Store(roster.VMs())                 // When Effects.Changed.
package dfproster

import (
	"fmt"
	"time"

	"dragonflyport/internal/vm/dfpvm"
)

// KeyPrefix is the platform's prefix of the VMs' entries.
const KeyPrefix = "dragonflyport/vm/"

// Key returns the platform's key for a VM.
func Key(vm dfpvm.VM) string { return KeyPrefix + vm.Zone + "/" + vm.Address }

const (
	// TickInterval is the pause between calls of Tick that the defaults suit.
	TickInterval = 100 * time.Millisecond
	// LeaseTTL is the time to live that a VM's lease in the platform should have.
	LeaseTTL = 60 * time.Second
	// WatchersPerZone is how many nodes of a zone watch the platform.
	WatchersPerZone = 3

	compareInterval   = time.Second
	rumourFanout      = 3
	rumourTicks       = 4
	rumoursPerMessage = 32
	recordsPerMessage = 512
	bucketsPerZone    = 16
	probesPerCompare  = 8

	silentAfter    = 3 * time.Second
	deadAfter      = time.Second
	minFailures    = 2
	lapsedDead     = 24 * time.Hour
	tombstoneTTL   = 24 * time.Hour
	maxRecords     = 16384
	seedRetry      = 10 * time.Second
	crossZoneEvery = 4
	refuteInterval = 2 * time.Second
)

// Source says where news comes from.
type Source uint8

// The sources.
const (
	SourcePlatform Source = iota
	SourcePeer
)

// Config configures a Roster.
type Config struct {
	// Self is this VM. Its Sequence should start at the process's start in
	// milliseconds since 1970, so that it follows those of the process before it.
	Self dfpvm.VM
	// Seeds are addresses of nodes asked when no peer is known.
	Seeds []string
	// Watchers is how many nodes of a zone watch the platform; 0 takes WatchersPerZone.
	Watchers int
	// AcceptStaleUpdates turns the order of versions off; it is there for tests that
	// show what the order is for.
	AcceptStaleUpdates bool
	// NoGossip turns the passing on of fresh news off, so that only the
	// comparisons spread it; it is there for tests.
	NoGossip bool
}

// State is what this node has observed of a VM.
type State uint8

// The states.
const (
	// StateUp is the state of a VM that answers, or that was not yet tried.
	StateUp State = iota
	// StateSilent is the state of a VM that hasn't answered for a while.
	StateSilent
	// StateDead is the state of a VM whose address refuses connections.
	StateDead
)

// String returns the state's name in dumps.
func (s State) String() string {
	switch s {
	case StateUp:
		return "up"
	case StateSilent:
		return "silent"
	case StateDead:
		return "dead"
	}
	return fmt.Sprintf("state(%d)", uint8(s))
}

// Member is one VM with what this node has observed of it.
type Member struct {
	VM    dfpvm.VM `json:"vm"`
	State State    `json:"state"`
	// LeaseExpired says that the VM's lease in the platform has lapsed.
	LeaseExpired bool `json:"lapsed"`
}

// Send is a message for a peer.
type Send struct {
	To      string
	Message Message
}

// Effects is what the caller has to do after a call.
type Effects struct {
	Sends []Send
	// Probes are addresses to open a connection to; the result goes to RecordContact or RecordFailure.
	Probes []string
	// Announce says that this VM's entry in the platform must be written anew.
	Announce bool
	// Changed says that VMs returns something else than before.
	Changed bool
}

func (e *Effects) add(more Effects) {
	e.Sends = append(e.Sends, more.Sends...)
	e.Probes = append(e.Probes, more.Probes...)
	e.Announce = e.Announce || more.Announce
	e.Changed = e.Changed || more.Changed
}

// Message is one frame between two nodes. Every part is optional.
type Message struct {
	// Root is the sender's hash over all VMs; HasRoot says that it is set.
	Root    uint64 `cbor:"root,omitempty"`
	HasRoot bool   `cbor:"has_root,omitempty"`
	// Zones are the sender's hashes of each zone, sent where the roots differ.
	Zones []ZoneHash `cbor:"zones,omitempty"`
	// Buckets are the sender's hashes within zones that differ.
	Buckets []BucketHashes `cbor:"buckets,omitempty"`
	// Wants asks for the VMs of these buckets.
	Wants []BucketMask `cbor:"wants,omitempty"`
	// Updates are versions of VMs.
	Updates []dfpvm.VM `cbor:"news,omitempty"`
	// More says that there was more news than fitted.
	More bool `cbor:"more,omitempty"`
	// Dead are addresses that the sender found to refuse connections.
	Dead []string `cbor:"dead,omitempty"`
}

// ZoneHash is the hash of one zone's VMs.
type ZoneHash struct {
	Zone string `cbor:"zone"`
	Hash uint64 `cbor:"hash"`
}

// BucketHashes are the hashes of the buckets of one zone.
type BucketHashes struct {
	Zone   string   `cbor:"zone"`
	Hashes []uint64 `cbor:"hashes"`
}

// BucketMask names buckets of one zone by the bits that are set.
type BucketMask struct {
	Zone string `cbor:"zone"`
	Mask uint64 `cbor:"mask"`
}

// later reports whether version a replaces version b of the same address.
func later(a, b dfpvm.VM) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.Incarnation > b.Incarnation
}
