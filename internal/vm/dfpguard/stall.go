package dfpguard

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// stallDetector tracks whether the backend server completes requests successfully. A backend server that
// hangs or fails every request is stalled: its guard refuses all requests but an occasional probe, so that
// they go to other backend servers before they have run.
type stallDetector struct {
	// lastProgress is the time of the last success, or of the first start after an idle period if that is
	// later. A request that ended without a fault of the backend server counts as a success.
	lastProgress time.Time
	// failures counts failed requests since the last success.
	failures  int
	nextProbe time.Time
}

const (
	// The backend server is stalled after stallServiceTimes mean service times without a success, and after
	// minStallTime at least.
	stallServiceTimes = 6
	minStallTime      = 500 * time.Millisecond
	// unknownStallTime replaces both while the service time is unknown.
	unknownStallTime = 5 * time.Second
	// stallMinRuns is the least number of running and failed requests for a stall.
	stallMinRuns = 4
	// probeInterval is the time between two requests that run during a stall.
	probeInterval = time.Second
)

func (d *stallDetector) recordStart(now time.Time, running int) {
	if running == 0 && d.failures == 0 {
		d.lastProgress = now
	}
}

func (d *stallDetector) recordSuccess(now time.Time) {
	d.lastProgress, d.failures = now, 0
}

// stalled reports whether the backend server has been without a success for too long.
func (g *Guard) stalled() bool {
	if g.cfg.Mode != ModeAdaptive || len(g.running)+g.stall.failures < stallMinRuns {
		return false
	}
	bound := unknownStallTime
	if g.service.samples > 0 {
		bound = max(minStallTime, stallServiceTimes*g.service.mean)
	}
	return g.now.Sub(g.stall.lastProgress) > bound
}

// mayProbe reports whether a request may run as a probe during a stall.
func (g *Guard) mayProbe(free bool) bool {
	if !free || g.now.Before(g.stall.nextProbe) {
		return false
	}
	g.stall.nextProbe = g.now.Add(probeInterval)
	return true
}

// refuseStalled refuses all requests that wait for a stalled backend server.
func (g *Guard) refuseStalled(effects *Effects) {
	for {
		req, ok := g.queue.pop()
		if !ok {
			return
		}
		effects.Refuse = append(effects.Refuse, g.refusal(req.Handle, dfpcall.ReasonNoBackendServer))
	}
}

// DoneWithoutFault records that a started request has ended without success, but not by a fault of the
// backend server, which has answered.
func (g *Guard) DoneWithoutFault(now time.Time, h Handle) Effects {
	g.stall.recordSuccess(now)
	return g.Cancel(now, h)
}
