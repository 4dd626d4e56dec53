// Package dfpevent is the vocabulary of a node's log: the events that explain what became of a
// request, or what a node came to believe, each with typed fields.
//
// Ordinary successes have no line. A request that ends badly at its entry has one, Request, which
// carries the story of its attempts: where each was sent and how that ended. So does a success that
// took more than one attempt or came late. The node at which an attempt ended badly writes a line of
// its own, Guard. Each event has a budget of lines a second; what is over it is counted, and the count
// stands in the next line of the same event.
//
// # Usage
//
//	journal := dfpevent.New(logger)
//	dfpevent.Write(journal, now, func() *dfpevent.VM { return &dfpevent.VM{Address: address, State: "silent"} })
//
// A Journal is safe for concurrent use. It never blocks as long as its logger does not.
package dfpevent

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// Event is *Request, *Repeated, *Guard, *Backend, *VM, *SetAside, *Rules, *Rate or *Dependency.
type Event interface {
	// Name is the line's field "event". It does not read the event.
	Name() string
	// message is the line's message.
	message() string
}

// Kinds returns an empty event of each kind.
func Kinds() []Event {
	return []Event{
		new(Request), new(Repeated), new(Guard), new(Backend), new(VM), new(Ejection), new(Rules), new(Rate),
		new(Dependency),
	}
}

// linesPerSecond is each event's budget. A node takes some hundred requests a second; this many lines
// show each kind of failure, and cost less than a thousandth of a core.
const linesPerSecond = 20

// Attempt is one attempt to run a request.
type Attempt struct {
	// VM is where it was sent; empty if none could be chosen.
	VM string `json:"vm,omitempty"`
	// Outcome is answered, not_run or unknown; Reason says why there was no answer.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Status  int    `json:"status,omitempty"`
	// TookMs is how long it took, in milliseconds.
	TookMs int64 `json:"took_ms"`
}

// Request says how a request ended that got no success.
type Request struct {
	// ID is the caller's for this attempt of its own.
	ID           string `json:"id"`
	Route        string `json:"route,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Service      string `json:"service,omitempty"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason,omitempty"`
	Status       int    `json:"status,omitempty"`
	// RetryAfterMs is when the caller was told to come back.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// DurationMs is how long the request was here.
	DurationMs int64 `json:"held_ms"`
	// RulesVersion and RulesAgeMs are what it was decided by; the age is negative if the rules were never
	// known to be the newest.
	RulesVersion uint64    `json:"rules_version"`
	RulesAgeMs   int64     `json:"rules_age_ms"`
	Attempts     []Attempt `json:"attempts,omitempty"`
	// Rate is what a refusal for the organisation's rate was decided by.
	Rate *RateInputs `json:"rate,omitempty"`
}

// RateInputs are what a node knows of one organisation's rate.
type RateInputs struct {
	// PerSecond is what the node may use, Demand what it is asked for, in requests a second.
	PerSecond float64 `json:"per_second"`
	Demand    float64 `json:"demand"`
	// Tokens is the number of requests that it may run at once.
	Tokens float64 `json:"tokens"`
	// Allocator is the VM that divides the rates.
	Allocator string `json:"allotter"`
	// ValidMs is how long the node's allotment still holds, in milliseconds; negative once it has lapsed, and
	// -1 if there was none.
	ValidMs int64 `json:"held_ms"`
}

// Repeated says how a request succeeded that took more than one attempt, or longer than the latency
// objective of its route.
type Repeated struct{ Request }

// Guard says how an attempt ended without success on the backend server of the VM that writes the line.
type Guard struct {
	// ID is the caller's, as in Request.
	ID string `json:"id"`
	// From is the VM that sent the request here.
	From    string `json:"from"`
	Service string `json:"service"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Status  int    `json:"status,omitempty"`
	// TookMs is the time from the arrival here, in milliseconds.
	TookMs int64 `json:"took_ms"`
	// InFlight, Queued, Limit and Level are the guard's at the end of the attempt; a request below the
	// level is not admitted.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Limit    int `json:"limit"`
	Level    int `json:"level"`
}

// Backend says what the node believes of its VM's backend server.
type Backend struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	// State is ready, draining, silent or gone.
	State string `json:"state"`
}

// VM says what the node believes of another VM.
type VM struct {
	Address string `json:"address"`
	// Service is empty while no backend server is known there.
	Service string `json:"service"`
	// State is up, draining, silent, dead or left.
	State string `json:"state"`
}

// Ejection says that the node sends a VM no more requests, or again.
type Ejection struct {
	Address string `json:"address"`
	Service string `json:"service"`
	// Restored says that it is sent requests again.
	Restored bool `json:"back"`
	// FailureRate is the part of requests that failed there lately, and LatencyMs and ServiceLatencyMs the mean
	// time of successful ones there and at the whole service, in milliseconds.
	FailureRate      float64 `json:"failed_part"`
	LatencyMs        float64 `json:"latency_ms"`
	ServiceLatencyMs float64 `json:"service_latency_ms"`
	// NextTrialMs is the time until it is tried again, in milliseconds.
	NextTrialMs int64 `json:"trial_ms"`
}

// Rules says what the node believes of the rules.
type Rules struct {
	Version uint64 `json:"version"`
	// State is in_force, not_taken, stale or fresh.
	State string `json:"state"`
	// By is who wrote the version, and Reason why it was not taken.
	By     string `json:"by,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Rate says by what the node keeps the organisations' rates from now on.
type Rate struct {
	// Allocator is the VM that divides the rates, among Nodes VMs.
	Allocator string `json:"allotter"`
	Nodes     int    `json:"nodes"`
	// HasAllocation says that the node has an allotment; without one it makes do with an even part of half of
	// each rate.
	HasAllocation bool `json:"held"`
}

// Dependency says that something the node depends on was lost or is back.
type Dependency struct {
	Dependency string `json:"dependency"`
	Lost       bool   `json:"lost"`
	// Reason is the error that showed it.
	Reason string `json:"reason,omitempty"`
}

// Name implements Event.
func (*Request) Name() string { return "request" }

// Name implements Event.
func (*Repeated) Name() string { return "request_repeated" }

// Name implements Event.
func (*Guard) Name() string { return "guard" }

// Name implements Event.
func (*Backend) Name() string { return "backend_server" }

// Name implements Event.
func (*VM) Name() string { return "vm" }

// Name implements Event.
func (*Ejection) Name() string { return "set_aside" }

// Name implements Event.
func (*Rules) Name() string { return "rules" }

// Name implements Event.
func (*Rate) Name() string { return "rate" }

// Name implements Event.
func (*Dependency) Name() string { return "dependency" }

func (*Request) message() string   { return "request without success" }
func (*Repeated) message() string  { return "request took several attempts or long" }
func (*Guard) message() string     { return "attempt without success" }
func (b *Backend) message() string { return "backend server is " + b.State }
func (v *VM) message() string      { return "VM is " + v.State }
func (*Rate) message() string      { return "rates are kept otherwise" }

func (s *Ejection) message() string {
	if s.Restored {
		return "VM is sent requests again"
	}
	return "VM is set aside"
}

func (r *Rules) message() string {
	switch r.State {
	case RulesInForce:
		return "rules in force"
	case RulesRejected:
		return "rules not taken"
	default:
		return "rules are " + r.State
	}
}

func (d *Dependency) message() string {
	if d.Lost {
		return d.Dependency + " is lost"
	}
	return d.Dependency + " is back"
}

// The states of Rules.
const (
	RulesInForce  = "in_force"
	RulesRejected = "not_taken"
	RulesStale    = "stale"
	RulesFresh    = "fresh"
)

// Journal writes events.
type Journal struct {
	log log.Interface

	mu      sync.Mutex
	budgets map[string]*budget
}

// budget is one event's lines in one second.
type budget struct {
	second  int64
	written int
	leftOut int
}

// New returns a journal that writes to a logger.
func New(logger log.Interface) *Journal {
	return &Journal{log: logger, budgets: map[string]*budget{}}
}

// Write writes an event if the budget of its kind allows that. Describe is called only then.
func Write[E Event](j *Journal, now time.Time, describe func() E) {
	var kind E
	name := kind.Name()
	leftOut, ok := j.take(now, name)
	if !ok {
		return
	}
	event := describe()
	fields := log.Fields{"event": name, "detail": event}
	if leftOut > 0 {
		fields["left_out"] = leftOut
	}
	j.log.WithFields(fields).Info(event.message())
}

// take takes a line of an event's budget. It returns how many lines were left out since the last one.
func (j *Journal) take(now time.Time, name string) (int, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	b := j.budgets[name]
	if b == nil {
		b = &budget{}
		j.budgets[name] = b
	}
	if second := now.Unix(); second != b.second {
		b.second, b.written = second, 0
	}
	if b.written >= linesPerSecond {
		b.leftOut++
		return 0, false
	}
	b.written++
	leftOut := b.leftOut
	b.leftOut = 0
	return leftOut, true
}
