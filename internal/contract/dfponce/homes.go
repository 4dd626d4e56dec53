package dfponce

import "slices"

// DefaultSlots is the number of slots into which the claims of a zone are divided.
const DefaultSlots = 64

// MembersPerSlot is the number of members of each slot, if the zone has as many nodes.
const MembersPerSlot = 3

// Member is one incarnation of a process that keeps claims.
type Member struct {
	Address     string `cbor:"address" json:"address"`
	Incarnation uint64 `cbor:"incarnation" json:"incarnation"`
}

// SlotMember is a member of a slot. A synced member has copied all claims that the synced members
// had recorded when the epoch began.
type SlotMember struct {
	Member Member `cbor:"member" json:"member"`
	Synced bool   `cbor:"synced" json:"synced"`
}

// Slot is one row of a slot table: the members that keep the claims of the slot.
//
// An attempt is granted by a quorum of one epoch: a majority of the members that includes all synced
// members if any member is not synced. A member refuses vote requests of other epochs. Any two
// quorums of an epoch share a member, and a majority of an epoch moves on to the next one before a
// new member counts as synced. Therefore a process that was replaced can't be part of a quorum any
// more, however long it keeps running. At most one member of a slot is not synced.
type Slot struct {
	// Epoch grows with each change of the members.
	Epoch   uint64       `cbor:"epoch" json:"epoch"`
	Members []SlotMember `cbor:"members" json:"members"`
	// ResetEpoch is the latest epoch in which the slot began with no claims.
	ResetEpoch uint64 `cbor:"start" json:"start"`
	// LostAt is when the claims of the epochs before ResetEpoch were lost, in milliseconds since
	// 1970, or 0 if there were none. Whether a key from before that time has run is unknown.
	LostAt int64 `cbor:"since" json:"since"`
}

func (s Slot) equal(t Slot) bool {
	return s.Epoch == t.Epoch && s.ResetEpoch == t.ResetEpoch && s.LostAt == t.LostAt && slices.Equal(s.Members, t.Members)
}

// Changed reports whether next, the row of the same slot in the following table, differs from s.
func (s Slot) Changed(next Slot) bool { return !s.equal(next) }

// Copying reports whether m is a member of the slot while a new member copies the claims.
func (s Slot) Copying(m Member) bool { return !s.synced() && s.index(m) >= 0 }

// newer reports whether s is a later version of the row than t.
func (s Slot) newer(t Slot) bool {
	return s.Epoch > t.Epoch || s.Epoch == t.Epoch && s.synced() && !t.synced()
}

// synced reports whether all members are synced.
func (s Slot) synced() bool { return s.unsyncedIndex() < 0 }

// unsyncedIndex returns the index of the member that is not synced, or -1 if all are.
func (s Slot) unsyncedIndex() int {
	return slices.IndexFunc(s.Members, func(m SlotMember) bool { return !m.Synced })
}

// index returns the index of m among the members, or -1 if it is not a member.
func (s Slot) index(m Member) int {
	return slices.IndexFunc(s.Members, func(sm SlotMember) bool { return sm.Member == m })
}

// indexByAddress returns the index of the member with the given address, or -1 if there is none.
func (s Slot) indexByAddress(address string) int {
	return slices.IndexFunc(s.Members, func(sm SlotMember) bool { return sm.Member.Address == address })
}

func (s Slot) majority() int { return len(s.Members)/2 + 1 }

// isQuorum reports whether the members in set make up a quorum. Bit i of set stands for Members[i].
func (s Slot) isQuorum(set uint8) bool {
	n := 0
	for i, m := range s.Members {
		if set&(1<<i) != 0 {
			n++
		} else if m.Synced && !s.synced() {
			return false
		}
	}
	return n > 0 && n >= s.majority()
}

// SlotTable is the table of a zone's slots. It is one value in the platform's store and is changed
// by compare-and-swap; Version grows with each change.
type SlotTable struct {
	Zone    string `cbor:"zone" json:"zone"`
	Version uint64 `cbor:"version" json:"version"`
	Slots   []Slot `cbor:"slots" json:"slots"`
}
