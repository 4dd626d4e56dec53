package dfpsoak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// Evidence is what callers, backend servers and the operator saw in a soak test.
type Evidence struct {
	Bounds Bounds
	Calls  []Call
	Runs   []Run
	// Withdrawn maps each withdrawn key to the time at which the store acknowledged the withdrawal.
	Withdrawn map[string]time.Time
	// Limits are the organisations' rate limits, in the order in which the store acknowledged them.
	Limits []Limit
	// DrainAcknowledged maps each drained instance of a backend server to the time at which a node acknowledged
	// that the instance drains.
	DrainAcknowledged map[string]time.Time
	// Notices are the answers in which instances said something about themselves, in their order.
	Notices []Notice
	// Crashes maps the body of each request that crashes backend servers to the times of the crashes.
	Crashes map[string][]time.Time
	// Starts are the starts of the nodes' processes, and AllKilled the times at which all were killed at once.
	Starts    []Start
	AllKilled []time.Time
	// Probes are the requests to added routes, in the order in which they ended.
	Probes []Probe
	// Stops are the planned stops. UnexpectedExits describes the processes that ended without a signal, or that
	// ended late or with an error after SIGTERM.
	Stops           []Stop
	UnexpectedExits []string
	// RecoveryFrom is the time from which the fleet must serve again.
	RecoveryFrom time.Time
}

// Limit is an organisation's rate limit from the time From on. Rate is in requests a second, Burst in requests.
type Limit struct {
	Organisation string
	Rate, Burst  float64
	From         time.Time
}

// Notice is an answer, written At, in which an instance said something about itself. Node is the index of the
// node beside it.
type Notice struct {
	Instance string
	Node     int
	At       time.Time
	Notice   dfpcall.Notice
}

// Start is the start of a node's process.
type Start struct {
	Node int
	At   time.Time
}

// Probe is a request to a route that a configuration added.
type Probe struct {
	// Process identifies one process of a node: a restart of the node gives another one.
	Process string
	Route   string
	Sent    time.Time
	// Found reports whether the route was in force. A probe that does not show which is not recorded.
	Found bool
}

// Stop is the planned stop of a node.
type Stop struct {
	Node     int
	From, To time.Time
}

const (
	// reorderTolerance allows for concurrent probes that reach the node in another order than they were sent in.
	reorderTolerance = 250 * time.Millisecond
	// minServedFraction is the fraction of calls that must complete after Evidence.RecoveryFrom.
	minServedFraction = 0.25
	// limitWindow is the time over which a named limit is checked, and limitSettle the time after the first answer
	// that names it until it holds. In any window an instance may get limitOverage times what the limit allows
	// and limitSlack requests more.
	limitWindow  = 4 * time.Second
	limitSettle  = time.Second
	limitOverage = 1.5
	limitSlack   = 5
	// After maxCrashes crashes and crashSettle more, a request may reach backend servers maxCrashRepeats times.
	maxCrashes      = 3
	maxCrashRepeats = 3
	crashSettle     = 3 * time.Second
	// maxViolationsPerPromise is the maximum number of lines about one promise.
	maxViolationsPerPromise = 4
)

// Check returns the violations of promises that the evidence shows, one line each and at most
// maxViolationsPerPromise lines for one promise.
func Check(e Evidence) []string {
	ck := &checker{Evidence: e, runs: map[string][]Run{}, calls: map[string]Call{}, counts: map[string]int{}}
	for _, r := range e.Runs {
		ck.runs[r.ID] = append(ck.runs[r.ID], r)
	}
	for _, c := range e.Calls {
		ck.calls[c.ID] = c
	}
	for _, check := range []func(){ck.checkCalls, ck.checkRuns, ck.checkRates, ck.checkNotices, ck.checkCrashes, ck.checkProbes, ck.checkStops, ck.checkRecovery} {
		check()
	}
	for _, end := range e.UnexpectedExits {
		ck.report("processes end only when they are told to", "%s", end)
	}
	return ck.violations
}

type checker struct {
	Evidence
	runs       map[string][]Run // By call ID.
	calls      map[string]Call  // By ID.
	counts     map[string]int   // Violations by promise.
	violations []string
}

// report records a violation of a promise.
func (ck *checker) report(promise, format string, args ...any) {
	ck.counts[promise]++
	if ck.counts[promise] <= maxViolationsPerPromise {
		ck.violations = append(ck.violations, promise+": "+fmt.Sprintf(format, args...))
	}
}

func (ck *checker) checkCalls() {
	for _, c := range ck.Calls {
		runs := ck.runs[c.ID]
		switch {
		case c.AtMostOnce && len(runs) > 1:
			ck.report("a request that is not idempotent runs at most once", "%s ran %d times", c.ID, len(runs))
		case c.AtMostOnce && len(runs) > 0 && c.Verdict == NotRun:
			ck.report("not run is true", "%s ran at %s", c.ID, runs[0].Instance)
		case c.Verdict == Wrong:
			ck.report("a caller gets the whole answer to its own request", "%s", c.ID)
		case c.Verdict == Completed && len(runs) == 0:
			ck.report("a caller gets the whole answer to its own request", "%s completed and never ran", c.ID)
		}
		if _, withdrawn := ck.Withdrawn[c.Key]; c.Verdict == Denied && !withdrawn && !c.Probe {
			ck.report("a proper request is not denied", "%s at node %d", c.ID, c.Node)
		}
	}
}

func (ck *checker) checkRuns() {
	for _, r := range ck.Runs {
		id, _, nested := strings.Cut(r.ID, "/")
		c, known := ck.calls[id]
		switch {
		case !known:
			ck.report("a backend server runs only what a caller sent", "%s at %s", r.ID, r.Instance)
			continue
		case r.KeySeen:
			ck.report("no backend server sees a key", "%s at %s", r.ID, r.Instance)
		case r.ExpectedInstance != r.Instance:
			ck.report("a request runs on the instance that it is for", "%s is for %s, ran on %s", r.ID, r.ExpectedInstance, r.Instance)
		case !nested && r.Organisation != c.Organisation:
			ck.report("a request runs for the organisation of its key", "%s of %s ran for %q", r.ID, c.Organisation, r.Organisation)
		}
		if at, withdrawn := ck.Withdrawn[c.Key]; withdrawn && !nested && c.Sent.Sub(at) > ck.Bounds.WithdrawWithin {
			ck.report("a withdrawn key is not served", "%s was sent %v after the withdrawal and ran", r.ID, c.Sent.Sub(at))
		}
		if at, draining := ck.DrainAcknowledged[r.Instance]; draining && r.At.Sub(at) > ck.Bounds.DrainWithin {
			ck.report("a draining backend server gets no new work", "%s ran on %s %v after its draining was acknowledged", r.ID, r.Instance, r.At.Sub(at))
		}
	}
}

// checkRates checks each window of RateWindow that ends with a run. A lower limit applies only to windows that
// begin at least ConfigWithin after it was acknowledged; the previous limit applies to the others.
func (ck *checker) checkRates() {
	byOrganisation := map[string][]time.Time{}
	for _, r := range ck.Runs {
		if r.Organisation != "" {
			byOrganisation[r.Organisation] = append(byOrganisation[r.Organisation], r.At)
		}
	}
	for organisation, times := range byOrganisation {
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for last := range times {
			for times[last].Sub(times[first]) >= ck.Bounds.RateWindow {
				first++
			}
			limit, limited := ck.limitAt(organisation, times[first].Add(-ck.Bounds.ConfigWithin))
			allowed := (limit.Rate*ck.Bounds.RateWindow.Seconds()+limit.Burst)*(1+ck.Bounds.RateOverage) + ck.Bounds.RateSlack
			if got := last - first + 1; limited && float64(got) > allowed {
				ck.report("no organisation exceeds its rate", "%d of %s ran in a window that allows %.0f", got, organisation, allowed)
			}
		}
	}
}

// checkNotices checks that instances that say that they leave get no requests, and that instances that name a
// limit get no more than that. A restart of the node beside an instance loses what only that node knew: a run
// after it is not counted against leaving, and the slots of the instance are added to what a limit allows.
func (ck *checker) checkNotices() {
	runs := map[string][]time.Time{}
	for _, r := range ck.Runs {
		runs[r.Instance] = append(runs[r.Instance], r.At)
	}
	type limit struct {
		instance string
		rate     float64
	}
	leaving, limited := map[string]Notice{}, map[limit][]Notice{}
	for _, n := range ck.Notices {
		if _, known := leaving[n.Instance]; n.Notice.Leaving && !known {
			leaving[n.Instance] = n
		}
		if n.Notice.Limited {
			key := limit{n.Instance, n.Notice.Rate}
			limited[key] = append(limited[key], n)
		}
	}
	for instance, n := range leaving {
		for _, at := range runs[instance] {
			if at.Sub(n.At) > ck.Bounds.DrainWithin && ck.startsBetween(n.Node, n.At, at) == 0 {
				ck.report("a backend server that says that it leaves gets no new work", "%s ran %v later", instance, at.Sub(n.At))
			}
		}
	}
	for l, named := range limited {
		first, last := named[0].At.Add(limitSettle), named[len(named)-1].At
		times := slices.Clone(runs[l.instance])
		slices.SortFunc(times, time.Time.Compare)
		for i, from := range times {
			to := from.Add(limitWindow)
			if from.Before(first) || to.After(last) {
				continue
			}
			got := 0
			for _, at := range times[i:] {
				if at.Before(to) {
					got++
				}
			}
			starts := ck.startsBetween(named[0].Node, from.Add(-limitSettle), to)
			allowed := limitOverage*l.rate*limitWindow.Seconds() + limitSlack + float64(slots*starts)
			if float64(got) > allowed {
				ck.report("a backend server gets no more than it names", "%s got %d in a window that allows %.1f", l.instance, got, allowed)
			}
		}
	}
}

// startsBetween returns the number of starts of a node's process in a time.
func (ck *checker) startsBetween(node int, from, to time.Time) int {
	n := 0
	for _, s := range ck.Starts {
		if s.Node == node && !s.At.Before(from) && s.At.Before(to) {
			n++
		}
	}
	return n
}

// checkCrashes checks that a request that crashes backend servers is not sent to more and more of them. If all
// nodes are killed at once, they may start to count anew.
func (ck *checker) checkCrashes() {
	for body, crashes := range ck.Crashes {
		if len(crashes) < maxCrashes {
			continue
		}
		bound := crashes[maxCrashes-1].Add(crashSettle)
		later := 0
		for _, r := range ck.Runs {
			if r.Body == body && r.At.After(bound) {
				later++
			}
		}
		allowed := maxCrashRepeats + maxCrashes*len(ck.AllKilled)
		if later > allowed {
			ck.report("a request that crashes backend servers is refused", "%q reached them %d times after the third crash, allowed %d", body, later, allowed)
		}
	}
}

// limitAt returns the highest limit that may be in force at or after the given time, and whether there is one.
func (ck *checker) limitAt(organisation string, at time.Time) (Limit, bool) {
	var found Limit
	for _, l := range ck.Limits {
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

func (ck *checker) checkProbes() {
	found := map[string]time.Time{}
	for _, p := range ck.Probes {
		place := p.Process + " " + p.Route
		switch at, seen := found[place]; {
		case p.Found && !seen:
			found[place] = p.Sent
		case !p.Found && seen && p.Sent.Sub(at) > reorderTolerance:
			ck.report("the configuration never goes back", "%s no longer had %s %v after the first probe that found it", p.Process, p.Route, p.Sent.Sub(at))
		}
	}
}

// checkStops reports the calls that overlap with a planned stop of their node, ran, and got no answer.
func (ck *checker) checkStops() {
	for _, stop := range ck.Stops {
		for _, c := range ck.Calls {
			if c.Node != stop.Node || c.Verdict != Lost || c.Ended.Before(stop.From) || c.Sent.After(stop.To) {
				continue
			}
			if len(ck.runs[c.ID]) > 0 {
				ck.report("a planned stop cuts no request", "%s at node %d ran and got no answer", c.ID, c.Node)
			}
		}
	}
}

func (ck *checker) checkRecovery() {
	sent, served := 0, 0
	for _, c := range ck.Calls {
		if _, withdrawn := ck.Withdrawn[c.Key]; c.Sent.Before(ck.RecoveryFrom) || withdrawn || c.Probe || c.Organisation == overloadOrg {
			continue
		}
		sent++
		if c.Verdict == Completed {
			served++
		}
	}
	if float64(served) < minServedFraction*float64(sent) {
		ck.report("the fleet recovers", "%d of %d calls were served after the start of the recovery phase", served, sent)
	}
}
