package dfpbackendserver

import (
	"net/http"
	"slices"
	"strings"
	"sync"
)

// maxLedgerRuns is the maximum number of runs in the ledger; further runs are only
// counted.
const maxLedgerRuns = 1 << 20

// Run is one execution of a request.
type Run struct {
	// Request is the ID that the node gave the request.
	Request      string `json:"request"`
	Operation    string `json:"operation"`
	Organisation string `json:"organisation"`
	Method       string `json:"method"`
	Path         string `json:"path"`
	// Depth is 0 for a caller's request, 1 for its nested calls, and so on.
	Depth     int  `json:"depth"`
	Ended     bool `json:"ended"`
	Completed bool `json:"completed"`
	Cancelled bool `json:"cancelled"`
}

// LedgerSnapshot is a copy of a ledger.
type LedgerSnapshot struct {
	Runs []Run `json:"runs"`
	// Headers maps each header name to the number of runs whose request had it.
	Headers map[string]int `json:"headers"`
	// RequestsWithSecret is the number of runs whose request had a watched secret in
	// its URI or headers.
	RequestsWithSecret int `json:"secrets"`
	// Shed is the number of shed requests.
	Shed int `json:"shed"`
	// WrongAnswers is the number of nested calls that got the reply to another
	// operation.
	WrongAnswers int `json:"wrong_answers"`
	// DroppedRuns is the number of runs that the ledger does not list because it was
	// full.
	DroppedRuns int `json:"unlisted"`
}

// Ledger records the runs of a backend server. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	contents LedgerSnapshot
	secrets  []string
}

func newLedger() *Ledger {
	return &Ledger{contents: LedgerSnapshot{Headers: make(map[string]int)}}
}

// WatchSecrets sets the strings, such as callers' keys, that must not appear in the
// URI or the headers of a request.
func (l *Ledger) WatchSecrets(secrets []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.secrets = slices.Clone(secrets)
}

// Snapshot returns a copy of the ledger.
func (l *Ledger) Snapshot() LedgerSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.contents
	s.Runs = slices.Clone(s.Runs)
	s.Headers = make(map[string]int, len(l.contents.Headers))
	for name, n := range l.contents.Headers {
		s.Headers[name] = n
	}
	return s
}

// RunsByOperation returns the number of runs of each operation.
func (s LedgerSnapshot) RunsByOperation() map[string]int {
	counts := make(map[string]int)
	for _, run := range s.Runs {
		counts[run.Operation]++
	}
	return counts
}

// begin records a run and returns its index, or -1 if the ledger is full.
func (l *Ledger) begin(r *http.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range r.Header {
		l.contents.Headers[name]++
	}
	if l.containsSecretLocked(r) {
		l.contents.RequestsWithSecret++
	}
	if len(l.contents.Runs) >= maxLedgerRuns {
		l.contents.DroppedRuns++
		return -1
	}
	operation := r.Header.Get(HeaderOperation)
	l.contents.Runs = append(l.contents.Runs, Run{
		Request:      r.Header.Get(HeaderRequest),
		Operation:    operation,
		Organisation: r.Header.Get(HeaderOrganisation),
		Method:       r.Method,
		Path:         r.URL.Path,
		Depth:        strings.Count(operation, "/"),
	})
	return len(l.contents.Runs) - 1
}

// containsSecretLocked reports whether the URI or a header of a request contains a
// watched secret.
func (l *Ledger) containsSecretLocked(r *http.Request) bool {
	for _, secret := range l.secrets {
		if strings.Contains(r.URL.RequestURI(), secret) {
			return true
		}
		for _, values := range r.Header {
			for _, value := range values {
				if strings.Contains(value, secret) {
					return true
				}
			}
		}
	}
	return false
}

// end records the end of the run with the given index; -1 is ignored.
func (l *Ledger) end(run int, cancelled, completed bool) {
	if run < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.contents.Runs[run]
	r.Ended, r.Cancelled, r.Completed = true, cancelled, completed
}

func (l *Ledger) shed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contents.Shed++
}

func (l *Ledger) wrongAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contents.WrongAnswers++
}
