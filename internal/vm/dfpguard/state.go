package dfpguard

import (
	"math"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// State is the state of a guard for dumps.
type State struct {
	Load dfpcall.Load `json:"load"`
	// Slots is the number of the backend server's slots, and LearnedLimit the limit without the ramp.
	Slots        int `json:"slots"`
	LearnedLimit int `json:"learned_limit"`
	QueueLimit   int `json:"queue_limit"`
	// Waiting is the number of waiting requests by importance, lowest first.
	Waiting [dfpcall.ImportanceCount]int `json:"waiting"`
	// ServiceTime is the estimated mean service time, in nanoseconds.
	ServiceTime time.Duration `json:"service_time_ns"`
	// Stalled reports that the backend server has been without a success for too long.
	Stalled bool `json:"stalled"`
	// RecentRefusals is the number of refusals in the current second or in the one before, whichever is
	// greater.
	RecentRefusals int `json:"refused_lately"`
}

// Load returns the load that the node reports to other nodes, as of the last call of another method.
func (g *Guard) Load(now time.Time) dfpcall.Load {
	g.setClock(now)
	load := dfpcall.Load{
		InFlight:     len(g.running),
		Queued:       g.queue.len(),
		Limit:        g.limit(),
		AdmitCohorts: dfpcall.Cohorts,
		Draining:     g.draining,
	}
	if g.rate.limited {
		// By Little's law, this many requests are in flight at the limit.
		load.Limit = min(load.Limit, max(1, int(math.Ceil(g.rate.perSecond*g.service.mean.Seconds()))))
	}
	if g.cfg.Mode == ModeAdaptive {
		load.AdmitImportance, load.AdmitCohorts = g.admission.lowestAdmitted()
	}
	load = load.Raise(dfpcall.Level(g.waitControl.level))
	if g.stalled() {
		load.AdmitImportance, load.AdmitCohorts = dfpcall.Critical, 0
	}
	return load
}

// State returns the guard's state for a dump.
func (g *Guard) State(now time.Time) State {
	s := State{
		Load:           g.Load(now),
		Slots:          g.cfg.Slots,
		LearnedLimit:   g.limiter.current(),
		QueueLimit:     g.queueLimit(),
		ServiceTime:    g.service.mean,
		Stalled:        g.stalled(),
		RecentRefusals: max(g.refusals.current, g.refusals.previous),
	}
	for i := range g.queue.classes {
		s.Waiting[i] = g.queue.classes[i].waiting
	}
	return s
}
