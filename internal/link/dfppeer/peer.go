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

// dialPause is how long a failed dial is remembered before the next one.
const dialPause = 100 * time.Millisecond

// peer is another node, by its address, with the connections to it and what
// waits for its answers.
type peer struct {
	mesh    *Mesh
	address string
	current atomic.Pointer[conn]

	mu      sync.Mutex
	conns   []*conn
	dial    *dialing
	failed  time.Time // When the last dial failed; zero after a success.
	lastErr error
	runs    map[dfpcall.RequestID]*pending
	asks    map[uint64]*asking
	tells   []Control
}

// dialing is a dial under way, shared by all who wait for it.
type dialing struct {
	done chan struct{}
	conn *conn
	err  error
}

func newPeer(m *Mesh, address string) *peer {
	return &peer{
		mesh:    m,
		address: address,
		runs:    make(map[dfpcall.RequestID]*pending),
		asks:    make(map[uint64]*asking),
	}
}

// conn returns a usable connection, and dials if there is none.
func (p *peer) conn(ctx context.Context) (*conn, error) {
	if c := p.current.Load(); c != nil && c.usable() {
		return c, nil
	}
	p.mu.Lock()
	if c := p.pick(); c != nil {
		p.current.Store(c)
		p.mu.Unlock()
		return c, nil
	}
	if p.dial == nil && time.Since(p.failed) < dialPause {
		err := p.lastErr
		p.mu.Unlock()
		return nil, err
	}
	d := p.startDial()
	p.mu.Unlock()
	return d.wait(ctx)
}

// pick returns the usable connection heard last, if any. p.mu must be held.
func (p *peer) pick() *conn {
	var best *conn
	for _, c := range p.conns {
		if c.usable() && (best == nil || c.lastRead.Load() > best.lastRead.Load()) {
			best = c
		}
	}
	return best
}

// startDial joins the dial under way or starts one. p.mu must be held.
func (p *peer) startDial() *dialing {
	if p.dial != nil {
		return p.dial
	}
	d := &dialing{done: make(chan struct{})}
	p.dial = d
	p.mesh.cfg.Group.Go(func() error {
		p.runDial(d)
		return nil
	})
	return d
}

func (p *peer) runDial(d *dialing) {
	ws, incarnation, err := p.mesh.connect(p.mesh.ctx, p.address)
	if err != nil {
		d.err = fmt.Errorf("%w: %s: %w", ErrUnreachable, p.address, err)
	} else {
		d.conn = p.mesh.adopt(p, ws, incarnation, true)
	}
	p.mu.Lock()
	p.dial = nil
	p.lastErr = d.err
	tells := p.tells
	p.tells = nil
	if err != nil {
		p.failed = time.Now()
	} else {
		p.failed = time.Time{}
	}
	p.mu.Unlock()
	close(d.done)
	// One that answers, but not as it should, is there.
	if tell := p.mesh.cfg.OnUnreachable; err != nil && tell != nil && !errors.Is(err, ErrSecretMismatch) && !errors.Is(err, ErrWrongNode) {
		tell(p.address, errors.Is(err, syscall.ECONNREFUSED))
	}
	if d.conn != nil {
		for _, msg := range tells {
			d.conn.tell(msg)
		}
	}
}

func (d *dialing) wait(ctx context.Context) (*conn, error) {
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
	p.failed = time.Time{}
}

// remove takes a connection out and settles what waits on it. It returns
// false if that has been done before.
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
	lost := p.settleLost(c)
	for sequence, a := range p.asks {
		if a.conn == c {
			delete(p.asks, sequence)
			a.done <- askResult{err: cause}
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

// waiting is the number of requests and control messages without an answer.
func (p *peer) waiting() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.runs) + len(p.asks)
}

func (p *peer) state() PeerState {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := PeerState{
		Address:            p.address,
		Connections:        len(p.conns),
		Waiting:            len(p.runs) + len(p.asks),
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
