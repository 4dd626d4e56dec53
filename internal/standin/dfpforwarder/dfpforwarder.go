// Package dfpforwarder carries TCP connections between two ends and makes the
// path between them slow, narrow, silent or cut.
//
// # Usage
//
//	link := dfpforwarder.New(dfpforwarder.Conditions{Delay: 20 * time.Millisecond})
//	transport := &http.Transport{DialContext: link.Dial}
//	link.Set(dfpforwarder.Conditions{Cut: true}) // A partition; Set again to mend it.
//	link.BlackholeOpen()                         // The open connections drop all bytes for good.
//
// As a process or listener of its own:
//
//	group.Go(func() error { return link.Serve(ctx, listener, "127.0.0.1:9000") })
package dfpforwarder

import (
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"
)

const (
	chunkBytes = 16 << 10
	// chunksInTransit bounds what one direction of a connection holds.
	chunksInTransit = 64
)

// ErrRefused is returned by Dial while the link refuses connections.
var ErrRefused = errors.New("connection refused by the forwarder")

// Conditions say how a link behaves. The zero value is a perfect link.
type Conditions struct {
	// Cut holds everything back, as a partition does: dials wait, and bytes of
	// open connections arrive only after the cut has ended.
	Cut bool `json:"cut"`
	// CutReturn holds back only what the dialled end sends: a partition in one direction.
	CutReturn bool `json:"cut_back"`
	// Refuse closes open connections and refuses new ones.
	Refuse bool `json:"refuse"`
	// Delay is added to each direction.
	Delay time.Duration `json:"delay_ns"`
	// BytesPerSecond caps each direction of the whole link; 0 means no cap.
	BytesPerSecond int `json:"bytes_per_second"`
}

// Link is a path that many connections share. It is safe for concurrent use.
type Link struct {
	mu         sync.Mutex
	conditions Conditions
	changed    chan struct{}
	limiters   [2]*rate.Limiter
	open       map[*pair]struct{}
	carried    [2]uint64
}

// pair is one forwarded connection.
type pair struct {
	near, far net.Conn
	silent    chan struct{}
	once      sync.Once
}

func (p *pair) isSilent() bool {
	select {
	case <-p.silent:
		return true
	default:
		return false
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

// New returns a link under the given conditions.
func New(conditions Conditions) *Link {
	l := &Link{changed: make(chan struct{}), open: make(map[*pair]struct{})}
	l.limiters = [2]*rate.Limiter{rate.NewLimiter(rate.Inf, chunkBytes), rate.NewLimiter(rate.Inf, chunkBytes)}
	l.Set(conditions)
	return l
}

// Set changes the conditions from now on.
func (l *Link) Set(conditions Conditions) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conditions = conditions
	limit := rate.Inf
	if conditions.BytesPerSecond > 0 {
		limit = rate.Limit(conditions.BytesPerSecond)
	}
	for _, limiter := range l.limiters {
		limiter.SetLimit(limit)
	}
	if conditions.Refuse {
		for p := range l.open {
			p.close()
		}
	}
	close(l.changed)
	l.changed = make(chan struct{})
}

// BlackholeOpen makes the connections that are open now swallow every byte for
// good, without closing them. Connections opened later work.
func (l *Link) BlackholeOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		p.once.Do(func() { close(p.silent) })
	}
}

// OpenConnections returns the number of connections carried now.
func (l *Link) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// BytesCarried returns the bytes carried towards the dialled end and back.
func (l *Link) BytesCarried() (there, back uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.carried[0], l.carried[1]
}

func (l *Link) state() (Conditions, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions, l.changed
}

// directionBack is the direction from the dialled end.
const directionBack = 1

// passable waits until the link is not cut in a direction. It returns ErrRefused if it refuses.
func (l *Link) passable(ctx context.Context, direction int) error {
	for {
		conditions, changed := l.state()
		if conditions.Refuse {
			return ErrRefused
		}
		if !conditions.Cut && (!conditions.CutReturn || direction != directionBack) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Dial opens a connection over the link. It can stand in for net.Dialer's
// DialContext.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := l.passable(ctx, directionBack); err != nil { // A handshake goes both ways.
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	far, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conditions, _ := l.state()
	// A handshake takes one round trip.
	select {
	case <-ctx.Done():
		_ = far.Close()
		return nil, ctx.Err()
	case <-time.After(2 * conditions.Delay):
	}
	near, app := net.Pipe()
	p := l.add(near, far)
	var group errgroup.Group
	group.Go(func() error { return l.carry(p) })
	return &conn{Conn: app, local: far.LocalAddr(), remote: far.RemoteAddr()}, nil
}

// Serve accepts on the listener and forwards to the target until ctx is done.
func (l *Link) Serve(ctx context.Context, listener net.Listener, target string) error {
	group, ctx := errgroup.WithContext(ctx)
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()
	group.Go(func() error {
		for {
			near, err := listener.Accept()
			if err != nil {
				if ctx.Err() != nil {
					return nil
				}
				return err
			}
			group.Go(func() error {
				l.forward(ctx, near, target)
				return nil
			})
		}
	})
	return group.Wait()
}

// forward carries one accepted connection to the target.
func (l *Link) forward(ctx context.Context, near net.Conn, target string) {
	defer func() { _ = near.Close() }()
	if l.passable(ctx, directionBack) != nil {
		return
	}
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	p := l.add(near, far)
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	_ = l.carry(p) // The ends see the broken connection themselves.
}

func (l *Link) add(near, far net.Conn) *pair {
	p := &pair{near: near, far: far, silent: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[p] = struct{}{}
	return p
}

// conn gives the near end of a pipe the addresses of the real connection.
type conn struct {
	net.Conn
	local, remote net.Addr
}

// LocalAddr returns the real connection's local address.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the dialled address.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// carry copies both directions until either ends.
func (l *Link) carry(p *pair) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	for i, ends := range [2][2]net.Conn{{p.far, p.near}, {p.near, p.far}} {
		chunks := make(chan chunk, chunksInTransit)
		group.Go(func() error { return l.read(ctx, ends[1], chunks) })
		group.Go(func() error {
			err := l.write(ctx, p, i, ends[0], chunks)
			if !p.isSilent() {
				cancel()
				p.close()
			}
			return err
		})
	}
	err := group.Wait()
	p.close()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, p)
	return err
}

// chunk is some bytes and when they have arrived.
type chunk struct {
	bytes []byte
	due   time.Time
}

func (l *Link) read(ctx context.Context, src io.Reader, chunks chan<- chunk) error {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if n > 0 {
			conditions, _ := l.state()
			select {
			case chunks <- chunk{bytes: buf[:n], due: time.Now().Add(conditions.Delay)}:
			case <-ctx.Done():
				return nil
			}
		}
		if err != nil {
			return err
		}
	}
}

// write delivers chunks when they are due. A silent pair swallows them, and the
// end of the stream too: each end stays open until its own user closes it.
func (l *Link) write(ctx context.Context, p *pair, direction int, dst io.Writer, chunks <-chan chunk) error {
	for c := range chunks {
		if err := l.deliverable(ctx, direction, c); err != nil {
			return err
		}
		if p.isSilent() {
			continue
		}
		if _, err := dst.Write(c.bytes); err != nil {
			return err
		}
		l.mu.Lock()
		l.carried[direction] += uint64(len(c.bytes))
		l.mu.Unlock()
	}
	return nil
}

func (l *Link) deliverable(ctx context.Context, direction int, c chunk) error {
	if wait := time.Until(c.due); wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		}
	}
	if err := l.limiters[direction].WaitN(ctx, len(c.bytes)); err != nil {
		return err
	}
	return l.passable(ctx, direction)
}
