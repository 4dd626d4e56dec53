package dfpsoak

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Evidence is what callers, backend servers and the operator saw in a run.
type Evidence struct {
	Bounds Bounds
	Calls  []Call
	Runs   []Run
	// Withdrawn says when the store acknowledged that a key is withdrawn.
	Withdrawn map[string]time.Time
	// Limits are the organisations' rates, in the order in which they were acknowledged.
	Limits []Limit
	// DrainAcknowledged says when a node acknowledged that an instance of a backend server leaves.
	DrainAcknowledged map[string]time.Time
	// Probes are requests on added routes.
	Probes []Probe
	// Stops are planned stops; Ends are processes that ended by themselves, or not as they should.
	Stops           []Stop
	UnexpectedExits []string
	// RecoveryFrom is when the time began in which the fleet must serve again.
	RecoveryFrom time.Time
}

// Limit is an organisation's rate from a time on.
type Limit struct {
	Organisation string
	Rate, Burst  float64
	From         time.Time
}

// Probe is a request on a route that a configuration added.
type Probe struct {
	// Process names one start of a node.
	Process string
	Route   string
	Sent    time.Time
	// Found says that the route was there; a probe that shows neither is left out.
	Found bool
}

// Stop is the planned stop of a node.
type Stop struct {
	Node     int
	From, To time.Time
}

const (
	// rollbackSlack is for probes that cross on their way.
	rollbackSlack = 250 * time.Millisecond
	// leastServed is the part of calls that are served once the fleet has recovered.
	leastServed = 0.25
	// maxDetails bounds the lines of one promise.
	maxDetails = 4
)

// Check returns a line for each promise that was seen broken.
func Check(e Evidence) []string {
	j := &judge{Evidence: e, runs: map[string][]Run{}, calls: map[string]Call{}, counts: map[string]int{}}
	for _, r := range e.Runs {
		j.runs[r.ID] = append(j.runs[r.ID], r)
	}
	for _, c := range e.Calls {
		j.calls[c.ID] = c
	}
	for _, check := range []func(){j.checkCalls, j.checkRuns, j.checkRates, j.checkProbes, j.checkStops, j.checkRecovery} {
		check()
	}
	for _, end := range e.UnexpectedExits {
		j.say("processes end only when they are told to", "%s", end)
	}
	return j.broken
}

type judge struct {
	Evidence
	runs   map[string][]Run
	calls  map[string]Call
	counts map[string]int
	broken []string
}

func (j *judge) say(promise, format string, args ...any) {
	j.counts[promise]++
	if j.counts[promise] <= maxDetails {
		j.broken = append(j.broken, promise+": "+fmt.Sprintf(format, args...))
	}
}

func (j *judge) checkCalls() {
	for _, c := range j.Calls {
		runs := j.runs[c.ID]
		switch {
		case c.AtMostOnce && len(runs) > 1:
			j.say("a request that is not idempotent runs at most once", "%s ran %d times", c.ID, len(runs))
		case c.AtMostOnce && len(runs) > 0 && c.Verdict == NotRun:
			j.say("not run is true", "%s ran at %s", c.ID, runs[0].Instance)
		case c.Verdict == Wrong:
			j.say("a caller gets the whole answer to its own request", "%s", c.ID)
		case c.Verdict == Completed && len(runs) == 0:
			j.say("a caller gets the whole answer to its own request", "%s completed and never ran", c.ID)
		}
		if _, withdrawn := j.Withdrawn[c.Key]; c.Verdict == Denied && !withdrawn && !c.Probe {
			j.say("a proper request is not denied", "%s at node %d", c.ID, c.Node)
		}
	}
}

func (j *judge) checkRuns() {
	for _, r := range j.Runs {
		id, _, nested := strings.Cut(r.ID, "/")
		c, known := j.calls[id]
		switch {
		case !known:
			j.say("a backend server runs only what a caller sent", "%s at %s", r.ID, r.Instance)
			continue
		case r.KeySeen:
			j.say("no backend server sees a key", "%s at %s", r.ID, r.Instance)
		case r.ExpectedInstance != r.Instance:
			j.say("a request runs on the instance that it is for", "%s is for %s, ran on %s", r.ID, r.ExpectedInstance, r.Instance)
		case !nested && r.Organisation != c.Organisation:
			j.say("a request runs for the organisation of its key", "%s of %s ran for %q", r.ID, c.Organisation, r.Organisation)
		}
		if at, withdrawn := j.Withdrawn[c.Key]; withdrawn && !nested && c.Sent.Sub(at) > j.Bounds.WithdrawWithin {
			j.say("a withdrawn key is not served", "%s was sent %v after the withdrawal and ran", r.ID, c.Sent.Sub(at))
		}
		if at, left := j.DrainAcknowledged[r.Instance]; left && r.At.Sub(at) > j.Bounds.DrainWithin {
			j.say("a leaving backend server gets no new work", "%s ran on %s %v after its leaving was acknowledged", r.ID, r.Instance, r.At.Sub(at))
		}
	}
}

// checkRates looks at each window that ends with a run. A window that a lower limit does not bind yet has the
// limit before.
func (j *judge) checkRates() {
	byOrganisation := map[string][]time.Time{}
	for _, r := range j.Runs {
		if r.Organisation != "" {
			byOrganisation[r.Organisation] = append(byOrganisation[r.Organisation], r.At)
		}
	}
	for organisation, times := range byOrganisation {
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for last := range times {
			for times[last].Sub(times[first]) >= j.Bounds.RateWindow {
				first++
			}
			limit, limited := j.limitAt(organisation, times[first].Add(-j.Bounds.ConfigWithin))
			allowed := (limit.Rate*j.Bounds.RateWindow.Seconds()+limit.Burst)*(1+j.Bounds.RateOverage) + j.Bounds.RateSlack
			if got := last - first + 1; limited && float64(got) > allowed {
				j.say("no organisation exceeds its rate", "%d of %s ran in a window that allows %.0f", got, organisation, allowed)
			}
		}
	}
}

// limitAt returns the highest limit that may be in force from a time on.
func (j *judge) limitAt(organisation string, at time.Time) (Limit, bool) {
	var found Limit
	for _, l := range j.Limits {
		if l.Organisation != organisation {
			continue
		}
		if !l.From.After(at) {
			found = l
		} else if l.Rate > found.Rate || l.Rate == 0 {
			found = l
		}
	}
	return found, found.Rate > 0
}

func (j *judge) checkProbes() {
	found := map[string]time.Time{}
	for _, p := range j.Probes {
		place := p.Process + " " + p.Route
		switch at, seen := found[place]; {
		case p.Found && !seen:
			found[place] = p.Sent
		case !p.Found && seen && p.Sent.Sub(at) > rollbackSlack:
			j.say("the configuration never goes back", "%s lost %s %v after it had it", p.Process, p.Route, p.Sent.Sub(at))
		}
	}
}

// checkStops looks for calls that a node had passed on when it stopped, and that got no answer.
func (j *judge) checkStops() {
	for _, stop := range j.Stops {
		for _, c := range j.Calls {
			if c.Node != stop.Node || c.Verdict != Lost || c.Ended.Before(stop.From) || c.Sent.After(stop.To) {
				continue
			}
			if len(j.runs[c.ID]) > 0 {
				j.say("a planned stop cuts no request", "%s at node %d ran and got no answer", c.ID, c.Node)
			}
		}
	}
}

func (j *judge) checkRecovery() {
	sent, served := 0, 0
	for _, c := range j.Calls {
		if _, withdrawn := j.Withdrawn[c.Key]; c.Sent.Before(j.RecoveryFrom) || withdrawn || c.Probe || c.Organisation == flood {
			continue
		}
		sent++
		if c.Verdict == Completed {
			served++
		}
	}
	if float64(served) < leastServed*float64(sent) {
		j.say("the fleet recovers", "%d of %d calls were served in the end", served, sent)
	}
}
