package dfpretry

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// MaxFingerprints is the number of different nested calls that one Account
// remembers. Calls beyond it pay as if they were repeats.
const MaxFingerprints = 4096

// Account is one running request's part of the chain's retry budget.
// What is left and what is lent never add up to more than it started with.
type RequestBudget struct {
	start int
	left  int
	lent  int
	calls map[uint64]callState
}

// callState is what an account remembers of one nested call.
type callState struct {
	running int
	// owed says that an attempt ended without success, or still runs, so that the next one is a
	// retry.
	owed bool
}

// NewAccount returns the account of a request that came with the given budget;
// a negative budget counts as 0.
func NewRequestBudget(budget int) *RequestBudget {
	budget = max(budget, 0)
	return &RequestBudget{start: budget, left: budget}
}

// Beginning says how a nested call begins: *Begun or *Spent.
type BeginResult interface{ beginning() }

// Begun lets a nested call go out with the given budget.
type Granted struct {
	Budget int
	// Repeat says that the call was paid for as a retry.
	Repeat bool
}

// Spent refuses a repeat because nothing is left to pay for it.
type Exhausted struct{}

func (*Granted) beginning()   {}
func (*Exhausted) beginning() {}

// Begin starts a nested call. The first call with a fingerprint is free, and so is
// one after a success; a repeat of a call that failed or still runs pays one. The call is lent
// half of what is left, rounded up, so that calls side by side divide it.
func (a *RequestBudget) Begin(fingerprint uint64) BeginResult {
	state, known := a.calls[fingerprint]
	repeat := state.running > 0 || state.owed || (!known && len(a.calls) >= MaxFingerprints)
	if repeat {
		if a.left == 0 {
			return &Exhausted{}
		}
		a.left--
		a.start--
	}
	if a.calls == nil {
		a.calls = make(map[uint64]callState)
	}
	if known || len(a.calls) < MaxFingerprints {
		a.calls[fingerprint] = callState{running: state.running + 1}
	}
	loan := (a.left + 1) / 2
	a.left -= loan
	a.lent += loan
	a.check()
	return &Granted{Budget: loan, Repeat: repeat}
}

// End closes a nested call that Begin lent the budget lent and that left
// returned of it. More than was lent is never taken back.
func (a *RequestBudget) End(fingerprint uint64, lent, returned int, succeeded bool) {
	returned = min(max(returned, 0), lent)
	a.lent -= lent
	a.left += returned
	a.start -= lent - returned
	if state, ok := a.calls[fingerprint]; ok {
		state.running--
		state.owed = !succeeded
		a.calls[fingerprint] = state
	}
	a.check()
}

// Remaining returns the number of retries not spent or lent: what the hop returns
// with its own outcome once all its nested calls have ended.
func (a *RequestBudget) Remaining() int { return a.left }

// check asserts that the account has made no budget out of nothing.
func (a *RequestBudget) check() {
	if a.left < 0 || a.lent < 0 || a.left+a.lent != a.start {
		panic(fmt.Sprintf("dfpretry: account out of balance: left %d, lent %d, of %d", a.left, a.lent, a.start))
	}
}

// Fingerprint names a nested call by what it asks for. Repeats of a call have
// the same fingerprint.
func Fingerprint(service, method, path string, body []byte) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	for _, part := range []string{service, method, path} {
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}
