package dfplab

import (
	"strings"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpload"
)

// analysis computes the figures of one variant.
type analysis struct {
	cfg     Config
	spec    *deploymentSpec
	result  *dfpload.Result
	ledgers []dfpbackendserver.LedgerSnapshot
	elapsed time.Duration
}

// window is an interval of time, from included and to excluded, measured from the start of the load.
type window struct{ from, to time.Duration }

// before omits the first second of the load.
func (f analysis) before() window { return window{time.Second, f.cfg.Before} }
func (f analysis) fault() window  { return window{f.cfg.Before, f.cfg.Before + f.cfg.Fault} }
func (f analysis) after() window {
	return window{f.cfg.Before + f.cfg.Fault, f.cfg.duration()}
}

// A deployment has recovered when it completes at least recoveredFraction of its level before the fault
// for recoveryWindow.
const (
	recoveredFraction = 0.95
	recoveryWindow    = time.Second
)

// counts are sums over the bins of a window, in whole requests.
type counts struct{ offered, completed, completedOfOffered int }

func (c counts) completedFraction() float64 {
	if c.offered == 0 {
		return 0
	}
	return float64(c.completedOfOffered) / float64(c.offered)
}

// sum adds up the bins that start in w and that match reports true for; a nil match takes all.
func (f analysis) sum(w window, match func(dfpload.Bin) bool) counts {
	var c counts
	for _, b := range f.result.Bins {
		at := time.Duration(b.Index) * f.result.BinWidth
		if at < w.from || at >= w.to || match != nil && !match(b) {
			continue
		}
		c.offered += b.Offered
		c.completed += b.Completed
		c.completedOfOffered += b.CompletedOfOffered
	}
	return c
}

func ofImportance(i dfpcall.Importance) func(dfpload.Bin) bool {
	return func(b dfpload.Bin) bool { return b.Importance == i.String() }
}

func (f analysis) figures() []Figure {
	var list []Figure
	add := func(name string, value float64, unit string) {
		list = append(list, Figure{Name: name, Value: value, Unit: unit})
	}
	for _, w := range []struct {
		name string
		window
	}{{"before", f.before()}, {"fault", f.fault()}, {"after", f.after()}} {
		c := f.sum(w.window, nil)
		add("goodput_"+w.name, float64(c.completed)/(w.to-w.from).Seconds(), "whole requests/s")
		for i := range dfpcall.Importance(dfpcall.ImportanceCount) {
			add("completed_"+i.String()+"_"+w.name, 100*f.sum(w.window, ofImportance(i)).completedFraction(), "% of offered")
		}
	}
	add("recovery", f.recovery().Seconds(), "s after the fault's end, -1 for not within the run")
	name, worst := f.worstOrganisation()
	add("worst_organisation_completed_fault", 100*worst, "% of offered, "+name)
	critical := f.sum(f.fault(), func(b dfpload.Bin) bool {
		return f.withinRate(b.Organisation) && b.Importance == dfpcall.Critical.String()
	})
	add("completed_critical_within_rate_fault", 100*critical.completedFraction(), "% of offered by organisations within their rate")
	refused, byRate := f.refusedWithinRate()
	add("refused_within_rate", 100*refused, "% of whole requests of organisations within their rate")
	add("refused_by_rate_within_rate", 100*byRate, "% of attempts of organisations within their rate")
	if f.cfg.Scenario == ScenarioNoisy {
		add("noisy_ran", 100*f.noisyFraction(), "% of its rate and burst")
	}
	add("wasted_runs", 100*f.wastedFraction(), "% of runs")
	sum := f.result.Sum(nil)
	add("unknown_outcomes", float64(sum.RequestsByVerdict[dfpload.VerdictUnknown]), "whole requests")
	add("attempts_per_request", attempts(sum)/float64(max(1, sum.Offered)), "attempts")
	for i, h := range f.result.Latency {
		if h.TotalCount() > 0 {
			add("latency_p50_"+dfpcall.Importance(i).String(), float64(h.ValueAtQuantile(50))/1000, "ms")
			add("latency_p99_"+dfpcall.Importance(i).String(), float64(h.ValueAtQuantile(99))/1000, "ms")
		}
	}
	return list
}

func attempts(row dfpload.Row) float64 {
	sum := 0
	for _, n := range row.AttemptsByVerdict {
		sum += n
	}
	return float64(sum)
}

// recovery returns the time from the end of the fault to the first recoveryWindow in which the completed
// fraction of the requests due is at least recoveredFraction of that before the fault. It returns -1 s if
// there is none within the run.
func (f analysis) recovery() time.Duration {
	level := recoveredFraction * f.sum(f.before(), nil).completedFraction()
	end := f.fault().to
	for from := end; from+recoveryWindow <= f.cfg.duration(); from += f.result.BinWidth {
		if f.sum(window{from, from + recoveryWindow}, nil).completedFraction() >= level {
			return from - end
		}
	}
	return -time.Second
}

// withinRate reports whether an organisation stays within its rate in this scenario.
func (f analysis) withinRate(name string) bool {
	return f.cfg.Scenario != ScenarioNoisy || name != f.spec.organisations[0].name
}

// worstOrganisation returns the organisation within its rate that had the smallest completed fraction
// during the fault, and that fraction.
func (f analysis) worstOrganisation() (string, float64) {
	name, worst := "", 1.0
	for _, o := range f.spec.organisations {
		if !f.withinRate(o.name) {
			continue
		}
		fraction := f.sum(f.fault(), func(b dfpload.Bin) bool { return b.Organisation == o.name }).completedFraction()
		if fraction < worst {
			name, worst = o.name, fraction
		}
	}
	return name, worst
}

// refusedWithinRate covers the organisations within their rate. It returns the fraction of their whole
// requests that ended in a refusal, and the fraction of their attempts that were refused because of the rate.
func (f analysis) refusedWithinRate() (refused, byRate float64) {
	row := f.result.Sum(func(r dfpload.Row) bool { return f.withinRate(r.Organisation) })
	refused = float64(row.RequestsByVerdict[dfpload.VerdictNotRun]) / float64(max(1, row.Offered))
	byRate = float64(row.FailuresByReason[string(dfpcall.ReasonOrganisationRate)]) / max(1, attempts(row))
	return refused, byRate
}

// noisyFraction returns the noisy organisation's completed requests that fell due during the fault, as a
// fraction of what its rate and burst allow in that time.
func (f analysis) noisyFraction() float64 {
	noisy := f.spec.organisations[0]
	limit := f.spec.limit(noisy, f.cfg.Scale, rateFactor(f.cfg.Scenario))
	c := f.sum(f.fault(), func(b dfpload.Bin) bool { return b.Organisation == noisy.name })
	return float64(c.completedOfOffered) / (limit.Rate*f.cfg.Fault.Seconds() + limit.Burst)
}

// wastedFraction returns the fraction of runs whose whole request was not completed.
func (f analysis) wastedFraction() float64 {
	runs, wasted := 0, 0
	for _, ledger := range f.ledgers {
		for _, run := range ledger.Runs {
			root, _, _ := strings.Cut(run.Operation, "/")
			runs++
			if !f.result.Completed[root] {
				wasted++
			}
		}
	}
	return float64(wasted) / float64(max(1, runs))
}
