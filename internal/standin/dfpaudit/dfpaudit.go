// Package dfpaudit checks a load test against the ledgers of the backend servers: it
// compares what callers were told with what ran, and reports each violation of a
// promise. A promise is a guarantee that the nodes give to callers and backend
// servers.
//
// # Usage
//
//	violations := dfpaudit.Check(dfpaudit.Evidence{Ledgers: ledgers, Result: result, Limits: limits, Elapsed: elapsed})
//	for _, v := range violations {
//		fmt.Println(v)
//	}
package dfpaudit

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"dragonflyport/internal/standin/dfpbackendserver"
	"dragonflyport/internal/standin/dfpload"
)

// Limit is the rate limit of an organisation over the whole fleet.
type Limit struct {
	Organisation string
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
}

// Evidence is what a load test recorded.
type Evidence struct {
	Ledgers []dfpbackendserver.LedgerSnapshot
	// Result must come from a load test with KeepOperations.
	Result *dfpload.Result
	Limits []Limit
	// Elapsed is the time from the first request sent to the last request run.
	Elapsed time.Duration
}

// Violation is one violation of a promise.
type Violation struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// String returns the promise and the detail.
func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// The promises that are checked.
const (
	AtMostOnce      = "a non-idempotent request runs at most once"
	NotRunIsTrue    = "a refusal that says not run is true"
	NoKeyPassedOn   = "no backend server sees a caller's key"
	OwnAnswer       = "a caller gets the whole answer to its own request"
	WithinRate      = "no organisation gets more than its rate and burst"
	OwnOrganisation = "a request runs only for the organisation of its key"
)

// maxViolationsPerPromise is the maximum number of violations reported for one promise.
const maxViolationsPerPromise = 5

// Check returns the violations, sorted by promise; at most maxViolationsPerPromise for
// each promise.
func Check(e Evidence) []Violation {
	a := &auditor{evidence: e, runs: map[string][]dfpbackendserver.Run{}, rootRuns: map[string]int{}}
	for _, ledger := range e.Ledgers {
		a.addLedger(ledger)
	}
	a.checkOperations()
	a.checkRates()
	slices.SortStableFunc(a.violations, func(x, y Violation) int { return strings.Compare(x.Promise, y.Promise) })
	return a.violations
}

// auditor holds the evidence and collects the violations.
type auditor struct {
	evidence   Evidence
	runs       map[string][]dfpbackendserver.Run // By operation.
	rootRuns   map[string]int                    // Runs of callers' requests by organisation.
	violations []Violation
	counts     map[string]int
}

// addViolation adds a violation, unless the promise has enough of them.
func (a *auditor) addViolation(promise, format string, args ...any) {
	if a.counts == nil {
		a.counts = map[string]int{}
	}
	a.counts[promise]++
	if a.counts[promise] <= maxViolationsPerPromise {
		a.violations = append(a.violations, Violation{Promise: promise, Detail: fmt.Sprintf(format, args...)})
	}
}

// addLedger adds the runs of a ledger and checks its counters.
func (a *auditor) addLedger(ledger dfpbackendserver.LedgerSnapshot) {
	for _, run := range ledger.Runs {
		a.runs[run.Operation] = append(a.runs[run.Operation], run)
		if run.Depth == 0 {
			a.rootRuns[run.Organisation]++
		}
	}
	if ledger.RequestsWithSecret > 0 {
		a.addViolation(NoKeyPassedOn, "%d requests with a key", ledger.RequestsWithSecret)
	}
	if ledger.WrongAnswers > 0 {
		a.addViolation(OwnAnswer, "%d wrong answers to nested calls", ledger.WrongAnswers)
	}
}

// checkOperations compares what callers were told about each non-idempotent
// operation with what ran, and checks callers' counts of wrong answers.
func (a *auditor) checkOperations() {
	for _, op := range a.evidence.Result.Operations {
		runs := a.runs[op.Name]
		if len(runs) > 1 {
			a.addViolation(AtMostOnce, "%s %s ran %d times; its caller was told %v", op.Path, op.Name, len(runs), op.Attempts)
		}
		if len(runs) > 0 && allNotRun(op.Attempts) {
			a.addViolation(NotRunIsTrue, "%s %s ran; its caller was told %v", op.Path, op.Name, op.Attempts)
		}
		for _, run := range runs {
			if run.Organisation != op.Organisation {
				a.addViolation(OwnOrganisation, "%s of %s ran for %s", op.Name, op.Organisation, run.Organisation)
			}
		}
	}
	for _, row := range a.evidence.Result.Rows {
		if n := row.AttemptsByVerdict[dfpload.VerdictWrong]; n > 0 {
			a.addViolation(OwnAnswer, "%s got %d wrong answers", row.Organisation, n)
		}
	}
}

// allNotRun reports whether there are attempts and the caller was told for each that
// it did not run.
func allNotRun(attempts []dfpload.Verdict) bool {
	for _, verdict := range attempts {
		if verdict != dfpload.VerdictNotRun {
			return false
		}
	}
	return len(attempts) > 0
}

// checkRates checks that no organisation got more than its burst plus its rate over
// the elapsed time.
func (a *auditor) checkRates() {
	for _, limit := range a.evidence.Limits {
		allowed := limit.Rate*a.evidence.Elapsed.Seconds() + limit.Burst
		if got := float64(a.rootRuns[limit.Organisation]); got > allowed {
			a.addViolation(WithinRate, "%s ran %.0f requests in %s, allowed are %.1f",
				limit.Organisation, got, a.evidence.Elapsed, allowed)
		}
	}
}
