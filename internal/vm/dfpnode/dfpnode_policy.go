package dfpnode

import (
	"math/rand/v2"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
	"dragonflyport/internal/contract/dfprules"
	"dragonflyport/internal/zone/dfproute"
)

// earlyRetryAfter is the mean of Retry-After of what this entry refuses by itself.
const earlyRetryAfter = time.Second

// entryPolicy is what an entry refuses before a request costs anything else: callers'
// early repeats, and what some guard of the route's chain would refuse.
type entryPolicy struct {
	chains dfproute.ChainLevels
	bursts dfproute.BurstDetector

	mu      sync.Mutex
	repeats *dfpretry.RepeatLimiter
	returns dfpretry.RepeatDetector
}

func (p *entryPolicy) init() {
	p.repeats = dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{})
}

// cameBack reports whether a request has come back after a refusal.
func (p *entryPolicy) cameBack(route string, left time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.returns.IsRepeat(route, left)
}

// setRules forgets the organisations that the rules no longer name.
func (p *entryPolicy) setRules(rules *dfprules.Ruleset) {
	named := func(organisation string) bool {
		_, ok := rules.Organisation(organisation)
		return ok || organisation == ""
	}
	p.bursts.Keep(named)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.repeats.Keep(func(organisation, _ string) bool { return named(organisation) })
}

// serveWithinPolicy runs a root request unless the entry's policy refuses it.
// The idempotency key, where there is one, tells a repeat.
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
	if n.cfg.Route.NoEarlyRefusal || n.policy.chains.Admits(time.Now(), route, req.Importance, req.Cohort) {
		out = serve()
		n.policy.learn(route, out)
	} else {
		out = n.refuseEarly(req, dfpcall.ReasonOverload, earlyRetryAfter/2+rand.N(earlyRetryAfter))
	}
	n.policy.end(root, out)
	return out
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
	return n.policy.repeats.Allow(time.Now(), root)
}

// end takes in how a request ended, for its caller's repeats. Those that the rate or a
// claim refused are bounded by these.
func (p *entryPolicy) end(root dfpretry.RootRequest, out dfpcall.Outcome) {
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
	p.repeats.End(time.Now(), root, dfpretry.RootOutcomeOf(out), retryAfter)
}

// learn takes in the admission level that a request of a route has met. Refusals for
// other reasons than overload have met none.
func (p *entryPolicy) learn(route string, out dfpcall.Outcome) {
	if notRun, ok := out.(*dfpcall.NotRun); ok && notRun.Reason != dfpcall.ReasonOverload {
		return
	}
	p.chains.Observe(time.Now(), route, levelOf(out))
}
