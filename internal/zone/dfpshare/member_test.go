package dfpshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/vm/dfpvm"
)

// TestAcknowledgementEndsWithState: found by TestConservation; a member that was
// condemned twice counted as acknowledged from the first time.
func TestAcknowledgementEndsWithState(t *testing.T) {
	now := time.Unix(0, 0)
	s := New(Config{Self: dfpvm.VM{Address: "a", Zone: "ost-1", Incarnation: 1}}, now)
	other := Owner{Address: "b", Incarnation: 2}
	table := func(version, since uint64) Table {
		return Table{
			Zone: "ost-1", Version: version, Slots: make([]Slot, 2),
			Members: []Member{{Owner: s.self()}, {Owner: other, State: Evicted, Since: since}},
		}
	}
	s.SetTable(now, now, table(5, 5), 1)
	s.noteAcks(now)
	assert.Assert(t, !s.peer(other).ackedAt.IsZero())
	s.SetTable(now, now, table(6, 5), 2)
	assert.Assert(t, !s.peer(other).ackedAt.IsZero())
	s.SetTable(now, now, table(9, 9), 3)
	assert.Assert(t, s.peer(other).ackedAt.IsZero())
}

func TestQuorum(t *testing.T) {
	for _, tc := range []struct {
		name           string
		members        string // e established, j joining, c condemned; the first is this node
		heard          int    // of the others, the first so many
		quorum, blocks bool
	}{
		{"sole", "e", 0, true, true},
		{"one of two", "ee", 0, false, true},
		{"both of two", "ee", 1, true, true},
		{"one of three", "eee", 0, false, false},
		{"two of three", "eee", 1, true, true},
		{"two of four", "eeee", 1, false, true},
		{"a condemned one counts but has no vote", "ecc", 2, false, false},
		{"a joining one is counted too", "ej", 0, false, true},
		{"a joining one heard", "ej", 1, true, true},
	} {
		s := New(Config{Self: dfpvm.VM{Address: "0", Incarnation: 0}}, time.Unix(0, 0))
		heard := make(map[Owner]bool)
		for i, c := range tc.members {
			o := Owner{Address: string(rune('0' + i)), Incarnation: uint64(i)}
			state := map[rune]MemberState{'e': Established, 'j': Joining, 'c': Evicted}[c]
			s.table.Members = append(s.table.Members, Member{Owner: o, State: state})
			heard[o] = i <= tc.heard
		}
		does := func(o Owner) bool { return heard[o] }
		assert.Equal(t, s.quorum(does), tc.quorum, tc.name)
		assert.Equal(t, s.blocks(does), tc.blocks, tc.name)
	}
}
