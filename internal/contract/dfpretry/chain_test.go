package dfpretry_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
)

const (
	chainDepth  = 6
	chainBudget = 2
	// codeAttempts is how often the code of a backend server sends each nested call, and
	// callerAttempts how often a caller sends each request.
	codeAttempts   = 3
	callerAttempts = 6
)

// chain runs requests through a chain of services, each of which calls the next.
type chain struct {
	rnd *rand.Rand
	// failureRate is the fraction of runs at the deepest service that fail.
	failureRate float64
	// unlimited disables all budgets: every hop makes all its attempts.
	unlimited bool
	// deepest counts the runs at the deepest service.
	deepest int
}

// node simulates a node that sends a call to a guard and retries it if Decide allows.
func (c *chain) node(depth, budget int) dfpcall.Outcome {
	for attempt := 1; ; attempt++ {
		outcome := c.run(depth, budget)
		if c.unlimited {
			if dfpretry.Succeeded(outcome) || attempt == dfpretry.MaxAttempts {
				return outcome
			}
			continue
		}
		retry, ok := dfpretry.Decide(outcome, true, dfpretry.BudgetOf(outcome), attempt).(*dfpretry.Retry)
		if !ok {
			return outcome
		}
		budget = retry.Budget
	}
}

// run simulates a backend server whose code repeats its nested call until it succeeds.
func (c *chain) run(depth, budget int) dfpcall.Outcome {
	if depth == chainDepth-1 {
		c.deepest++
		return c.end(budget)
	}
	requestBudget := dfpretry.NewRequestBudget(budget)
	fingerprint := uint64(depth)
	var outcome dfpcall.Outcome
	for range codeAttempts {
		grant, ok := requestBudget.Begin(fingerprint).(*dfpretry.Granted)
		if !ok && !c.unlimited {
			break
		}
		granted := 0
		if ok {
			granted = grant.Budget
		}
		outcome = c.node(depth+1, granted)
		if ok {
			requestBudget.End(fingerprint, granted, dfpretry.BudgetOf(outcome), dfpretry.Succeeded(outcome))
		}
		if dfpretry.Succeeded(outcome) {
			return &dfpcall.Answer{Status: 200, Budget: requestBudget.Remaining()}
		}
	}
	return nestedFailed(c.failure(requestBudget.Remaining()))
}

// nestedFailed marks an answer as the guard does if a nested call failed.
func nestedFailed(outcome dfpcall.Outcome) dfpcall.Outcome {
	if answer, ok := outcome.(*dfpcall.Answer); ok {
		answer.NestedFailed = true
	}
	return outcome
}

func (c *chain) end(budget int) dfpcall.Outcome {
	if c.rnd.Float64() >= c.failureRate {
		return &dfpcall.Answer{Status: 200, Budget: budget}
	}
	return c.failure(budget)
}

// failure returns a random outcome of a run that failed: an answer, or no answer.
func (c *chain) failure(budget int) dfpcall.Outcome {
	switch c.rnd.IntN(3) {
	case 0:
		return &dfpcall.Answer{Status: 503, Budget: budget}
	case 1:
		return &dfpcall.Unknown{Reason: dfpcall.ReasonBackendFailed, Budget: budget}
	default:
		// The link broke, so the remaining budget of the call is lost.
		return &dfpcall.Unknown{Reason: dfpcall.ReasonLinkLost}
	}
}

// callers sends requests and repeats each until it succeeds, up to callerAttempts times. It returns the
// number of accepted root requests.
func (c *chain) callers(requests int) int {
	now := time.Unix(1, 0)
	limiter := dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{})
	accepted := 0
	for request := range requests {
		for range callerAttempts {
			now = now.Add(time.Millisecond)
			root := dfpretry.RootRequest{Organisation: "waldspiel", Fingerprint: uint64(request + 1)}
			if !c.unlimited && limiter.Allow(now, root) > 0 {
				continue
			}
			accepted++
			outcome := c.node(0, chainBudget)
			limiter.End(now, root, dfpretry.RootOutcomeOf(outcome), 0)
			if dfpretry.Succeeded(outcome) {
				break
			}
		}
	}
	return accepted
}

// TestChainBoundsRuns checks the bounds while every hop, every backend server's code and every caller
// repeats as often as it can: each accepted root request runs at most 1 + budget times at the deepest
// service, and the callers' repeats are a bounded fraction of the requests.
func TestChainBoundsRuns(t *testing.T) {
	const requests = 1000
	for _, failureRate := range []float64{0, 0.05, 0.5, 1} {
		t.Run(fmt.Sprintf("failing %v", failureRate), func(t *testing.T) {
			c := &chain{rnd: rand.New(rand.NewPCG(1, 2)), failureRate: failureRate}
			accepted := c.callers(requests)
			t.Logf("%d requests, %d accepted with repeats, %d runs at the deepest service", requests, accepted, c.deepest)
			assert.Assert(t, c.deepest <= (1+chainBudget)*accepted, "%d runs for %d accepted requests", c.deepest, accepted)
			bound := requests + dfpretry.DefaultRepeatBurst + int(dfpretry.DefaultRepeatRatio*float64(accepted))
			assert.Assert(t, accepted <= bound, "%d accepted, bound %d", accepted, bound)
		})
	}
}

// TestUnlimitedRetriesMultiply compares the same chain without and with a budget. Without one, the
// attempts of all hops multiply.
func TestUnlimitedRetriesMultiply(t *testing.T) {
	unlimited := &chain{rnd: rand.New(rand.NewPCG(1, 2)), failureRate: 1, unlimited: true}
	assert.Assert(t, !dfpretry.Succeeded(unlimited.run(1, chainBudget)))
	bounded := &chain{rnd: rand.New(rand.NewPCG(1, 2)), failureRate: 1}
	assert.Assert(t, !dfpretry.Succeeded(bounded.run(1, chainBudget)))
	t.Logf("runs at the deepest service for one request from depth 1: %d unlimited, %d with a budget of %d",
		unlimited.deepest, bounded.deepest, chainBudget)
	assert.Assert(t, unlimited.deepest > 100*(1+chainBudget))
	assert.Assert(t, bounded.deepest <= 1+chainBudget)
}
