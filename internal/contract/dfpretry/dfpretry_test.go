package dfpretry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
)

func TestMay(t *testing.T) {
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
		{"too late everywhere", &dfpcall.NotRun{Reason: dfpcall.ReasonDeadline}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseFinal}},
		{"over its rate everywhere", &dfpcall.NotRun{Reason: dfpcall.ReasonOrganisationRate}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseFinal}},
		{"barred", &dfpcall.NotRun{Reason: dfpcall.ReasonBarred}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseFinal}},
		{"answer", &dfpcall.Answer{Status: 200}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseAnswered}},
		{"answer to a wrong request", &dfpcall.Answer{Status: 404}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseAnswered}},
		{"answer of failure", &dfpcall.Answer{Status: 503}, false, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseAnswered}},
		{"idempotent answer of failure", &dfpcall.Answer{Status: 503}, true, 2, 1, &dfpretry.Retry{Budget: 1}},
		{"a nested call failed", &dfpcall.Answer{Status: 502, NestedFailed: true}, true, 2, 1, &dfpretry.Stop{Cause: dfpretry.CauseAnswered}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.DeepEqual(t, dfpretry.Decide(tc.outcome, tc.idempotent, tc.budget, tc.attempt), tc.want)
		})
	}
}

func TestAccountRepeats(t *testing.T) {
	fingerprint := dfpretry.Fingerprint("pickup", "POST", "/pickup", []byte("van 7"))
	for _, tc := range []struct {
		name      string
		budget    int
		succeeded []bool
		want      []dfpretry.BeginResult
	}{
		{"repeats after failure pay", 2, []bool{false, false, false}, []dfpretry.BeginResult{
			&dfpretry.Granted{Budget: 1}, &dfpretry.Granted{Budget: 1, Repeat: true}, &dfpretry.Granted{Repeat: true}, &dfpretry.Exhausted{},
		}},
		{"calls after success are new", 0, []bool{true, true}, []dfpretry.BeginResult{
			&dfpretry.Granted{}, &dfpretry.Granted{}, &dfpretry.Granted{},
		}},
		{"nothing to pay with", 0, []bool{false}, []dfpretry.BeginResult{&dfpretry.Granted{}, &dfpretry.Exhausted{}}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			account := dfpretry.NewRequestBudget(tc.budget)
			for i, want := range tc.want {
				got := account.Begin(fingerprint)
				assert.DeepEqual(t, got, want)
				if begun, ok := got.(*dfpretry.Granted); ok && i < len(tc.succeeded) {
					account.End(fingerprint, begun.Budget, begun.Budget, tc.succeeded[i])
				}
			}
		})
	}
}

func TestAccountDividesAmongParallelCalls(t *testing.T) {
	account := dfpretry.NewRequestBudget(4)
	var lent []int
	for path := range 4 {
		begun := account.Begin(uint64(path)).(*dfpretry.Granted)
		lent = append(lent, begun.Budget)
	}
	assert.DeepEqual(t, lent, []int{2, 1, 1, 0})
	assert.Equal(t, account.Remaining(), 0)
	// A hedge is a repeat and pays.
	assert.DeepEqual(t, account.Begin(0), &dfpretry.Exhausted{})
	account.End(0, 2, 5, true)
	assert.Equal(t, account.Remaining(), 2, "no more comes back than was lent")
}

// TestAccountConserves lets a request make nested calls in any order, side by
// side and repeated, and lose budgets: what was spent, lost, lent and left is what it began with.
func TestAccountConserves(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := rapid.IntRange(0, 6).Draw(t, "budget")
		account := dfpretry.NewRequestBudget(budget)
		type call struct {
			fingerprint uint64
			lent        int
		}
		var running []call
		repeats, lost := 0, 0
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				fingerprint := rapid.Uint64Range(0, 3).Draw(t, "fingerprint")
				begun, ok := account.Begin(fingerprint).(*dfpretry.Granted)
				if !ok {
					return
				}
				if begun.Repeat {
					repeats++
				}
				running = append(running, call{fingerprint, begun.Budget})
			},
			"end": func(t *rapid.T) {
				if len(running) == 0 {
					return
				}
				i := rapid.IntRange(0, len(running)-1).Draw(t, "call")
				c := running[i]
				running = append(running[:i], running[i+1:]...)
				returned := rapid.IntRange(-1, 8).Draw(t, "returned")
				lost += c.lent - min(max(returned, 0), c.lent)
				account.End(c.fingerprint, c.lent, returned, rapid.Bool().Draw(t, "succeeded"))
			},
			"": func(t *rapid.T) {
				lent := 0
				for _, c := range running {
					lent += c.lent
				}
				if account.Remaining()+lent+repeats+lost != budget {
					t.Fatalf("left %d, lent %d, spent %d, lost %d of %d", account.Remaining(), lent, repeats, lost, budget)
				}
			},
		})
	})
}

func TestCallerRepeats(t *testing.T) {
	type step struct {
		after time.Duration
		want  bool
		end   dfpretry.RootOutcome
	}
	const told = 200 * time.Millisecond
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
		{"repeats at the time told are free", 7, []step{
			refuse(0, true), refuse(told, true), refuse(told, true), refuse(told, true), refuse(told, true),
		}},
		{"a refusal does not put off the time told", 7, []step{
			refuse(0, true), refuse(1, true), refuse(1, true), refuse(told-1, false), refuse(1, true),
		}},
		{"successes earn repeats", 7, []step{
			refuse(0, true), refuse(1, true), refuse(1, true), refuse(1, false),
			succeed(told, true), succeed(1, true), refuse(1, true), refuse(1, true), refuse(1, false),
		}},
		{"refusals are forgotten", 7, []step{
			refuse(0, true), refuse(1, true), refuse(1, true), refuse(1, false), refuse(time.Minute, true),
		}},
		{"without a key refusals are no repeats", 0, []step{
			refuse(0, true), refuse(1, true), refuse(1, true), refuse(1, true), refuse(1, true),
		}},
		{"without a key failed runs use up their burst", 0, []step{
			fail(0, true), fail(1, true), fail(1, true), fail(1, true), fail(1, false), fail(1, false),
		}},
		{"a trickle finds out whether it has ended", 0, []step{
			fail(0, true), fail(1, true), fail(1, true), fail(1, true), fail(time.Second, true), fail(1, false),
			succeed(time.Second, true), fail(1, true), fail(1, true), fail(1, true), fail(1, true), fail(1, false),
		}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			now := time.Unix(1, 0)
			root := dfpretry.RootRequest{Organisation: "waldspiel", Route: "GET /catalogue", Fingerprint: tc.fingerprint}
			repeats := dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{RepeatRatio: 0.5, RepeatBurst: 2, FailureBurst: 4})
			for i, s := range tc.steps {
				now = now.Add(s.after)
				after := repeats.Allow(now, root)
				assert.Equal(t, after == 0, s.want, "step %d", i)
				if after == 0 {
					repeats.End(now, root, s.end, told)
				}
			}
		})
	}
}

func TestCallerRepeatsKeepApart(t *testing.T) {
	now := time.Unix(1, 0)
	repeats := dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{})
	loud := dfpretry.RootRequest{Organisation: "loud", Route: "POST /order", Fingerprint: 1}
	for repeats.Allow(now, loud) == 0 {
		repeats.End(now, loud, dfpretry.RootFailed, 0)
	}
	assert.Assert(t, repeats.Allow(now, loud) > 0)
	for _, other := range []dfpretry.RootRequest{
		{Organisation: "quiet", Route: "POST /order", Fingerprint: 1},
		{Organisation: "loud", Route: "POST /book", Fingerprint: 1},
	} {
		assert.Equal(t, repeats.Allow(now, other), time.Duration(0))
	}
	repeats.Keep(func(organisation, _ string) bool { return organisation == "quiet" })
	assert.Equal(t, repeats.Allow(now, loud), time.Duration(0), "its state was dropped")
}

// TestCallerFailuresStayBounded has many callers without keys repeat hard while all fails, then
// while a part fails.
func TestCallerFailuresStayBounded(t *testing.T) {
	const span, gap = 20 * time.Second, 5 * time.Millisecond
	for _, tc := range []struct {
		name string
		// Every nth request fails; 1 for all.
		succeedEvery int
		minAllowed   int
		maxFailed    int
	}{
		{"all fail", 0, 10, 10 + 20 + 1},
		{"two of three fail", 3, 4000, 2667},
		{"none fails", 1, 4000, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			repeats := dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{})
			root := dfpretry.RootRequest{Organisation: "waldspiel", Route: "GET /catalogue"}
			allowed, failed := 0, 0
			for elapsed := time.Duration(0); elapsed < span; elapsed += gap {
				now := time.Unix(1, 0).Add(elapsed)
				if repeats.Allow(now, root) > 0 {
					continue
				}
				allowed++
				end := dfpretry.RootFailed
				if tc.succeedEvery > 0 && allowed%tc.succeedEvery == 0 {
					end = dfpretry.RootSucceeded
				} else {
					failed++
				}
				repeats.End(now, root, end, 0)
			}
			assert.Assert(t, allowed >= tc.minAllowed, "%d allowed", allowed)
			assert.Assert(t, failed <= tc.maxFailed, "%d failed", failed)
		})
	}
}
