package dfpshare_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/zone/dfpshare"
)

// TestRegressions reproduces faults that TestConservation has found.
func TestRegressions(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(t *testing.T, sim *simulation)
	}{
		{"new process with older rules must not raise its zone's fraction", func(t *testing.T, sim *simulation) {
			sim.changeWeights([]float64{0.2, 3, 2})
			sim.run(15 * time.Second)
			for _, n := range sim.fleet.Nodes[:3] {
				sim.fleet.Replace(n) // The new process starts with the first rules.
			}
			sim.run(20 * time.Second)
			fraction := sim.fleet.Nodes[6].Limiter.State(sim.fleet.Now()).Table.Fraction
			assert.Assert(t, fraction <= 0.2/5.2+1e-9, "fraction %v", fraction)
		}},
		{"evicted sole member must learn of its eviction from the platform", func(t *testing.T, sim *simulation) {
			sole := sim.fleet.Nodes[5]
			newcomer := sim.fleet.Start("west-1", "west")
			sim.fleet.Cut(sole.VM.Address, newcomer.VM.Address, true)
			sim.run(25 * time.Second)
			assert.Assert(t, !sole.Limiter.State(sim.fleet.Now()).MayUse)
			assert.Assert(t, newcomer.Limiter.State(sim.fleet.Now()).MayUse)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			sim := newSimulation(20261204, dfpshare.UnsafeOptions{}, organisations, t.Fatalf)
			sim.run(3 * time.Second)
			tc.run(t, sim)
		})
	}
}
