// Package dfpevent is the vocabulary of a node's log: the events that explain what became of a
// request, or what a node came to believe, each with typed fields.
//
// Ordinary successes have no line. A request that ends badly at its entry has one, Request, which
// carries the story of its attempts: where each was sent and how that ended. Each event has a
// budget of lines a second; what is over it is counted, and the count stands in the next line of the
// same event.
//
// # Usage
//
//	journal := dfpevent.New(logger)
//	journal.Request(now, dfpevent.Request{ID: id, Reason: "organisation_rate", ...})
//
// A Journal is safe for concurrent use. It never blocks as long as its logger does not.
package dfpevent

import (
	"sync"
	"time"

	"github.com/apex/log"
)

// The names of events, in the field "event".
const (
	NameRequest = "request"
	NameBackend = "backend_server"
	NameStore   = "platform"
)

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
	// HeldMs is how long the request was here.
	HeldMs int64 `json:"held_ms"`
	// RulesVersion and RulesAgeMs are what it was decided by; the age is negative if the rules were never
	// known to be the newest.
	RulesVersion uint64    `json:"rules_version"`
	RulesAgeMs   int64     `json:"rules_age_ms"`
	Attempts     []Attempt `json:"attempts,omitempty"`
}

// Backend says what the node believes of its VM's backend server.
type Backend struct {
	Instance string `json:"instance"`
	Service  string `json:"service"`
	// State is ready, draining, silent or gone.
	State string `json:"state"`
}

// Dependency says that something the node depends on was lost or is back.
type Dependency struct {
	Name string `json:"name"`
	Lost bool   `json:"lost"`
	// Reason is the error that showed it.
	Reason string `json:"reason,omitempty"`
}

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

// Request writes how a request ended.
func (j *Journal) Request(now time.Time, r Request) {
	j.write(now, NameRequest, "request without success", r)
}

// Backend writes what is believed of the backend server.
func (j *Journal) Backend(now time.Time, b Backend) {
	j.write(now, NameBackend, "backend server is "+b.State, b)
}

// Dependency writes that a dependency was lost or is back.
func (j *Journal) Dependency(now time.Time, d Dependency) {
	message := d.Name + " is back"
	if d.Lost {
		message = d.Name + " is lost"
	}
	j.write(now, NameStore, message, d)
}

func (j *Journal) write(now time.Time, name, message string, detail any) {
	leftOut, ok := j.take(now, name)
	if !ok {
		return
	}
	fields := log.Fields{"event": name, "detail": detail}
	if leftOut > 0 {
		fields["left_out"] = leftOut
	}
	j.log.WithFields(fields).Info(message)
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
