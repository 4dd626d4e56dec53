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
	// codeAttempts is how often the code of a backend server asks for each nested call,
	// and callerAttempts how often a caller asks.
	codeAttempts   = 3
	callerAttempts = 6
)

// chain runs requests through services that call each other in a row.
type chain struct {
	rnd *rand.Rand
	// failedPart is the part of runs at the deepest service that fail.
	failedPart float64
	// naive switches the budget off: every hop tries as often as it likes.
	naive   bool
	deepest int
}

// node is a node that sends a call to a guard, and tries it again as it may.
func (c *chain) node(depth, budget int) dfpcall.Outcome {
	for attempt := 1; ; attempt++ {
		outcome := c.run(depth, budget)
		if c.naive {
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

// run is a backend server whose code insists on its nested call.
func (c *chain) run(depth, budget int) dfpcall.Outcome {
	if depth == chainDepth-1 {
		c.deepest++
		return c.end(budget)
	}
	account := dfpretry.NewRequestBudget(budget)
	fingerprint := uint64(depth)
	var outcome dfpcall.Outcome
	for range codeAttempts {
		begun, ok := account.Begin(fingerprint).(*dfpretry.Granted)
		if !ok && !c.naive {
			break
		}
		lent := 0
		if ok {
			lent = begun.Budget
		}
		outcome = c.node(depth+1, lent)
		if ok {
			account.End(fingerprint, lent, dfpretry.BudgetOf(outcome), dfpretry.Succeeded(outcome))
		}
		if dfpretry.Succeeded(outcome) {
			return &dfpcall.Answer{Status: 200, Budget: account.Remaining()}
		}
	}
	return blameless(c.failure(account.Remaining()))
}

// blameless marks an answer as the guard does when a nested call failed.
func blameless(outcome dfpcall.Outcome) dfpcall.Outcome {
	if answer, ok := outcome.(*dfpcall.Answer); ok {
		answer.NestedFailed = true
	}
	return outcome
}

func (c *chain) end(budget int) dfpcall.Outcome {
	if c.rnd.Float64() >= c.failedPart {
		return &dfpcall.Answer{Status: 200, Budget: budget}
	}
	return c.failure(budget)
}

// failure is any way to fail after having run: an answer, or no answer.
func (c *chain) failure(budget int) dfpcall.Outcome {
	switch c.rnd.IntN(3) {
	case 0:
		return &dfpcall.Answer{Status: 503, Budget: budget}
	case 1:
		return &dfpcall.Unknown{Reason: dfpcall.ReasonBackendFailed, Budget: budget}
	default:
		// The link broke: the budget that was out with the call is lost.
		return &dfpcall.Unknown{Reason: dfpcall.ReasonLinkLost}
	}
}

// callers send requests, each tried hard, and return how many root requests were accepted.
func (c *chain) callers(requests int) int {
	now := time.Unix(1, 0)
	repeats := dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{})
	accepted := 0
	for request := range requests {
		for range callerAttempts {
			now = now.Add(time.Millisecond)
			root := dfpretry.RootRequest{Organisation: "waldspiel", Fingerprint: uint64(request + 1)}
			if !c.naive && repeats.Allow(now, root) > 0 {
				continue
			}
			accepted++
			outcome := c.node(0, chainBudget)
			repeats.End(now, root, dfpretry.RootOutcomeOf(outcome), 0)
			if dfpretry.Succeeded(outcome) {
				break
			}
		}
	}
	return accepted
}

// TestChainBoundsRuns has every hop, every backend server's code and every caller retry hard.
// At the deepest service each accepted root request runs at most 1 + budget times, and
// the callers' repeats are a bounded part of what they sent.
func TestChainBoundsRuns(t *testing.T) {
	const requests = 1000
	for _, failedPart := range []float64{0, 0.05, 0.5, 1} {
		t.Run(fmt.Sprintf("failing %v", failedPart), func(t *testing.T) {
			c := &chain{rnd: rand.New(rand.NewPCG(1, 2)), failedPart: failedPart}
			accepted := c.callers(requests)
			t.Logf("%d requests, %d accepted with repeats, %d runs at the deepest service", requests, accepted, c.deepest)
			assert.Assert(t, c.deepest <= (1+chainBudget)*accepted, "%d runs for %d accepted requests", c.deepest, accepted)
			bound := requests + dfpretry.DefaultRepeatBurst + int(dfpretry.DefaultRepeatRatio*float64(accepted))
			assert.Assert(t, accepted <= bound, "%d accepted, bound %d", accepted, bound)
		})
	}
}

// TestNaiveRetriesMultiply measures the same chain without a budget, beside it.
func TestNaiveRetriesMultiply(t *testing.T) {
	naive := &chain{rnd: rand.New(rand.NewPCG(1, 2)), failedPart: 1, naive: true}
	assert.Assert(t, !dfpretry.Succeeded(naive.run(1, chainBudget)))
	bounded := &chain{rnd: rand.New(rand.NewPCG(1, 2)), failedPart: 1}
	assert.Assert(t, !dfpretry.Succeeded(bounded.run(1, chainBudget)))
	t.Logf("runs at the deepest service for one request from depth 1: %d naive, %d with a budget of %d",
		naive.deepest, bounded.deepest, chainBudget)
	assert.Assert(t, naive.deepest > 100*(1+chainBudget))
	assert.Assert(t, bounded.deepest <= 1+chainBudget)
}
