package dfponce_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfponce"
)

// oneSlotTable returns a table of one slot.
func oneSlotTable(version, epoch uint64, members ...dfponce.SlotMember) dfponce.SlotTable {
	return dfponce.SlotTable{Zone: "z", Version: version, Slots: []dfponce.Slot{{Epoch: epoch, ResetEpoch: 1, Members: members}}}
}

// exchange delivers messages among the given processes, and those that follow, until none are left.
// It returns the messages to other processes.
func (sim *simulation) exchange(between ...*process) []delivery {
	var rest []delivery
	for len(sim.inFlight) > 0 {
		m := sim.inFlight[0]
		sim.inFlight = sim.inFlight[1:]
		taken := false
		for _, p := range between {
			if p.member.Address == m.to {
				sim.apply(p, p.claims.Handle(sim.now, m.from, m.message))
				taken = true
			}
		}
		if !taken {
			rest = append(rest, m)
		}
	}
	return rest
}

// A grant from a member that has not copied the claims yet must not count once that member is
// synced. The random simulations found this failure: a new member granted a vote, then its copy
// showed that the key had run, but the entry node still counted the grant.
func TestVoteFromBeforeCopying(t *testing.T) {
	for _, tc := range []struct {
		name   string
		config dfponce.Config
		runs   int
	}{
		{"mechanism on", longRetention, 1},
		{"mechanism off", longRetention.Faults("count_unsynced"), 2},
	} {
		sim := newSimulation(rand.New(rand.NewPCG(2, 2)).IntN, tc.config, false)
		a, b, x, y := sim.process("a", "z"), sim.process("b", "z"), sim.process("x", "z"), sim.process("y", "z")
		sim.processes = []*process{a, b, x, y}
		set := func(table dfponce.SlotTable, to ...*process) {
			for _, p := range to {
				sim.apply(p, p.claims.SetSlotTable(sim.now, table))
			}
		}
		start := func(p *process, counter uint64) {
			sim.attempts = counter
			sim.apply(p, p.claims.Begin(sim.now, dfponce.ClaimRequest{
				Key: "z.1", Zone: "z", Attempt: dfpcall.RequestID{Incarnation: p.member.Incarnation, Counter: counter},
			}), "z.1")
		}
		synced := func(p *process) dfponce.SlotMember { return dfponce.SlotMember{Member: p.member, Synced: true} }

		set(oneSlotTable(1, 1, synced(a), synced(b), synced(x)), a, b, x)
		start(b, 101) // Granted by b and x; a does not receive the request.
		sim.exchange(b, x)
		assert.Equal(t, sim.runs, 1)

		set(oneSlotTable(2, 2, synced(a), synced(b), dfponce.SlotMember{Member: y.member}), a, b, y)
		copies := sim.inFlight
		sim.inFlight = nil
		start(a, 102)
		late := sim.exchange(a, y) // Granted by a and by y, which has not copied.
		assert.Equal(t, sim.runs, 1)
		sim.inFlight = copies
		sim.exchange(a, b, y)
		set(oneSlotTable(3, 2, synced(a), synced(b), synced(y)), y, a)
		sim.inFlight = append(sim.inFlight, delivery{"y", "a", &dfponce.Vote{
			ID: dfponce.NewClaimID("", "z.1"), Epoch: 2, Unsynced: true, Result: dfponce.Granted,
			Attempt: dfpcall.RequestID{Incarnation: a.member.Incarnation, Counter: 102},
		}})
		sim.exchange(a, y)
		assert.Equal(t, sim.runs, tc.runs, tc.name)
		assert.Assert(t, len(late) > 0)
	}
}
