package dfpnode

import (
	"context"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/zone/dfpquarantine"
)

// refusalProbeTimeout bounds the check whether the backend server still accepts connections.
const refusalProbeTimeout = 200 * time.Millisecond

// crashLoop notices that this VM's backend server has crashed, and under which requests.
type crashLoop struct {
	n *Node

	mu    sync.Mutex
	watch dfpquarantine.Watch
	// probing is set while the backend server is asked whether it accepts connections.
	probing bool
}

// start records that a request is sent to the backend server.
func (c *crashLoop) start(backend Announcement, handle uint64, f dfpquarantine.Fingerprint) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.watch.Start(backend.identity(), handle, f)
}

// finish records how the request ended. If the backend server has broken it off, finish returns only after it
// is known whether that server still accepts connections.
func (c *crashLoop) finish(handle uint64, backend Announcement, out dfpcall.Outcome) {
	c.mu.Lock()
	c.watch.Finish(time.Now(), handle, endingOf(out))
	broken := isBroken(out) && !c.probing
	c.probing = c.probing || broken
	c.mu.Unlock()
	if !broken {
		return
	}
	ctx, cancel := context.WithTimeout(c.n.runCtx, refusalProbeTimeout)
	defer cancel()
	refuses := c.n.backend.Refuses(ctx, backend.Address)
	c.mu.Lock()
	c.probing = false
	c.mu.Unlock()
	if refuses {
		c.n.withdrawBackend(backend.Instance)
		c.crashed(backend)
	}
}

// endingOf returns what an outcome says about the request on the backend server.
func endingOf(out dfpcall.Outcome) dfpquarantine.Ending {
	switch out := out.(type) {
	case *dfpcall.Answer:
		return dfpquarantine.EndedAnswered
	case *dfpcall.NotRun:
		if out.ReachedBackend && out.Reason == dfpcall.ReasonOverload {
			return dfpquarantine.EndedRefused
		}
		return dfpquarantine.EndedUnsent
	default:
		return dfpquarantine.EndedUnanswered
	}
}

// isBroken reports whether the request ended without an answer before its deadline.
func isBroken(out dfpcall.Outcome) bool {
	unknown, ok := out.(*dfpcall.Unknown)
	return ok && unknown.Reason == dfpcall.ReasonBackendFailed
}

// crashed is called when a process of the backend server is known to have ended.
func (c *crashLoop) crashed(backend Announcement) {
	c.mu.Lock()
	suspects := c.watch.Crashed(time.Now(), backend.identity())
	c.mu.Unlock()
	c.record(backend, suspects)
}

// replace is called when a process is announced, and returns the requests under which the one before may have
// crashed, if it was another one.
func (c *crashLoop) replace(announced Announcement) []dfpquarantine.Fingerprint {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.watch.Replace(time.Now(), announced.identity())
}

// record records a crash under the suspects, if there are any.
func (c *crashLoop) record(backend Announcement, suspects []dfpquarantine.Fingerprint) {
	if len(suspects) == 0 {
		return
	}
	c.n.quarantine.recordCrash(suspects)
	c.n.metrics.backendCrashes.Add(1)
	dfpevent.Write(c.n.journal, time.Now(), func() *dfpevent.Crash {
		return &dfpevent.Crash{Instance: backend.Instance, Service: backend.Service, Suspects: len(suspects)}
	})
}

// hasEnded reports whether an outcome shows that the process announced is not at its address any more.
func hasEnded(out dfpcall.Outcome) bool {
	notRun, ok := out.(*dfpcall.NotRun)
	return ok && notRun.Reason == dfpcall.ReasonNoBackendServer
}
