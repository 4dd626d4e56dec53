package dfproster

import (
	"slices"
	"time"

	"dragonflyport/internal/vm/dfpvm"
)

// Roster is one node's list of VMs. See the package comment.
type Roster struct {
	cfg  Config
	self dfpvm.VM

	records map[string]*record
	// addresses are the keys of records, sorted.
	addresses []string
	zones     map[string]*zone
	// zoneNames are the keys of zones, sorted.
	zoneNames []string
	// root is the hash of all VMs.
	root uint64

	// failing are the addresses that failed lately or are silent, sorted. Those
	// that recovered are dropped at the next comparison.
	failing []string

	gossip      []gossipItem
	nextCompare time.Time
	nextSeed    time.Time
	nextExpiry  time.Time
	nextRefute  time.Time
	comparisons uint64

	// vms is the result of VMs, to be computed again if vmsStale is set.
	vms      []dfpvm.VM
	vmsStale bool

	// hasPlatformList reports that the platform's whole list has arrived. firstPeerAt is when another VM was
	// first known.
	hasPlatformList bool
	firstPeerAt     time.Time
}

// record is what this node knows of one address.
type record struct {
	vm           dfpvm.VM
	state        State
	leaseExpired bool
	// failures counts failures since the last contact, the first of them at firstFailure. Refusals counts
	// the latest of them that were refused connections without a time-out in between.
	failures     int
	refusals     int
	firstFailure time.Time
	// goneAt is when the VM left or was found dead.
	goneAt time.Time
}

// reachable reports whether VMs includes the record.
func (r *record) reachable() bool { return r.state == StateUp && !r.vm.Left }

// gossipItem is an address to gossip: its version, or that it is dead.
type gossipItem struct {
	address string
	ticks   int // Ticks left.
	dead    bool
}

// New returns a roster that knows only its own VM. It panics if Self has no
// address or zone.
func New(cfg Config) *Roster {
	if cfg.Self.Address == "" || cfg.Self.Zone == "" {
		panic("dfproster: Config.Self needs an address and a zone")
	}
	if cfg.Watchers == 0 {
		cfg.Watchers = WatchersPerZone
	}
	r := &Roster{cfg: cfg, self: cfg.Self, records: make(map[string]*record), zones: make(map[string]*zone), vmsStale: true}
	r.insert(cfg.Self)
	r.enqueueGossip(cfg.Self.Address, false)
	return r
}

// Self returns the version of this VM that it announces.
func (r *Roster) Self() dfpvm.VM { return r.self }

// VMs returns the VMs that this node considers reachable, this one
// included, sorted by address. It includes draining VMs, but not those that left,
// are silent or are dead. The caller must not change the slice.
func (r *Roster) VMs() []dfpvm.VM {
	if r.vmsStale {
		r.vms = make([]dfpvm.VM, 0, len(r.addresses))
		for _, address := range r.addresses {
			if rec := r.records[address]; rec.reachable() {
				r.vms = append(r.vms, rec.vm)
			}
		}
		r.vmsStale = false
	}
	return r.vms
}

// Members returns all VMs in the list, tombstones included, sorted by address.
func (r *Roster) Members() []Member {
	members := make([]Member, 0, len(r.addresses))
	for _, address := range r.addresses {
		rec := r.records[address]
		members = append(members, Member{VM: rec.vm, State: rec.state, LeaseExpired: rec.leaseExpired})
	}
	return members
}

// SetSelf changes what this VM announces. It ignores the address, zone, region, incarnation
// and sequence of vm, which the roster keeps or sets itself. A VM that has left can't return.
func (r *Roster) SetSelf(now time.Time, vm dfpvm.VM) Effects {
	vm.Address, vm.Zone, vm.Region = r.self.Address, r.self.Zone, r.self.Region
	vm.Incarnation, vm.Sequence = r.self.Incarnation, r.self.Sequence
	vm.Left = vm.Left || r.self.Left
	if vm == r.self {
		return Effects{}
	}
	vm.Sequence++
	return r.replaceSelf(now, vm)
}

func (r *Roster) replaceSelf(now time.Time, vm dfpvm.VM) Effects {
	r.self = vm
	r.replace(now, r.records[vm.Address], vm)
	r.enqueueGossip(vm.Address, false)
	return Effects{Announce: true, Changed: true}
}

// Merge adds versions of VMs from the platform or a peer. Versions
// that are not later than the known ones change nothing. Changes are gossiped if there are at most
// maxGossipPerMessage versions; other nodes are assumed to get a longer list by another way.
func (r *Roster) Merge(now time.Time, source Source, vms []dfpvm.VM) Effects {
	var effects Effects
	for _, vm := range vms {
		one := r.mergeOne(now, source, vm)
		if one.Changed && vm.Address != r.self.Address && len(vms) <= maxGossipPerMessage {
			r.enqueueGossip(vm.Address, false)
		}
		effects.add(one)
	}
	return effects
}

func (r *Roster) mergeOne(now time.Time, source Source, vm dfpvm.VM) Effects {
	if vm.Address == "" || vm.Zone == "" {
		return Effects{} // Not a VM: from a peer with another protocol version, or a damaged entry.
	}
	if vm.Address == r.self.Address {
		return r.mergeSelf(now, vm)
	}
	rec := r.records[vm.Address]
	if rec == nil {
		if len(r.records) >= maxRecords {
			return Effects{}
		}
		r.insert(vm)
		if r.firstPeerAt.IsZero() {
			r.firstPeerAt = now
		}
		if vm.Left {
			r.records[vm.Address].goneAt = now
		}
		return Effects{Changed: !vm.Left}
	}
	if source == SourcePlatform && vm == rec.vm {
		rec.leaseExpired = false
	}
	if !r.cfg.AcceptStaleUpdates && !replaces(vm, rec.vm) || vm == rec.vm {
		return Effects{}
	}
	r.replace(now, rec, vm)
	return Effects{Changed: true}
}

// replaces reports whether version a replaces version b: a is later than b
// and does not return a process that has left.
func replaces(a, b dfpvm.VM) bool {
	if a.Incarnation == b.Incarnation && b.Left && !a.Left {
		return false
	}
	return later(a, b)
}

// mergeSelf processes a version received for this VM's own address. If that version is later than the
// current one, mergeSelf makes one that is later still.
func (r *Roster) mergeSelf(now time.Time, vm dfpvm.VM) Effects {
	if !later(vm, r.self) {
		return Effects{}
	}
	next := r.self
	next.Sequence = vm.Sequence + 1
	return r.replaceSelf(now, next)
}

// MergeList merges the platform's whole list: the leases of VMs that are
// not in it have expired. Without selfWritten, the list was read before this VM's entry was written.
func (r *Roster) MergeList(now time.Time, vms []dfpvm.VM, selfWritten bool) Effects {
	r.hasPlatformList = true
	effects := r.Merge(now, SourcePlatform, vms)
	present := make(map[string]bool, len(vms))
	for _, vm := range vms {
		present[vm.Address] = true
	}
	for _, address := range r.addresses {
		if !present[address] && (selfWritten || address != r.self.Address) {
			effects.add(r.LeaseExpired(now, address))
		}
	}
	return effects
}

// LeaseExpired records that the platform no longer holds a VM's entry. That alone does not change
// the VM's state: the VM is probed. This VM's own entry is announced again.
func (r *Roster) LeaseExpired(_ time.Time, address string) Effects {
	if address == r.self.Address {
		return Effects{Announce: !r.self.Left}
	}
	rec := r.records[address]
	if rec == nil || rec.vm.Left || rec.leaseExpired || rec.state == StateDead {
		return Effects{}
	}
	rec.leaseExpired = true
	return Effects{Probes: []string{address}}
}

// replace sets a record's version and resets the observations of an earlier incarnation. A new version of
// a dead VM resets them too.
func (r *Roster) replace(now time.Time, rec *record, vm dfpvm.VM) {
	if !replaces(vm, rec.vm) && !r.cfg.AcceptStaleUpdates {
		panic("dfproster: version would be replaced by an earlier one: " + vm.Address)
	}
	r.removeFromHashes(rec)
	if vm.Zone != rec.vm.Zone {
		r.removeFromZone(rec.vm)
		r.addToZone(vm)
	}
	if vm.Incarnation != rec.vm.Incarnation {
		*rec = record{}
	}
	rec.vm = vm
	if vm.Left {
		rec.goneAt = now
	} else if rec.state == StateDead {
		// A new version of the same process: the process is alive.
		*rec = record{vm: vm}
	}
	r.addToHashes(rec)
	r.vmsStale = true
}

// Watcher reports whether this node is among the nodes of its zone that watch the
// platform for the others.
func (r *Roster) Watcher() bool {
	before := 0
	own := hashAddress(r.self.Address)
	for _, address := range r.zones[r.self.Zone].addresses {
		if r.records[address].reachable() && hashAddress(address) < own {
			before++
		}
	}
	return before < r.cfg.Watchers
}

func insertSorted(list []string, s string) []string {
	i, found := slices.BinarySearch(list, s)
	if found {
		return list
	}
	return slices.Insert(list, i, s)
}

func removeSorted(list []string, s string) []string {
	i, found := slices.BinarySearch(list, s)
	if !found {
		return list
	}
	return slices.Delete(list, i, i+1)
}
