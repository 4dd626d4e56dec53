package dfpretry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
)

func TestDecide(t *testing.T) {
	overload := &dfpcall.NotRun{Reason: dfpcall.ReasonOverload}
	lost := &dfpcall.Unknown{Reason: dfpcall.ReasonLinkLost}
	for _, tc := range []struct {
		name       string
		outcome    dfpcall.Outcome
		idempotent bool
		budget     int
		attempt    int
		want       dfpretry.Decision
	}{
		{"not run", overload, false, 2, 1, &dfpretry.Retry{Budget: 1}},
		{"not run, last of the budget", overload, false, 1, 1, &dfpretry.Retry{Budget: 0}},
		{"budget spent", overload, true, 0, 1, &dfpretry.Stop{Cause: dfpretry.CauseBudget}},
		{"negative budget", overload, true, -3, 1, &dfpretry.Stop{Cause: dfpretry.CauseBudget}},
		{"attempts spent", overload, true, 9, dfpretry.MaxAttempts, &dfpretry.Stop{Cause: dfpretry.CauseAttempts}},
		{"may have run", lost, false, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseMayHaveRun}},
		{"idempotent may have run", lost, true, 2, 1, &dfpretry.Retry{Budget: 1}},
		{"cancelled", &dfpcall.Unknown{Reason: dfpcall.ReasonCancelled}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseFinal}},
		{"too late", &dfpcall.NotRun{Reason: dfpcall.ReasonDeadline}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseFinal}},
		{"over its rate", &dfpcall.NotRun{Reason: dfpcall.ReasonOrganisationRate}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseFinal}},
		{"barred", &dfpcall.NotRun{Reason: dfpcall.ReasonBarred}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseFinal}},
		{"answer", &dfpcall.Answer{Status: 200}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseAnswered}},
		{"answer to a wrong request", &dfpcall.Answer{Status: 404}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseAnswered}},
		{"answer with a server error", &dfpcall.Answer{Status: 503}, false, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseAnswered}},
		{"idempotent, answer with a server error", &dfpcall.Answer{Status: 503}, true, 2, 1, &dfpretry.Retry{Budget: 1}},
		{"a nested call failed", &dfpcall.Answer{Status: 502, NestedFailed: true}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseAnswered}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.DeepEqual(t, dfpretry.Decide(tc.outcome, tc.idempotent, tc.budget, tc.attempt), tc.want)
		})
	}
}

func TestRequestBudgetRepeats(t *testing.T) {
	fingerprint := dfpretry.Fingerprint("pickup", "POST", "/pickup", []byte("van 7"))
	for _, tc := range []struct {
		name      string
		budget    int
		succeeded []bool
		want      []dfpretry.BeginResult
	}{
		{"repeats after failure cost retries", 2, []bool{false, false, false}, []dfpretry.BeginResult{
			&dfpretry.Granted{Budget: 1}, &dfpretry.Granted{Budget: 1, Repeat: true}, &dfpretry.Granted{Repeat: true}, &dfpretry.Exhausted{},
		}},
		{"calls after success are new", 0, []bool{true, true}, []dfpretry.BeginResult{
			&dfpretry.Granted{}, &dfpretry.Granted{}, &dfpretry.Granted{},
		}},
		{"no retries left for a repeat", 0, []bool{false}, []dfpretry.BeginResult{&dfpretry.Granted{}, &dfpretry.Exhausted{}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			requestBudget := dfpretry.NewRequestBudget(tc.budget)
			for i, want := range tc.want {
				got := requestBudget.Begin(fingerprint)
				assert.DeepEqual(t, got, want)
				if granted, ok := got.(*dfpretry.Granted); ok && i < len(tc.succeeded) {
					requestBudget.End(fingerprint, granted.Budget, granted.Budget, tc.succeeded[i])
				}
			}
		})
	}
}

func TestRequestBudgetDividesAmongParallelCalls(t *testing.T) {
	requestBudget := dfpretry.NewRequestBudget(4)
	var shares []int
	for path := range 4 {
		granted := requestBudget.Begin(uint64(path)).(*dfpretry.Granted)
		shares = append(shares, granted.Budget)
	}
	assert.DeepEqual(t, shares, []int{2, 1, 1, 0})
	assert.Equal(t, requestBudget.Remaining(), 0)
	// A second, concurrent attempt of a running call counts as a repeat and costs a retry.
	assert.DeepEqual(t, requestBudget.Begin(0), &dfpretry.Exhausted{})
	requestBudget.End(0, 2, 5, true)
	assert.Equal(t, requestBudget.Remaining(), 2, "no more comes back than was reserved")
}

// TestRequestBudgetConserves checks that no retries are created or unaccounted for, whatever the
// order, concurrency and repetition of nested calls: those used, lost, reserved and remaining add up to the initial budget.
func TestRequestBudgetConserves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 6).Draw(t, "budget")
		requestBudget := dfpretry.NewRequestBudget(budget)
		type call struct {
			fingerprint uint64
			granted     int
		}
		var running []call
		repeats, lost := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				fingerprint := rapid.Uint64Range(0, 3).Draw(t, "fingerprint")
				granted, ok := requestBudget.Begin(fingerprint).(*dfpretry.Granted)
				if !ok {
					return
				}
				if granted.Repeat {
					repeats++
				}
				running = append(running, call{fingerprint, granted.Budget})
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "call")
				c := running[i]
				running = append(running[:i], running[i+1:]...)
				returned := rapid.IntRange(-1, 8).Draw(t, "returned")
				lost += c.granted - min(max(returned, 0), c.granted)
				requestBudget.End(c.fingerprint, c.granted, returned, rapid.Bool().Draw(t, "succeeded"))
			},
			"": func(t *rapid.T) {
				reserved := 0
				for _, c := range running {
					reserved += c.granted
				}
				if requestBudget.Remaining()+reserved+repeats+lost != budget {
					t.Fatalf("remaining %d, reserved %d, used %d and lost %d do not add up to %d", requestBudget.Remaining(), reserved, repeats, lost, budget)
				}
			},
		})
	})
}

func TestRepeatLimiter(t *testing.T) {
	type step struct {
		after time.Duration
		want  bool
		end   dfpretry.RootOutcome
	}
	const retryAfter = 200 * time.Millisecond
	refuse := func(after time.Duration, want bool) step { return step{after, want, dfpretry.RootRefused} }
	fail := func(after time.Duration, want bool) step { return step{after, want, dfpretry.RootFailed} }
	succeed := func(after time.Duration, want bool) step { return step{after, want, dfpretry.RootSucceeded} }
	for _, tc := range []struct {
		name        string
		fingerprint uint64
		steps       []step
	}{
		{"early repeats use up the burst", 7, []step{
			refuse(0, true), refuse(1, true), refuse(1, true), refuse(1, false), refuse(1, false),
		}},
		{"repeats after the wait are free", 7, []step{
			refuse(0, true), refuse(retryAfter, true), refuse(retryAfter, true), refuse(retryAfter, true), refuse(retryAfter, true),
		}},
		{"a refusal does not extend the wait", 7, []step{
			refuse(0, true), refuse(1, true), refuse(1, true), refuse(retryAfter-1, false), refuse(1, true),
		}},
		{"successes earn repeats", 7, []step{
			refuse(0, true), refuse(1, true), refuse(1, true), refuse(1, false),
			succeed(retryAfter, true), succeed(1, true), refuse(1, true), refuse(1, true), refuse(1, false),
		}},
		{"refusals expire", 7, []step{
			refuse(0, true), refuse(1, true), refuse(1, true), refuse(1, false), refuse(time.Minute, true),
		}},
		{"without a key refusals are no repeats", 0, []step{
			refuse(0, true), refuse(1, true), refuse(1, true), refuse(1, true), refuse(1, true),
		}},
		{"without a key failed runs use up their burst", 0, []step{
			fail(0, true), fail(1, true), fail(1, true), fail(1, true), fail(1, false), fail(1, false),
		}},
		{"single requests detect that the failure has ended", 0, []step{
			fail(0, true), fail(1, true), fail(1, true), fail(1, true), fail(time.Second, true), fail(1, false),
			succeed(time.Second, true), fail(1, true), fail(1, true), fail(1, true), fail(1, true), fail(1, false),
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1, 0)
			root := dfpretry.RootRequest{Organisation: "waldspiel", Route: "GET /catalogue", Fingerprint: tc.fingerprint}
			limiter := dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{RepeatRatio: 0.5, RepeatBurst: 2, FailureBurst: 4})
			for i, s := range tc.steps {
				now = now.Add(s.after)
				after := limiter.Allow(now, root)
				assert.Equal(t, after == 0, s.want, "step %d", i)
				if after == 0 {
					limiter.End(now, root, s.end, retryAfter)
				}
			}
		})
	}
}

func TestRepeatLimiterSeparatesOrganisationsAndRoutes(t *testing.T) {
	now := time.Unix(1, 0)
	limiter := dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{})
	loud := dfpretry.RootRequest{Organisation: "loud", Route: "POST /order", Fingerprint: 1}
	for limiter.Allow(now, loud) == 0 {
		limiter.End(now, loud, dfpretry.RootFailed, 0)
	}
	assert.Assert(t, limiter.Allow(now, loud) > 0)
	for _, other := range []dfpretry.RootRequest{
		{Organisation: "quiet", Route: "POST /order", Fingerprint: 1},
		{Organisation: "loud", Route: "POST /book", Fingerprint: 1},
	} {
		assert.Equal(t, limiter.Allow(now, other), time.Duration(0))
	}
	limiter.Keep(func(organisation, _ string) bool { return organisation == "quiet" })
	assert.Equal(t, limiter.Allow(now, loud), time.Duration(0), "its state was dropped")
}

// TestCallerFailuresStayBounded checks the bound on failed runs for callers that send no keys and repeat at
// a high rate, while all, some or none of the requests fail.
func TestCallerFailuresStayBounded(t *testing.T) {
	const duration, interval = 20 * time.Second, 5 * time.Millisecond
	for _, tc := range []struct {
		name string
		// Every nth request succeeds; 0 means none.
		succeedEvery int
		minAllowed   int
		maxFailed    int
	}{
		{"all fail", 0, 10, 10 + 20 + 1},
		{"two of three fail", 3, 4000, 2667},
		{"none fails", 1, 4000, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			limiter := dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{})
			root := dfpretry.RootRequest{Organisation: "waldspiel", Route: "GET /catalogue"}
			allowed, failed := 0, 0
			for elapsed := time.Duration(0); elapsed < duration; elapsed += interval {
				now := time.Unix(1, 0).Add(elapsed)
				if limiter.Allow(now, root) > 0 {
					continue
				}
				allowed++
				end := dfpretry.RootFailed
				if tc.succeedEvery > 0 && allowed%tc.succeedEvery == 0 {
					end = dfpretry.RootSucceeded
				} else {
					failed++
				}
				limiter.End(now, root, end, 0)
			}
			assert.Assert(t, allowed >= tc.minAllowed, "%d allowed", allowed)
			assert.Assert(t, failed <= tc.maxFailed, "%d failed", failed)
		})
	}
}
