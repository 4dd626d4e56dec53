package dfponce_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/contract/dfponce"
)

// untimed keeps claims for longer than any run lasts; timed forgets them quickly.
var (
	untimed = dfponce.Config{Retention: 24 * time.Hour}
	timed   = dfponce.Config{Retention: 45 * time.Second, MaxClockSkew: 3 * time.Second}
)

func TestNoKeyRunsTwice(t *testing.T) {
	for _, tc := range []struct {
		name   string
		config dfponce.Config
		timed  bool
	}{
		{"keys that tell no time, while their claims are kept", untimed, false},
		{"keys that tell their time, without limit", timed, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				// Drawn from a seed, since rapid's own numbers keep to the small ones.
				r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), rapid.Uint64().Draw(t, "stream")))
				w := newWorld(r.IntN, tc.config, tc.timed)
				for range 1000 {
					w.step()
					if w.violation != "" {
						t.Fatal(w.violation)
					}
				}
			})
		})
	}
}

// worlds runs n seeded worlds and returns them, up to the first with a violation.
func worlds(config dfponce.Config, timed bool, from, n int) []*world {
	const steps = 1000
	var all []*world
	for seed := from; seed < from+n; seed++ {
		r := rand.New(rand.NewPCG(20261204, uint64(seed)))
		w := newWorld(r.IntN, config, timed)
		for range steps {
			w.step()
		}
		all = append(all, w)
		if w.violation != "" {
			break
		}
	}
	return all
}

// Without each of its mechanisms the promise is broken, so that the test above
// would see it.
func TestEachMechanismIsNeeded(t *testing.T) {
	for _, tc := range []struct {
		fault  string
		config dfponce.Config
		timed  bool
		seed   int // The first one tried.
	}{
		{"one_vote", untimed, false, 0},
		{"accept_any_epoch", untimed, false, 693},
		{"skip_copy", untimed, false, 183},
		{"merge_first", untimed, false, 1967},
		{"judge_all", untimed, false, 2},
		{"judge_all", timed, true, 1},
	} {
		all := worlds(tc.config.Faults(tc.fault), tc.timed, tc.seed, 3000)
		last := all[len(all)-1]
		assert.Check(t, last.violation != "", "%s: no key ran twice in %d worlds", tc.fault, len(all))
		t.Logf("%s, timed %v: seed %d: %s", tc.fault, tc.timed, tc.seed+len(all)-1, last.violation)
	}
}

// The random worlds reach what they are for.
func TestWorldsReach(t *testing.T) {
	var runs, repeats, unknown, refused, restarts int
	for _, w := range worlds(untimed, false, 0, 200) {
		assert.Equal(t, w.violation, "")
		runs += w.runs
		repeats += w.repeats
		unknown += w.unknown
		refused += w.refused
		restarts += w.restarts
	}
	t.Logf("runs %d, answers to repeats %d, unknown %d, refused %d, slots restarted %d", runs, repeats, unknown, refused, restarts)
	for _, n := range []int{runs, repeats, unknown, refused, restarts} {
		assert.Assert(t, n > 20)
	}
}

// A grant that was under way for longer than Wait does not count, because the
// claim may have expired and another attempt may have run.
func TestLateGrant(t *testing.T) {
	for _, tc := range []struct {
		name   string
		config dfponce.Config
		late   time.Duration
		run    bool
	}{
		{"in time", untimed, time.Second, true},
		{"late", untimed, 2 * time.Second, false},
		{"late, mechanism off", untimed.Faults("grant_late"), 2 * time.Second, true},
	} {
		w := newWorld(rand.New(rand.NewPCG(1, 1)).IntN, tc.config, false)
		z, y := w.procs[0], w.procs[len(w.procs)-1]
		homes, _ := dfponce.NextSlotTable(dfponce.SlotTable{}, dfponce.PlanInput{
			Zone: "z", Candidates: []dfponce.Candidate{{Member: z.member, Alive: true}},
		})
		z.claims.SetSlotTable(w.now, homes)
		sends := y.claims.Begin(w.now, dfponce.ClaimRequest{Key: "z.1", Zone: "z", Contact: "z0"}).Sends
		sends = z.claims.Handle(w.now, "y0", sends[0].Message).Sends // Redirect.
		sends = y.claims.Handle(w.now, "z0", sends[0].Message).Sends // Begin.
		sends = z.claims.Handle(w.now, "y0", sends[0].Message).Sends // Vote.
		fx := y.claims.Handle(w.now.Add(tc.late), "z0", sends[0].Message)
		assert.Equal(t, len(fx.Decisions), 1, tc.name)
		assert.Equal(t, fx.Decisions[0].Run, tc.run, tc.name)
	}
}
