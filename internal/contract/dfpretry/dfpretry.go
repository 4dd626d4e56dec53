// Package dfpretry bounds retries end to end.
//
// A retry is a further attempt that a node makes at a call. A repeat is the same call sent again
// by the code of a caller or of a backend server.
//
// A root request carries one retry budget for its whole call chain. Each hop tracks the running
// request's part of it in a RequestBudget: the hop reserves a share for every nested call,
// takes back what the call did not use, and deducts one for each retry. Concurrent nested calls
// therefore divide the budget, and the number of retries in the whole tree of calls never exceeds
// the root's budget. A budget that is not returned, because the outcome was lost, counts as used.
//
// A backend server that repeats a nested call which did not succeed uses up the same budget:
// see RequestBudget.Begin. Repeats by callers arrive as new root requests, and a RepeatLimiter
// bounds them by a fraction of the organisation's successful requests. A FleetBudget also bounds
// the retries that all nodes together make at a service, by a fraction of its requests.
//
// No type is safe for concurrent use: the node holds one mutex for each RequestBudget and one for
// each RepeatLimiter.
//
// # Usage
//
//	budget := dfpretry.NewRequestBudget(request.Budget)
//	result := budget.Begin(dfpretry.Fingerprint(service, method, path, body))
//	if _, exhausted := result.(*dfpretry.Exhausted); exhausted {
//		// Refuse with dfpcall.ReasonRetriesSpent.
//	}
//	nested.Budget = result.(*dfpretry.Granted).Budget
//	// ... run the nested call, then:
//	budget.End(fingerprint, nested.Budget, dfpretry.BudgetOf(outcome), dfpretry.Succeeded(outcome))
package dfpretry

import (
	"net/http"

	"dragonflyport/internal/contract/dfpcall"
)

// Decision says whether a hop retries a call: *Retry or *Stop.
type Decision interface{ decision() }

// Retry allows one further attempt on another backend server.
type Retry struct {
	// Budget is the budget of the further attempt, after the deduction of one for the retry.
	Budget int
}

// Stop ends the call with its last outcome.
type Stop struct {
	Cause StopCause
}

func (*Retry) decision() {}
func (*Stop) decision()  {}

// StopCause says why a call is not retried.
type StopCause string

// The causes of a Stop.
const (
	// CauseAnswered means that the call got an answer that is not to be retried.
	CauseAnswered StopCause = "answered"
	// CauseMayHaveRun means that a non-idempotent request may have run.
	CauseMayHaveRun StopCause = "may_have_run"
	// CauseFinal means that any other backend server would give the same outcome.
	CauseFinal StopCause = "final"
	// CauseBudget means that the retry budget of the call chain is used up.
	CauseBudget StopCause = "budget_spent"
	// CauseAttempts means that this hop has made MaxAttempts attempts.
	CauseAttempts StopCause = "attempts_spent"
)

// MaxAttempts is the largest number of attempts that one hop makes for one call.
const MaxAttempts = 3

// Decide decides whether a hop retries a call that ended with the given outcome. budget is the
// retry budget that the last attempt left; attempt is the number of attempts made so far, from 1.
// Only a call that did not run or is idempotent is retried. An answer with a server error is
// retried only if no nested call failed, that is, by the hop next to the backend server that
// failed; where a nested call failed, the hops below have already retried.
func Decide(outcome dfpcall.Outcome, idempotent bool, budget, attempt int) Decision {
	switch out := outcome.(type) {
	case *dfpcall.Answer:
		if !idempotent || out.Status < http.StatusInternalServerError || out.NestedFailed {
			return &Stop{Cause: CauseAnswered}
		}
	case *dfpcall.NotRun:
		if !retryable(out.Reason) {
			return &Stop{Cause: CauseFinal}
		}
	case *dfpcall.Unknown:
		if !idempotent {
			return &Stop{Cause: CauseMayHaveRun}
		}
		if out.Reason == dfpcall.ReasonCancelled || out.Reason == dfpcall.ReasonDeadline {
			return &Stop{Cause: CauseFinal}
		}
	default:
		panic("dfpretry: a call ended without an outcome")
	}
	if attempt >= MaxAttempts {
		return &Stop{Cause: CauseAttempts}
	}
	if budget <= 0 {
		return &Stop{Cause: CauseBudget}
	}
	return &Retry{Budget: budget - 1}
}

// ReachedBackend reports whether a backend server received the request, or may have.
func ReachedBackend(outcome dfpcall.Outcome) bool {
	notRun, ok := outcome.(*dfpcall.NotRun)
	return !ok || notRun.ReachedBackend
}

// retryable reports whether another backend server may accept a request refused for this reason.
func retryable(reason dfpcall.Reason) bool {
	switch reason {
	case dfpcall.ReasonOverload, dfpcall.ReasonServerLimit, dfpcall.ReasonDraining, dfpcall.ReasonLinkLost,
		dfpcall.ReasonNoBackendServer, dfpcall.ReasonBackendFailed:
		return true
	}
	return false
}

// Succeeded reports whether an outcome is an answer after which a client has no reason to repeat
// the request.
func Succeeded(outcome dfpcall.Outcome) bool {
	answer, ok := outcome.(*dfpcall.Answer)
	return ok && answer.Status < http.StatusInternalServerError && answer.Status != http.StatusTooManyRequests
}

// BudgetOf returns the part of the call's retry budget that was not used.
func BudgetOf(outcome dfpcall.Outcome) int {
	switch out := outcome.(type) {
	case *dfpcall.Answer:
		return out.Budget
	case *dfpcall.NotRun:
		return out.Budget
	case *dfpcall.Unknown:
		return out.Budget
	default:
		panic("dfpretry: a call ended without an outcome")
	}
}
