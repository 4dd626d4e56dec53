// Package dfpcall defines a call, its importance and its possible outcomes.
//
// A call enters the system at an entry node, which builds its Request. The request travels to
// the guard of a backend server, its admission control (package dfpguard). Each call that the
// backend server makes while it handles the request becomes a Request of its own, a nested call,
// with the same Root. A call ends in exactly one Outcome:
//
//   - Answer: a backend server ran the request and returned this complete response.
//   - NotRun: the request did not run, not even in part, and never will.
//   - Unknown: the request may or may not have run.
//
// # Admission
//
// Under overload a guard sheds the least important requests first. To shed only part of the
// requests of one importance, root requests are hashed into Cohorts classes. A Rank combines
// importance and cohort in one number; a guard refuses requests whose rank is below its Level.
//
// # Usage
//
//	switch out := outcome.(type) {
//	case *dfpcall.Answer:
//	case *dfpcall.NotRun: // May be retried on another backend server.
//	case *dfpcall.Unknown: // May be retried only if idempotent.
//	}
package dfpcall

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// ErrImportance is wrapped by the error of ParseImportance.
var ErrImportance = errors.New("unknown importance")

// Importance orders requests: under overload the lowest importance is shed first.
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

// ParseImportance returns the importance that has the given name in the rules file. An error
// wraps ErrImportance.
func ParseImportance(name string) (Importance, error) {
	for i, n := range importanceNames {
		if n == name {
			return Importance(i), nil
		}
	}
	return 0, fmt.Errorf("%w %q: write low, normal, high or critical", ErrImportance, name)
}

// RequestID identifies one attempt to run one request. IDs are never reused: each process
// draws a random Incarnation when it starts, and Counter only grows.
type RequestID struct {
	Incarnation uint64 `cbor:"incarnation" json:"incarnation"`
	Counter     uint64 `cbor:"counter" json:"counter"`
}

// String returns the ID as two hexadecimal numbers.
func (id RequestID) String() string {
	return fmt.Sprintf("%016x-%x", id.Incarnation, id.Counter)
}

// Cohorts is the number of classes into which root requests are hashed, so that part of the
// requests of one importance can be shed.
const Cohorts = 128

// CohortOf returns the cohort of a root request. All calls made for the root request share it.
// Because each hop decides by the cohort alone, a request that one hop admits under
// partial shedding is admitted by the others too.
func CohortOf(root RequestID) uint8 {
	return uint8(xxhash.Sum64String(root.String()) % Cohorts)
}

// Level is an admission threshold: requests with a lower Rank are refused.
type Level uint16

// MaxLevel is above every rank.
const MaxLevel Level = ImportanceCount * Cohorts

// Rank returns the position of a request in the order of shedding, in which lower ranks are
// shed first: the lowest importance, and within it the highest cohort.
func Rank(importance Importance, cohort uint8) Level {
	return Level(importance)*Cohorts + Cohorts - 1 - Level(cohort)
}

// nestedCohortOffset is the number of cohorts by which nested calls rank above their root request.
const nestedCohortOffset = Cohorts / 4

// CohortAt returns the cohort that a guard uses to admit a call at the given depth. Nested calls
// rank above their root request by a fixed number of cohorts. Otherwise a small rise of the level
// at a later hop would shed a request that its entry node has just admitted, and waste the work
// already done for it.
func CohortAt(cohort, depth uint8) uint8 {
	if depth == 0 {
		return cohort
	}
	return max(cohort, nestedCohortOffset) - nestedCohortOffset
}

// Request is a call on its way from a node to the guard that will run it. Nodes set all its
// fields except the payload, and never take them from a caller's headers.
type Request struct {
	ID           RequestID  `cbor:"id"`
	Root         RequestID  `cbor:"root"`
	Organisation string     `cbor:"organisation"`
	Importance   Importance `cbor:"importance"`
	// Cohort is below Cohorts and equal for all calls of a root request.
	Cohort uint8 `cbor:"cohort"`
	// Depth is 0 for the root request, 1 for its nested calls, and so on.
	Depth   uint8  `cbor:"depth"`
	Service string `cbor:"service"`
	// Idempotent requests may run more than once.
	Idempotent bool `cbor:"idempotent"`
	// Budget is the number of retries left for this call and all calls below it.
	Budget int `cbor:"budget"`
	// Timeout is the time left until the deadline, measured when the request was sent.
	Timeout time.Duration `cbor:"timeout"`
	// MaxAttempts is the largest number of backend servers that may receive the request; 0 means no limit.
	MaxAttempts int `cbor:"attempts,omitempty"`
	// Objective is the time left until the answer counts as late. It is negative once the answer
	// is late, and 0 if the route has no latency objective.
	Objective time.Duration `cbor:"objective,omitempty"`
	// CallerID is the ID that the caller gave this attempt; empty if it gave none.
	CallerID string `cbor:"caller_id,omitempty"`
	// CallerService is the service of the VM where the request began.
	CallerService string `cbor:"caller_service,omitempty"`
	// Known is what the sending node knows from its guard of the backend server that it sends the request to. A
	// guard that has restarted learns it from there.
	Known *InstanceNotice `cbor:"known,omitempty"`
	// Class names the requests that are expected to take equally long: the id of the route.
	Class string `cbor:"-"`
	// AttemptLog lists the attempts made so far, for reports on how the request ended.
	AttemptLog []Attempt `cbor:"-"`
	// Instance is the backend server that must run the request. The guard sets it.
	Instance string `cbor:"-"`

	// Host is the host name that the caller addressed; empty if routes do not match on it.
	Host   string              `cbor:"host,omitempty"`
	Method string              `cbor:"method"`
	Path   string              `cbor:"path"`
	Header map[string][]string `cbor:"header,omitempty"`
	Body   []byte              `cbor:"body,omitempty"`
}

// Attempt is one attempt to run a request.
type Attempt struct {
	// VM is the address to which the request was sent; empty if none could be chosen.
	VM      string
	Took    time.Duration
	Outcome Outcome
}

// Outcome is how a call ended: *Answer, *NotRun or *Unknown.
type Outcome interface{ outcome() }

// Answer is the complete response of a backend server that ran the request.
type Answer struct {
	Status int                 `cbor:"status"`
	Header map[string][]string `cbor:"header,omitempty"`
	Body   []byte              `cbor:"body,omitempty"`
	// Budget is the part of the call's retry budget that was not used.
	Budget int `cbor:"budget"`
	// Level is the highest level among the guards that handled the call and the calls below it.
	Level Level `cbor:"level,omitempty"`
	// NestedFailed reports that a call nested in this one did not succeed. An error status then
	// does not count against the backend server that returned it.
	NestedFailed bool `cbor:"nested_failed,omitempty"`
	// NestedLevel is the mean level that the backend server's nested calls met lately. It applies to the call if its
	// class may depend on them; Dependence says what the guard knows of that.
	NestedLevel Level      `cbor:"nested_level,omitempty"`
	Dependence  Dependence `cbor:"dependence,omitempty"`
}

// Dependence is whether calls of a class depend on the nested calls of their backend server.
type Dependence uint8

// The dependences.
const (
	DependenceUnknown Dependence = iota
	Independent
	Dependent
)

// NotRun reports that the request did not run and never will.
type NotRun struct {
	Reason Reason `cbor:"reason"`
	// RetryAfter is how long to wait before a repeat can succeed; 0 if it never can.
	RetryAfter time.Duration `cbor:"retry_after"`
	// ReachedBackend reports that a backend server received the request and refused it.
	ReachedBackend bool  `cbor:"offered,omitempty"`
	Budget         int   `cbor:"budget"`
	Level          Level `cbor:"level,omitempty"`
}

// Unknown reports that the request may or may not have run.
type Unknown struct {
	Reason Reason `cbor:"reason"`
	Budget int    `cbor:"budget"`
	Level  Level  `cbor:"level,omitempty"`
	// NestedFailed and NestedLevel are the same as in Answer.
	NestedFailed bool  `cbor:"nested_failed,omitempty"`
	NestedLevel  Level `cbor:"nested_level,omitempty"`
}

func (*Answer) outcome()  {}
func (*NotRun) outcome()  {}
func (*Unknown) outcome() {}

// Reason says why a call got no answer. Its text, in snake case, is part of the body and
// header of the refusal.
type Reason string

// EndReason returns the reason of a call whose context has ended: ReasonDeadline if its deadline
// has passed, or else ReasonCancelled.
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
	// ReasonServerLimit refuses a request beyond the rate that the backend server names; others may have room.
	ReasonServerLimit Reason = "backend_server_limit"
	// ReasonQuarantined refuses a request that has crashed several backend servers.
	ReasonQuarantined Reason = "quarantined"
)

// Load is the state that a guard reports about its backend server in every answer and heartbeat.
type Load struct {
	InFlight int `cbor:"in_flight" json:"in_flight"`
	Queued   int `cbor:"queued" json:"queued"`
	// Limit is the number of requests in flight that the guard currently admits.
	Limit int `cbor:"limit" json:"limit"`
	// AdmitImportance is the lowest importance currently admitted.
	AdmitImportance Importance `cbor:"admit_importance" json:"admit_importance"`
	// AdmitCohorts is the number of cohorts of AdmitImportance that are admitted, counted from
	// cohort 0; Cohorts admits all of them.
	AdmitCohorts uint8 `cbor:"admit_cohorts" json:"admit_cohorts"`
	Draining     bool  `cbor:"draining" json:"draining"`
	// NestedLevel is the mean level that the backend server's nested calls met. It applies to requests that may
	// depend on such calls.
	NestedLevel Level `cbor:"nested_level,omitempty" json:"nested_level,omitempty"`
	// Notice is what the backend server says about itself; nil if it says nothing, or nothing yet.
	Notice *InstanceNotice `cbor:"notice,omitempty" json:"notice,omitempty"`
}

// Level returns AdmitImportance and AdmitCohorts as one admission level.
func (l Load) Level() Level {
	return Level(l.AdmitImportance)*Cohorts + Cohorts - Level(l.AdmitCohorts)
}

// Raise returns the load with its admission level raised to at least the given one, but below MaxLevel.
func (l Load) Raise(level Level) Load {
	if level > l.Level() {
		level = min(level, MaxLevel-1)
		l.AdmitImportance, l.AdmitCohorts = Importance(level/Cohorts), uint8(Cohorts-level%Cohorts)
	}
	return l
}

// Admits reports whether a guard with this load admits a request of the given importance and cohort.
func (l Load) Admits(importance Importance, cohort uint8) bool {
	if importance != l.AdmitImportance {
		return importance > l.AdmitImportance
	}
	return cohort < l.AdmitCohorts
}
