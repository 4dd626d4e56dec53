package dfpretry_test

import (
	"testing"
	"time"

	"dragonflyport/internal/contract/dfpretry"
)

// BenchmarkRequestBudget makes one nested call within the budget of a new request.
func BenchmarkRequestBudget(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		budget := dfpretry.NewRequestBudget(2)
		granted := budget.Begin(7).(*dfpretry.Granted)
		budget.End(7, granted.Budget, granted.Budget, true)
	}
}

// BenchmarkRepeatLimiter handles requests that succeed.
func BenchmarkRepeatLimiter(b *testing.B) {
	limiter := dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{})
	root := dfpretry.RootRequest{Organisation: "waldspiel", Route: "POST /order", Fingerprint: 7}
	now := time.Unix(1, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		limiter.Allow(now, root)
		limiter.End(now, root, dfpretry.RootSucceeded, 0)
	}
}
