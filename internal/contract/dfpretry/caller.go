package dfpretry

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// CallerConfig configures CallerRepeats. Zero values take the defaults.
type RepeatLimiterConfig struct {
	// RepeatRatio is how many early repeats each request that succeeded allows.
	RepeatRatio float64
	// RepeatBurst is the number of early repeats that can be saved up.
	RepeatBurst float64
	// FailureRatio is how many failed runs each request that succeeded allows.
	FailureRatio float64
	// FailureBurst is the number of failed runs that can be saved up.
	FailureBurst float64
	// FailuresPerSecond is the number of failed runs allowed in a second without a success.
	FailuresPerSecond float64
	// Retention is how long a request that did not succeed is remembered.
	Retention time.Duration
	// MaxRemembered bounds the requests remembered for one organisation and route; the
	// oldest are forgotten first.
	MaxRemembered int
}

// The defaults of CallerConfig.
const (
	DefaultRepeatRatio       = 0.1
	DefaultRepeatBurst       = 10
	DefaultFailureRatio      = 3
	DefaultFailureBurst      = 10
	DefaultFailuresPerSecond = 1
	DefaultRetention         = 10 * time.Second
	DefaultMaxRemembered     = 1024

	// DefaultPause is when a repeat stops being early if its caller was not told when
	// to come back.
	DefaultRetryAfter = time.Second
)

func (cfg RepeatLimiterConfig) withDefaults() RepeatLimiterConfig {
	for _, field := range []struct {
		value    *float64
		fallback float64
	}{
		{&cfg.RepeatRatio, DefaultRepeatRatio},
		{&cfg.RepeatBurst, DefaultRepeatBurst},
		{&cfg.FailureRatio, DefaultFailureRatio},
		{&cfg.FailureBurst, DefaultFailureBurst},
		{&cfg.FailuresPerSecond, DefaultFailuresPerSecond},
	} {
		if *field.value == 0 {
			*field.value = field.fallback
		}
	}
	if cfg.Retention == 0 {
		cfg.Retention = DefaultRetention
	}
	if cfg.MaxRemembered == 0 {
		cfg.MaxRemembered = DefaultMaxRemembered
	}
	return cfg
}

// Root describes a root request as CallerRepeats sees it.
type RootRequest struct {
	Organisation string
	// Route names the route that the request came by.
	Route string
	// Fingerprint is equal for the repeats of a request and for nothing else; 0 if the
	// caller did not send an Idempotency-Key by which they could be known.
	Fingerprint uint64
}

// RootEnd is how a root request ended.
type RootOutcome int

// The ends of a root request.
const (
	// RootSucceeded is one whose caller has no reason to repeat it.
	RootSucceeded RootOutcome = iota
	// RootRefused is one that did not run.
	RootRefused
	// RootFailed is one that ran, or may have, without success.
	RootFailed
)

// RepeatLimiter bounds what callers repeat of their own accord, for each organisation and
// route, by two rules:
//
//   - A repeat that comes before the time its caller was told is early. Early
//     repeats number at most Burst + Part * successes over any run. One that comes at
//     that time or later is as welcome as a first request: its rate is set by that
//     time. The rule needs an Idempotency-Key to know a repeat.
//   - Requests that fail after they ran number at most FailureBurst + FailurePart * successes +
//     FailuresPerSecond * time, besides those in progress when that is used up. The rule needs no key, and
//     holds wherever in the fleet repeats arrive: where all fails, a trickle is let through that
//     finds out when that has ended.
type RepeatLimiter struct {
	cfg    RepeatLimiterConfig
	states map[callerKey]*callerState
}

type callerKey struct {
	organisation string
	route        string
}

type callerState struct {
	// repeats is the number of early repeats allowed now, failures that of failed runs; the latter may
	// be negative.
	repeats  float64
	failures float64
	filledAt time.Time
	// failed holds the request of each fingerprint that failed last; order lists them from the oldest on.
	failed map[uint64]*failure
	order  []*failure
}

type failure struct {
	at, retryAt time.Time
	fingerprint uint64
}

// NewCallerRepeats returns bounds under which everyone begins with full bursts.
func NewRepeatLimiter(cfg RepeatLimiterConfig) *RepeatLimiter {
	return &RepeatLimiter{cfg: cfg.withDefaults(), states: make(map[callerKey]*callerState)}
}

// Allow returns 0 if a root request may go on, after which End must be called for it. Otherwise the
// request is refused with dfpcall.ReasonRetriesSpent, and the result is when its caller may
// come back. A refusal is not remembered, so that refusals don't beget refusals.
func (c *RepeatLimiter) Allow(now time.Time, root RootRequest) time.Duration {
	state := c.state(now, root)
	if state.failures < 1 {
		return time.Duration((1 - state.failures) / c.cfg.FailuresPerSecond * float64(time.Second))
	}
	f, ok := state.failed[root.Fingerprint]
	if !ok {
		return 0
	}
	early := f.retryAt.Sub(now)
	if early <= 0 {
		return 0
	}
	if state.repeats < 1 {
		return early
	}
	state.repeats--
	return 0
}

// End takes in how a root request that was allowed ended. RetryAfter is what its caller was told
// to wait before a repeat; 0 means DefaultPause.
func (c *RepeatLimiter) End(now time.Time, root RootRequest, end RootOutcome, retryAfter time.Duration) {
	state := c.state(now, root)
	switch end {
	case RootSucceeded:
		state.repeats = min(state.repeats+c.cfg.RepeatRatio, c.cfg.RepeatBurst)
		state.failures = min(state.failures+c.cfg.FailureRatio, c.cfg.FailureBurst)
		return
	case RootFailed:
		state.failures--
	case RootRefused:
	}
	if root.Fingerprint == 0 {
		return
	}
	if retryAfter <= 0 {
		retryAfter = DefaultRetryAfter
	}
	state.remember(&failure{at: now, retryAt: now.Add(retryAfter), fingerprint: root.Fingerprint}, c.cfg.MaxRemembered)
}

// Keep drops the state of organisations and routes for which keep reports false, so that it
// stays bounded by the rules in force.
func (c *RepeatLimiter) Keep(keep func(organisation, route string) bool) {
	for key := range c.states {
		if !keep(key.organisation, key.route) {
			delete(c.states, key)
		}
	}
}

// state returns the state of a root request's organisation and route as it is now.
func (c *RepeatLimiter) state(now time.Time, root RootRequest) *callerState {
	key := callerKey{root.Organisation, root.Route}
	state, ok := c.states[key]
	if !ok {
		state = &callerState{
			repeats: c.cfg.RepeatBurst, failures: c.cfg.FailureBurst, filledAt: now,
			failed: make(map[uint64]*failure),
		}
		c.states[key] = state
	}
	if elapsed := now.Sub(state.filledAt); elapsed > 0 {
		state.failures = min(state.failures+c.cfg.FailuresPerSecond*elapsed.Seconds(), c.cfg.FailureBurst)
		state.filledAt = now
	}
	for len(state.order) > 0 && state.order[0].at.Before(now.Add(-c.cfg.Retention)) {
		state.drop()
	}
	return state
}

func (s *callerState) remember(f *failure, limit int) {
	for len(s.order) >= limit {
		s.drop()
	}
	s.failed[f.fingerprint] = f
	s.order = append(s.order, f)
}

// drop forgets the oldest failure, unless its request has failed again since.
func (s *callerState) drop() {
	oldest := s.order[0]
	s.order[0] = nil
	s.order = s.order[1:]
	if s.failed[oldest.fingerprint] == oldest {
		delete(s.failed, oldest.fingerprint)
	}
}

// EndOf returns how a root request ended, by its outcome.
func RootOutcomeOf(outcome dfpcall.Outcome) RootOutcome {
	if _, refused := outcome.(*dfpcall.NotRun); refused {
		return RootRefused
	}
	if Succeeded(outcome) {
		return RootSucceeded
	}
	return RootFailed
}
