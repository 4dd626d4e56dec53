package dfponce_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
)

// table returns a table of one slot.
func table(version, epoch uint64, members ...dfponce.SlotMember) dfponce.SlotTable {
	return dfponce.SlotTable{Zone: "z", Version: version, Slots: []dfponce.Slot{{Epoch: epoch, ResetEpoch: 1, Members: members}}}
}

// exchange delivers the messages to the given processes only, and what
// follows, until there are none; the rest is returned.
func (w *world) exchange(between ...*process) []letter {
	var rest []letter
	for len(w.mail) > 0 {
		m := w.mail[0]
		w.mail = w.mail[1:]
		taken := false
		for _, p := range between {
			if p.member.Address == m.to {
				w.apply(p, p.claims.Handle(w.now, m.from, m.message))
				taken = true
			}
		}
		if !taken {
			rest = append(rest, m)
		}
	}
	return rest
}

// Found by the random worlds: a new member granted a vote before it had copied,
// the copy showed that the key had run, and the entry went on counting the vote once
// the member was synced.
func TestVoteFromBeforeCopying(t *testing.T) {
	for _, tc := range []struct {
		name   string
		config dfponce.Config
		runs   int
	}{
		{"mechanism on", untimed, 1},
		{"mechanism off", untimed.Faults("count_unsynced"), 2},
	} {
		w := newWorld(rand.New(rand.NewPCG(2, 2)).IntN, tc.config, false)
		a, b, x, y := w.process("a", "z"), w.process("b", "z"), w.process("x", "z"), w.process("y", "z")
		w.procs = []*process{a, b, x, y}
		set := func(homes dfponce.SlotTable, to ...*process) {
			for _, p := range to {
				w.apply(p, p.claims.SetSlotTable(w.now, homes))
			}
		}
		start := func(p *process, counter uint64) {
			w.attempts = counter
			w.apply(p, p.claims.Begin(w.now, dfponce.ClaimRequest{
				Key: "z.1", Zone: "z", Attempt: dfpcall.RequestID{Incarnation: p.member.Incarnation, Counter: counter},
			}), "z.1")
		}
		synced := func(p *process) dfponce.SlotMember { return dfponce.SlotMember{Member: p.member, Synced: true} }

		set(table(1, 1, synced(a), synced(b), synced(x)), a, b, x)
		start(b, 101) // Granted by b and x; a never hears of it.
		w.exchange(b, x)
		assert.Equal(t, w.runs, 1)

		set(table(2, 2, synced(a), synced(b), dfponce.SlotMember{Member: y.member}), a, b, y)
		copies := w.mail
		w.mail = nil
		start(a, 102)
		late := w.exchange(a, y) // Granted by a and by y, which has not copied.
		assert.Equal(t, w.runs, 1)
		w.mail = copies
		w.exchange(a, b, y)
		set(table(3, 2, synced(a), synced(b), synced(y)), y, a)
		w.mail = append(w.mail, letter{"y", "a", &dfponce.Vote{
			ID: dfponce.NewClaimID("", "z.1"), Epoch: 2, Unsynced: true, Result: dfponce.Granted,
			Attempt: dfpcall.RequestID{Incarnation: a.member.Incarnation, Counter: 102},
		}})
		w.exchange(a, y)
		assert.Equal(t, w.runs, tc.runs, tc.name)
		assert.Assert(t, len(late) > 0)
	}
}
