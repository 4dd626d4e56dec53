package dfpguard

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// State is a guard's state for dumps.
type State struct {
	Load dfpcall.Load `json:"load"`
	// Slots is the backend server's slots, LearnedLimit the limit without the ramp.
	Slots        int `json:"slots"`
	LearnedLimit int `json:"learned_limit"`
	QueueLimit   int `json:"queue_limit"`
	// Waiting is the number of waiting requests by importance, from low on.
	Waiting [dfpcall.ImportanceCount]int `json:"waiting"`
	// ServiceTime is the mean service time learned, in nanoseconds.
	ServiceTime time.Duration `json:"service_time_ns"`
	// Stalled says that the backend server gets nothing done.
	Stalled bool `json:"stalled"`
	// RecentRefusals is the number of refusals in the current second or the one before.
	RecentRefusals int `json:"refused_lately"`
}

// Load returns what the guard reports to other nodes. It is as fresh as the last
// call of another method.
func (g *Guard) Load(now time.Time) dfpcall.Load {
	g.moveClock(now)
	load := dfpcall.Load{
		InFlight:     len(g.running),
		Queued:       g.queue.len(),
		Limit:        g.limit(),
		AdmitCohorts: dfpcall.Cohorts,
		Draining:     g.draining,
	}
	if g.cfg.Mode == ModeAdaptive {
		load.AdmitImportance, load.AdmitCohorts = g.admission.lowest()
	}
	load = load.Raise(dfpcall.Level(g.steer.level))
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
		RecentRefusals: max(g.pressure.refused, g.pressure.previous),
	}
	for i := range g.queue.classes {
		s.Waiting[i] = g.queue.classes[i].waiting
	}
	return s
}
