package dfpnode

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/vm/dfpevent"
	"dragonflyport/internal/vm/dfpguard"
	"dragonflyport/internal/vm/dfpinstance"
	"dragonflyport/internal/vm/dfpvm"
	"dragonflyport/internal/zone/dfpquarantine"
)

const (
	// backendLease is how long an announcement of the backend server remains valid.
	backendLease = 5 * time.Second
	// idlePoll is the interval at which a graceful shutdown checks whether requests are still running.
	idlePoll = 5 * time.Millisecond
)

// waiter is the channel of a request in the guard's queue. It receives one decision: nil to start, or a
// refusal.
type waiter chan *dfpguard.Refusal

// guardLoop runs the guard of this VM's backend server and passes its decisions to waiting requests.
type guardLoop struct {
	n *Node

	mu       sync.Mutex
	guard    *dfpguard.Guard
	waiting  map[dfpguard.Handle]waiter
	next     dfpguard.Handle
	running  int
	backend  Announcement
	expires  time.Time
	draining bool
	// notices are those of the instance that backend announces, and reported is what other nodes are told.
	notices  dfpinstance.Notices
	reported *dfpcall.InstanceNotice
}

func (g *guardLoop) init(n *Node) {
	g.n = n
	g.waiting = make(map[dfpguard.Handle]waiter)
	g.guard = dfpguard.New(dfpguard.Config{
		Mode: n.cfg.GuardMode, RampTime: n.cfg.GuardRamp, Rand: n.newRand(streamGuard),
		QueueNested: n.cfg.QueueNested, SlotsFraction: n.cfg.SlotsFraction,
	})
}

// run ticks the guard until the node ends.
func (g *guardLoop) run() error {
	ticker := time.NewTicker(dfpguard.DefaultWindow)
	defer ticker.Stop()
	for {
		select {
		case <-g.n.runCtx.Done():
			return nil
		case now := <-ticker.C:
			g.do(func() dfpguard.Effects { return g.guard.Tick(now) })
			g.expire(now)
		}
	}
}

// do makes one decision and delivers its effects to waiting requests.
func (g *guardLoop) do(decide func() dfpguard.Effects) {
	g.mu.Lock()
	g.deliver(decide())
	g.mu.Unlock()
}

// deliver never blocks: a waiter's channel has room for its one decision. g.mu must be held.
func (g *guardLoop) deliver(effects dfpguard.Effects) {
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

// Announce records an announcement of the backend server, which expires after backendLease. An instance that has
// left gets no new requests.
func (n *Node) Announce(announced Announcement) {
	admitted, left := n.departures.admit(announced)
	if !admitted {
		return
	}
	g := &n.guard
	g.mu.Lock()
	changed := g.backend != announced || g.expires.IsZero()
	before := g.backend
	suspects := n.crashes.replace(announced)
	if before.identity() != announced.identity() {
		g.resetNotices()
		g.draining = g.draining && n.stopping.Load()
	}
	leaves := left && !g.draining && !n.cfg.NoDrain
	if leaves {
		g.draining = true
		g.deliver(g.guard.Drain(time.Now()))
	}
	changed = changed || leaves
	g.backend = announced
	g.expires = time.Now().Add(backendLease)
	if changed && !g.draining {
		g.deliver(g.guard.SetBackend(time.Now(), announced.Slots))
	}
	g.mu.Unlock()
	if !changed {
		return
	}
	n.crashes.record(before, suspects)
	n.guard.logBackend(announced, n.guard.readiness())
	n.roster.updateSelf(func(vm *dfpvm.VM) {
		vm.Service, vm.BackendAddress, vm.Slots = announced.Service, announced.Address, announced.Slots
		vm.Draining = g.isDraining()
	})
}

// expire withdraws a backend server whose last announcement has expired.
func (g *guardLoop) expire(now time.Time) {
	g.mu.Lock()
	backend := g.backend
	expired := !g.expires.IsZero() && now.After(g.expires)
	if expired {
		g.expires = time.Time{}
	}
	g.mu.Unlock()
	if expired {
		g.logBackend(backend, "silent")
		g.n.roster.updateSelf(func(vm *dfpvm.VM) { vm.Service = "" })
	}
}

// logBackend logs the state that the node assumes for its backend server.
func (g *guardLoop) logBackend(backend Announcement, state string) {
	dfpevent.Write(g.n.journal, time.Now(), func() *dfpevent.Backend {
		return &dfpevent.Backend{Instance: backend.Instance, Service: backend.Service, Slots: backend.Slots, State: state}
	})
}

func (g *guardLoop) readiness() string {
	if g.isDraining() {
		return "draining"
	}
	return "ready"
}

func (g *guardLoop) isDraining() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.draining
}

// withdrawBackend withdraws a backend server that does not answer, unless another instance has been
// announced. The next announcement restores it.
func (n *Node) withdrawBackend(instance string) {
	g := &n.guard
	g.mu.Lock()
	backend := g.backend
	withdrawn := !g.expires.IsZero() && backend.Instance == instance
	if withdrawn {
		g.expires = time.Time{}
	}
	g.mu.Unlock()
	if withdrawn {
		g.logBackend(backend, "gone")
		n.roster.updateSelf(func(vm *dfpvm.VM) { vm.Service = "" })
	}
}

func (g *guardLoop) drain() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.draining {
		g.draining = true
		g.deliver(g.guard.Drain(time.Now()))
		g.logBackend(g.backend, "draining")
	}
}

// waitIdle waits until no request runs on the backend server or ctx ends.
func (g *guardLoop) waitIdle(ctx context.Context) {
	for {
		g.mu.Lock()
		running := g.running
		g.mu.Unlock()
		if running == 0 {
			return
		}
		select {
		case <-ctx.Done():
			g.n.cfg.Log.WithField("running", running).Warn("drain timeout reached, requests were cut")
			return
		case <-time.After(idlePoll):
		}
	}
}

func (g *guardLoop) load() dfpcall.Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	load := g.guard.Load(now)
	load.NestedLevel, load.Notice = g.n.nested.level(now), g.reported
	return load
}

// runForPeer runs a request from a node, which may be this one, on this VM's backend server.
func (n *Node) runForPeer(ctx context.Context, from string, req *dfpcall.Request) dfpcall.Outcome {
	arrived := time.Now()
	out := n.runGuarded(ctx, req)
	n.logAttempt(from, req, out, time.Since(arrived))
	return out
}

// runGuarded runs a request on this VM's backend server if the guard admits it.
func (n *Node) runGuarded(ctx context.Context, req *dfpcall.Request) dfpcall.Outcome {
	n.metrics.guardArrived.Add(1)
	if req.Known != nil {
		n.guard.adoptNotice(req.Known)
	}
	ctx, cancel := context.WithTimeout(ctx, req.Timeout)
	defer cancel()
	handle, backend, refusal := n.guard.admit(ctx, req)
	if refusal != nil {
		n.metrics.guardRefused.Add(1)
		return refusal
	}
	// The request may have waited while it was quarantined, and its entry may not have heard of it.
	if refusal := n.quarantine.refuse(req); refusal != nil {
		n.guard.finish(time.Now(), handle, 0, runInconclusive)
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
	fingerprint := dfpquarantine.FingerprintOf(req)
	nested := n.nested.start(n.classOf(req))
	n.crashes.start(backend, uint64(handle), fingerprint)
	out, notice := n.backend.Run(ctx, backend.Address, req, token)
	n.crashes.finish(uint64(handle), backend, out)
	if _, answered := out.(*dfpcall.Answer); answered {
		n.quarantine.recordAnswer(fingerprint)
	}
	n.parents.remove(token)
	if notice != nil {
		n.guard.observeNotice(backend, started, *notice)
	}
	now := time.Now()
	load := n.guard.load()
	dependence := n.nested.end(nested, out)
	if dependence == dfpcall.Independent {
		load.NestedLevel = 0
	}
	setNested(out, load.NestedLevel, dependence)
	nestedFailed := running.finish(out, load.Level(), dependence != dfpcall.Independent && n.nested.failedRecently(now))
	n.guard.finish(now, handle, now.Sub(started), classifyRun(out, nestedFailed))
	n.metrics.guardRan.Add(1)
	if hasEnded(out) {
		n.withdrawBackend(backend.Instance)
		n.crashes.crashed(backend)
	}
	return out
}

// setNested stores in an outcome the level that nested calls met, and whether its class depends on them.
func setNested(out dfpcall.Outcome, level dfpcall.Level, dependence dfpcall.Dependence) {
	switch out := out.(type) {
	case *dfpcall.Answer:
		out.NestedLevel, out.Dependence = level, dependence
	case *dfpcall.Unknown:
		out.NestedLevel = level
	}
}

// classOf returns the id of the route of a request; empty if the rules in force have none for it.
func (n *Node) classOf(req *dfpcall.Request) string {
	if req.Class != "" {
		return req.Class
	}
	path, _, _ := strings.Cut(req.Path, "?")
	if rules := n.config.rules(); rules != nil {
		if route, found := rules.FindRoute(req.Method, req.Host, path); found {
			return route.ID()
		}
	}
	return ""
}

// runResult is the result of a run as an indication of the backend server's health.
type runResult int

const (
	runSucceeded runResult = iota
	runFailed
	// runInconclusive is the result of a run that was cut short by its caller or by a nested call.
	runInconclusive
	// runFailedByNested is the result of a run that the backend server answered with a failure because
	// of a nested call.
	runFailedByNested
)

func classifyRun(out dfpcall.Outcome, nestedFailed bool) runResult {
	switch out := out.(type) {
	case *dfpcall.Answer:
		if out.Status < http.StatusInternalServerError {
			return runSucceeded
		}
		if nestedFailed {
			return runFailedByNested
		}
	case *dfpcall.Unknown:
		if out.Reason == dfpcall.ReasonCancelled {
			return runInconclusive
		}
	}
	if nestedFailed {
		return runInconclusive
	}
	return runFailed
}

// admit asks the guard to admit a request and waits for its decision. It returns either the handle of the
// admitted request and the backend server's announcement, or a refusal.
func (g *guardLoop) admit(ctx context.Context, req *dfpcall.Request) (dfpguard.Handle, Announcement, *dfpcall.NotRun) {
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
	decision, effects := g.guard.Arrive(time.Now(), guardRequestOf(ctx, handle, req))
	g.deliver(effects)
	switch v := decision.(type) {
	case *dfpguard.Start:
		g.running++
		g.mu.Unlock()
		return handle, backend, nil
	case *dfpguard.Refuse:
		g.mu.Unlock()
		return 0, Announcement{}, refuse(v.Reason, v.RetryAfter)
	}
	decided := make(waiter, 1)
	g.waiting[handle] = decided
	g.mu.Unlock()
	select {
	case refusal := <-decided:
		if refusal != nil {
			return 0, Announcement{}, refuse(refusal.Reason, refusal.RetryAfter)
		}
		return handle, backend, nil
	case <-ctx.Done():
		g.cancel(handle, decided)
		return 0, Announcement{}, refuse(dfpcall.EndReason(ctx), 0)
	}
}

// cancel withdraws a request that waits or whose decision was made at the same moment.
func (g *guardLoop) cancel(handle dfpguard.Handle, decided waiter) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if _, waits := g.waiting[handle]; waits {
		delete(g.waiting, handle)
		g.deliver(g.guard.Cancel(time.Now(), handle))
		return
	}
	// After a refusal the guard no longer has the handle; a start must be undone.
	if refusal := <-decided; refusal == nil {
		g.running--
		g.deliver(g.guard.Cancel(time.Now(), handle))
	}
}

func (g *guardLoop) finish(now time.Time, handle dfpguard.Handle, took time.Duration, result runResult) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	switch result {
	case runInconclusive:
		g.deliver(g.guard.Cancel(now, handle))
	case runFailedByNested:
		g.deliver(g.guard.DoneWithoutFault(now, handle))
	default:
		g.deliver(g.guard.Done(now, handle, took, result == runFailed))
	}
}

func guardRequestOf(ctx context.Context, handle dfpguard.Handle, req *dfpcall.Request) dfpguard.Request {
	deadline, _ := ctx.Deadline()
	return dfpguard.Request{
		Handle: handle, Organisation: req.Organisation, Importance: min(req.Importance, dfpcall.Critical),
		Cohort: req.Cohort % dfpcall.Cohorts, Depth: req.Depth, Deadline: deadline,
	}
}

// state returns the backend server's last announcement and the state of the guard.
func (g *guardLoop) state() (Announcement, dfpguard.State) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.backend, g.guard.State(time.Now())
}
