package dfpnode

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/zone/dfproute"
)

// earlyRetryAfter is the mean retry delay in refusals for overload that this entry makes by itself.
const earlyRetryAfter = time.Second

// entryPolicy refuses root requests before they use any resources: repeats that come too early or too
// often, and requests that a guard in the route's call chain would refuse.
type entryPolicy struct {
	chainLevels dfproute.ChainLevels
	bursts      dfproute.BurstDetector
	// verdicts counts the decisions by chainLevels.
	verdicts [dfproute.VerdictCount]atomic.Int64

	mu             sync.Mutex
	repeatLimiter  *dfpretry.RepeatLimiter
	repeatDetector dfpretry.RepeatDetector
}

func (p *entryPolicy) init() {
	p.repeatLimiter = dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{})
}

// isRepeat reports whether a request seems to repeat a refused one, by the time that its caller still waits;
// see dfpretry.RepeatDetector.
func (p *entryPolicy) isRepeat(route string, timeout time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.repeatDetector.IsRepeat(route, timeout)
}

// setRules discards the state of organisations that are no longer in the rules.
func (p *entryPolicy) setRules(rules *dfprules.Ruleset) {
	named := func(organisation string) bool {
		_, ok := rules.Organisation(organisation)
		return ok || organisation == ""
	}
	p.bursts.Keep(named)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeatLimiter.Keep(func(organisation, _ string) bool { return named(organisation) })
}

// serveWithinPolicy runs a root request unless the entry's policy refuses it. If there is an idempotency
// key, it identifies repeats.
func (n *Node) serveWithinPolicy(req *dfpcall.Request, route, idempotencyKey string, serve func() dfpcall.Outcome) dfpcall.Outcome {
	if n.cfg.Quota == nil {
		req.Cohort = n.policy.bursts.Cohort(time.Now(), req.Organisation, req.Cohort)
	}
	root := dfpretry.RootRequest{Organisation: req.Organisation, Route: route}
	if idempotencyKey != "" {
		root.Fingerprint = dfpretry.Fingerprint(req.Service, req.Method, idempotencyKey, nil)
	}
	if after := n.allowRepeat(root); after > 0 {
		return n.refuseEarly(req, dfpcall.ReasonRetriesSpent, after)
	}
	var out dfpcall.Outcome
	if n.cfg.Route.NoEarlyRefusal || n.policy.admits(route, req) {
		out = serve()
		n.policy.observeLevel(route, out, n.levelMet(req, out))
	} else {
		out = n.refuseEarly(req, dfpcall.ReasonOverload, earlyRetryAfter/2+rand.N(earlyRetryAfter))
	}
	n.policy.recordOutcome(root, out)
	return out
}

// admits reports whether a root request is likely to pass the guards of its chain, or serves as a probe.
func (p *entryPolicy) admits(route string, req *dfpcall.Request) bool {
	verdict := p.chainLevels.Decide(time.Now(), route, req.Importance, req.Cohort)
	p.verdicts[verdict].Add(1)
	return verdict != dfproute.Refused
}

func (n *Node) refuseEarly(req *dfpcall.Request, reason dfpcall.Reason, after time.Duration) dfpcall.Outcome {
	n.metrics.refusedEarly.Add(1)
	return &dfpcall.NotRun{Reason: reason, RetryAfter: after, Budget: req.Budget}
}

func (n *Node) allowRepeat(root dfpretry.RootRequest) time.Duration {
	if n.cfg.NoRepeatLimit {
		return 0
	}
	n.policy.mu.Lock()
	defer n.policy.mu.Unlock()
	return n.policy.repeatLimiter.Allow(time.Now(), root)
}

// recordOutcome records the outcome of a request for the limit on its caller's repeats. It ignores
// refusals by the rate or by a claim, since these already limit the repeats.
func (p *entryPolicy) recordOutcome(root dfpretry.RootRequest, out dfpcall.Outcome) {
	var retryAfter time.Duration
	if notRun, ok := out.(*dfpcall.NotRun); ok {
		switch notRun.Reason {
		case dfpcall.ReasonOrganisationRate, dfpcall.ReasonRepeatInProgress, dfpcall.ReasonBarred, dfpcall.ReasonClaimUnreachable:
			return
		}
		retryAfter = notRun.RetryAfter
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeatLimiter.End(time.Now(), root, dfpretry.RootOutcomeOf(out), retryAfter)
}

// observeLevel records the admission level that a request of a route met. Requests that were refused for
// other reasons than overload met none.
func (p *entryPolicy) observeLevel(route string, out dfpcall.Outcome, level dfpcall.Level) {
	if notRun, ok := out.(*dfpcall.NotRun); ok && notRun.Reason != dfpcall.ReasonOverload {
		return
	}
	p.chainLevels.Observe(time.Now(), route, level)
}
