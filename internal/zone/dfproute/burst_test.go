package dfproute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/zone/dfproute"
)

// TestBurstDetector sends Poisson arrivals and counts which part of them is taken for a burst.
func TestBurstDetector(t *testing.T) {
	const firstOfBursts = dfpcall.Cohorts * 3 / 4
	for _, tc := range []struct {
		name string
		// Usual and then are rates a second before and from second 10 on.
		usual, then float64
		// Min and max bound the part taken for a burst in the half second from 10.25 s on, and
		// maxBefore in the second before.
		min, max, maxBefore float64
	}{
		{"steady", 50, 50, 0, 0.05, 0.05},
		{"steady and rare", 2, 2, 0, 0.05, 0.05},
		{"five times", 50, 250, 0.95, 1, 0.05},
		{"five times of little", 5, 25, 0.5, 1, 0.05},
		{"a fourth more", 50, 62, 0, 0.2, 0.05},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var bursts dfproute.BurstDetector
			rnd := newRand()
			var before, beforeAll, after, afterAll float64
			for at := 0.0; at < 10.75; {
				rate := tc.usual
				if at >= 10 {
					rate = tc.then
				}
				at += rnd.ExpFloat64() / rate
				cohort := bursts.Cohort(epoch.Add(time.Duration(at*float64(time.Second))), "waldspiel", uint8(rnd.IntN(dfpcall.Cohorts)))
				assert.Assert(t, cohort < dfpcall.Cohorts)
				burst := 0.0
				if cohort >= firstOfBursts {
					burst = 1
				}
				switch {
				case at >= 9 && at < 10:
					before, beforeAll = before+burst, beforeAll+1
				case at >= 10.25:
					after, afterAll = after+burst, afterAll+1
				}
			}
			assert.Assert(t, before <= tc.maxBefore*max(beforeAll, 1), "%v of %v before", before, beforeAll)
			assert.Assert(t, after >= tc.min*afterAll && after <= tc.max*max(afterAll, 1), "%v of %v after", after, afterAll)
		})
	}
}
