package dfpsoak

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	slots         = 20
	beatPause     = 400 * time.Millisecond
	beatTimeout   = time.Second
	leastWork     = 10 * time.Millisecond
	mostWork      = 50 * time.Millisecond
	faultyPart    = 0.5
	serveOnAfter  = 500 * time.Millisecond
	replacedAfter = 500 * time.Millisecond
)

// backend is a stand-in backend server with a ledger. Each start is a new instance at the same address.
type backend struct {
	site *site
	node *node

	op sync.Mutex // Held through a fault.

	mu       sync.Mutex
	rnd      *rand.Rand
	server   *http.Server // nil while it is down.
	instance string
	starts   int
	begun    time.Time
	sequence uint64
	draining bool
	running  int
	mode     kind
	ledger   []Run
}

// start starts a new instance.
func (b *backend) start() error {
	listener, err := net.Listen("tcp", b.node.addr.Backend)
	if err != nil {
		return fmt.Errorf("backend server of node %d: %w", b.node.index, err)
	}
	server := &http.Server{Handler: http.HandlerFunc(b.handle), ReadHeaderTimeout: time.Minute}
	b.mu.Lock()
	b.starts++
	b.server, b.instance = server, fmt.Sprintf("i-%d-%d", b.node.index, b.starts)
	b.begun, b.sequence, b.draining = time.Now(), 0, false
	b.mu.Unlock()
	b.site.group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// stop ends the instance and cuts what it runs.
func (b *backend) stop() {
	b.mu.Lock()
	server := b.server
	b.server = nil
	b.mu.Unlock()
	if server != nil {
		_ = server.Close() // What it held is lost on purpose.
	}
}

func (b *backend) runs() []Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Run(nil), b.ledger...)
}

// handle runs one request.
func (b *backend) handle(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // A body that breaks off ends the context, too.
	run := b.site.cfg.Protocol.ReadRequest(r)
	b.mu.Lock()
	run.Instance, run.Service, run.At = b.instance, b.node.addr.Service, time.Now()
	faulty := b.rnd.Float64() < faultyPart
	if b.running >= slots || faulty && b.mode == shedServer || run.ExpectedInstance != b.instance {
		b.mu.Unlock()
		b.site.cfg.Protocol.Refuse(w)
		return
	}
	b.ledger = append(b.ledger, run)
	mode := b.mode
	work := leastWork + time.Duration(b.rnd.Int64N(int64(mostWork-leastWork)))
	b.running++
	b.mu.Unlock()
	defer func() {
		b.mu.Lock()
		b.running--
		b.mu.Unlock()
	}()
	switch {
	case faulty && mode == hangServer:
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case faulty && mode == spoilServer:
		panic(http.ErrAbortHandler)
	}
	if run.Path == PathOrder {
		b.callStock(r.Context(), run)
	}
	sleepUntil(r.Context(), time.Now().Add(work))
	b.site.cfg.Protocol.Answer(w, run)
}

// callStock makes the nested call of an order; the order goes on whatever comes of it.
func (b *backend) callStock(ctx context.Context, run Run) {
	r, err := b.site.cfg.Protocol.NewCall(ctx, b.node.addr.Callers, Call{ID: run.ID + "/1", Path: PathStock})
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

// beat sends heartbeats until the site closes.
func (b *backend) beat() error {
	for sleepUntil(b.site.ctx, time.Now().Add(beatPause)) {
		b.sayState(b.site.ctx)
	}
	return nil
}

// sayState sends one heartbeat, if the instance is there, and reports whether it was acknowledged.
func (b *backend) sayState(ctx context.Context) bool {
	b.mu.Lock()
	b.sequence++
	beat := Heartbeat{Instance: b.instance, Service: b.node.addr.Service, Slots: slots, Draining: b.draining, Sequence: b.sequence, Started: b.begun}
	up := b.server != nil
	b.mu.Unlock()
	if !up {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	r, err := b.site.cfg.Protocol.NewHeartbeat(ctx, b.node.addr.Heartbeats, beat)
	if err != nil || !b.send(r) {
		return false // The node may be down; the next heartbeat comes soon.
	}
	if beat.Draining {
		b.site.left(beat.Instance)
	}
	return true
}

func (b *backend) send(r *http.Request) bool {
	response, err := b.node.client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode/100 == 2
}

// left notes that a node has acknowledged that an instance leaves.
func (s *site) left(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, before := s.evidence.DrainAcknowledged[instance]; !before {
		s.evidence.DrainAcknowledged[instance] = time.Now()
	}
}

// cause causes a fault of the backend server.
func (b *backend) cause(ctx context.Context, f fault) error {
	b.op.Lock()
	defer b.op.Unlock()
	switch f.kind {
	case crashServer:
		b.stop()
		sleepUntil(ctx, time.Now().Add(f.span))
		return b.start()
	case drainServer:
		return b.replace(ctx)
	default:
		b.setMode(f.kind)
		sleepUntil(ctx, time.Now().Add(f.span))
		b.setMode("")
		return nil
	}
}

func (b *backend) setMode(mode kind) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.mode = mode
}

// replace drains the instance, lets it serve on, and starts the next one.
func (b *backend) replace(ctx context.Context) error {
	b.mu.Lock()
	b.draining = true
	instance := b.instance
	b.mu.Unlock()
	for end := time.Now().Add(DefaultBounds.DrainWithin); !b.sayState(ctx) && time.Now().Before(end); {
		sleepUntil(ctx, time.Now().Add(beatPause))
	}
	sleepUntil(ctx, time.Now().Add(DefaultBounds.DrainWithin+serveOnAfter))
	if r, err := b.site.cfg.Protocol.NewDeregistration(ctx, b.node.addr.Heartbeats, Heartbeat{Instance: instance}); err == nil && b.send(r) {
		b.site.left(instance)
	}
	b.stop()
	sleepUntil(ctx, time.Now().Add(replacedAfter))
	return b.start()
}
