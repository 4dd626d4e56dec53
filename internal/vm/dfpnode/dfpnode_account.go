package dfpnode

import (
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
	"dragonflyport/internal/link/dfpcaller"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/zone/dfproute"
)

// Outcomes as they stand in logs and metrics.
const (
	outcomeAnswered = "answered"
	outcomeNotRun   = "not_run"
	outcomeUnknown  = "unknown"
)

// describeOutcome returns an outcome's name and, depending on its type, the reason why there is no answer,
// the answer's status, and the time after which the caller may retry.
func describeOutcome(out dfpcall.Outcome) (outcome, reason string, status int, retryAfter time.Duration) {
	switch out := out.(type) {
	case *dfpcall.Answer:
		return outcomeAnswered, "", out.Status, 0
	case *dfpcall.NotRun:
		return outcomeNotRun, string(out.Reason), 0, out.RetryAfter
	case *dfpcall.Unknown:
		return outcomeUnknown, string(out.Reason), 0, 0
	default:
		panic("dfpnode: call ended without an outcome")
	}
}

// recordPlatformResult records the result of a call to the platform and logs when the platform becomes
// unavailable and when it is available again.
func (n *Node) recordPlatformResult(err error) {
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

// recordOutcome counts the outcome of a caller's request and logs it unless the first attempt succeeded
// within the route's latency objective. req is empty if the request was refused before it was built.
func (n *Node) recordOutcome(in *dfpcaller.Incoming, req *dfpcall.Request, out dfpcall.Outcome, took time.Duration) {
	outcome, reason, _, _ := describeOutcome(out)
	n.prometheus.request(req, outcome, reason, took)
	now := time.Now()
	switch {
	case !dfpretry.Succeeded(out):
		dfpevent.Write(n.journal, now, func() *dfpevent.Request {
			return n.newRequestEvent(in, req, out, took)
		})
	case len(req.AttemptLog) > 1 || req.Objective > 0 && took > req.Objective:
		dfpevent.Write(n.journal, now, func() *dfpevent.Repeated {
			return &dfpevent.Repeated{Request: *n.newRequestEvent(in, req, out, took)}
		})
	}
}

func (n *Node) newRequestEvent(in *dfpcaller.Incoming, req *dfpcall.Request, out dfpcall.Outcome, took time.Duration) *dfpevent.Request {
	outcome, reason, status, retryAfter := describeOutcome(out)
	event := &dfpevent.Request{
		ID: in.CallerID, Route: in.Host + in.Path, Organisation: req.Organisation, Service: req.Service,
		Outcome: outcome, Reason: reason, Status: status, RetryAfterMs: retryAfter.Milliseconds(),
		DurationMs: took.Milliseconds(), RulesVersion: n.config.version(), RulesAgeMs: -1,
	}
	if age, known := n.config.age(); known {
		event.RulesAgeMs = age.Milliseconds()
	}
	for _, logged := range req.AttemptLog {
		attempt := dfpevent.Attempt{VM: logged.VM, TookMs: logged.Took.Milliseconds()}
		attempt.Outcome, attempt.Reason, attempt.Status, _ = describeOutcome(logged.Outcome)
		event.Attempts = append(event.Attempts, attempt)
	}
	if reason == string(dfpcall.ReasonOrganisationRate) {
		event.Rate = n.rates.inputs(req.Organisation)
	}
	return event
}

// logEjection logs that the router ejected a VM or restored it.
func (n *Node) logEjection(c dfproute.EjectionChange) {
	dfpevent.Write(n.journal, c.At, func() *dfpevent.Ejection {
		ejection := &dfpevent.Ejection{
			Address: c.VM.Address, Service: c.VM.Service, Restored: c.Restored, FailureRate: c.FailureRate,
			LatencyMs:        float64(c.Latency) / float64(time.Millisecond),
			ServiceLatencyMs: float64(c.ServiceLatency) / float64(time.Millisecond),
		}
		if !c.NextTrial.IsZero() {
			ejection.NextTrialMs = c.NextTrial.Sub(c.At).Milliseconds()
		}
		return ejection
	})
}

// logAttempt logs the outcome of an attempt on this VM's backend server unless it succeeded.
func (n *Node) logAttempt(from string, req *dfpcall.Request, out dfpcall.Outcome, took time.Duration) {
	if dfpretry.Succeeded(out) {
		return
	}
	dfpevent.Write(n.journal, time.Now(), func() *dfpevent.Guard {
		outcome, reason, status, _ := describeOutcome(out)
		load := n.guard.load()
		return &dfpevent.Guard{
			ID: req.CallerID, From: from, Service: req.Service, Outcome: outcome, Reason: reason, Status: status,
			TookMs: took.Milliseconds(), InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit,
			Level: int(load.Level()),
		}
	})
}

// admissionInterval is the time between two lines that describe admission.
const admissionInterval = time.Second

// runAdmissionLog logs the decisions on root requests of each interval in which some were refused or waited.
func (n *Node) runAdmissionLog() error {
	ticker := time.NewTicker(admissionInterval)
	defer ticker.Stop()
	var before [dfproute.VerdictCount]int64
	for {
		select {
		case <-n.runCtx.Done():
			return nil
		case now := <-ticker.C:
			var counts [dfproute.VerdictCount]int64
			for i := range counts {
				total := n.policy.verdicts[i].Load()
				counts[i], before[i] = total-before[i], total
			}
			load := n.guard.load()
			if counts[dfproute.Refused] == 0 && load.Queued == 0 {
				continue
			}
			dfpevent.Write(n.journal, now, func() *dfpevent.Admission {
				return &dfpevent.Admission{
					Admitted: counts[dfproute.AdmittedByLevel], Probes: counts[dfproute.AdmittedAsProbe],
					WithoutReport: counts[dfproute.AdmittedWithoutReport], Refused: counts[dfproute.Refused],
					InFlight: load.InFlight, Queued: load.Queued, Limit: load.Limit,
					Level: int(load.Level()), NestedLevel: int(load.NestedLevel),
				}
			})
		}
	}
}
