// Package dfpretry bounds retries from end to end.
//
// A root request carries one budget of retries for its whole call chain. Each
// hop keeps an Account: it lends a part of it to every nested call, takes back
// what the call left, and pays one for each retry. Calls in progress side by
// side therefore divide the budget, and the number of retries in the whole
// tree of calls is never more than the root's budget. A budget that is not
// returned, because the outcome was lost, is gone.
//
// A backend server whose own code repeats a nested call that did not succeed
// pays from the same account: see Account.Begin. Callers' own repeats come as new root
// requests; CallerRepeats bounds them by a part of the organisation's accepted requests.
//
// Nothing here is locked: the node holds one mutex per Account and one
// per CallerRepeats.
//
// # Usage
//
//	account := dfpretry.NewRequestBudget(request.Budget)
//	begin := account.Begin(dfpretry.Fingerprint(service, method, path, body))
//	if _, spent := begin.(*dfpretry.Exhausted); spent {
//		// Refuse with dfpcall.ReasonRetriesSpent.
//	}
//	nested.Budget = begin.(*dfpretry.Granted).Budget
//	// ... run the nested call, then:
//	account.End(fingerprint, lent, dfpretry.BudgetOf(outcome), dfpretry.Succeeded(outcome))
package dfpretry

import (
	"net/http"

	"dragonflyport/internal/contract/dfpcall"
)

// Decision says whether a hop tries a call again: *Retry or *Stop.
type Decision interface{ decision() }

// Retry allows one further attempt on another backend server.
type Retry struct {
	// Budget is what is left for the attempt after paying for it.
	Budget int
}

// Stop ends the call with the outcome that it has.
type Stop struct {
	Cause StopCause
}

func (*Retry) decision() {}
func (*Stop) decision()  {}

// StopCause says why a call is not tried again.
type StopCause string

// The causes of a Stop.
const (
	// CauseAnswered means that the whole answer is there.
	CauseAnswered StopCause = "answered"
	// CauseMayHaveRun means that a non-idempotent request may have run.
	CauseMayHaveRun StopCause = "may_have_run"
	// CauseFinal means that no other backend server would decide otherwise.
	CauseFinal StopCause = "final"
	// CauseBudget means that the chain's budget is spent.
	CauseBudget StopCause = "budget_spent"
	// CauseAttempts means that this hop has made all the attempts it may make.
	CauseAttempts StopCause = "attempts_spent"
)

// MaxAttempts is the number of attempts that one hop makes for one call.
const MaxAttempts = 3

// Decide decides whether a hop tries a call again that ended with outcome. Budget
// is what the call's last attempt left; attempt is the number of attempts
// made, from 1. Only what did not run, or is idempotent, is tried again. An answer of
// failure is tried again only by the hop next to the backend server that failed by
// itself; where a nested call failed, the hops below have tried already.
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

// ReachedBackend reports whether a backend server got the request.
func ReachedBackend(outcome dfpcall.Outcome) bool {
	notRun, ok := outcome.(*dfpcall.NotRun)
	return !ok || notRun.ReachedBackend
}

// retryable reports whether another backend server may take what one refused.
func retryable(reason dfpcall.Reason) bool {
	switch reason {
	case dfpcall.ReasonOverload, dfpcall.ReasonDraining, dfpcall.ReasonLinkLost,
		dfpcall.ReasonNoBackendServer, dfpcall.ReasonBackendFailed:
		return true
	}
	return false
}

// Succeeded reports whether an outcome is an answer that a client has no
// reason to ask for again.
func Succeeded(outcome dfpcall.Outcome) bool {
	answer, ok := outcome.(*dfpcall.Answer)
	return ok && answer.Status < http.StatusInternalServerError && answer.Status != http.StatusTooManyRequests
}

// BudgetOf returns what an outcome leaves of the budget that its call was given.
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
