package dfpdependence_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpdependence"
)

// TestIndependentClasses guards against requests that are refused, or blamed, for nested calls which they do not make.
// Requests of several classes run at once for random times; a failed call makes one of the running requests that make
// calls fail.
func TestIndependentClasses(t *testing.T) {
	type kind struct {
		name string
		// weight is how often the class is started, calls how often it makes a call compared with others.
		weight, calls int
		// otherFailures is the part of its requests that fail for other reasons.
		otherFailures float64
		want          dfpcall.Dependence
	}
	for _, tc := range []struct {
		name string
		// callFailures is the part of the steps in which a nested call fails.
		callFailures float64
		kinds        []kind
	}{
		{"one class of two makes calls", 0.3, []kind{{"reads", 5, 1, 0.001, dfpcall.Dependent}, {"books", 1, 0, 0.001, dfpcall.Independent}}},
		{"all make calls", 0.3, []kind{{"reads", 5, 1, 0, dfpcall.Dependent}, {"books", 1, 1, 0, dfpcall.Dependent}}},
		{"one makes few calls", 0.3, []kind{{"reads", 3, 4, 0, dfpcall.Dependent}, {"books", 1, 2, 0, dfpcall.Dependent}, {"stock", 1, 0, 0, dfpcall.Independent}}},
		{"fails for other reasons", 0.3, []kind{{"reads", 5, 1, 0, dfpcall.Dependent}, {"books", 1, 0, 0.6, dfpcall.Dependent}}},
		{"no call fails", 0, []kind{{"reads", 5, 1, 0, dfpcall.DependenceUnknown}, {"books", 1, 0, 0, dfpcall.DependenceUnknown}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			rng := rand.New(rand.NewPCG(5, 1))
			var e dfpdependence.Estimator
			type running struct {
				kind   kind
				run    dfpdependence.Run
				failed bool
			}
			var now []*running
			for range 4000 {
				var choices []kind
				for _, k := range tc.kinds {
					for range k.weight {
						choices = append(choices, k)
					}
				}
				k := choices[rng.IntN(len(choices))]
				now = append(now, &running{kind: k, run: e.Start(k.name), failed: rng.Float64() < k.otherFailures})
				if rng.Float64() < tc.callFailures {
					e.CallFailed()
					var callers []*running
					for _, r := range now {
						for range r.kind.calls {
							callers = append(callers, r)
						}
					}
					if len(callers) > 0 {
						callers[rng.IntN(len(callers))].failed = true
					}
				}
				if len(now) > 10 {
					i := rng.IntN(len(now))
					e.End(now[i].run, now[i].failed)
					now = append(now[:i], now[i+1:]...)
				}
			}
			for _, k := range tc.kinds {
				assert.Equal(t, e.Dependence(k.name), k.want, k.name)
			}
		})
	}
}
