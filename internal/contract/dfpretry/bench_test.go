package dfpretry_test

import (
	"testing"
	"time"

	"dragonflyport/internal/contract/dfpretry"
)

// BenchmarkAccount makes one nested call on a new request's account.
func BenchmarkAccount(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		account := dfpretry.NewRequestBudget(2)
		begun := account.Begin(7).(*dfpretry.Granted)
		account.End(7, begun.Budget, begun.Budget, true)
	}
}

// BenchmarkCallerRepeats bounds a request that succeeds.
func BenchmarkCallerRepeats(b *testing.B) {
	repeats := dfpretry.NewRepeatLimiter(dfpretry.RepeatLimiterConfig{})
	root := dfpretry.RootRequest{Organisation: "waldspiel", Route: "POST /order", Fingerprint: 7}
	now := time.Unix(1, 0)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		repeats.Allow(now, root)
		repeats.End(now, root, dfpretry.RootSucceeded, 0)
	}
}
