package dfpguard

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// progress watches whether the backend server gets anything done. One that hangs, or
// fails whatever it gets, is stalled: its guard refuses all but a probe now and then, so that
// requests go to others before they have run.
type progress struct {
	// at is the last sign that the backend server works: a success, or the first start
	// after it was idle.
	at time.Time
	// failures counts failed runs since the last success.
	failures int
	probeAt  time.Time
}

const (
	// stallServices is how many mean service times without a success make a stall, and
	// minStall the least time.
	stallServices = 6
	minStall      = 500 * time.Millisecond
	// unknownStall is that time while the service time is unknown.
	unknownStall = 5 * time.Second
	// stallRuns is the fewest runs, in progress or failed, by which a stall is judged.
	stallRuns = 4
	// stallProbe is the time between two requests that run during a stall.
	stallProbe = time.Second
)

func (p *progress) started(now time.Time, running int) {
	if running == 0 && p.failures == 0 {
		p.at = now
	}
}

func (p *progress) succeeded(now time.Time) {
	p.at, p.failures = now, 0
}

// stalled reports whether the backend server gets nothing done.
func (g *Guard) stalled() bool {
	if g.cfg.Mode != ModeAdaptive || len(g.running)+g.progress.failures < stallRuns {
		return false
	}
	bound := unknownStall
	if g.service.seen > 0 {
		bound = max(minStall, stallServices*g.service.mean)
	}
	return g.now.Sub(g.progress.at) > bound
}

// mayProbe reports whether a request may run during a stall.
func (g *Guard) mayProbe(free bool) bool {
	if !free || g.now.Before(g.progress.probeAt) {
		return false
	}
	g.progress.probeAt = g.now.Add(stallProbe)
	return true
}

// refuseStalled refuses all that waits for a stalled backend server.
func (g *Guard) refuseStalled(fx *Effects) {
	for {
		t, ok := g.queue.pop()
		if !ok {
			return
		}
		fx.Refuse = append(fx.Refuse, g.refusal(t.Handle, dfpcall.ReasonNoBackendServer))
	}
}

// DoneWithoutFault says that a started request has ended without success, but not for a fault of the backend
// server, which has answered.
func (g *Guard) DoneWithoutFault(now time.Time, h Handle) Effects {
	g.progress.succeeded(now)
	return g.Cancel(now, h)
}
