package dfplab

import (
	"context"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpload"
)

// bins returns a result with bins of one second; in each, 100 requests were offered and the given number
// of them were completed.
func bins(completed ...int) *dfpload.Result {
	r := &dfpload.Result{BinWidth: time.Second}
	for i, n := range completed {
		r.Bins = append(r.Bins, dfpload.Bin{
			Organisation: "waldspiel", Importance: "critical", Index: i, Offered: 100, Completed: n, CompletedOfOffered: n,
		})
	}
	return r
}

func TestRecovery(t *testing.T) {
	cfg := Config{Before: 3 * time.Second, Fault: 2 * time.Second, After: 4 * time.Second}
	for _, tc := range []struct {
		name   string
		result *dfpload.Result
		want   time.Duration
	}{
		{"at once", bins(100, 100, 100, 10, 10, 96, 100, 100, 100), 0},
		{"after 2 s", bins(100, 100, 100, 10, 10, 20, 94, 95, 100), 2 * time.Second},
		{"never", bins(100, 100, 100, 10, 10, 20, 20, 20, 20), -time.Second},
		{"to a lower level before", bins(100, 50, 50, 10, 10, 48, 50, 50, 50), 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, analysis{cfg: cfg, result: tc.result}.recovery(), tc.want)
		})
	}
}

func TestWasted(t *testing.T) {
	f := analysis{
		result: &dfpload.Result{Completed: map[string]bool{"a": true}},
		ledgers: []dfpbackendserver.LedgerSnapshot{
			{Runs: []dfpbackendserver.Run{{Operation: "a"}, {Operation: "b"}}},
			{Runs: []dfpbackendserver.Run{{Operation: "a/0"}, {Operation: "b/0/1"}}},
		},
	}
	assert.Equal(t, f.wastedFraction(), 0.5)
}

// TestDeploymentSpecs checks that the rules of both deployments are valid and that the load before a fault
// uses about baselineUtilisation of the bottleneck.
func TestDeploymentSpecs(t *testing.T) {
	for _, deployment := range []string{"schatzspur", "horvat"} {
		s, err := newDeploymentSpec(Config{Deployment: deployment})
		assert.NilError(t, err)
		_, err = dfprules.Parse("rules.txt", s.rulesText(DefaultScale, bindingRateFactor))
		assert.NilError(t, err)
		sum := 0.0
		for _, o := range s.organisations {
			sum += o.fraction
		}
		assert.Assert(t, sum > 0.999 && sum < 1.001)
		bottleneck := 0.0
		for _, sv := range s.services {
			bottleneck = max(bottleneck, s.slotsInUse(sv)/float64(sv.slots*sv.perZone*len(s.zones)))
		}
		assert.Assert(t, bottleneck > 0.62 && bottleneck < 0.75, "%s: %.2f of the bottleneck's slots in use", deployment, bottleneck)
	}
}

// slotsInUse returns the mean number of slots of a service that are in use before a fault.
func (s *deploymentSpec) slotsInUse(of service) float64 {
	const meanSeconds = 0.209 // The mean of the service time distribution.
	used := 0.0
	for _, r := range s.routes {
		var nested []dfpbackendserver.NestedCall
		for _, sv := range s.services {
			if sv.name == r.service {
				for _, n := range sv.nested {
					if len(r.path) >= len(n.PathPrefix) && r.path[:len(n.PathPrefix)] == n.PathPrefix {
						nested = append(nested, n)
					}
				}
			}
		}
		if r.service == of.name {
			used += r.perSecond * meanSeconds * float64(1+len(nested))
		}
		for _, n := range nested {
			if n.Service == of.name {
				used += r.perSecond * meanSeconds
			}
		}
	}
	return used
}

func TestConfigErrors(t *testing.T) {
	for _, cfg := range []Config{
		{Scenario: "none", Deployment: "horvat"},
		{Scenario: ScenarioCut, Deployment: "none"},
		{Scenario: ScenarioCut, Deployment: "horvat", Variants: []string{"none"}},
	} {
		_, err := Run(context.Background(), cfg)
		assert.ErrorIs(t, err, ErrConfig)
	}
}

func TestPlot(t *testing.T) {
	cfg := Config{Deployment: "horvat", Scenario: ScenarioSlow, PlotDir: t.TempDir(), Before: time.Second, Fault: time.Second, After: time.Second}
	file, err := plotGoodput(cfg, &Report{Variants: []VariantReport{{Variant: "a", result: bins(1, 2, 3)}}})
	assert.NilError(t, err)
	info, err := os.Stat(file)
	assert.NilError(t, err)
	assert.Assert(t, info.Size() > 0)
}
