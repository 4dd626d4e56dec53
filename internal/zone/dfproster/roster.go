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
	root      uint64

	// troubled are the addresses that failed lately or are silent, sorted; those
	// that recovered are dropped at the next comparison.
	troubled []string

	rumours     []rumour
	nextCompare time.Time
	nextSeed    time.Time
	nextExpiry  time.Time
	nextRefute  time.Time
	compares    uint64

	members []dfpvm.VM
	stale   bool

	// listed says that the platform's whole list has come in, and metAt when another VM was first known.
	listed bool
	metAt  time.Time
}

// record is what is known of one address.
type record struct {
	vm     dfpvm.VM
	state  State
	lapsed bool
	// failures counts those since the VM was last heard, from firstFailure on.
	failures     int
	refusals     int
	firstFailure time.Time
	// since is when the VM left or was found dead.
	since time.Time
}

// listed reports whether the record stands in VMs.
func (r *record) listed() bool { return r.state == StateUp && !r.vm.Left }

// rumour is an address whose version is to be passed on.
type rumour struct {
	address string
	ticks   int
	dead    bool
}

// New returns a roster that knows only its own VM. It panics if Self has no
// address or zone.
func New(cfg Config) *Roster {
	if cfg.Self.Address == "" || cfg.Self.Zone == "" {
		panic("dfproster: Self needs an address and a zone")
	}
	if cfg.Watchers == 0 {
		cfg.Watchers = WatchersPerZone
	}
	r := &Roster{cfg: cfg, self: cfg.Self, records: make(map[string]*record), zones: make(map[string]*zone), stale: true}
	r.insert(cfg.Self)
	r.spread(cfg.Self.Address, false)
	return r
}

// Self returns this VM as it announces itself.
func (r *Roster) Self() dfpvm.VM { return r.self }

// VMs returns the VMs that can be reached as far as is known, this one
// included, sorted by address. Draining ones are among them; those that left,
// are silent or dead are not. The slice must not be changed.
func (r *Roster) VMs() []dfpvm.VM {
	if r.stale {
		r.members = make([]dfpvm.VM, 0, len(r.addresses))
		for _, address := range r.addresses {
			if rec := r.records[address]; rec.listed() {
				r.members = append(r.members, rec.vm)
			}
		}
		r.stale = false
	}
	return r.members
}

// Members returns all that is known, for dumps, sorted by address.
func (r *Roster) Members() []Member {
	members := make([]Member, 0, len(r.addresses))
	for _, address := range r.addresses {
		rec := r.records[address]
		members = append(members, Member{VM: rec.vm, State: rec.state, LeaseExpired: rec.lapsed})
	}
	return members
}

// SetSelf changes what this VM announces of itself. Address, zone, incarnation
// and sequence are kept or set by the roster. Once it has left, a VM can't return.
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
	r.spread(vm.Address, false)
	return Effects{Announce: true, Changed: true}
}

// Merge takes in versions of VMs from the platform or a peer. Those
// that are not later than the known ones change nothing. A few are passed on as
// fresh news; of a long list the others are assumed to hear otherwise.
func (r *Roster) Merge(now time.Time, source Source, vms []dfpvm.VM) Effects {
	var effects Effects
	for _, vm := range vms {
		one := r.learnOne(now, source, vm)
		if one.Changed && vm.Address != r.self.Address && len(vms) <= rumoursPerMessage {
			r.spread(vm.Address, false)
		}
		effects.add(one)
	}
	return effects
}

func (r *Roster) learnOne(now time.Time, source Source, vm dfpvm.VM) Effects {
	if vm.Address == "" || vm.Zone == "" {
		return Effects{} // Not a VM: a peer of another version, or a damaged entry.
	}
	if vm.Address == r.self.Address {
		return r.learnOfSelf(now, vm)
	}
	rec := r.records[vm.Address]
	if rec == nil {
		if len(r.records) >= maxRecords {
			return Effects{}
		}
		r.insert(vm)
		if r.metAt.IsZero() {
			r.metAt = now
		}
		if vm.Left {
			r.records[vm.Address].since = now
		}
		return Effects{Changed: !vm.Left}
	}
	if source == SourcePlatform && vm == rec.vm {
		rec.lapsed = false
	}
	if !r.cfg.AcceptStaleUpdates && !replaces(vm, rec.vm) || vm == rec.vm {
		return Effects{}
	}
	r.replace(now, rec, vm)
	return Effects{Changed: true}
}

// replaces reports whether version a takes the place of version b: it is later,
// and not a return of a process that has left.
func replaces(a, b dfpvm.VM) bool {
	if a.Incarnation == b.Incarnation && b.Left && !a.Left {
		return false
	}
	return later(a, b)
}

// learnOfSelf answers news of this address by a version that follows it.
func (r *Roster) learnOfSelf(now time.Time, vm dfpvm.VM) Effects {
	if !later(vm, r.self) {
		return Effects{}
	}
	next := r.self
	next.Sequence = vm.Sequence + 1
	return r.replaceSelf(now, next)
}

// MergeList takes in the platform's whole list: the leases of the VMs that are
// not in it have lapsed.
func (r *Roster) MergeList(now time.Time, vms []dfpvm.VM) Effects {
	r.listed = true
	effects := r.Merge(now, SourcePlatform, vms)
	present := make(map[string]bool, len(vms))
	for _, vm := range vms {
		present[vm.Address] = true
	}
	for _, address := range r.addresses {
		if !present[address] {
			effects.add(r.LeaseExpired(now, address))
		}
	}
	return effects
}

// LeaseExpired says that the platform no longer holds a VM's entry. That alone is no
// verdict: the VM is probed. This VM's own entry is announced again.
func (r *Roster) LeaseExpired(_ time.Time, address string) Effects {
	if address == r.self.Address {
		return Effects{Announce: !r.self.Left}
	}
	rec := r.records[address]
	if rec == nil || rec.vm.Left || rec.lapsed || rec.state == StateDead {
		return Effects{}
	}
	rec.lapsed = true
	return Effects{Probes: []string{address}}
}

// replace sets a record's version and forgets what was observed of the one before.
func (r *Roster) replace(now time.Time, rec *record, vm dfpvm.VM) {
	if !replaces(vm, rec.vm) && !r.cfg.AcceptStaleUpdates {
		panic("dfproster: a version would be replaced by an earlier one: " + vm.Address)
	}
	r.unhash(rec)
	if vm.Zone != rec.vm.Zone {
		r.leaveZone(rec.vm)
		r.joinZone(vm)
	}
	if vm.Incarnation != rec.vm.Incarnation {
		*rec = record{}
	}
	rec.vm = vm
	if vm.Left {
		rec.since = now
	} else if rec.state == StateDead {
		// A new version of the same process: it is alive after all.
		*rec = record{vm: vm}
	}
	r.hash(rec)
	r.stale = true
}

// Watcher reports whether this node is among those of its zone that watch the
// platform for the others.
func (r *Roster) Watcher() bool {
	before := 0
	own := hashAddress(r.self.Address)
	for _, address := range r.zones[r.self.Zone].addresses {
		if r.records[address].listed() && hashAddress(address) < own {
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
