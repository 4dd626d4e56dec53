package dfpsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

const (
	slots             = 20
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = time.Second
	minServiceTime    = 10 * time.Millisecond
	maxServiceTime    = 50 * time.Millisecond
	// faultyFraction is the fraction of requests that the active fault affects.
	faultyFraction = 0.5
	// serveAfterDrain is how long a draining instance serves after Bounds.DrainWithin has passed.
	serveAfterDrain = 500 * time.Millisecond
	// crashBody begins the body of a request that crashes the backend server that runs it, crashDelay after its
	// start.
	crashBody  = "crash "
	crashDelay = 30 * time.Millisecond
	// crashRequestInterval is the time between two repeats of such a request.
	crashRequestInterval = 200 * time.Millisecond
	// minNamedRate and maxNamedRate bound the limits that backend servers name, in requests a second.
	minNamedRate, maxNamedRate = 0.5, 6.0
	// restartDelay is the time between the stop of a drained instance and the start of the next one.
	restartDelay = 500 * time.Millisecond
)

// backend is a stand-in backend server that records its runs in a ledger. Each start is a new instance at the
// same address.
type backend struct {
	soak *soak
	node *node

	faultMu sync.Mutex // Held while a fault is in force.

	mu       sync.Mutex
	rnd      *rand.Rand
	server   *http.Server // nil while no instance runs.
	instance string
	starts   int
	started  time.Time
	sequence uint64
	draining bool
	// notice is what the instance says about itself in its answers.
	notice  dfpcall.Notice
	running int
	// activeFault is the kind of the fault in force; empty if there is none.
	activeFault kind
	ledger      []Run
}

// start starts a new instance.
func (b *backend) start() error {
	listener, err := net.Listen("tcp", b.node.spec.Backend)
	if err != nil {
		return fmt.Errorf("backend server of node %d: %w", b.node.index, err)
	}
	server := &http.Server{Handler: http.HandlerFunc(b.handle), ReadHeaderTimeout: time.Minute}
	b.mu.Lock()
	b.starts++
	b.server, b.instance = server, fmt.Sprintf("i-%d-%d", b.node.index, b.starts)
	b.started, b.sequence, b.draining, b.notice = time.Now(), 0, false, dfpcall.Notice{}
	b.mu.Unlock()
	b.soak.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// stop ends the instance and aborts its runs.
func (b *backend) stop() {
	b.mu.Lock()
	server := b.server
	b.server = nil
	b.mu.Unlock()
	if server != nil {
		_ = server.Close() // Requests in progress are meant to be lost.
	}
}

// runs returns a copy of the ledger.
func (b *backend) runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.ledger...)
}

// handle runs one request. It refuses the request if all slots are taken, if the active fault is shedServer and
// affects the request, or if the request is for another instance.
func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body) // A truncated body also ends the context.
	run := b.soak.cfg.Protocol.ReadRequest(r)
	b.mu.Lock()
	run.Instance, run.Service, run.At, run.Body = b.instance, b.node.spec.Service, time.Now(), string(body)
	faulty := b.rnd.Float64() < faultyFraction
	if b.running >= slots || faulty && b.activeFault == shedServer || run.ExpectedInstance != b.instance {
		notice := b.notice
		b.mu.Unlock()
		b.soak.cfg.Protocol.Refuse(w, run, notice)
		return
	}
	b.ledger = append(b.ledger, run)
	active := b.activeFault
	serviceTime := minServiceTime + time.Duration(b.rnd.Int64N(int64(maxServiceTime-minServiceTime)))
	b.running++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	switch {
	case strings.HasPrefix(run.Body, crashBody):
		b.crash(r.Context(), run)
		panic(http.ErrAbortHandler)
	case faulty && active == hangServer:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case faulty && active == abortServer:
		panic(http.ErrAbortHandler)
	}
	if run.Path == PathOrder {
		b.callStock(r.Context(), run)
	}
	sleepUntil(r.Context(), time.Now().Add(serviceTime))
	b.mu.Lock()
	notice := b.notice
	b.mu.Unlock()
	b.soak.cfg.Protocol.Answer(w, run, notice)
	if notice != (dfpcall.Notice{}) {
		b.soak.recordNotice(run.Instance, b.node.index, notice)
	}
}

// crash ends the instance under a request, and starts the next one after restartDelay. If another fault of the
// backend server is in force, only the request's connection breaks.
func (b *backend) crash(ctx context.Context, run Run) {
	sleepUntil(ctx, time.Now().Add(crashDelay))
	if !b.faultMu.TryLock() {
		return
	}
	b.mu.Lock()
	current := b.instance == run.Instance && b.server != nil
	b.mu.Unlock()
	if !current {
		b.faultMu.Unlock()
		return
	}
	b.soak.recordCrash(run.Body)
	b.stop()
	b.soak.group.Go(func() error {
		defer b.faultMu.Unlock()
		sleepUntil(b.soak.ctx, time.Now().Add(restartDelay))
		return b.start()
	})
}

// recordCrash records that a request with a body has crashed an instance.
func (s *soak) recordCrash(body string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.evidence.Crashes == nil {
		s.evidence.Crashes = make(map[string][]time.Time)
	}
	s.evidence.Crashes[body] = append(s.evidence.Crashes[body], time.Now())
}

// recordNotice records an answer in which an instance has said something about itself.
func (s *soak) recordNotice(instance string, node int, notice dfpcall.Notice) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evidence.Notices = append(s.evidence.Notices, Notice{instance, node, time.Now(), notice})
}

// callStock makes the nested call of an order. The order completes whether or not the call succeeds.
func (b *backend) callStock(ctx context.Context, run Run) {
	r, err := b.soak.cfg.Protocol.NewCall(ctx, b.node.spec.Callers, Call{ID: run.ID + "/1", Path: PathStock})
	if err != nil {
		return
	}
	response, err := b.node.client.Do(r)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// sendHeartbeats sends heartbeats until the soak test ends.
func (b *backend) sendHeartbeats() error {
	for sleepUntil(b.soak.ctx, time.Now().Add(heartbeatInterval)) {
		b.sendHeartbeat(b.soak.ctx)
	}
	return nil
}

// sendHeartbeat sends one heartbeat, if an instance runs, and reports whether the node acknowledged it.
func (b *backend) sendHeartbeat(ctx context.Context) bool {
	b.mu.Lock()
	b.sequence++
	heartbeat := Heartbeat{
		Instance: b.instance, Service: b.node.spec.Service, Address: b.node.spec.Backend, Zone: b.node.spec.Zone,
		Slots: slots, Draining: b.draining, Sequence: b.sequence, Started: b.started,
	}
	up := b.server != nil
	b.mu.Unlock()
	if !up {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	r, err := b.soak.cfg.Protocol.NewHeartbeat(ctx, b.node.spec.Heartbeats, heartbeat)
	if err != nil || !b.send(r) {
		return false // The node may be down; the next heartbeat follows soon.
	}
	if heartbeat.Draining {
		b.soak.recordDrainAcknowledged(heartbeat.Instance)
	}
	return true
}

// send sends a request and reports whether the status is 2xx.
func (b *backend) send(r *http.Request) bool {
	response, err := b.node.client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// recordDrainAcknowledged records when a node first acknowledged that an instance drains.
func (s *soak) recordDrainAcknowledged(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, known := s.evidence.DrainAcknowledged[instance]; !known {
		s.evidence.DrainAcknowledged[instance] = time.Now()
	}
}

// inject injects a fault of the backend server and ends it after its duration.
func (b *backend) inject(ctx context.Context, f fault) error {
	b.faultMu.Lock()
	defer b.faultMu.Unlock()
	switch f.kind {
	case crashServer:
		b.stop()
		sleepUntil(ctx, time.Now().Add(f.duration))
		return b.start()
	case drainServer:
		return b.replace(ctx, false)
	case leaveServer:
		return b.replace(ctx, true)
	case limitServer:
		b.mu.Lock()
		rate := minNamedRate + b.rnd.Float64()*(maxNamedRate-minNamedRate)
		b.mu.Unlock()
		b.say(dfpcall.Notice{Limited: true, Rate: rate})
		sleepUntil(ctx, time.Now().Add(f.duration))
		b.say(dfpcall.Notice{})
		return nil
	default:
		b.setActiveFault(f.kind)
		sleepUntil(ctx, time.Now().Add(f.duration))
		b.setActiveFault("")
		return nil
	}
}

func (b *backend) setActiveFault(k kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.activeFault = k
}

// say sets what the instance says about itself.
func (b *backend) say(notice dfpcall.Notice) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notice = notice
}

// replace drains the instance, lets it serve for a while longer, deregisters and stops it, and starts the next
// one. With inAnswers, only its answers say that it leaves.
func (b *backend) replace(ctx context.Context, inAnswers bool) error {
	b.mu.Lock()
	b.draining = !inAnswers
	b.notice.Leaving = inAnswers
	instance := b.instance
	b.mu.Unlock()
	if inAnswers {
		sleepUntil(ctx, time.Now().Add(DefaultBounds.DrainWithin))
	}
	for end := time.Now().Add(DefaultBounds.DrainWithin); !inAnswers && !b.sendHeartbeat(ctx) && time.Now().Before(end); {
		sleepUntil(ctx, time.Now().Add(heartbeatInterval))
	}
	sleepUntil(ctx, time.Now().Add(DefaultBounds.DrainWithin+serveAfterDrain))
	if r, err := b.soak.cfg.Protocol.NewDeregistration(ctx, b.node.spec.Heartbeats, Heartbeat{Instance: instance}); err == nil && b.send(r) {
		b.soak.recordDrainAcknowledged(instance)
	}
	b.stop()
	sleepUntil(ctx, time.Now().Add(restartDelay))
	return b.start()
}
