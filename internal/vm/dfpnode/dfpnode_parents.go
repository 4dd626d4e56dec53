package dfpnode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
)

// parent is a request that runs on this VM's backend server and may make nested calls. The calls name it by
// a token that only the backend server received, and take their organisation, importance, cohort, deadline
// and retry budget from it.
type parent struct {
	ctx context.Context
	req *dfpcall.Request

	mu     sync.Mutex
	budget *dfpretry.RequestBudget
	// level is the highest admission level that the nested calls met. running counts the nested calls in
	// progress, failed those that did not succeed.
	level   dfpcall.Level
	running int
	failed  int
}

// begin starts a nested call and returns the retry budget reserved for it. It returns false if the call is a
// repeat that the remaining budget does not cover.
func (p *parent) begin(fingerprint uint64) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	granted, ok := p.budget.Begin(fingerprint).(*dfpretry.Granted)
	if !ok {
		p.failed++
		return 0, false
	}
	p.running++
	return granted.Budget, true
}

// end ends a nested call and takes back what remains of the budget reserved for it.
func (p *parent) end(fingerprint uint64, reserved int, out dfpcall.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	succeeded := dfpretry.Succeeded(out)
	p.budget.End(fingerprint, reserved, dfpretry.BudgetOf(out), succeeded)
	p.level = max(p.level, levelOf(out))
	p.running--
	if !succeeded {
		p.failed++
	}
}

// finish stores in the request's outcome the remaining retry budget, the higher of level and the highest
// level that nested calls met, and whether a nested call failed. A nested call counts as failed if it is
// still running; otherFailed says that a call failed that names no parent. finish returns whether one failed.
func (p *parent) finish(out dfpcall.Outcome, level dfpcall.Level, otherFailed bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	remaining, level := p.budget.Remaining(), max(p.level, level)
	nestedFailed := p.failed > 0 || p.running > 0 || otherFailed
	switch out := out.(type) {
	case *dfpcall.Answer:
		out.Budget, out.Level, out.NestedFailed = remaining, level, nestedFailed
	case *dfpcall.NotRun:
		out.Budget, out.Level = remaining, level
	case *dfpcall.Unknown:
		out.Budget, out.Level, out.NestedFailed = remaining, level, nestedFailed
	}
	return nestedFailed
}

// levelOf returns the highest admission level that a call met.
func levelOf(out dfpcall.Outcome) dfpcall.Level {
	switch out := out.(type) {
	case *dfpcall.Answer:
		return out.Level
	case *dfpcall.NotRun:
		return out.Level
	case *dfpcall.Unknown:
		return out.Level
	default:
		panic("dfpnode: call ended without an outcome")
	}
}

// parents holds the running requests by token. The zero value is ready to use.
type parents struct {
	byToken sync.Map // token string -> *parent
}

// add registers a running request and returns its token of 128 random bits, which cannot be guessed.
func (p *parents) add(ctx context.Context, req *dfpcall.Request) (string, *parent) {
	var raw [16]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("dfpnode: cannot read random bytes: " + err.Error())
	}
	token := hex.EncodeToString(raw[:])
	running := &parent{ctx: ctx, req: req, budget: dfpretry.NewRequestBudget(req.Budget)}
	p.byToken.Store(token, running)
	return token, running
}

func (p *parents) remove(token string) { p.byToken.Delete(token) }

// nestedDeadlineTolerance is by how much a nested call may seem to expire after the request that makes it: its time
// left counts from when this node reads it, which may be late, and is in whole milliseconds.
const nestedDeadlineTolerance = 50 * time.Millisecond

// mayHaveMade reports whether a call that expires at the given time may be one of a running request's: a nested
// call expires no later than the request for which it is made.
func (p *parents) mayHaveMade(expires time.Time) bool {
	found := false
	p.byToken.Range(func(_, value any) bool {
		deadline, ok := value.(*parent).ctx.Deadline()
		found = !ok || !expires.After(deadline.Add(nestedDeadlineTolerance))
		return !found
	})
	return found
}

// find returns the running request with a token, or nil if there is none.
func (p *parents) find(token string) *parent {
	found, ok := p.byToken.Load(token)
	if !ok {
		return nil
	}
	return found.(*parent)
}
