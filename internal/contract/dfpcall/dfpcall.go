// Package dfpcall holds the vocabulary of one call: who it runs for, how
// important it is, and how it can end.
//
// A call enters the system at an entry node, which makes its Request. The
// request travels to the guard in front of a backend server, and each call that
// the backend server makes in its turn becomes a Request of its own with the same
// Root. A call ends in exactly one Outcome:
//
//   - Answer: a backend server ran the request and this is the whole answer.
//   - NotRun: the request did not run, and no part of it will.
//   - Unknown: it may or may not have run.
//
// # Usage
//
//	switch out := outcome.(type) {
//	case *dfpcall.Answer:
//	case *dfpcall.NotRun: // May be tried again on another backend server.
//	case *dfpcall.Unknown: // May be tried again only if idempotent.
//	}
package dfpcall

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrImportance is returned for a word that names no importance.
var ErrImportance = errors.New("unknown importance")

// Importance orders requests: under overload the lowest are shed first.
type Importance uint8

// The importances, from the first shed to the last.
const (
	Low Importance = iota
	Normal
	High
	Critical

	// ImportanceCount is the number of importances.
	ImportanceCount = 4
)

var importanceNames = [ImportanceCount]string{"low", "normal", "high", "critical"}

// String returns the importance's name in the rules file.
func (i Importance) String() string {
	if int(i) >= len(importanceNames) {
		return fmt.Sprintf("importance(%d)", uint8(i))
	}
	return importanceNames[i]
}

// ParseImportance returns the importance of a name in the rules file, or an
// error that wraps ErrImportance.
func ParseImportance(name string) (Importance, error) {
	for i, n := range importanceNames {
		if n == name {
			return Importance(i), nil
		}
	}
	return 0, fmt.Errorf("%w %q: write low, normal, high or critical", ErrImportance, name)
}

// RequestID names one attempt to run one request. It is never used again: an
// incarnation is drawn at random when a process starts, the counter only grows.
type RequestID struct {
	Incarnation uint64 `cbor:"incarnation" json:"incarnation"`
	Counter     uint64 `cbor:"counter" json:"counter"`
}

// String returns the id as two hexadecimal numbers.
func (id RequestID) String() string {
	return fmt.Sprintf("%016x-%x", id.Incarnation, id.Counter)
}

// Cohorts is the number of classes into which requests are hashed, so that
// a part of one importance can be shed.
const Cohorts = 128

// CohortOf returns the cohort of a root request, which all calls made for it
// share. Because the verdict of a hop depends on the cohort alone, a request that one
// hop admits under partial shedding is admitted by the others too.
func CohortOf(root RequestID) uint8 {
	return uint8(xxhash.Sum64String(root.String()) % Cohorts)
}

// Level is a threshold of admission: requests of a Rank below it are refused.
type Level uint16

// MaxLevel is above every rank.
const MaxLevel Level = ImportanceCount * Cohorts

// Rank orders requests by who is shed first: the lowest importance, and within
// it the highest cohort.
func Rank(importance Importance, cohort uint8) Level {
	return Level(importance)*Cohorts + Cohorts - 1 - Level(cohort)
}

// nestedLead is the number of cohorts by which nested calls are ahead of their root.
const nestedLead = Cohorts / 4

// CohortAt returns the cohort by which a guard admits a call at a depth. Nested calls are
// ahead of the root request by a fixed number of cohorts, so that one that was just admitted at its
// entry is not lost, with the work done for it, to a small change of the level further down.
func CohortAt(cohort, depth uint8) uint8 {
	if depth == 0 {
		return cohort
	}
	return max(cohort, nestedLead) - nestedLead
}

// Request is one call on its way from a node to the guard that will run it.
// All of it but the payload is set by nodes, never taken from a caller's headers.
type Request struct {
	ID           RequestID  `cbor:"id"`
	Root         RequestID  `cbor:"root"`
	Organisation string     `cbor:"organisation"`
	Importance   Importance `cbor:"importance"`
	// Cohort is below Cohorts and equal for all calls of a root request.
	Cohort uint8 `cbor:"cohort"`
	// Depth is 0 for the call that a caller made, 1 for its nested calls, and so on.
	Depth   uint8  `cbor:"depth"`
	Service string `cbor:"service"`
	// Idempotent requests may run more than once.
	Idempotent bool `cbor:"idempotent"`
	// Budget is the number of retries left for this call and all below it.
	Budget int `cbor:"budget"`
	// Timeout is the time left until the deadline, measured when it was sent.
	Timeout time.Duration `cbor:"timeout"`
	// MaxAttempts is the largest number of backend servers that it is handed to; 0 sets no bound.
	MaxAttempts int `cbor:"attempts,omitempty"`
	// Objective is the time left until the answer counts as late; it is negative once it does,
	// and 0 where the route has no latency objective.
	Objective time.Duration `cbor:"objective,omitempty"`
	// CallerID is the id that the caller gave this attempt; empty if it gave none.
	CallerID string `cbor:"caller_id,omitempty"`
	// CallerService is the service of the VM where the request began.
	CallerService string `cbor:"caller_service,omitempty"`
	// AttemptLog lists the attempts so far, for whoever explains how the request ended.
	AttemptLog []Attempt `cbor:"-"`
	// Instance is the backend server that must run it. The guard sets it.
	Instance string `cbor:"-"`

	// Host is the name that the caller addressed; empty where routes do not go by it.
	Host   string              `cbor:"host,omitempty"`
	Method string              `cbor:"method"`
	Path   string              `cbor:"path"`
	Header map[string][]string `cbor:"header,omitempty"`
	Body   []byte              `cbor:"body,omitempty"`
}

// Attempt is one attempt to run a request.
type Attempt struct {
	// VM is the address where it was sent; empty if none could be chosen.
	VM      string
	Took    time.Duration
	Outcome Outcome
}

// Outcome is how a call ended: *Answer, *NotRun or *Unknown.
type Outcome interface{ outcome() }

// Answer is the whole answer of a backend server that ran the request.
type Answer struct {
	Status int                 `cbor:"status"`
	Header map[string][]string `cbor:"header,omitempty"`
	Body   []byte              `cbor:"body,omitempty"`
	// Budget is what the call left of its retry budget.
	Budget int `cbor:"budget"`
	// Level is the highest level of the guards that the call and all below it met.
	Level Level `cbor:"level,omitempty"`
	// NestedFailed says that a call nested in this one got no success, so that an
	// answer of failure is no sign against the backend server that gave it.
	NestedFailed bool `cbor:"nested_failed,omitempty"`
}

// NotRun says that the request did not run and will not.
type NotRun struct {
	Reason Reason `cbor:"reason"`
	// RetryAfter is when it makes sense to come back; 0 where it never will.
	RetryAfter time.Duration `cbor:"retry_after"`
	// ReachedBackend says that a backend server got the request and turned it away.
	ReachedBackend bool  `cbor:"offered,omitempty"`
	Budget         int   `cbor:"budget"`
	Level          Level `cbor:"level,omitempty"`
}

// Unknown says that the request may have run or not.
type Unknown struct {
	Reason Reason `cbor:"reason"`
	Budget int    `cbor:"budget"`
	Level  Level  `cbor:"level,omitempty"`
	// NestedFailed is as for an Answer.
	NestedFailed bool `cbor:"nested_failed,omitempty"`
}

func (*Answer) outcome()  {}
func (*NotRun) outcome()  {}
func (*Unknown) outcome() {}

// Reason says why a call got no answer. Its text stands in the refusal's body
// and header, in snake case.
type Reason string

// EndReason is the reason of a call whose context has ended: at its deadline, or since its caller gave up.
func EndReason(ctx context.Context) Reason {
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return ReasonDeadline
	}
	return ReasonCancelled
}

// The reasons of NotRun and Unknown.
const (
	ReasonNoKey              Reason = "no_key"
	ReasonKeyUnknown         Reason = "key_unknown"
	ReasonNoRoute            Reason = "no_route"
	ReasonBadRequest         Reason = "bad_request"
	ReasonOrganisationRate   Reason = "organisation_rate"
	ReasonOverload           Reason = "overload"
	ReasonDeadline           Reason = "deadline"
	ReasonDraining           Reason = "draining"
	ReasonNoBackendServer    Reason = "no_backend_server"
	ReasonConfigurationStale Reason = "configuration_stale"
	ReasonNoRules            Reason = "no_rules"
	ReasonParentUnknown      Reason = "parent_unknown"
	ReasonBarred             Reason = "barred"
	ReasonRepeatInProgress   Reason = "repeat_in_progress"
	ReasonClaimUnreachable   Reason = "claim_unreachable"
	ReasonEntryFull          Reason = "entry_full"
	ReasonLinkLost           Reason = "link_lost"
	ReasonBackendFailed      Reason = "backend_failed"
	ReasonCancelled          Reason = "cancelled"
	ReasonRetriesSpent       Reason = "retries_spent"
	ReasonKeyReused          Reason = "idempotency_key_reused"
	ReasonKeyTooOld          Reason = "idempotency_key_too_old"
	ReasonClaimsLost         Reason = "claims_lost"
	ReasonClaimsFull         Reason = "claims_full"
	ReasonRepeatOfUnknown    Reason = "repeat_of_unknown"
	ReasonAnswerNotKept      Reason = "ran_before_answer_not_kept"
)

// Load is what a guard says of its backend server on every answer and heartbeat.
type Load struct {
	InFlight int `cbor:"in_flight" json:"in_flight"`
	Queued   int `cbor:"queued" json:"queued"`
	// Limit is the number in flight that the guard admits now.
	Limit int `cbor:"limit" json:"limit"`
	// AdmitImportance is the lowest importance admitted now.
	AdmitImportance Importance `cbor:"admit_importance" json:"admit_importance"`
	// AdmitCohorts is how many cohorts of AdmitImportance are admitted, from
	// cohort 0 up; Cohorts admits them all.
	AdmitCohorts uint8 `cbor:"admit_cohorts" json:"admit_cohorts"`
	Draining     bool  `cbor:"draining" json:"draining"`
}

// Level returns the load's admission as one number.
func (l Load) Level() Level {
	return Level(l.AdmitImportance)*Cohorts + Cohorts - Level(l.AdmitCohorts)
}

// Raise returns the load with its admission at a level at least.
func (l Load) Raise(level Level) Load {
	if level > l.Level() {
		level = min(level, MaxLevel-1)
		l.AdmitImportance, l.AdmitCohorts = Importance(level/Cohorts), uint8(Cohorts-level%Cohorts)
	}
	return l
}

// Admits reports whether a guard with this load lets such a request in.
func (l Load) Admits(importance Importance, cohort uint8) bool {
	if importance != l.AdmitImportance {
		return importance > l.AdmitImportance
	}
	return cohort < l.AdmitCohorts
}
