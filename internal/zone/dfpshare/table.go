package dfpshare

import (
	"fmt"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// firstVersion is the version of a zone's first table.
const firstVersion = 1

// Owner names one process: an address and the incarnation that answered there.
type Owner struct {
	Address     string `cbor:"address" json:"address"`
	Incarnation uint64 `cbor:"incarnation" json:"incarnation"`
}

// MemberState is how far a member of a zone's table has come.
type MemberState uint8

// The states of a member. A condemned member may own slots but not use them.
const (
	Established MemberState = iota
	Joining
	Evicted
)

// Member is one process that may own slots of its zone.
type Member struct {
	Owner Owner       `cbor:"owner" json:"owner"`
	State MemberState `cbor:"state,omitempty" json:"state"`
	// Since is the version at which the member came to this state.
	Since uint64 `cbor:"since" json:"since"`
}

// Table says who owns the slots of one zone. It is one value in the platform,
// changed by compare-and-swap only.
type Table struct {
	Zone string `cbor:"zone" json:"zone"`
	// Version grows by one with each change.
	Version uint64   `cbor:"version" json:"version"`
	Members []Member `cbor:"members" json:"members"`
	Slots   []Slot   `cbor:"slots" json:"slots"`
	// Fraction is the zone's part of every rate, at most. It is raised only when all
	// zones have confirmed the rules that raise it, so that parts never add up to more
	// than the whole while versions overlap.
	Fraction float64 `cbor:"fraction" json:"fraction"`
	// RulesVersion is the version of the rules that Fraction was last weighed under. A node
	// with older rules uses no slot: it may not know of a smaller part.
	RulesVersion uint64 `cbor:"rules" json:"rules"`
}

// Slot is one slot of a zone: a class of organisations, by hash.
type Slot struct {
	// Member is the index of the owner in Members.
	Member int `cbor:"member" json:"member"`
	// Since is the version at which the owner got the slot.
	Since uint64 `cbor:"since" json:"since"`
}

// TableProposal asks the node to replace the zone's table in the platform if it
// still has Revision; 0 means that there is none.
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

// UnmarshalTable decodes a table; the error wraps ErrInvalidTable if it isn't a sound one.
func UnmarshalTable(b []byte) (Table, error) {
	var t Table
	if err := cbor.Unmarshal(b, &t); err != nil {
		return Table{}, fmt.Errorf("%w: %v", ErrInvalidTable, err)
	}
	for i, slot := range t.Slots {
		if slot.Member < 0 || slot.Member >= len(t.Members) {
			return Table{}, fmt.Errorf("%w: slot %d belongs to member %d of %d", ErrInvalidTable, i, slot.Member, len(t.Members))
		}
	}
	if len(t.Slots)%partsPerZone != 0 {
		return Table{}, fmt.Errorf("%w: %d slots can't be paired", ErrInvalidTable, len(t.Slots))
	}
	return t, nil
}

// clone returns a copy with the next version, to be changed and proposed.
func (t Table) clone() Table {
	t.Version++
	t.Members = slices.Clone(t.Members)
	t.Slots = slices.Clone(t.Slots)
	return t
}

// member returns the index of an owner in Members, or -1.
func (t Table) member(o Owner) int {
	return slices.IndexFunc(t.Members, func(m Member) bool { return m.Owner == o })
}

// slotOwner returns who owns a slot; ok is false if nobody does.
func (t Table) slotOwner(slot int) (Owner, bool) {
	if slot >= len(t.Slots) {
		return Owner{}, false
	}
	return t.Members[t.Slots[slot].Member].Owner, true
}

// slotOf returns the slot of one part of what has this hash. Slots 2i and 2i+1 hold
// the two parts of the same organisations; they should have two owners.
func (t Table) slotOf(hash uint64, part int) int {
	return int(hash%uint64(len(t.Slots)/partsPerZone))*partsPerZone + part
}

// partner returns the slot with the other part.
func partner(slot int) int { return slot ^ 1 }

// give hands a slot to a member in this version.
func (t Table) give(slot, member int) {
	t.Slots[slot] = Slot{Member: member, Since: t.Version}
}

// setState brings a member to another state in this version.
func (t Table) setState(member int, state MemberState) {
	if t.Members[member].State != state {
		t.Members[member].State, t.Members[member].Since = state, t.Version
	}
}

// count returns how many slots a member owns.
func (t Table) count(member int) int {
	n := 0
	for _, slot := range t.Slots {
		if slot.Member == member {
			n++
		}
	}
	return n
}

// remove drops a member that owns no slot.
func (t *Table) remove(member int) {
	t.Members = slices.Delete(t.Members, member, member+1)
	for i := range t.Slots {
		if t.Slots[i].Member > member {
			t.Slots[i].Member--
		}
	}
}
