package dfpshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCreditOnce: found by TestConservation, seed 13; refill that was lost once was
// credited to two batches that were settled for the same moment.
func TestCreditOnce(t *testing.T) {
	now := time.Unix(0, 0)
	b := &bucket{rate: 20, burst: 4, level: 4, at: now, recordOf: make(map[uint64]*record)}
	b.sell(1, 1, nil, now.Add(time.Second))
	b.sell(2, 1, nil, now.Add(time.Second))
	b.refill(now.Add(time.Millisecond), UnsafeOptions{}) // The history begins.
	now = now.Add(100 * time.Millisecond)
	b.refill(now, UnsafeOptions{}) // Loses 2 tokens, one of them in the last 50 ms.
	for id := range uint64(2) {
		b.settle(now, UsageReport{Batch: id + 1, Spent: 1, Age: 50 * time.Millisecond})
		assert.Assert(t, b.level <= 3+epsilon, "level %v", b.level)
	}
}
