package dfpnode

import (
	"sync"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
	"dragonflyport/internal/vm/dfpdependence"
	"dragonflyport/internal/zone/dfproute"
)

// nestedFailureTTL is how long after a failed nested call the backend server's own failures are attributed to
// that call. It is about the time for which the backend server's other running requests continue.
const nestedFailureTTL = time.Second

// nestedCalls tracks the nested calls of a backend server that does not name their parent requests. Their
// outcomes count for all requests that the backend server runs, except for classes that are known not to depend on them.
type nestedCalls struct {
	levels   dfproute.ChainLevels
	failedAt atomic.Int64 // Unix nanoseconds; 0 for never.

	mu         sync.Mutex // Guards dependence; held for one decision at a time.
	dependence dfpdependence.Estimator
}

// nestedRun is a request that runs on the backend server.
type nestedRun struct {
	class string
	run   dfpdependence.Run
}

// start records that the backend server begins to run a request of a class.
func (c *nestedCalls) start(class string) nestedRun {
	c.mu.Lock()
	defer c.mu.Unlock()
	return nestedRun{class, c.dependence.Start(class)}
}

// end records how a request ended, and returns whether its class depends on nested calls.
func (c *nestedCalls) end(run nestedRun, out dfpcall.Outcome) dfpcall.Dependence {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.dependence.End(run.run, !dfpretry.Succeeded(out))
	return c.dependence.Dependence(run.class)
}

// observe records the outcome of a nested call and the level that it met.
func (c *nestedCalls) observe(now time.Time, out dfpcall.Outcome, level dfpcall.Level) {
	c.levels.Observe(now, "", level)
	if !dfpretry.Succeeded(out) {
		c.failedAt.Store(now.UnixNano())
		c.mu.Lock()
		defer c.mu.Unlock()
		c.dependence.CallFailed()
	}
}

// level returns the mean admission level that recent calls met.
func (c *nestedCalls) level(now time.Time) dfpcall.Level { return c.levels.Level(now, "") }

// failedRecently reports whether a call failed within the last nestedFailureTTL.
func (c *nestedCalls) failedRecently(now time.Time) bool {
	at := c.failedAt.Load()
	return at != 0 && now.UnixNano()-at < int64(nestedFailureTTL)
}
