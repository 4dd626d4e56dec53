package dfproster

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"dragonflyport/internal/vm/dfpvm"
)

// zone holds the addresses and hashes of one zone. A hash is the XOR of the hashes of versions. Tombstones
// are left out, since nodes delete them at different times; silent VMs count, since nodes
// observe silence differently.
type zone struct {
	addresses []string
	hash      uint64
	buckets   [bucketsPerZone]uint64
}

func hashAddress(address string) uint64 { return xxhash.Sum64String(address) }

func bucketOf(address string) int { return int(hashAddress(address) % bucketsPerZone) }

func hashVersion(vm dfpvm.VM) uint64 {
	b := make([]byte, 0, len(vm.Address)+16)
	b = append(b, vm.Address...)
	b = binary.LittleEndian.AppendUint64(b, vm.Sequence)
	b = binary.LittleEndian.AppendUint64(b, vm.Incarnation)
	return xxhash.Sum64(b)
}

// insert adds a VM whose address isn't known yet.
func (r *Roster) insert(vm dfpvm.VM) {
	rec := &record{vm: vm}
	r.records[vm.Address] = rec
	r.addresses = insertSorted(r.addresses, vm.Address)
	r.addToZone(vm)
	r.addToHashes(rec)
	r.vmsStale = true
}

// remove deletes the record of an address. It panics if there is none or if it is this VM's.
func (r *Roster) remove(address string) {
	rec := r.records[address]
	if rec == nil || address == r.self.Address {
		panic("dfproster: address to remove is unknown or this VM's own: " + address)
	}
	r.removeFromHashes(rec)
	r.removeFromZone(rec.vm)
	delete(r.records, address)
	r.addresses = removeSorted(r.addresses, address)
	r.vmsStale = true
}

func (r *Roster) addToZone(vm dfpvm.VM) {
	z := r.zones[vm.Zone]
	if z == nil {
		z = &zone{}
		r.zones[vm.Zone] = z
		r.zoneNames = insertSorted(r.zoneNames, vm.Zone)
	}
	z.addresses = insertSorted(z.addresses, vm.Address)
}

func (r *Roster) removeFromZone(vm dfpvm.VM) {
	z := r.zones[vm.Zone]
	z.addresses = removeSorted(z.addresses, vm.Address)
	if len(z.addresses) == 0 {
		delete(r.zones, vm.Zone)
		r.zoneNames = removeSorted(r.zoneNames, vm.Zone)
	}
}

// inHashes reports whether the hashes cover a record.
func inHashes(rec *record) bool { return !rec.vm.Left && rec.state != StateDead }

func (r *Roster) addToHashes(rec *record) {
	if inHashes(rec) {
		r.toggle(rec.vm)
	}
}

// removeFromHashes undoes addToHashes, which is its own inverse.
func (r *Roster) removeFromHashes(rec *record) { r.addToHashes(rec) }

// toggle adds a version to the hashes, or removes it if it is in them.
func (r *Roster) toggle(vm dfpvm.VM) {
	h := hashVersion(vm)
	z := r.zones[vm.Zone]
	z.hash ^= h
	z.buckets[bucketOf(vm.Address)] ^= h
	r.root ^= h
}

// setState changes a record's state and updates the hashes.
func (r *Roster) setState(rec *record, state State) {
	if rec.state == state {
		return
	}
	r.removeFromHashes(rec)
	rec.state = state
	r.addToHashes(rec)
	r.vmsStale = true
}
