package dfpnode

import (
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
	"dragonflyport/internal/zone/dfproute"
)

// nestedFailureTTL is how long a failed nested call excuses the backend server that made it for
// failures of its own: about as long as its other running requests go on.
const nestedFailureTTL = time.Second

// nestedCalls is what this VM's backend server meets with its nested calls, where it does not say for which
// request it makes them. What they meet then counts for all requests that it runs.
type nestedCalls struct {
	levels   dfproute.ChainLevels
	failedAt atomic.Int64 // Unix nanoseconds; 0 for never.
}

// learn takes in how a nested call ended.
func (c *nestedCalls) observe(now time.Time, out dfpcall.Outcome) {
	c.levels.Observe(now, "", levelOf(out))
	if !dfpretry.Succeeded(out) {
		c.failedAt.Store(now.UnixNano())
	}
}

// level is the mean of the admission levels that the calls have met lately.
func (c *nestedCalls) level(now time.Time) dfpcall.Level { return c.levels.Level(now, "") }

// failedRecently reports whether one has failed lately.
func (c *nestedCalls) failedRecently(now time.Time) bool {
	at := c.failedAt.Load()
	return at != 0 && now.UnixNano()-at < int64(nestedFailureTTL)
}
