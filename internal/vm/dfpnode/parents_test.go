package dfpnode

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
)

// TestCallsOfCallersAreNotNested guards against levels that go round in circles: a caller's request on an open route
// looks like a nested call of its VM's backend server, but for the time it has left. If it counts as one, a VM takes over
// from another VM the level that it has reported itself, and both keep it after the overload has ended.
func TestCallsOfCallersAreNotNested(t *testing.T) {
	now := time.Now()
	for _, tc := range []struct {
		name string
		// running are the times left of the requests that the backend server runs, left that of the call.
		running []time.Duration
		left    time.Duration
		want    bool
	}{
		{"nothing runs", nil, time.Second, false},
		{"expires with a running request", []time.Duration{300 * time.Millisecond, time.Second}, time.Second, true},
		{"is read late", []time.Duration{time.Second}, time.Second + 30*time.Millisecond, true},
		{"expires sooner", []time.Duration{time.Second}, 700 * time.Millisecond, true},
		{"expires later than all running requests", []time.Duration{300 * time.Millisecond, time.Second}, 5 * time.Second, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			var p parents
			for _, left := range tc.running {
				ctx, cancel := context.WithDeadline(t.Context(), now.Add(left))
				defer cancel()
				p.add(ctx, &dfpcall.Request{})
			}
			assert.Equal(t, p.mayHaveMade(now.Add(tc.left)), tc.want)
		})
	}
}
