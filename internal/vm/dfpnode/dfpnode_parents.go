package dfpnode

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"sync"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/contract/dfpretry"
)

// parent is a request that runs on this VM's backend server. Its nested calls
// name it by a token that only the backend server was given, and take everything
// that decides about them from here: organisation, importance, cohort, deadline
// and retry budget.
type parent struct {
	ctx context.Context
	req *dfpcall.Request

	mu     sync.Mutex
	budget *dfpretry.RequestBudget
	// level is the highest admission level that the nested calls have met;
	// running counts those in progress, failed those that got no success.
	level   dfpcall.Level
	running int
	failed  int
}

// begin starts a nested call and returns the budget that it is lent, or false
// if it is a repeat that the budget does not allow.
func (p *parent) begin(fingerprint uint64) (int, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	begun, ok := p.budget.Begin(fingerprint).(*dfpretry.Granted)
	if !ok {
		p.failed++
		return 0, false
	}
	p.running++
	return begun.Budget, true
}

// end takes back what a nested call has left of its budget.
func (p *parent) end(fingerprint uint64, lent int, out dfpcall.Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	succeeded := dfpretry.Succeeded(out)
	p.budget.End(fingerprint, lent, dfpretry.BudgetOf(out), succeeded)
	p.level = max(p.level, levelOf(out))
	p.running--
	if !succeeded {
		p.failed++
	}
}

// close puts into the request's outcome what its nested calls have left of the
// budget, the highest level met by them and at the guard itself, and whether one of them
// failed or still ran, or may have, as otherFailed says. It reports the latter.
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

// levelOf returns the highest admission level that a call has met.
func levelOf(out dfpcall.Outcome) dfpcall.Level {
	switch out := out.(type) {
	case *dfpcall.Answer:
		return out.Level
	case *dfpcall.NotRun:
		return out.Level
	case *dfpcall.Unknown:
		return out.Level
	default:
		panic("dfpnode: a call ended without an outcome")
	}
}

// parents holds the running requests by token. The zero value is ready.
type parents struct {
	byToken sync.Map // token string -> *parent
}

// add registers a running request and returns its token, which is 128 random
// bits so that nobody outside can guess it.
func (p *parents) add(ctx context.Context, req *dfpcall.Request) (string, *parent) {
	var raw [16]byte
	if _, err := rand.Read(raw[:]); err != nil {
		panic("dfpnode: no randomness: " + err.Error())
	}
	token := hex.EncodeToString(raw[:])
	running := &parent{ctx: ctx, req: req, budget: dfpretry.NewRequestBudget(req.Budget)}
	p.byToken.Store(token, running)
	return token, running
}

func (p *parents) remove(token string) { p.byToken.Delete(token) }

// find returns the running request of a token, or nil if there is none.
func (p *parents) find(token string) *parent {
	found, ok := p.byToken.Load(token)
	if !ok {
		return nil
	}
	return found.(*parent)
}
