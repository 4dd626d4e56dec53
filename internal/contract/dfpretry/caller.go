package dfpretry

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// RepeatLimiterConfig configures a RepeatLimiter. Zero values take the defaults.
type RepeatLimiterConfig struct {
	// RepeatRatio is the number of early repeats that each successful request earns.
	RepeatRatio float64
	// RepeatBurst is the largest number of early repeats that can accumulate.
	RepeatBurst float64
	// FailureRatio is the number of failed runs that each successful request earns.
	FailureRatio float64
	// FailureBurst is the largest number of failed runs that can accumulate.
	FailureBurst float64
	// FailuresPerSecond is the number of failed runs per second that are allowed without any success.
	FailuresPerSecond float64
	// Retention is how long a request that did not succeed is remembered.
	Retention time.Duration
	// MaxRemembered bounds the requests remembered for each organisation and route; the
	// oldest are dropped first.
	MaxRemembered int
}

// The defaults of RepeatLimiterConfig.
const (
	DefaultRepeatRatio       = 0.1
	DefaultRepeatBurst       = 10
	DefaultFailureRatio      = 3
	DefaultFailureBurst      = 10
	DefaultFailuresPerSecond = 1
	DefaultRetention         = 10 * time.Second
	DefaultMaxRemembered     = 1024

	// DefaultRetryAfter is the time after which a repeat is no longer early if its caller was not
	// told how long to wait.
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

// RootRequest describes a root request to a RepeatLimiter.
type RootRequest struct {
	Organisation string
	// Route identifies the route that the request matched.
	Route string
	// Fingerprint is shared by the repeats of a request and by no other request; 0 if the
	// caller did not send the Idempotency-Key that identifies repeats.
	Fingerprint uint64
}

// RootOutcome is how a root request ended.
type RootOutcome int

// The outcomes of a root request.
const (
	// RootSucceeded means that the caller has no reason to repeat the request.
	RootSucceeded RootOutcome = iota
	// RootRefused means that the request did not run.
	RootRefused
	// RootFailed means that the request ran, or may have run, without success.
	RootFailed
)

// RepeatLimiter bounds the repeats that callers send, for each organisation and
// route, by two rules:
//
//   - A repeat is early if it arrives before the wait that its caller was given has passed. The number of
//     early repeats is at most RepeatBurst + RepeatRatio * successes, over any period. A repeat after
//     the wait is treated like a first request, since the wait already limits its rate. This rule
//     needs an Idempotency-Key to recognise a repeat.
//   - The number of requests that fail after they ran is at most FailureBurst + FailureRatio * successes +
//     FailuresPerSecond * seconds, plus those in progress when that allowance runs out. This rule
//     needs no key, and applies at whichever node a repeat arrives. While all requests fail, it
//     still allows FailuresPerSecond of them, so that the end of the failure is detected.
type RepeatLimiter struct {
	cfg    RepeatLimiterConfig
	states map[callerKey]*callerState
}

type callerKey struct {
	organisation string
	route        string
}

type callerState struct {
	// repeats is the number of early repeats currently allowed, and failures the number of failed
	// runs. The latter may be negative.
	repeats  float64
	failures float64
	// refilledAt is when failures was last increased for the time elapsed.
	refilledAt time.Time
	// unsuccessful holds, by fingerprint, the latest request that was refused or failed; order lists these
	// requests, oldest first.
	unsuccessful map[uint64]*remembered
	order        []*remembered
}

// remembered is a request that did not succeed.
type remembered struct {
	at, retryAt time.Time
	fingerprint uint64
}

// NewRepeatLimiter returns a limiter in which every organisation and route starts with full bursts.
func NewRepeatLimiter(cfg RepeatLimiterConfig) *RepeatLimiter {
	return &RepeatLimiter{cfg: cfg.withDefaults(), states: make(map[callerKey]*callerState)}
}

// Allow returns 0 if a root request may proceed; End must then be called for it. Otherwise the
// request is to be refused with dfpcall.ReasonRetriesSpent, and the result is the time until its
// caller may repeat it. A refusal is not remembered, so refusals do not cause further refusals.
func (l *RepeatLimiter) Allow(now time.Time, root RootRequest) time.Duration {
	state := l.state(now, root)
	if state.failures < 1 {
		return time.Duration((1 - state.failures) / l.cfg.FailuresPerSecond * float64(time.Second))
	}
	r, ok := state.unsuccessful[root.Fingerprint]
	if !ok {
		return 0
	}
	early := r.retryAt.Sub(now)
	if early <= 0 {
		return 0
	}
	if state.repeats < 1 {
		return early
	}
	state.repeats--
	return 0
}

// End records how an allowed root request ended. retryAfter is how long its caller was told
// to wait before a repeat; 0 means DefaultRetryAfter.
func (l *RepeatLimiter) End(now time.Time, root RootRequest, outcome RootOutcome, retryAfter time.Duration) {
	state := l.state(now, root)
	switch outcome {
	case RootSucceeded:
		state.repeats = min(state.repeats+l.cfg.RepeatRatio, l.cfg.RepeatBurst)
		state.failures = min(state.failures+l.cfg.FailureRatio, l.cfg.FailureBurst)
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
	state.remember(&remembered{at: now, retryAt: now.Add(retryAfter), fingerprint: root.Fingerprint}, l.cfg.MaxRemembered)
}

// Keep drops the state of organisations and routes for which keep returns false, so that the rules in force
// bound the number of states.
func (l *RepeatLimiter) Keep(keep func(organisation, route string) bool) {
	for key := range l.states {
		if !keep(key.organisation, key.route) {
			delete(l.states, key)
		}
	}
}

// state returns the state of a root request's organisation and route, brought up to date: with the
// allowance for failures refilled, and without remembered requests older than Retention.
func (l *RepeatLimiter) state(now time.Time, root RootRequest) *callerState {
	key := callerKey{root.Organisation, root.Route}
	state, ok := l.states[key]
	if !ok {
		state = &callerState{
			repeats: l.cfg.RepeatBurst, failures: l.cfg.FailureBurst, refilledAt: now,
			unsuccessful: make(map[uint64]*remembered),
		}
		l.states[key] = state
	}
	if elapsed := now.Sub(state.refilledAt); elapsed > 0 {
		state.failures = min(state.failures+l.cfg.FailuresPerSecond*elapsed.Seconds(), l.cfg.FailureBurst)
		state.refilledAt = now
	}
	for len(state.order) > 0 && state.order[0].at.Before(now.Add(-l.cfg.Retention)) {
		state.dropOldest()
	}
	return state
}

func (s *callerState) remember(r *remembered, limit int) {
	for len(s.order) >= limit {
		s.dropOldest()
	}
	s.unsuccessful[r.fingerprint] = r
	s.order = append(s.order, r)
}

// dropOldest drops the oldest remembered request. The map keeps a later one with the same fingerprint.
func (s *callerState) dropOldest() {
	oldest := s.order[0]
	s.order[0] = nil
	s.order = s.order[1:]
	if s.unsuccessful[oldest.fingerprint] == oldest {
		delete(s.unsuccessful, oldest.fingerprint)
	}
}

// RootOutcomeOf returns how a root request with the given outcome ended.
func RootOutcomeOf(outcome dfpcall.Outcome) RootOutcome {
	if _, refused := outcome.(*dfpcall.NotRun); refused {
		return RootRefused
	}
	if Succeeded(outcome) {
		return RootSucceeded
	}
	return RootFailed
}
