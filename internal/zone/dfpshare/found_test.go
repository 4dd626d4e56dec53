package dfpshare_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/zone/dfpshare"
)

// TestFound repeats the faults that TestConservation has found.
func TestFound(t *testing.T) {
	for _, tc := range []struct {
		name string
		run  func(t *testing.T, w *world)
	}{
		{"a new process with older rules raises its zone's part", func(t *testing.T, w *world) {
			w.changeShares([]float64{0.2, 3, 2})
			w.run(15 * time.Second)
			for _, n := range w.fleet.Nodes[:3] {
				w.fleet.Replace(n) // Starts with the first rules.
			}
			w.run(20 * time.Second)
			fraction := w.fleet.Nodes[6].Share.State(w.fleet.Now()).Table.Fraction
			assert.Assert(t, fraction <= 0.2/5.2+1e-9, "fraction %v", fraction)
		}},
		{"a sole member isn't told by its zone that it is condemned", func(t *testing.T, w *world) {
			sole := w.fleet.Nodes[5]
			newcomer := w.fleet.Start("west-1", "west")
			w.fleet.Cut(sole.VM.Address, newcomer.VM.Address, true)
			w.run(25 * time.Second)
			assert.Assert(t, !sole.Share.State(w.fleet.Now()).MayUse)
			assert.Assert(t, newcomer.Share.State(w.fleet.Now()).MayUse)
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			w := newWorld(20261204, dfpshare.UnsafeOptions{}, organisations, t.Fatalf)
			w.run(3 * time.Second)
			tc.run(t, w)
		})
	}
}
