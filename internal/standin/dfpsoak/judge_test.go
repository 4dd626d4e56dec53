package dfpsoak_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/standin/dfpsoak"
)

var epoch = time.Unix(1000, 0)

// after returns the time ms milliseconds after epoch.
func after(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// TestCheck gives each check evidence of a violation, and evidence that is just within the bound.
func TestCheck(t *testing.T) {
	order := dfpsoak.Call{ID: "a", Organisation: "waldspiel", Key: "k", AtMostOnce: true, Sent: after(0), Ended: after(100), Verdict: dfpsoak.Completed}
	run := dfpsoak.Run{ID: "a", Organisation: "waldspiel", ExpectedInstance: "i-1", Instance: "i-1", At: after(10)}
	with := func(c dfpsoak.Call, change func(*dfpsoak.Call)) dfpsoak.Call { change(&c); return c }
	ran := func(change func(*dfpsoak.Run)) dfpsoak.Run { r := run; change(&r); return r }
	notRun := with(order, func(c *dfpsoak.Call) { c.Verdict = dfpsoak.NotRun })
	runsInWindow := func(n int) (e dfpsoak.Evidence) {
		e.Limits = []dfpsoak.Limit{{Organisation: "waldspiel", Rate: 1, Burst: 1}}
		for range n {
			e.Runs = append(e.Runs, run)
		}
		e.Calls = []dfpsoak.Call{with(order, func(c *dfpsoak.Call) { c.AtMostOnce = false })}
		return e
	}
	// limited is an instance that names a limit of one request a second for 20 s and gets n within one of them.
	limited := func(n int, starts ...dfpsoak.Start) dfpsoak.Evidence {
		e := dfpsoak.Evidence{Calls: []dfpsoak.Call{with(order, func(c *dfpsoak.Call) { c.AtMostOnce = false })}, Starts: starts}
		for _, ms := range []int{0, 20_000} {
			e.Notices = append(e.Notices, dfpsoak.Notice{Instance: "i-1", At: after(ms), Notice: dfpcall.Notice{Limited: true, Rate: 1}})
		}
		for range n {
			e.Runs = append(e.Runs, ran(func(r *dfpsoak.Run) { r.At = after(10_000) }))
		}
		return e
	}
	leaving := []dfpsoak.Notice{{Instance: "i-1", At: after(0), Notice: dfpcall.Notice{Leaving: true}}}
	lateRun := []dfpsoak.Run{ran(func(r *dfpsoak.Run) { r.At = after(3001) })}
	// crashed is a request that has crashed three instances and reaches n more later.
	crashed := func(n int) dfpsoak.Evidence {
		e := dfpsoak.Evidence{
			Calls:   []dfpsoak.Call{with(order, func(c *dfpsoak.Call) { c.AtMostOnce = false })},
			Crashes: map[string][]time.Time{"crash": {after(0), after(10), after(20)}},
		}
		for range n {
			e.Runs = append(e.Runs, ran(func(r *dfpsoak.Run) { r.At, r.Body = after(4000), "crash" }))
		}
		return e
	}
	for _, tc := range []struct {
		name     string
		evidence dfpsoak.Evidence
		want     string
	}{
		{"over a named limit", limited(12), "no more than it names"},
		{"within a named limit", limited(11), ""},
		{"over a named limit, its node has restarted", limited(12, dfpsoak.Start{At: after(9500)}), ""},
		{"run on a leaving instance", dfpsoak.Evidence{Calls: []dfpsoak.Call{order}, Runs: lateRun, Notices: leaving}, "says that it leaves"},
		{"run on a leaving instance, its node has restarted", dfpsoak.Evidence{
			Calls: []dfpsoak.Call{order}, Runs: lateRun, Notices: leaving, Starts: []dfpsoak.Start{{At: after(1000)}},
		}, ""},
		{"crashes go on", crashed(4), "crashes backend servers"},
		{"crashes end", crashed(3), ""},
		{"no violation", dfpsoak.Evidence{Calls: []dfpsoak.Call{order}, Runs: []dfpsoak.Run{run}}, ""},
		{"ran twice", dfpsoak.Evidence{Calls: []dfpsoak.Call{order}, Runs: []dfpsoak.Run{run, run}}, "at most once"},
		{"not run but ran", dfpsoak.Evidence{Calls: []dfpsoak.Call{notRun}, Runs: []dfpsoak.Run{run}}, "not run is true"},
		{"wrong answer", dfpsoak.Evidence{Calls: []dfpsoak.Call{with(order, func(c *dfpsoak.Call) { c.Verdict = dfpsoak.Wrong })}}, "its own request"},
		{"answer without a run", dfpsoak.Evidence{Calls: []dfpsoak.Call{order}}, "never ran"},
		{"denied", dfpsoak.Evidence{Calls: []dfpsoak.Call{with(order, func(c *dfpsoak.Call) { c.Verdict = dfpsoak.Denied })}}, "not denied"},
		{"denied with a withdrawn key", dfpsoak.Evidence{
			Calls:     []dfpsoak.Call{with(order, func(c *dfpsoak.Call) { c.Verdict = dfpsoak.Denied })},
			Withdrawn: map[string]time.Time{"k": after(0)},
		}, ""},
		{"run without a call", dfpsoak.Evidence{Runs: []dfpsoak.Run{run}}, "what a caller sent"},
		{"key seen", dfpsoak.Evidence{Calls: []dfpsoak.Call{order}, Runs: []dfpsoak.Run{ran(func(r *dfpsoak.Run) { r.KeySeen = true })}}, "sees a key"},
		{"another instance", dfpsoak.Evidence{Calls: []dfpsoak.Call{order}, Runs: []dfpsoak.Run{ran(func(r *dfpsoak.Run) { r.Instance = "i-2" })}}, "instance that it is for"},
		{"another organisation", dfpsoak.Evidence{Calls: []dfpsoak.Call{order}, Runs: []dfpsoak.Run{ran(func(r *dfpsoak.Run) { r.Organisation = "x" })}}, "organisation of its key"},
		{"sent after the withdrawal bound", dfpsoak.Evidence{
			Calls: []dfpsoak.Call{with(order, func(c *dfpsoak.Call) { c.Sent = after(5001) })}, Runs: []dfpsoak.Run{run},
			Withdrawn: map[string]time.Time{"k": after(0)},
		}, "withdrawn key"},
		{"sent within the withdrawal bound", dfpsoak.Evidence{
			Calls: []dfpsoak.Call{with(order, func(c *dfpsoak.Call) { c.Sent = after(5000) })}, Runs: []dfpsoak.Run{run},
			Withdrawn: map[string]time.Time{"k": after(0)},
		}, ""},
		{"run on a draining instance", dfpsoak.Evidence{Calls: []dfpsoak.Call{order}, Runs: []dfpsoak.Run{ran(func(r *dfpsoak.Run) { r.At = after(3001) })}, DrainAcknowledged: map[string]time.Time{"i-1": after(0)}}, "no new work"},
		{"over the rate", runsInWindow(32), "exceeds its rate"},
		{"within the rate", runsInWindow(26), ""},
		{"configuration rolled back", dfpsoak.Evidence{Probes: []dfpsoak.Probe{{"n", "/r/", after(0), true}, {"n", "/r/", after(251), false}}}, "never goes back"},
		{"another process", dfpsoak.Evidence{Probes: []dfpsoak.Probe{{"n", "/r/", after(0), true}, {"m", "/r/", after(251), false}}}, ""},
		{"lost during a stop", dfpsoak.Evidence{
			Calls: []dfpsoak.Call{with(order, func(c *dfpsoak.Call) { c.Verdict = dfpsoak.Lost })}, Runs: []dfpsoak.Run{run},
			Stops: []dfpsoak.Stop{{From: after(50), To: after(500)}},
		}, "planned stop"},
		{"lost before a stop", dfpsoak.Evidence{
			Calls: []dfpsoak.Call{with(order, func(c *dfpsoak.Call) { c.Verdict = dfpsoak.Lost })}, Runs: []dfpsoak.Run{run},
			Stops: []dfpsoak.Stop{{From: after(150), To: after(500)}},
		}, ""},
		{"does not recover", dfpsoak.Evidence{Calls: []dfpsoak.Call{notRun}}, "recovers"},
		{"unexpected exit", dfpsoak.Evidence{UnexpectedExits: []string{"node 1"}}, "processes end"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			tc.evidence.Bounds = dfpsoak.DefaultBounds
			if tc.name != "does not recover" {
				tc.evidence.RecoveryFrom = after(1 << 20)
			}
			violations := strings.Join(dfpsoak.Check(tc.evidence), "\n")
			if tc.want == "" {
				assert.Equal(t, violations, "")
			} else {
				assert.Assert(t, strings.Contains(violations, tc.want), "%q lacks %q", violations, tc.want)
			}
		})
	}
}
