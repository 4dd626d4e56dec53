package dfproute_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/zone/dfproute"
)

// TestBurstDetector sends Poisson arrivals and checks what fraction of them counts as a burst.
func TestBurstDetector(t *testing.T) {
	const firstBurstCohort = dfpcall.Cohorts * 3 / 4
	for _, tc := range []struct {
		name string
		// usual and then are the arrival rates, per second, before second 10 and from second 10 on.
		usual, then float64
		// min and max bound the fraction that counts as a burst in the half second from 10.25 s on.
		// maxBefore bounds it in the second before second 10.
		min, max, maxBefore float64
	}{
		{"steady", 50, 50, 0, 0.05, 0.05},
		{"steady and sparse", 2, 2, 0, 0.05, 0.05},
		{"five times", 50, 250, 0.95, 1, 0.05},
		{"sparse, then five times of that", 5, 25, 0.5, 1, 0.05},
		{"a quarter more", 50, 62, 0, 0.2, 0.05},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var detector dfproute.BurstDetector
			rnd := newRand()
			var before, beforeAll, after, afterAll float64
			for at := 0.0; at < 10.75; {
				rate := tc.usual
				if at >= 10 {
					rate = tc.then
				}
				at += rnd.ExpFloat64() / rate
				cohort := detector.Cohort(epoch.Add(time.Duration(at*float64(time.Second))), "waldspiel", uint8(rnd.IntN(dfpcall.Cohorts)))
				assert.Assert(t, cohort < dfpcall.Cohorts)
				burst := 0.0
				if cohort >= firstBurstCohort {
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
