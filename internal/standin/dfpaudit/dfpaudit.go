// Package dfpaudit judges a run by the backend servers' ledgers: it compares what
// callers were told with what ran, and names each broken promise.
//
// # Usage
//
//	broken := dfpaudit.Check(dfpaudit.Evidence{Accounts: accounts, Result: result, Limits: limits, Elapsed: elapsed})
//	for _, b := range broken {
//		fmt.Println(b)
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

// Limit is what an organisation may send over the whole fleet.
type Limit struct {
	Organisation string
	// Rate is in requests a second, Burst in requests.
	Rate, Burst float64
}

// Evidence is what a run has left behind.
type Evidence struct {
	Accounts []dfpbackendserver.Account
	// Result must have been made with KeepOperations.
	Result *dfpload.Result
	Limits []Limit
	// Elapsed is the time from the first request sent to the last one run.
	Elapsed time.Duration
}

// Broken is one broken promise.
type Broken struct {
	Promise string `json:"promise"`
	Detail  string `json:"detail"`
}

// String returns the promise and what was seen.
func (b Broken) String() string { return b.Promise + ": " + b.Detail }

// The promises that are judged.
const (
	AtMostOnce      = "a non-idempotent request runs at most once"
	NotRunIsTrue    = "a refusal that says not run is true"
	NoKeyPassedOn   = "no backend server sees a caller's key"
	OwnAnswer       = "a caller gets the whole answer to its own request"
	WithinRate      = "no organisation gets more than its rate and burst"
	OwnOrganisation = "a request runs only for the organisation of its key"
)

// maxDetails bounds the broken promises of one kind that are listed.
const maxDetails = 5

// Check returns the broken promises, sorted by promise.
func Check(e Evidence) []Broken {
	j := &judge{evidence: e, runs: map[string][]dfpbackendserver.Run{}, admitted: map[string]int{}}
	for _, account := range e.Accounts {
		j.collect(account)
	}
	j.checkOperations()
	j.checkRates()
	slices.SortStableFunc(j.broken, func(a, b Broken) int { return strings.Compare(a.Promise, b.Promise) })
	return j.broken
}

type judge struct {
	evidence Evidence
	runs     map[string][]dfpbackendserver.Run // by operation
	admitted map[string]int                    // root requests by organisation
	broken   []Broken
	counts   map[string]int
}

func (j *judge) say(promise, format string, args ...any) {
	if j.counts == nil {
		j.counts = map[string]int{}
	}
	j.counts[promise]++
	if j.counts[promise] <= maxDetails {
		j.broken = append(j.broken, Broken{Promise: promise, Detail: fmt.Sprintf(format, args...)})
	}
}

func (j *judge) collect(account dfpbackendserver.Account) {
	for _, run := range account.Runs {
		j.runs[run.Operation] = append(j.runs[run.Operation], run)
		if run.Depth == 0 {
			j.admitted[run.Organisation]++
		}
	}
	if account.Secrets > 0 {
		j.say(NoKeyPassedOn, "%d requests with a key", account.Secrets)
	}
	if account.WrongAnswers > 0 {
		j.say(OwnAnswer, "%d wrong answers to nested calls", account.WrongAnswers)
	}
}

// checkOperations compares what callers were told of each operation that is not
// idempotent with what ran.
func (j *judge) checkOperations() {
	for _, op := range j.evidence.Result.Operations {
		runs := j.runs[op.Name]
		if len(runs) > 1 {
			j.say(AtMostOnce, "%s %s ran %d times; its caller was told %v", op.Path, op.Name, len(runs), op.Attempts)
		}
		if len(runs) > 0 && allNotRun(op.Attempts) {
			j.say(NotRunIsTrue, "%s %s ran; its caller was told %v", op.Path, op.Name, op.Attempts)
		}
		for _, run := range runs {
			if run.Organisation != op.Organisation {
				j.say(OwnOrganisation, "%s of %s ran for %s", op.Name, op.Organisation, run.Organisation)
			}
		}
	}
	for _, row := range j.evidence.Result.Rows {
		if n := row.AttemptsByVerdict[dfpload.VerdictWrong]; n > 0 {
			j.say(OwnAnswer, "%s got %d wrong answers", row.Organisation, n)
		}
	}
}

func allNotRun(attempts []dfpload.Verdict) bool {
	for _, verdict := range attempts {
		if verdict != dfpload.VerdictNotRun {
			return false
		}
	}
	return len(attempts) > 0
}

func (j *judge) checkRates() {
	for _, limit := range j.evidence.Limits {
		allowed := limit.Rate*j.evidence.Elapsed.Seconds() + limit.Burst
		if got := float64(j.admitted[limit.Organisation]); got > allowed {
			j.say(WithinRate, "%s ran %.0f requests in %s, allowed are %.1f",
				limit.Organisation, got, j.evidence.Elapsed, allowed)
		}
	}
}
