package dfpnode

import (
	"context"
	"net/http"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
	"dragonflyport/internal/zone/dfproute"
)

// maxDepth limits the depth of nested calls, so that services that call each other in a cycle terminate.
const maxDepth = 32

// dispatch sends a request to a backend server of its service. It retries on another one if that is safe and
// the retry budget allows it.
func (n *Node) dispatch(ctx context.Context, req *dfpcall.Request) dfpcall.Outcome {
	if refusal := n.quarantine.refuse(req); refusal != nil {
		return refusal
	}
	var tried []string
	reached := 0
	n.fleetBudgets.count(req.Service)
	for attempt := 1; ; attempt++ {
		started := time.Now()
		out, address := n.attempt(ctx, req, tried)
		req.AttemptLog = append(req.AttemptLog, dfpcall.Attempt{VM: address, Took: time.Since(started), Outcome: out})
		if notRun, refused := out.(*dfpcall.NotRun); refused && notRun.Reason == dfpcall.ReasonServerLimit {
			attempt-- // The retry budget alone bounds how many limited backend servers are asked.
		}
		decision, ok := dfpretry.Decide(out, req.Idempotent, dfpretry.BudgetOf(out), attempt).(*dfpretry.Retry)
		if !ok || address == "" || ctx.Err() != nil {
			return out
		}
		if dfpretry.ReachedBackend(out) {
			reached++
			if reached == req.MaxAttempts || !n.fleetBudgets.take(req.Service, n.router.Nodes()) {
				return out
			}
		}
		if n.quarantine.refuse(req) != nil {
			return out
		}
		n.metrics.retries.Add(1)
		req.Budget = decision.Budget
		tried = append(tried, address)
	}
}

// attempt sends a request to one backend server and returns its VM's address, which is empty if the router
// refused to choose one.
func (n *Node) attempt(ctx context.Context, req *dfpcall.Request, tried []string) (dfpcall.Outcome, string) {
	rnd := n.requestRand()
	now := time.Now()
	choice := n.router.Choose(now, rnd, dfproute.Query{
		Service: req.Service, Importance: req.Importance, Class: req.Class,
		Cohort: dfpcall.CohortAt(req.Cohort, req.Depth), Exclude: tried,
	})
	target, ok := choice.(*dfproute.Target)
	if !ok {
		refusal := choice.(*dfproute.Refusal)
		n.metrics.refusedEarly.Add(1)
		return &dfpcall.NotRun{Reason: refusal.Reason, RetryAfter: refusal.RetryAfter, Budget: req.Budget, Level: refusal.Level}, ""
	}
	sent := *req
	sent.ID = n.newID()
	if deadline, ok := ctx.Deadline(); ok {
		sent.Timeout = deadline.Sub(now)
	}
	out := n.runAt(ctx, target.VM.Address, &sent)
	ended := time.Now()
	n.router.Report(ended, rnd, target, resultOf(out, &sent, ended.Sub(now)))
	return out, target.VM.Address
}

// runAt runs a request through the guard of a VM, which may be this one.
func (n *Node) runAt(ctx context.Context, address string, req *dfpcall.Request) dfpcall.Outcome {
	if address == n.cfg.VM.Address {
		out := n.runForPeer(ctx, address, req)
		n.router.Observe(time.Now(), address, n.guard.load())
		return out
	}
	req.Known = n.peerNotices.known(address)
	return n.mesh.Run(ctx, address, req)
}

// levelMet returns the highest admission level that a call and the calls below it met. A level of nested calls counts
// only if the call's class may depend on them.
func (n *Node) levelMet(req *dfpcall.Request, out dfpcall.Outcome) dfpcall.Level {
	nested := dfpcall.Level(0)
	switch out := out.(type) {
	case *dfpcall.Answer:
		nested = out.NestedLevel
	case *dfpcall.Unknown:
		nested = out.NestedLevel
	}
	if n.router.Independent(req.Service, req.Class) {
		nested = 0
	}
	return max(levelOf(out), nested)
}

func resultOf(out dfpcall.Outcome, req *dfpcall.Request, took time.Duration) dfproute.Result {
	result := dfproute.Result{Took: took, Bytes: len(req.Body)}
	switch out := out.(type) {
	case *dfpcall.Answer:
		result.Failed = out.Status >= http.StatusInternalServerError && !out.NestedFailed
		result.Inconclusive = out.NestedFailed
		result.Dependence = out.Dependence
		result.Bytes += len(out.Body)
	case *dfpcall.NotRun:
		if out.Reason == dfpcall.ReasonServerLimit {
			result.Inconclusive, result.LimitedFor = true, out.RetryAfter
			break
		}
		if out.ReachedBackend {
			result.Failed = true // The guard admitted the request, but the backend server refused it.
			break
		}
		switch out.Reason {
		case dfpcall.ReasonOverload, dfpcall.ReasonDeadline, dfpcall.ReasonDraining, dfpcall.ReasonCancelled:
			result.Inconclusive = true
		default:
			result.Failed = true
		}
	case *dfpcall.Unknown:
		switch {
		case out.NestedFailed || out.Reason == dfpcall.ReasonCancelled:
			result.Inconclusive = true
		case out.Reason == dfpcall.ReasonDeadline:
			result.TimedOut = true
		default:
			result.Failed = true
		}
	}
	return result
}

// dispatchNested runs a nested call within the retry budget of its parent request.
func (n *Node) dispatchNested(ctx context.Context, running *parent, req *dfpcall.Request, idempotencyKey string) dfpcall.Outcome {
	n.metrics.nested.Add(1)
	if req.Depth > maxDepth {
		return &dfpcall.NotRun{Reason: dfpcall.ReasonBadRequest}
	}
	fingerprint := dfpretry.Fingerprint(req.Service, req.Method, req.Path, req.Body)
	reserved, ok := running.begin(fingerprint)
	if !ok {
		return &dfpcall.NotRun{Reason: dfpcall.ReasonRetriesSpent}
	}
	req.Budget = reserved
	out := n.claims.runOnce(ctx, req, idempotencyKey, func(ctx context.Context) dfpcall.Outcome {
		return n.dispatch(ctx, req)
	})
	running.end(fingerprint, reserved, out)
	return out
}
