package dfpshare

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestCreditOnce guards against crediting the same lost refill twice, to two batches whose use is reported
// for the same moment. TestConservation found this fault with seed 13.
func TestCreditOnce(t *testing.T) {
	now := time.Unix(0, 0)
	b := &bucket{rate: 20, burst: 4, level: 4, at: now, issuedByID: make(map[uint64]*issuedBatch)}
	b.issue(1, 1, nil, now.Add(time.Second))
	b.issue(2, 1, nil, now.Add(time.Second))
	b.refill(now.Add(time.Millisecond), UnsafeOptions{}) // The overflow history begins.
	now = now.Add(100 * time.Millisecond)
	b.refill(now, UnsafeOptions{}) // Loses 2 tokens, one of them in the last 50 ms.
	for id := range uint64(2) {
		b.applyUsage(now, UsageReport{Batch: id + 1, Spent: 1, Age: 50 * time.Millisecond})
		assert.Assert(t, b.level <= 3+epsilon, "level %v", b.level)
	}
}
