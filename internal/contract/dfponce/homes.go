package dfponce

import "slices"

// DefaultSlots is the number of slots into which a zone's claims are divided.
const DefaultSlots = 64

// Members is the number of processes that keep a slot, where the zone has as many.
const MembersPerSlot = 3

// Member is one process that keeps claims.
type Member struct {
	Address     string `cbor:"address" json:"address"`
	Incarnation uint64 `cbor:"incarnation" json:"incarnation"`
}

// SlotMember is a member of a slot. It is synced once it has copied what the
// synced members had recorded when the epoch began.
type SlotMember struct {
	Member Member `cbor:"member" json:"member"`
	Synced bool   `cbor:"synced" json:"synced"`
}

// Slot says which processes keep the claims of a slot.
//
// An attempt is granted by a quorum of one epoch: a majority of the members
// that includes all the synced ones if there is one that isn't. A member refuses
// what another epoch asks. Two quorums share a member, and a majority of an epoch
// moves on before a new member counts, so that no process that was replaced, however
// long it lives on somewhere, can make up a quorum. At most one member of a slot is
// not synced.
type Slot struct {
	// Epoch grows with each change of the members.
	Epoch   uint64       `cbor:"epoch" json:"epoch"`
	Members []SlotMember `cbor:"members" json:"members"`
	// Start is the epoch in which the slot began with no claims.
	ResetEpoch uint64 `cbor:"start" json:"start"`
	// Since is when claims were lost before Start, in milliseconds since 1970; 0
	// if there were none. Keys made before can't be judged.
	LostAt int64 `cbor:"since" json:"since"`
}

func (s Slot) equal(t Slot) bool {
	return s.Epoch == t.Epoch && s.ResetEpoch == t.ResetEpoch && s.LostAt == t.LostAt && slices.Equal(s.Members, t.Members)
}

// Changed reports whether the table's next line differs from this one.
func (s Slot) Changed(next Slot) bool { return !s.equal(next) }

// Copying reports whether a process is a member of the slot while a new one copies.
func (s Slot) Copying(m Member) bool { return !s.synced() && s.index(m) >= 0 }

// newer reports whether s is a later line than t.
func (s Slot) newer(t Slot) bool {
	return s.Epoch > t.Epoch || s.Epoch == t.Epoch && s.synced() && !t.synced()
}

// synced reports whether all members are.
func (s Slot) synced() bool { return s.unsynced() < 0 }

// unsynced is the index of the member that isn't synced, -1 if all are.
func (s Slot) unsynced() int {
	return slices.IndexFunc(s.Members, func(m SlotMember) bool { return !m.Synced })
}

// index is the place of a process among the members, -1 if it is none.
func (s Slot) index(m Member) int {
	return slices.IndexFunc(s.Members, func(sm SlotMember) bool { return sm.Member == m })
}

// byAddress is the place of an address among the members, -1 if it is none.
func (s Slot) byAddress(address string) int {
	return slices.IndexFunc(s.Members, func(sm SlotMember) bool { return sm.Member.Address == address })
}

func (s Slot) majority() int { return len(s.Members)/2 + 1 }

// quorum reports whether the members in the set, a bit for each, make up a quorum.
func (s Slot) quorum(set uint8) bool {
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

// SlotTable is the table of a zone's slots: one value in the platform, changed by
// compare-and-swap on Version.
type SlotTable struct {
	Zone    string `cbor:"zone" json:"zone"`
	Version uint64 `cbor:"version" json:"version"`
	Slots   []Slot `cbor:"slots" json:"slots"`
}
