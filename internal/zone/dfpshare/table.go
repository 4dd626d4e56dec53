package dfpshare

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// firstVersion is the version of a zone's first table.
const firstVersion = 1

// Owner identifies a process by its address and its incarnation there.
type Owner struct {
	Address     string `cbor:"address" json:"address"`
	Incarnation uint64 `cbor:"incarnation" json:"incarnation"`
}

// MemberState is the state of a member of a zone's table.
type MemberState uint8

// The states of a member. An established member may use its slots, and has a vote. A joining member gets
// its vote when enough members know of it. An evicted member may still own slots but must not use them.
const (
	Established MemberState = iota
	Joining
	Evicted
)

// Member is a process that may own slots of its zone.
type Member struct {
	Owner Owner       `cbor:"owner" json:"owner"`
	State MemberState `cbor:"state,omitempty" json:"state"`
	// Since is the version at which the member entered its state.
	Since uint64 `cbor:"since" json:"since"`
}

// Table assigns the slots of one zone to owners. It is a single value in the platform, changed by
// compare-and-swap only.
type Table struct {
	Zone string `cbor:"zone" json:"zone"`
	// Version increases by one with each change.
	Version uint64   `cbor:"version" json:"version"`
	Members []Member `cbor:"members" json:"members"`
	Slots   []Slot   `cbor:"slots" json:"slots"`
	// Fraction is the maximum of the zone's fraction of every rate. It is raised only when all zones have
	// confirmed the rules that raise it, so that the zones' fractions never add up to more than 1 while
	// several versions are in use.
	Fraction float64 `cbor:"fraction" json:"fraction"`
	// RulesVersion is the version of the rules that Fraction was last compared with. A node with older
	// rules uses no slots, since it may not know of a smaller fraction.
	RulesVersion uint64 `cbor:"rules" json:"rules"`
}

// Slot is one slot of a zone. It stands for the organisations with certain hashes.
type Slot struct {
	// Member is the index of the owner in Members.
	Member int `cbor:"member" json:"member"`
	// Since is the version at which the owner got the slot.
	Since uint64 `cbor:"since" json:"since"`
}

// TableProposal asks the node to replace the zone's table in the platform if the stored revision still is
// Revision; 0 means that no table is stored.
type TableProposal struct {
	Table    Table
	Revision uint64
}

// Marshal encodes the table for the platform.
func (t Table) Marshal() ([]byte, error) {
	b, err := cbor.Marshal(t)
	if err != nil {
		return nil, fmt.Errorf("encode slot table: %w", err)
	}
	return b, nil
}

// UnmarshalTable decodes a table. The error wraps ErrInvalidTable if b is malformed or the table is
// inconsistent.
func UnmarshalTable(b []byte) (Table, error) {
	var t Table
	if err := cbor.Unmarshal(b, &t); err != nil {
		return Table{}, fmt.Errorf("%w: %v", ErrInvalidTable, err)
	}
	for i, slot := range t.Slots {
		if slot.Member < 0 || slot.Member >= len(t.Members) {
			return Table{}, fmt.Errorf("%w: slot %d has member index %d, but there are %d members", ErrInvalidTable, i, slot.Member, len(t.Members))
		}
	}
	if len(t.Slots)%partsPerZone != 0 {
		return Table{}, fmt.Errorf("%w: odd number of slots: %d", ErrInvalidTable, len(t.Slots))
	}
	return t, nil
}

// nextVersion returns a copy with the next version, to be changed and proposed.
func (t Table) nextVersion() Table {
	t.Version++
	t.Members = slices.Clone(t.Members)
	t.Slots = slices.Clone(t.Slots)
	return t
}

// member returns the index of an owner in Members, or -1.
func (t Table) member(o Owner) int {
	return slices.IndexFunc(t.Members, func(m Member) bool { return m.Owner == o })
}

// slotOwner returns the owner of a slot; ok is false if the table has no such slot.
func (t Table) slotOwner(slot int) (Owner, bool) {
	if slot >= len(t.Slots) {
		return Owner{}, false
	}
	return t.Members[t.Slots[slot].Member].Owner, true
}

// slotOf returns the slot of one part of the organisations with this hash. Slots 2i and 2i+1 are siblings:
// they hold the two parts of the same organisations and should have different owners.
func (t Table) slotOf(hash uint64, part int) int {
	return int(hash%uint64(len(t.Slots)/partsPerZone))*partsPerZone + part
}

// sibling returns the slot with the other part of the same organisations.
func sibling(slot int) int { return slot ^ 1 }

// assign assigns a slot to a member in this version.
func (t Table) assign(slot, member int) {
	t.Slots[slot] = Slot{Member: member, Since: t.Version}
}

// setState changes a member's state in this version.
func (t Table) setState(member int, state MemberState) {
	if t.Members[member].State != state {
		t.Members[member].State, t.Members[member].Since = state, t.Version
	}
}

// slotCount returns how many slots a member owns.
func (t Table) slotCount(member int) int {
	n := 0
	for _, slot := range t.Slots {
		if slot.Member == member {
			n++
		}
	}
	return n
}

// remove removes a member that owns no slot.
func (t *Table) remove(member int) {
	t.Members = slices.Delete(t.Members, member, member+1)
	for i := range t.Slots {
		if t.Slots[i].Member > member {
			t.Slots[i].Member--
		}
	}
}
