package dfpretry_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpretry"
)

func TestRepeatDetector(t *testing.T) {
	var detector dfpretry.RepeatDetector
	for _, tc := range []struct {
		name  string
		route string
		left  time.Duration
		want  bool
	}{
		{"first of a route", "order", 5 * time.Second, false},
		{"another new one", "order", 5 * time.Second, false},
		{"a small delay", "order", 4900 * time.Millisecond, false},
		{"after a refusal", "order", 3900 * time.Millisecond, true},
		{"another route", "booking", 1500 * time.Millisecond, false},
		{"without a time", "order", 0, false},
		{"a longer time than before", "order", 6 * time.Second, false},
		{"the former longest time", "order", 5 * time.Second, true},
	} {
		assert.Equal(t, detector.IsRepeat(tc.route, tc.left), tc.want, tc.name)
	}
}

func TestFleetBudget(t *testing.T) {
	cfg := dfpretry.FleetBudgetConfig{Ratio: 0.2, Window: 10 * time.Second, Slack: 40}
	now := time.Unix(1000, 0)
	const nodes, requests = 4, 1000
	allowed := 0
	for range nodes {
		b := dfpretry.NewFleetBudget(cfg)
		for range requests {
			b.Count(now)
			if b.Take(now, nodes) {
				allowed++
			}
		}
		assert.Assert(t, !b.Take(now, nodes), "the budget is spent")
		assert.Assert(t, b.Take(now.Add(time.Minute), nodes), "the slack is available again a window later")
	}
	assert.Assert(t, allowed > 0)
	assert.Assert(t, float64(allowed) <= cfg.Ratio*nodes*requests+cfg.Slack)
}
