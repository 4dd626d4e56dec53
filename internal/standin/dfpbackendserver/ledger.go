package dfpbackendserver

import (
	"net/http"
	"slices"
	"strings"
	"sync"
)

// maxLedgerRuns bounds the ledger; later runs are only counted.
const maxLedgerRuns = 1 << 20

// Run is one run of a request.
type Run struct {
	// Request is the id that the node gave it.
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
	// Headers maps each header name seen to the number of requests with it.
	Headers map[string]int `json:"headers"`
	// RequestsWithSecret counts the requests in which a watched secret was seen.
	RequestsWithSecret int `json:"secrets"`
	Shed               int `json:"shed"`
	WrongAnswers       int `json:"wrong_answers"`
	// DroppedRuns is the number of runs that the ledger had no room for.
	DroppedRuns int `json:"unlisted"`
}

// Ledger records every run. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	account LedgerSnapshot
	secrets []string
}

func newLedger() *Ledger {
	return &Ledger{account: LedgerSnapshot{Headers: make(map[string]int)}}
}

// WatchSecrets sets the strings, such as callers' keys, that no request may hold.
func (l *Ledger) WatchSecrets(secrets []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.secrets = slices.Clone(secrets)
}

// Snapshot returns a copy of the ledger.
func (l *Ledger) Snapshot() LedgerSnapshot {
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.account
	a.Runs = slices.Clone(a.Runs)
	a.Headers = make(map[string]int, len(l.account.Headers))
	for name, n := range l.account.Headers {
		a.Headers[name] = n
	}
	return a
}

// RunsByOperation returns how often each operation was run.
func (a LedgerSnapshot) RunsByOperation() map[string]int {
	counts := make(map[string]int)
	for _, run := range a.Runs {
		counts[run.Operation]++
	}
	return counts
}

// begin records a run and returns its index, or -1 if the ledger is full.
func (l *Ledger) begin(r *http.Request) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name := range r.Header {
		l.account.Headers[name]++
	}
	if l.holdsSecretLocked(r) {
		l.account.RequestsWithSecret++
	}
	if len(l.account.Runs) >= maxLedgerRuns {
		l.account.DroppedRuns++
		return -1
	}
	operation := r.Header.Get(HeaderOperation)
	l.account.Runs = append(l.account.Runs, Run{
		Request:      r.Header.Get(HeaderRequest),
		Operation:    operation,
		Organisation: r.Header.Get(HeaderOrganisation),
		Method:       r.Method,
		Path:         r.URL.Path,
		Depth:        strings.Count(operation, "/"),
	})
	return len(l.account.Runs) - 1
}

func (l *Ledger) holdsSecretLocked(r *http.Request) bool {
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

func (l *Ledger) end(run int, cancelled, completed bool) {
	if run < 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &l.account.Runs[run]
	r.Ended, r.Cancelled, r.Completed = true, cancelled, completed
}

func (l *Ledger) shed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.Shed++
}

func (l *Ledger) wrongAnswer() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.account.WrongAnswers++
}
