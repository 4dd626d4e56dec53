package dfppeer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// dialRetryDelay is how long after a failed dial its error is returned without dialing again.
const dialRetryDelay = 100 * time.Millisecond

// peer is another node, identified by its address, with the connections to it and the requests
// and calls that wait for its replies.
type peer struct {
	mesh    *Mesh
	address string
	current atomic.Pointer[conn] // The connection for new frames while it is usable, or nil.

	mu                  sync.Mutex
	conns               []*conn
	dial                *pendingDial
	dialFailedAt        time.Time // Zero after a success.
	lastErr             error
	runs                map[dfpcall.RequestID]*pendingRun
	calls               map[uint64]*pendingCall
	queuedNotifications []Control
}

// pendingDial is a dial in progress. All callers that need its connection wait for it.
type pendingDial struct {
	done chan struct{}
	conn *conn
	err  error
}

func newPeer(m *Mesh, address string) *peer {
	return &peer{
		mesh:    m,
		address: address,
		runs:    make(map[dfpcall.RequestID]*pendingRun),
		calls:   make(map[uint64]*pendingCall),
	}
}

// conn returns a usable connection and dials if there is none. It does not dial within
// dialRetryDelay after a failed dial, but returns that error.
func (p *peer) conn(ctx context.Context) (*conn, error) {
	if c := p.current.Load(); c != nil && c.usable() {
		return c, nil
	}
	p.mu.Lock()
	if c := p.bestConn(); c != nil {
		p.current.Store(c)
		p.mu.Unlock()
		return c, nil
	}
	if p.dial == nil && time.Since(p.dialFailedAt) < dialRetryDelay {
		err := p.lastErr
		p.mu.Unlock()
		return nil, err
	}
	d := p.ensureDial()
	p.mu.Unlock()
	return d.wait(ctx)
}

// bestConn returns the usable connection that most recently received a message, or nil. p.mu must
// be held.
func (p *peer) bestConn() *conn {
	var best *conn
	for _, c := range p.conns {
		if c.usable() && (best == nil || c.lastRead.Load() > best.lastRead.Load()) {
			best = c
		}
	}
	return best
}

// ensureDial returns the dial in progress, or starts one. p.mu must be held.
func (p *peer) ensureDial() *pendingDial {
	if p.dial != nil {
		return p.dial
	}
	d := &pendingDial{done: make(chan struct{})}
	p.dial = d
	p.mesh.cfg.Group.Go(func() error {
		p.runDial(d)
		return nil
	})
	return d
}

func (p *peer) runDial(d *pendingDial) {
	ws, incarnation, err := p.mesh.connect(p.mesh.ctx, p.address)
	if err != nil {
		d.err = fmt.Errorf("%w: %s: %w", ErrUnreachable, p.address, err)
	} else {
		d.conn = p.mesh.addConn(p, ws, incarnation, true)
	}
	p.mu.Lock()
	p.dial = nil
	p.lastErr = d.err
	notifications := p.queuedNotifications
	p.queuedNotifications = nil
	if err != nil {
		p.dialFailedAt = time.Now()
	} else {
		p.dialFailedAt = time.Time{}
	}
	p.mu.Unlock()
	close(d.done)
	// A node that fails authentication or has a different address is reachable.
	if onUnreachable := p.mesh.cfg.OnUnreachable; err != nil && onUnreachable != nil && !errors.Is(err, ErrSecretMismatch) && !errors.Is(err, ErrWrongNode) {
		onUnreachable(p.address, errors.Is(err, syscall.ECONNREFUSED))
	}
	if d.conn != nil {
		for _, msg := range notifications {
			d.conn.notify(msg)
		}
	}
}

func (d *pendingDial) wait(ctx context.Context) (*conn, error) {
	select {
	case <-d.done:
		return d.conn, d.err
	case <-ctx.Done():
		return nil, fmt.Errorf("%w: %w", ErrUnreachable, ctx.Err())
	}
}

func (p *peer) add(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.conns = append(p.conns, c)
	p.dialFailedAt = time.Time{}
}

// remove removes a connection. It fails the calls on it and ends or starts to resolve its requests.
// It returns false if the connection had been removed before.
func (p *peer) remove(c *conn, cause error) bool {
	p.mu.Lock()
	if c.dead.Load() {
		p.mu.Unlock()
		return false
	}
	c.dead.Store(true)
	for i, other := range p.conns {
		if other == c {
			p.conns = append(p.conns[:i:i], p.conns[i+1:]...)
			break
		}
	}
	p.current.CompareAndSwap(c, nil)
	lost := p.detachRuns(c)
	for sequence, pending := range p.calls {
		if pending.conn == c {
			delete(p.calls, sequence)
			pending.done <- callResult{err: cause}
		}
	}
	p.mu.Unlock()
	if len(lost) > 0 {
		p.mesh.cfg.Group.Go(func() error {
			p.resolve(lost)
			return nil
		})
	}
	return true
}

func (p *peer) connections() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*conn(nil), p.conns...)
}

// waiting returns the number of requests and calls without a reply.
func (p *peer) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs) + len(p.calls)
}

func (p *peer) state() PeerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PeerState{
		Address:            p.address,
		Connections:        len(p.conns),
		Waiting:            len(p.runs) + len(p.calls),
		SilentMilliseconds: -1,
	}
	if p.lastErr != nil {
		s.LastError = p.lastErr.Error()
	}
	for _, c := range p.conns {
		s.Incarnation = c.incarnation
		silent := time.Duration(p.mesh.now() - c.lastRead.Load()).Milliseconds()
		if s.SilentMilliseconds < 0 || silent < s.SilentMilliseconds {
			s.SilentMilliseconds = silent
		}
	}
	return s
}
