package dfponce_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/contract/dfponce"
)

// longRetention keeps claims for longer than any simulation lasts; shortRetention lets them expire.
var (
	longRetention  = dfponce.Config{Retention: 24 * time.Hour}
	shortRetention = dfponce.Config{Retention: 45 * time.Second, MaxClockSkew: 3 * time.Second}
)

func TestNoKeyRunsTwice(t *testing.T) {
	for _, tc := range []struct {
		name      string
		config    dfponce.Config
		timedKeys bool
	}{
		{"keys without a creation time, while their claims are kept", longRetention, false},
		{"keys with a creation time, without limit", shortRetention, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				// Use rapid only for the seed, since the numbers that it draws are mostly small.
				r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream")))
				sim := newSimulation(r.IntN, tc.config, tc.timedKeys)
				for range 1000 {
					sim.step()
					if sim.violation != "" {
						t.Fatal(sim.violation)
					}
				}
			})
		})
	}
}

// simulations runs n simulations with consecutive seeds and returns them, up to the first one with a
// violation.
func simulations(config dfponce.Config, timedKeys bool, from, n int) []*simulation {
	const steps = 1000
	var all []*simulation
	for seed := from; seed < from+n; seed++ {
		r := rand.New(rand.NewPCG(20261204, uint64(seed)))
		sim := newSimulation(r.IntN, config, timedKeys)
		for range steps {
			sim.step()
		}
		all = append(all, sim)
		if sim.violation != "" {
			break
		}
	}
	return all
}

// With any one of the safety mechanisms switched off, some key runs twice. This shows that
// TestNoKeyRunsTwice would detect the loss of a mechanism.
func TestEachMechanismIsNeeded(t *testing.T) {
	for _, tc := range []struct {
		fault     string
		config    dfponce.Config
		timedKeys bool
		seed      int // The first seed tried.
	}{
		{"one_vote", longRetention, false, 0},
		{"accept_any_epoch", longRetention, false, 693},
		{"skip_copy", longRetention, false, 183},
		{"keep_first_on_merge", longRetention, false, 1967},
		{"ignore_key_time", longRetention, false, 2},
		{"ignore_key_time", shortRetention, true, 1},
	} {
		all := simulations(tc.config.Faults(tc.fault), tc.timedKeys, tc.seed, 3000)
		last := all[len(all)-1]
		assert.Check(t, last.violation != "", "%s: no key ran twice in %d simulations", tc.fault, len(all))
		t.Logf("%s, timed %v: seed %d: %s", tc.fault, tc.timedKeys, tc.seed+len(all)-1, last.violation)
	}
}

// The simulations reach all the cases that they are meant to test.
func TestSimulationCoverage(t *testing.T) {
	var runs, repeats, unknown, refused, resets int
	for _, sim := range simulations(longRetention, false, 0, 200) {
		assert.Equal(t, sim.violation, "")
		runs += sim.runs
		repeats += sim.repeats
		unknown += sim.unknown
		refused += sim.refused
		resets += sim.resets
	}
	t.Logf("runs %d, answers to repeats %d, unknown %d, refused %d, slots reset %d", runs, repeats, unknown, refused, resets)
	for _, n := range []int{runs, repeats, unknown, refused, resets} {
		assert.Assert(t, n > 20)
	}
}

// A grant that arrives after VoteTimeout does not count, because the claim may have expired and
// another attempt may have run.
func TestLateGrant(t *testing.T) {
	for _, tc := range []struct {
		name   string
		config dfponce.Config
		late   time.Duration
		run    bool
	}{
		{"in time", longRetention, time.Second, true},
		{"late", longRetention, 2 * time.Second, false},
		{"late, mechanism off", longRetention.Faults("accept_late_grant"), 2 * time.Second, true},
	} {
		sim := newSimulation(rand.New(rand.NewPCG(1, 1)).IntN, tc.config, false)
		z, y := sim.processes[0], sim.processes[len(sim.processes)-1]
		table, _ := dfponce.NextSlotTable(dfponce.SlotTable{}, dfponce.PlanInput{
			Zone: "z", Candidates: []dfponce.Candidate{{Member: z.member, Alive: true}},
		})
		z.claims.SetSlotTable(sim.now, table)
		sends := y.claims.Begin(sim.now, dfponce.ClaimRequest{Key: "z.1", Zone: "z", Contact: "z0"}).Sends
		sends = z.claims.Handle(sim.now, "y0", sends[0].Message).Sends // Redirect.
		sends = y.claims.Handle(sim.now, "z0", sends[0].Message).Sends // VoteRequest.
		sends = z.claims.Handle(sim.now, "y0", sends[0].Message).Sends // Vote.
		effects := y.claims.Handle(sim.now.Add(tc.late), "z0", sends[0].Message)
		assert.Equal(t, len(effects.Decisions), 1, tc.name)
		assert.Equal(t, effects.Decisions[0].Run, tc.run, tc.name)
	}
}
