package dfpretry

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
)

// MaxFingerprints is the number of distinct nested calls that one RequestBudget
// remembers. Calls beyond it are charged as repeats.
const MaxFingerprints = 4096

// RequestBudget is the retry budget of one running request. It never hands out more retries than
// it received: what remains and what is reserved always add up to the part not yet used.
type RequestBudget struct {
	// unused is the budget received minus the retries used, whether here or in nested calls.
	unused    int
	remaining int
	// reserved is the part of unused that is granted to running nested calls.
	reserved int
	calls    map[uint64]callState
}

// callState is what a RequestBudget remembers of one nested call.
type callState struct {
	running int
	// retryNext reports that the last attempt ended without success, so that the next one is a
	// retry.
	retryNext bool
}

// NewRequestBudget returns the budget of a request that arrived with the given number of retries;
// a negative number counts as 0.
func NewRequestBudget(budget int) *RequestBudget {
	budget = max(budget, 0)
	return &RequestBudget{unused: budget, remaining: budget}
}

// BeginResult says whether a nested call may start: *Granted or *Exhausted.
type BeginResult interface{ beginResult() }

// Granted allows a nested call to be sent with the given budget.
type Granted struct {
	Budget int
	// Repeat reports that the call was charged as a retry.
	Repeat bool
}

// Exhausted refuses a repeat because no retries remain to pay for it.
type Exhausted struct{}

func (*Granted) beginResult()   {}
func (*Exhausted) beginResult() {}

// Begin starts a nested call. The first call with a fingerprint is free, and so is
// a call after a success. A repeat of a call that failed or is still running costs one retry. The
// call receives half of what remains, rounded up, so that concurrent calls divide it.
func (b *RequestBudget) Begin(fingerprint uint64) BeginResult {
	state, known := b.calls[fingerprint]
	repeat := state.running > 0 || state.retryNext || (!known && len(b.calls) >= MaxFingerprints)
	if repeat {
		if b.remaining == 0 {
			return &Exhausted{}
		}
		b.remaining--
		b.unused--
	}
	if b.calls == nil {
		b.calls = make(map[uint64]callState)
	}
	if known || len(b.calls) < MaxFingerprints {
		b.calls[fingerprint] = callState{running: state.running + 1}
	}
	share := (b.remaining + 1) / 2
	b.remaining -= share
	b.reserved += share
	b.check()
	return &Granted{Budget: share, Repeat: repeat}
}

// End ends a nested call that received the budget granted from Begin and left the
// budget returned unused. More than was granted is never taken back.
func (b *RequestBudget) End(fingerprint uint64, granted, returned int, succeeded bool) {
	returned = min(max(returned, 0), granted)
	b.reserved -= granted
	b.remaining += returned
	b.unused -= granted - returned
	if state, ok := b.calls[fingerprint]; ok {
		state.running--
		state.retryNext = !succeeded
		b.calls[fingerprint] = state
	}
	b.check()
}

// Remaining returns the number of retries neither used nor reserved: what the hop returns
// with its own outcome once all its nested calls have ended.
func (b *RequestBudget) Remaining() int { return b.remaining }

// check panics unless the remaining and reserved parts add up to the unused budget.
func (b *RequestBudget) check() {
	if b.remaining < 0 || b.reserved < 0 || b.remaining+b.reserved != b.unused {
		panic(fmt.Sprintf("dfpretry: RequestBudget out of balance: remaining %d, reserved %d, but unused %d",
			b.remaining, b.reserved, b.unused))
	}
}

// Fingerprint returns a hash of what a nested call requests. Repeats of a call have
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
