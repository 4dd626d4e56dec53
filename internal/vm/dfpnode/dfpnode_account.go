package dfpnode

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
	"dragonflyport/internal/link/dfpcaller"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/zone/dfproute"
)

// The words for outcomes in logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
)

// ended describes an outcome: its word, the reason without an answer, the status with one, and when the
// caller was told to come back.
func ended(out dfpcall.Outcome) (outcome, reason string, status int, retryAfter time.Duration) {
	switch out := out.(type) {
	case *dfpcall.Answer:
		return outcomeAnswered, "", out.Status, 0
	case *dfpcall.NotRun:
		return outcomeNotRun, string(out.Reason), 0, out.RetryAfter
	case *dfpcall.Unknown:
		return outcomeUnknown, string(out.Reason), 0, 0
	default:
		panic("dfpnode: a call ended without an outcome")
	}
}

// heardPlatform takes in how a call to the platform ended, and logs when it is lost and back.
func (n *Node) heardPlatform(err error) {
	lost := err != nil
	if lost {
		n.metrics.platformFailures.Add(1)
	}
	if n.platformLost.Swap(lost) == lost {
		return
	}
	dfpevent.Write(n.journal, time.Now(), func() *dfpevent.Dependency {
		dependency := &dfpevent.Dependency{Dependency: "platform", Lost: lost}
		if lost {
			dependency.Reason = err.Error()
		}
		return dependency
	})
}

// account counts how a caller's request ended, and writes its story to the log unless it succeeded
// at once and in time. req is empty if it was refused before it was looked at further.
func (n *Node) account(in *dfpcaller.Incoming, req *dfpcall.Request, out dfpcall.Outcome, took time.Duration) {
	outcome, reason, _, _ := ended(out)
	n.prometheus.request(req, outcome, reason, took)
	now := time.Now()
	switch {
	case !dfpretry.Succeeded(out):
		dfpevent.Write(n.journal, now, func() *dfpevent.Request {
			return n.storyOf(in, req, out, took)
		})
	case len(req.AttemptLog) > 1 || req.Objective > 0 && took > req.Objective:
		dfpevent.Write(n.journal, now, func() *dfpevent.Repeated {
			return &dfpevent.Repeated{Request: *n.storyOf(in, req, out, took)}
		})
	}
}

func (n *Node) storyOf(in *dfpcaller.Incoming, req *dfpcall.Request, out dfpcall.Outcome, took time.Duration) *dfpevent.Request {
	outcome, reason, status, retryAfter := ended(out)
	story := &dfpevent.Request{
		ID: in.CallerID, Route: in.Host + in.Path, Organisation: req.Organisation, Service: req.Service,
		Outcome: outcome, Reason: reason, Status: status, RetryAfterMs: retryAfter.Milliseconds(),
		DurationMs: took.Milliseconds(), RulesVersion: n.config.version(), RulesAgeMs: -1,
	}
	if age, known := n.config.age(); known {
		story.RulesAgeMs = age.Milliseconds()
	}
	for _, step := range req.AttemptLog {
		attempt := dfpevent.Attempt{VM: step.VM, TookMs: step.Took.Milliseconds()}
		attempt.Outcome, attempt.Reason, attempt.Status, _ = ended(step.Outcome)
		story.Attempts = append(story.Attempts, attempt)
	}
	if reason == string(dfpcall.ReasonOrganisationRate) {
		story.Rate = n.rates.inputs(req.Organisation)
	}
	return story
}

// noteAside writes to the log that a VM is sent no more requests, or again.
func (n *Node) noteAside(c dfproute.EjectionChange) {
	dfpevent.Write(n.journal, c.At, func() *dfpevent.Ejection {
		aside := &dfpevent.Ejection{
			Address: c.VM.Address, Service: c.VM.Service, Restored: c.Restored, FailureRate: c.FailureRate,
			LatencyMs:        float64(c.Latency) / float64(time.Millisecond),
			ServiceLatencyMs: float64(c.ServiceLatency) / float64(time.Millisecond),
		}
		if !c.NextTrial.IsZero() {
			aside.NextTrialMs = c.NextTrial.Sub(c.At).Milliseconds()
		}
		return aside
	})
}

// accountAttempt writes to the log how an attempt ended on this VM's backend server unless it succeeded.
func (n *Node) accountAttempt(from string, req *dfpcall.Request, out dfpcall.Outcome, took time.Duration) {
	if dfpretry.Succeeded(out) {
		return
	}
	dfpevent.Write(n.journal, time.Now(), func() *dfpevent.Guard {
		outcome, reason, status, _ := ended(out)
		load := n.guard.load()
		return &dfpevent.Guard{
			ID: req.CallerID, From: from, Service: req.Service, Outcome: outcome, Reason: reason, Status: status,
			TookMs: took.Milliseconds(), InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit,
			Level: int(load.Level()),
		}
	})
}
