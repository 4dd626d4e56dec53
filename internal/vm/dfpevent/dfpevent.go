// Package dfpevent defines the events in a node's log, each with typed fields. They explain how a request
// ended, or what state the node has recorded for a VM, the rules or a dependency.
//
// Ordinary successes are not logged. A request that does not succeed has one line at its entry node,
// Request, which lists its attempts: where each was sent and how it ended. A success that took more than one
// attempt or came late has the line Repeated with the same fields. The node at which an attempt ended
// without success writes a line of its own, Guard. Each event has a limit of lines per second; lines over
// the limit are counted, and the next line of the same event contains the count.
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

	"dragonflyport/internal/contract/dfpcall"
)

// Event is *Request, *Repeated, *Guard, *Admission, *Backend, *Notice, *Crash, *Quarantine,
// *VM, *Ejection, *Rules, *Rate or *Dependency.
type Event interface {
	// Name returns the value of the field "event". It does not use the receiver, which may be nil.
	Name() string
	// message returns the message of the line.
	message() string
}

// Kinds returns an empty event of each kind.
func Kinds() []Event {
	return []Event{
		new(Request), new(Repeated), new(Guard), new(Admission), new(Backend), new(Notice), new(Crash), new(Quarantine), new(VM), new(Ejection), new(Rules), new(Rate),
		new(Dependency),
	}
}

// linesPerSecond is the limit of each event. A node serves a few hundred requests per second; this many
// lines show each kind of failure and cost less than a thousandth of a core.
const linesPerSecond = 20

// Attempt is one attempt to run a request.
type Attempt struct {
	// VM is the address that the attempt was sent to; empty if no VM could be chosen.
	VM string `json:"vm,omitempty"`
	// Outcome is answered, not_run or unknown; Reason says why there was no answer.
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Status  int    `json:"status,omitempty"`
	// TookMs is the duration of the attempt, in milliseconds.
	TookMs int64 `json:"took_ms"`
}

// Request describes how a request ended that did not succeed.
type Request struct {
	// ID is the ID that the caller gave this attempt; empty if it gave none.
	ID           string `json:"id"`
	Route        string `json:"route,omitempty"`
	Organisation string `json:"organisation,omitempty"`
	Service      string `json:"service,omitempty"`
	Outcome      string `json:"outcome"`
	Reason       string `json:"reason,omitempty"`
	Status       int    `json:"status,omitempty"`
	// RetryAfterMs is the delay before a retry that the caller was told, in milliseconds.
	RetryAfterMs int64 `json:"retry_after_ms,omitempty"`
	// DurationMs is the time from the request's arrival at this node to its end, in milliseconds.
	DurationMs int64 `json:"held_ms"`
	// RulesVersion and RulesAgeMs describe the rules that applied to the request. RulesAgeMs is the time in
	// milliseconds since they were known to be the newest; negative if they never were.
	RulesVersion uint64    `json:"rules_version"`
	RulesAgeMs   int64     `json:"rules_age_ms"`
	Attempts     []Attempt `json:"attempts,omitempty"`
	// Rate is set if the request was refused because the organisation exceeded its rate.
	Rate *RateInputs `json:"rate,omitempty"`
}

// RateInputs is the state by which a node decides whether an organisation exceeds its rate.
type RateInputs struct {
	// PerSecond is the rate that the node may run without the allocator, and Demand the rate asked of it, in
	// requests per second.
	PerSecond float64 `json:"per_second"`
	Demand    float64 `json:"demand"`
	// Tokens is the number of requests that the node may run immediately.
	Tokens float64 `json:"tokens"`
	// Allocator is the VM that grants the tokens of the rates.
	Allocator string `json:"allotter"`
	// ValidMs is the remaining validity of the allocator's confirmation, in milliseconds; negative after it has
	// expired, and -1 if there was none.
	ValidMs int64 `json:"held_ms"`
}

// Repeated describes how a request succeeded that took more than one attempt, or longer than the latency
// objective of its route.
type Repeated struct{ Request }

// Guard describes how an attempt ended without success on the backend server of the VM that writes the line.
type Guard struct {
	// ID is the ID that the caller gave, as in Request.
	ID string `json:"id"`
	// From is the VM that sent the request to this VM.
	From    string `json:"from"`
	Service string `json:"service"`
	Outcome string `json:"outcome"`
	Reason  string `json:"reason,omitempty"`
	Status  int    `json:"status,omitempty"`
	// TookMs is the time since the arrival at this VM, in milliseconds.
	TookMs int64 `json:"took_ms"`
	// InFlight, Queued, Limit and Level are the guard's load at the end of the attempt; requests below the
	// level are not admitted.
	InFlight int `json:"in_flight"`
	Queued   int `json:"queued"`
	Limit    int `json:"limit"`
	Level    int `json:"level"`
}

// Admission describes one second in which the node refused root requests by the admission levels that it knew of,
// or in which requests waited at its guard.
type Admission struct {
	// Admitted counts the root requests above the levels, Probes those below that were admitted to learn
	// of a lower level, WithoutReport those admitted since no recent request had reported a level.
	Admitted      int64 `json:"admitted"`
	Probes        int64 `json:"probes"`
	WithoutReport int64 `json:"without_report"`
	Refused       int64 `json:"refused"`
	// InFlight, Queued, Limit and Level are the load of the guard at the end of the second, and NestedLevel is the
	// mean level that the backend server's nested calls met.
	InFlight    int `json:"in_flight"`
	Queued      int `json:"queued"`
	Limit       int `json:"limit"`
	Level       int `json:"level"`
	NestedLevel int `json:"nested_level"`
}

// Backend is the state of the VM's own backend server, as the node knows it.
type Backend struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	Slots    int    `json:"slots"`
	// State is ready, draining, silent or gone.
	State string `json:"state"`
}

// Notice is what the VM's own backend server says about itself in its answers, after a change.
type Notice struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	dfpcall.Notice
}

// Crash reports that the VM's own backend server has crashed while it ran requests.
type Crash struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// Suspects is the number of different requests that it may have been running.
	Suspects int `json:"suspects"`
}

// Quarantine reports that the node refuses a request from now on, since it has crashed several backend servers.
// Its repeats have lines Request with the reason "quarantined".
type Quarantine struct {
	// Fingerprint is a hash of the request and its organisation; it is the same in all nodes' logs.
	Fingerprint string `json:"fingerprint"`
}

// VM is the state of another VM, as the node knows it.
type VM struct {
	Address string `json:"address"`
	// Service is empty while no backend server is known on the VM.
	Service string `json:"service"`
	// State is up, draining, silent, dead or left.
	State string `json:"state"`
}

// Ejection reports that the node has ejected a VM from routing, or restored it.
type Ejection struct {
	Address string `json:"address"`
	Service string `json:"service"`
	// Restored reports that requests are sent to the VM again.
	Restored bool `json:"back"`
	// FailureRate is the fraction of recent requests that failed on the VM. LatencyMs and ServiceLatencyMs
	// are the mean times of successful requests on the VM and in the whole service, in milliseconds.
	FailureRate      float64 `json:"failed_part"`
	LatencyMs        float64 `json:"latency_ms"`
	ServiceLatencyMs float64 `json:"service_latency_ms"`
	// NextTrialMs is the time until the VM is tried again, in milliseconds.
	NextTrialMs int64 `json:"trial_ms"`
}

// Rules is the state of the rules, as the node knows it.
type Rules struct {
	Version uint64 `json:"version"`
	// State is in_force, not_taken, stale or fresh.
	State string `json:"state"`
	// By is the author of the version, and Reason says why it was rejected.
	By     string `json:"by,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Rate reports a change in how the node limits the organisations' rates.
type Rate struct {
	// Allocator is the VM that grants the tokens of the rates to Nodes nodes.
	Allocator string `json:"allotter"`
	Nodes     int    `json:"nodes"`
	// Confirmed reports that the allocator has confirmed the node's reports. Without that the node has only
	// its floor.
	Confirmed bool `json:"held"`
}

// Dependency reports that a dependency of the node has become unavailable or is available again.
type Dependency struct {
	Dependency string `json:"dependency"`
	Lost       bool   `json:"lost"`
	// Reason is the error that showed the loss.
	Reason string `json:"reason,omitempty"`
}

// Name implements Event.
func (*Request) Name() string { return "request" }

// Name implements Event.
func (*Repeated) Name() string { return "request_repeated" }

// Name implements Event.
func (*Guard) Name() string { return "guard" }

// Name implements Event.
func (*Admission) Name() string { return "admission" }

// Name implements Event.
func (*Backend) Name() string { return "backend_server" }

// Name implements Event.
func (*Notice) Name() string { return "backend_server_notice" }

// Name implements Event.
func (*Crash) Name() string { return "crash" }

// Name implements Event.
func (*Quarantine) Name() string { return "quarantine" }

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

func (*Request) message() string   { return "request did not succeed" }
func (*Repeated) message() string  { return "request succeeded after several attempts or late" }
func (*Guard) message() string     { return "attempt did not succeed" }
func (*Admission) message() string { return "requests were refused or waited" }
func (b *Backend) message() string { return "backend server is " + b.State }
func (v *VM) message() string      { return "VM is " + v.State }

func (*Quarantine) message() string { return "request quarantined" }

func (*Crash) message() string { return "backend server has crashed" }

func (n *Notice) message() string {
	switch {
	case n.Leaving:
		return "backend server says that it leaves"
	case n.Limited:
		return "backend server names a rate limit"
	default:
		return "backend server names no rate limit any more"
	}
}

func (*Rate) message() string { return "allocator of the rates changed" }

func (e *Ejection) message() string {
	if e.Restored {
		return "VM restored to routing"
	}
	return "VM ejected from routing"
}

func (r *Rules) message() string {
	switch r.State {
	case RulesInForce:
		return "rules in force"
	case RulesRejected:
		return "rules rejected"
	default:
		return "rules are " + r.State
	}
}

func (d *Dependency) message() string {
	if d.Lost {
		return d.Dependency + " is unavailable"
	}
	return d.Dependency + " is available again"
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

	mu     sync.Mutex
	counts map[string]*lineCount
}

// lineCount counts the lines of one event in one second.
type lineCount struct {
	second  int64
	written int
	leftOut int
}

// New returns a journal that writes to a logger.
func New(logger log.Interface) *Journal {
	return &Journal{log: logger, counts: map[string]*lineCount{}}
}

// Write writes an event unless its limit is used up. It calls describe only to write a line.
func Write[E Event](j *Journal, now time.Time, describe func() E) {
	var kind E
	name := kind.Name()
	leftOut, ok := j.reserve(now, name)
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

// reserve takes one line from the limit of an event and reports whether there was one. It also returns the
// number of lines left out since the last one written.
func (j *Journal) reserve(now time.Time, name string) (int, bool) {
	j.mu.Lock()
	defer j.mu.Unlock()
	count := j.counts[name]
	if count == nil {
		count = &lineCount{}
		j.counts[name] = count
	}
	if second := now.Unix(); second != count.second {
		count.second, count.written = second, 0
	}
	if count.written >= linesPerSecond {
		count.leftOut++
		return 0, false
	}
	count.written++
	leftOut := count.leftOut
	count.leftOut = 0
	return leftOut, true
}
