// Package dfproster keeps one node's list of VMs: which VMs are in its
// availability zone and in the fleet, which are draining, and which can't be reached.
//
// Each node announces its VM by an entry in the platform's key-value store, bound to a lease, and nodes
// send each other updates. An update is a version of a VM. Versions of one address are ordered by
// sequence and then incarnation, and a node replaces a version only by a later one, so the path and the
// order in which updates arrive don't matter. Only the VM itself makes new versions. If a process receives
// a later version of its own address that it did not make, it makes one that is later still.
//
// Gossip spreads fresh updates: a node sends them to a few peers for a few ticks. In addition, every node
// compares a hash of its list with a peer about once a second. If the hashes differ, the two nodes
// compare hashes of zones, then of buckets within zones, and exchange only the buckets that differ.
// So control traffic grows with the number of changes, not with the size of the fleet.
//
// Whether a VM can be reached is each node's own observation and never part of a version. A refused
// connection indicates that the process has ended: the node tells its peers, which probe the VM
// themselves, and a VM that is told that it is dead makes a later version. A VM that doesn't answer may be
// on the other side of a partition, so it is left out of VMs but kept in the list. A lease that has expired
// causes a probe and does not by itself change a VM's state.
//
// A VM that left or died stays in the list for a day as a tombstone, so that old updates don't bring it back.
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

// KeyPrefix is the prefix of the keys of the VMs' entries in the platform.
const KeyPrefix = "dragonflyport/vm/"

// Key returns the key of a VM's entry in the platform.
func Key(vm dfpvm.VM) string { return KeyPrefix + vm.Zone + "/" + vm.Address }

const (
	// TickInterval is the interval between calls of Tick that the other constants assume.
	TickInterval = 100 * time.Millisecond
	// LeaseTTL is the time to live that a VM's lease in the platform should have.
	LeaseTTL = 60 * time.Second
	// WatchersPerZone is how many nodes of a zone watch the platform.
	WatchersPerZone = 3

	compareInterval      = time.Second
	gossipFanout         = 3 // Peers per tick.
	gossipTicks          = 4 // Ticks for which a node gossips an update.
	maxGossipPerMessage  = 32
	maxUpdatesPerMessage = 512
	bucketsPerZone       = 16
	maxProbesPerCompare  = 8

	// A VM is silent after at least minFailures failures over silentAfter, and dead after at least minFailures
	// refused connections if its failures began deadAfter ago. With an expired lease, it is dead
	// once its failures of any kind began expiredLeaseDeadAfter ago.
	silentAfter           = 3 * time.Second
	deadAfter             = time.Second
	minFailures           = 2
	expiredLeaseDeadAfter = 24 * time.Hour

	tombstoneTTL        = 24 * time.Hour
	maxRecords          = 16384
	seedInterval        = 10 * time.Second
	compareAnyZoneEvery = 4 // Every fourth comparison also goes to a peer of any zone.
	refuteInterval      = 2 * time.Second
)

// Source is where updates come from.
type Source uint8

// The sources.
const (
	SourcePlatform Source = iota
	SourcePeer
)

// Config configures a Roster.
type Config struct {
	// Self is this VM. Its Sequence should begin at the start time of the process, in
	// milliseconds since 1970, so that it is above those of the process before it.
	Self dfpvm.VM
	// Seeds are addresses of nodes to contact while no peer is known, and from time to time.
	Seeds []string
	// Watchers is how many nodes of a zone watch the platform; 0 takes WatchersPerZone.
	Watchers int
	// AcceptStaleUpdates disables the order of versions. It exists for tests that
	// show that the order is needed.
	AcceptStaleUpdates bool
	// NoGossip disables gossip, so that updates spread by comparisons
	// alone. It exists for tests.
	NoGossip bool
}

// State is whether this node can reach a VM.
type State uint8

// The states.
const (
	// StateUp is the state of a VM that answers, or that has not been contacted yet.
	StateUp State = iota
	// StateSilent is the state of a VM that hasn't answered for a while.
	StateSilent
	// StateDead is the state of a VM whose address refuses connections.
	StateDead
)

// String returns the state's name in dumps and logs.
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

// Member is one VM with this node's observations of it.
type Member struct {
	VM    dfpvm.VM `json:"vm"`
	State State    `json:"state"`
	// LeaseExpired reports that the VM's lease in the platform has expired.
	LeaseExpired bool `json:"lapsed"`
}

// Send is a message for a peer.
type Send struct {
	To      string
	Message Message
}

// Effects is what the caller has to do after a method returns.
type Effects struct {
	Sends []Send
	// Probes are addresses to contact; the caller passes each result to RecordContact or RecordFailure.
	Probes []string
	// Announce says that this VM's entry in the platform must be written again.
	Announce bool
	// Changed says that the result of VMs has changed.
	Changed bool
}

func (e *Effects) add(more Effects) {
	e.Sends = append(e.Sends, more.Sends...)
	e.Probes = append(e.Probes, more.Probes...)
	e.Announce = e.Announce || more.Announce
	e.Changed = e.Changed || more.Changed
}

// Message is one message between two nodes. Every part is optional.
type Message struct {
	// Root is the sender's hash of all VMs; HasRoot says that it is set.
	Root    uint64 `cbor:"root,omitempty"`
	HasRoot bool   `cbor:"has_root,omitempty"`
	// Zones are the sender's hashes of each zone, sent if the roots differ.
	Zones []ZoneHash `cbor:"zones,omitempty"`
	// Buckets are the sender's hashes of the buckets of zones that differ.
	Buckets []BucketHashes `cbor:"buckets,omitempty"`
	// Wants are the buckets whose VMs the sender asks for.
	Wants []BucketMask `cbor:"wants,omitempty"`
	// Updates are versions of VMs.
	Updates []dfpvm.VM `cbor:"news,omitempty"`
	// More says that the message is full and that updates were left out.
	More bool `cbor:"more,omitempty"`
	// Dead are the addresses that refuse the sender's connections.
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

// BucketMask is a set of buckets of one zone: bit i stands for bucket i.
type BucketMask struct {
	Zone string `cbor:"zone"`
	Mask uint64 `cbor:"mask"`
}

// later reports whether version a is later than version b of the same address.
func later(a, b dfpvm.VM) bool {
	if a.Sequence != b.Sequence {
		return a.Sequence > b.Sequence
	}
	return a.Incarnation > b.Incarnation
}
