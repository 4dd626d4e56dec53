package dfpnode

import (
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
	"dragonflyport/internal/zone/dfproute"
)

// nestedFailureTTL is how long after a failed nested call the backend server's own failures are attributed to
// that call. It is about the time for which the backend server's other running requests continue.
const nestedFailureTTL = time.Second

// nestedCalls tracks the nested calls of a backend server that does not name their parent requests. Their
// outcomes count for all requests that the backend server runs.
type nestedCalls struct {
	levels   dfproute.ChainLevels
	failedAt atomic.Int64 // Unix nanoseconds; 0 for never.
}

// observe records the outcome of a nested call.
func (c *nestedCalls) observe(now time.Time, out dfpcall.Outcome) {
	c.levels.Observe(now, "", levelOf(out))
	if !dfpretry.Succeeded(out) {
		c.failedAt.Store(now.UnixNano())
	}
}

// level returns the mean admission level that recent calls met.
func (c *nestedCalls) level(now time.Time) dfpcall.Level { return c.levels.Level(now, "") }

// failedRecently reports whether a call failed within the last nestedFailureTTL.
func (c *nestedCalls) failedRecently(now time.Time) bool {
	at := c.failedAt.Load()
	return at != 0 && now.UnixNano()-at < int64(nestedFailureTTL)
}
