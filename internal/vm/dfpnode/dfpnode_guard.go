package dfpnode

import (
	"context"
	"net/http"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/vm/dfpguard"
	"dragonflyport/internal/vm/dfpvm"
)

const (
	// backendLease is how long an announcement of the backend server holds.
	backendLease = 5 * time.Second
	// idlePoll is how often a graceful shutdown looks whether all work has ended.
	idlePoll = 5 * time.Millisecond
)

// waiter is a request that waits in the guard's queue. Its channel takes one
// verdict: nil to start.
type waiter chan *dfpguard.Refusal

// guardGate stands before the backend server. It holds the guard's mutex and
// tells waiting requests what the guard has decided.
type guardGate struct {
	n *Node

	mu       sync.Mutex
	guard    *dfpguard.Guard
	waiting  map[dfpguard.Handle]waiter
	next     dfpguard.Handle
	running  int
	backend  Announcement
	expires  time.Time
	draining bool
}

func (g *guardGate) init(n *Node) {
	g.n = n
	g.waiting = make(map[dfpguard.Handle]waiter)
	g.guard = dfpguard.New(dfpguard.Config{
		Mode: n.cfg.GuardMode, RampTime: n.cfg.GuardRamp, Rand: n.newRand(streamGuard),
		QueueNested: n.cfg.QueueNested, SlotsFraction: n.cfg.SlotsFraction,
	})
}

// run ticks the guard until the node ends.
func (g *guardGate) run() error {
	ticker := time.NewTicker(dfpguard.DefaultWindow)
	defer ticker.Stop()
	for {
		select {
		case <-g.n.life.Done():
			return nil
		case now := <-ticker.C:
			g.do(func() dfpguard.Effects { return g.guard.Tick(now) })
			g.expire(now)
		}
	}
}

// do makes one decision and hands its effects to those who wait.
func (g *guardGate) do(decide func() dfpguard.Effects) {
	g.mu.Lock()
	g.deliver(decide())
	g.mu.Unlock()
}

// deliver never blocks: a waiter's channel has room for its one verdict.
func (g *guardGate) deliver(effects dfpguard.Effects) {
	for _, handle := range effects.Start {
		g.running++
		g.waiting[handle] <- nil
		delete(g.waiting, handle)
	}
	for i := range effects.Refuse {
		refusal := &effects.Refuse[i]
		g.waiting[refusal.Handle] <- refusal
		delete(g.waiting, refusal.Handle)
	}
}

// Announce takes in what the backend server says of itself. It has to be repeated within
// backendLease.
func (n *Node) Announce(announced Announcement) {
	g := &n.guard
	g.mu.Lock()
	fresh := g.backend != announced || g.expires.IsZero()
	if g.backend.Instance != announced.Instance && !n.stopping.Load() {
		g.draining = false
	}
	g.backend = announced
	g.expires = time.Now().Add(backendLease)
	if fresh && !g.draining {
		g.deliver(g.guard.SetBackend(time.Now(), announced.Slots))
	}
	g.mu.Unlock()
	if !fresh {
		return
	}
	n.guard.note(announced, n.guard.readiness())
	n.roster.changeSelf(func(vm *dfpvm.VM) {
		vm.Service, vm.BackendAddress, vm.Slots = announced.Service, announced.Address, announced.Slots
		vm.Draining = g.isDraining()
	})
}

// expire withdraws a backend server that has stopped announcing itself.
func (g *guardGate) expire(now time.Time) {
	g.mu.Lock()
	backend := g.backend
	lapsed := !g.expires.IsZero() && now.After(g.expires)
	if lapsed {
		g.expires = time.Time{}
	}
	g.mu.Unlock()
	if lapsed {
		g.note(backend, "silent")
		g.n.roster.changeSelf(func(vm *dfpvm.VM) { vm.Service = "" })
	}
}

// note writes to the log what is believed of the backend server.
func (g *guardGate) note(backend Announcement, state string) {
	dfpevent.Write(g.n.journal, time.Now(), func() *dfpevent.Backend {
		return &dfpevent.Backend{Instance: backend.Instance, Service: backend.Service, Slots: backend.Slots, State: state}
	})
}

func (g *guardGate) readiness() string {
	if g.isDraining() {
		return "draining"
	}
	return "ready"
}

func (g *guardGate) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// withdraw takes back what the backend server said of itself: it does not answer. Its next
// announcement brings it back.
func (n *Node) withdraw(instance string) {
	g := &n.guard
	g.mu.Lock()
	backend := g.backend
	gone := !g.expires.IsZero() && backend.Instance == instance
	if gone {
		g.expires = time.Time{}
	}
	g.mu.Unlock()
	if gone {
		g.note(backend, "gone")
		n.roster.changeSelf(func(vm *dfpvm.VM) { vm.Service = "" })
	}
}

func (g *guardGate) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		g.deliver(g.guard.Drain(time.Now()))
		g.note(g.backend, "draining")
	}
}

// waitIdle waits until nothing runs on the backend server.
func (g *guardGate) waitIdle(ctx context.Context) {
	for {
		g.mu.Lock()
		running := g.running
		g.mu.Unlock()
		if running == 0 {
			return
		}
		select {
		case <-ctx.Done():
			g.n.cfg.Log.WithField("running", running).Warn("requests were cut by the drain timeout")
			return
		case <-time.After(idlePoll):
		}
	}
}

func (g *guardGate) load() dfpcall.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	return g.guard.Load(now).Raise(g.n.nested.level(now))
}

// runForPeer runs a request that another node sent to this VM's backend server.
func (n *Node) runForPeer(ctx context.Context, from string, req *dfpcall.Request) dfpcall.Outcome {
	arrived := time.Now()
	out := n.runGuarded(ctx, req)
	n.accountAttempt(from, req, out, time.Since(arrived))
	return out
}

// runGuarded runs a request on this VM's backend server, if the guard admits it.
func (n *Node) runGuarded(ctx context.Context, req *dfpcall.Request) dfpcall.Outcome {
	n.metrics.guardArrived.Add(1)
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	handle, backend, refusal := n.guard.admit(ctx, req)
	if refusal != nil {
		n.metrics.guardRefused.Add(1)
		return refusal
	}
	return n.runAdmitted(ctx, req, handle, backend)
}

func (n *Node) runAdmitted(ctx context.Context, req *dfpcall.Request, handle dfpguard.Handle, backend Announcement) dfpcall.Outcome {
	req.Instance = backend.Instance
	token, running := n.parents.add(ctx, req)
	started := time.Now()
	if deadline, ok := ctx.Deadline(); ok {
		req.Timeout = time.Until(deadline)
	}
	out := n.backend.Run(ctx, backend.Address, req, token)
	n.parents.remove(token)
	now := time.Now()
	nestedFailed := running.close(out, n.guard.load().Level(), n.nested.failedLately(now))
	n.guard.finish(now, handle, now.Sub(started), verdictOn(out, nestedFailed))
	n.metrics.guardRan.Add(1)
	if notRun, ok := out.(*dfpcall.NotRun); ok && notRun.Reason == dfpcall.ReasonNoBackendServer {
		n.withdraw(backend.Instance)
	}
	return out
}

// runVerdict is what a run says of the backend server.
type runVerdict int

const (
	runSucceeded runVerdict = iota
	runFailed
	// runSaysNothing is one cut short by its caller, or by a nested call.
	runSaysNothing
	// runExcused is one that the backend server answered with failure because of a nested call.
	runExcused
)

func verdictOn(out dfpcall.Outcome, nestedFailed bool) runVerdict {
	switch out := out.(type) {
	case *dfpcall.Answer:
		if out.Status < http.StatusInternalServerError {
			return runSucceeded
		}
		if nestedFailed {
			return runExcused
		}
	case *dfpcall.Unknown:
		if out.Reason == dfpcall.ReasonCancelled {
			return runSaysNothing
		}
	}
	if nestedFailed {
		return runSaysNothing
	}
	return runFailed
}

// admit waits for the guard's verdict. It returns the backend server as it was announced, or why
// the request may not run.
func (g *guardGate) admit(ctx context.Context, req *dfpcall.Request) (dfpguard.Handle, Announcement, *dfpcall.NotRun) {
	refuse := func(reason dfpcall.Reason, after time.Duration) *dfpcall.NotRun {
		return &dfpcall.NotRun{Reason: reason, RetryAfter: after, Budget: req.Budget, Level: g.load().Level()}
	}
	g.mu.Lock()
	if g.backend.Service != req.Service || g.expires.IsZero() {
		g.mu.Unlock()
		return 0, Announcement{}, refuse(dfpcall.ReasonNoBackendServer, time.Second)
	}
	g.next++
	handle, backend := g.next, g.backend
	verdict, effects := g.guard.Arrive(time.Now(), ticketOf(ctx, handle, req))
	g.deliver(effects)
	switch v := verdict.(type) {
	case *dfpguard.Start:
		g.running++
		g.mu.Unlock()
		return handle, backend, nil
	case *dfpguard.Refuse:
		g.mu.Unlock()
		return 0, Announcement{}, refuse(v.Reason, v.RetryAfter)
	}
	verdictOf := make(waiter, 1)
	g.waiting[handle] = verdictOf
	g.mu.Unlock()
	select {
	case refusal := <-verdictOf:
		if refusal != nil {
			return 0, Announcement{}, refuse(refusal.Reason, refusal.RetryAfter)
		}
		return handle, backend, nil
	case <-ctx.Done():
		g.withdraw(handle, verdictOf)
		return 0, Announcement{}, refuse(dfpcall.EndReason(ctx), 0)
	}
}

// withdraw takes back a request that waits, or whose verdict came at the same moment.
func (g *guardGate) withdraw(handle dfpguard.Handle, verdictOf waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waits := g.waiting[handle]; waits {
		delete(g.waiting, handle)
		g.deliver(g.guard.Cancel(time.Now(), handle))
		return
	}
	// A refusal has ended the handle already; a start has to be undone.
	if refusal := <-verdictOf; refusal == nil {
		g.running--
		g.deliver(g.guard.Cancel(time.Now(), handle))
	}
}

func (g *guardGate) finish(now time.Time, handle dfpguard.Handle, took time.Duration, verdict runVerdict) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	switch verdict {
	case runSaysNothing:
		g.deliver(g.guard.Cancel(now, handle))
	case runExcused:
		g.deliver(g.guard.DoneWithoutFault(now, handle))
	default:
		g.deliver(g.guard.Done(now, handle, took, verdict == runFailed))
	}
}

func ticketOf(ctx context.Context, handle dfpguard.Handle, req *dfpcall.Request) dfpguard.Request {
	deadline, _ := ctx.Deadline()
	return dfpguard.Request{
		Handle: handle, Organisation: req.Organisation, Importance: min(req.Importance, dfpcall.Critical),
		Cohort: req.Cohort % dfpcall.Cohorts, Depth: req.Depth, Deadline: deadline,
	}
}

// state returns the backend server's last announcement and a dump of the guard.
func (g *guardGate) state() (Announcement, dfpguard.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backend, g.guard.State(time.Now())
}
