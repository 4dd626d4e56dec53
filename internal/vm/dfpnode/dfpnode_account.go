package dfpnode

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
	"dragonflyport/internal/link/dfpcaller"
	"dragonflyport/internal/vm/dfpevent"
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
	dependency := dfpevent.Dependency{Name: "platform", Lost: lost}
	if lost {
		dependency.Reason = err.Error()
	}
	n.journal.Dependency(time.Now(), dependency)
}

// account counts how a caller's request ended, and writes its story to the log unless it succeeded.
// req is empty if it was refused before it was looked at further.
func (n *Node) account(in *dfpcaller.Incoming, req *dfpcall.Request, out dfpcall.Outcome, took time.Duration) {
	outcome, reason, status, retryAfter := ended(out)
	n.prometheus.request(req, outcome, reason, took)
	if dfpretry.Succeeded(out) {
		return
	}
	story := dfpevent.Request{
		ID: in.CallerID, Route: in.Host + in.Path, Organisation: req.Organisation, Service: req.Service,
		Outcome: outcome, Reason: reason, Status: status, RetryAfterMs: retryAfter.Milliseconds(),
		HeldMs: took.Milliseconds(), RulesVersion: n.config.version(), RulesAgeMs: -1,
	}
	if age, known := n.config.age(); known {
		story.RulesAgeMs = age.Milliseconds()
	}
	for _, step := range req.Steps {
		attempt := dfpevent.Attempt{VM: step.VM, TookMs: step.Took.Milliseconds()}
		attempt.Outcome, attempt.Reason, attempt.Status, _ = ended(step.Outcome)
		story.Attempts = append(story.Attempts, attempt)
	}
	n.journal.Request(time.Now(), story)
}
