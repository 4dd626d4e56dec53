package dfpshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/vm/dfpvm"
)

// TestAcknowledgementEndsWithState guards against counting an acknowledgement for a later state: a member
// that was evicted twice counted as acknowledged from the first time. TestConservation found this fault.
func TestAcknowledgementEndsWithState(t *testing.T) {
	now := time.Unix(0, 0)
	lim := New(Config{Self: dfpvm.VM{Address: "a", Zone: "ost-1", Incarnation: 1}}, now)
	other := Owner{Address: "b", Incarnation: 2}
	table := func(version, since uint64) Table {
		return Table{
			Zone: "ost-1", Version: version, Slots: make([]Slot, 2),
			Members: []Member{{Owner: lim.self()}, {Owner: other, State: Evicted, Since: since}},
		}
	}
	lim.SetTable(now, now, table(5, 5), 1)
	lim.noteAcks(now)
	assert.Assert(t, !lim.peer(other).ackedAt.IsZero())
	lim.SetTable(now, now, table(6, 5), 2)
	assert.Assert(t, !lim.peer(other).ackedAt.IsZero())
	lim.SetTable(now, now, table(9, 9), 3)
	assert.Assert(t, lim.peer(other).ackedAt.IsZero())
}

func TestQuorum(t *testing.T) {
	for _, tc := range []struct {
		name           string
		members        string // e established, j joining, c evicted; the first is this node
		heard          int    // number of other members heard from, in order
		quorum, blocks bool
	}{
		{"sole", "e", 0, true, true},
		{"one of two", "ee", 0, false, true},
		{"both of two", "ee", 1, true, true},
		{"one of three", "eee", 0, false, false},
		{"two of three", "eee", 1, true, true},
		{"two of four", "eeee", 1, false, true},
		{"evicted members count but have no vote", "ecc", 2, false, false},
		{"a joining member counts", "ej", 0, false, true},
		{"a joining member heard from", "ej", 1, true, true},
	} {
		lim := New(Config{Self: dfpvm.VM{Address: "0", Incarnation: 0}}, time.Unix(0, 0))
		heard := make(map[Owner]bool)
		for i, c := range tc.members {
			o := Owner{Address: string(rune('0' + i)), Incarnation: uint64(i)}
			state := map[rune]MemberState{'e': Established, 'j': Joining, 'c': Evicted}[c]
			lim.table.Members = append(lim.table.Members, Member{Owner: o, State: state})
			heard[o] = i <= tc.heard
		}
		has := func(o Owner) bool { return heard[o] }
		assert.Equal(t, lim.quorum(has), tc.quorum, tc.name)
		assert.Equal(t, lim.blocksQuorum(has), tc.blocks, tc.name)
	}
}
