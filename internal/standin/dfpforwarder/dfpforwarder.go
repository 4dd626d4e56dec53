// Package dfpforwarder forwards TCP connections over a link that can delay them,
// limit their bandwidth, cut them, reset them or drop their bytes.
//
// Each forwarded connection has a near end, towards the caller of Dial or the client
// of the listener, and a far end, towards the target. The return direction is from
// the far end to the near end.
//
// # Usage
//
//	link := dfpforwarder.New(dfpforwarder.Conditions{Delay: 20 * time.Millisecond})
//	transport := &http.Transport{DialContext: link.Dial}
//	link.Set(dfpforwarder.Conditions{Cut: true}) // A partition, until the next Set.
//	link.BlackholeOpen()                         // The open connections drop all bytes from now on.
//
// With a listener in front of a target:
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
	// chunksInTransit is the number of chunks that one direction of a connection
	// buffers.
	chunksInTransit = 64
)

// ErrRefused is returned by Dial while the link refuses connections.
var ErrRefused = errors.New("connection refused by the forwarder")

// Conditions describe how a link behaves. The zero value is a link without delay,
// limit or fault.
type Conditions struct {
	// Cut holds all traffic back, as a partition does: dials wait, and the bytes of
	// open connections arrive only after the cut has ended.
	Cut bool `json:"cut"`
	// CutReturn holds back only the return direction of open connections: a partition
	// in one direction. Dials wait, as their handshake needs both directions.
	CutReturn bool `json:"cut_back"`
	// Refuse closes open connections and refuses new ones.
	Refuse bool `json:"refuse"`
	// Delay is added in each direction.
	Delay time.Duration `json:"delay_ns"`
	// BytesPerSecond limits each direction, for all connections together; 0 means no
	// limit.
	BytesPerSecond int `json:"bytes_per_second"`
}

// Link is a simulated network path that connections share. It is safe for
// concurrent use.
type Link struct {
	mu           sync.Mutex
	conditions   Conditions
	changed      chan struct{}
	limiters     [2]*rate.Limiter
	open         map[*pair]struct{}
	bytesCarried [2]uint64
}

// pair is one forwarded connection.
type pair struct {
	near, far net.Conn
	// blackholed is closed when the connection begins to drop all bytes.
	blackholed    chan struct{}
	blackholeOnce sync.Once
}

func (p *pair) isBlackholed() bool {
	select {
	case <-p.blackholed:
		return true
	default:
		return false
	}
}

func (p *pair) close() {
	_ = p.near.Close()
	_ = p.far.Close()
}

// New returns a link with the given conditions.
func New(conditions Conditions) *Link {
	l := &Link{changed: make(chan struct{}), open: make(map[*pair]struct{})}
	l.limiters = [2]*rate.Limiter{rate.NewLimiter(rate.Inf, chunkBytes), rate.NewLimiter(rate.Inf, chunkBytes)}
	l.Set(conditions)
	return l
}

// Set changes the conditions.
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

// BlackholeOpen makes the open connections drop all bytes from now on without
// closing. Connections opened later are not affected.
func (l *Link) BlackholeOpen() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.open {
		p.blackholeOnce.Do(func() { close(p.blackholed) })
	}
}

// OpenConnections returns the number of open connections.
func (l *Link) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// BytesCarried returns the number of bytes delivered to and from the targets.
func (l *Link) BytesCarried() (toTarget, fromTarget uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.bytesCarried[0], l.bytesCarried[1]
}

// current returns the conditions and a channel that is closed when they change.
func (l *Link) current() (Conditions, chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions, l.changed
}

// directionReturn is the direction from the far end.
const directionReturn = 1

// awaitUncut waits until the link is not cut in a direction. It returns ErrRefused
// if the link refuses connections.
func (l *Link) awaitUncut(ctx context.Context, direction int) error {
	for {
		conditions, changed := l.current()
		if conditions.Refuse {
			return ErrRefused
		}
		if !conditions.Cut && (!conditions.CutReturn || direction != directionReturn) {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Dial opens a connection over the link. It can replace net.Dialer.DialContext. It
// returns ErrRefused, in a *net.OpError, while the link refuses connections.
func (l *Link) Dial(ctx context.Context, network, address string) (net.Conn, error) {
	if err := l.awaitUncut(ctx, directionReturn); err != nil { // A handshake needs both directions.
		return nil, &net.OpError{Op: "dial", Net: network, Err: err}
	}
	far, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	conditions, _ := l.current()
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
				l.forwardAccepted(ctx, near, target)
				return nil
			})
		}
	})
	return group.Wait()
}

// forwardAccepted forwards one accepted connection to the target.
func (l *Link) forwardAccepted(ctx context.Context, near net.Conn, target string) {
	defer func() { _ = near.Close() }()
	if l.awaitUncut(ctx, directionReturn) != nil {
		return
	}
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", target)
	if err != nil {
		return
	}
	p := l.add(near, far)
	stop := context.AfterFunc(ctx, p.close)
	defer stop()
	_ = l.carry(p) // The peers notice the broken connection themselves.
}

// add registers an open connection.
func (l *Link) add(near, far net.Conn) *pair {
	p := &pair{near: near, far: far, blackholed: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open[p] = struct{}{}
	return p
}

// conn is an end of a pipe that has the addresses of the far connection.
type conn struct {
	net.Conn
	local, remote net.Addr
}

// LocalAddr returns the far connection's local address.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr returns the target's address.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// carry copies both directions until either of them ends. A blackholed connection
// ends only when both have ended.
func (l *Link) carry(p *pair) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var group errgroup.Group
	for i, ends := range [2][2]net.Conn{{p.far, p.near}, {p.near, p.far}} {
		chunks := make(chan chunk, chunksInTransit)
		group.Go(func() error { return l.read(ctx, ends[1], chunks) })
		group.Go(func() error {
			err := l.write(ctx, p, i, ends[0], chunks)
			if !p.isBlackholed() {
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

// chunk is a sequence of bytes and the time at which they may be delivered.
type chunk struct {
	bytes []byte
	due   time.Time
}

// read reads chunks from src and sets when they are due.
func (l *Link) read(ctx context.Context, src io.Reader, chunks chan<- chunk) error {
	defer close(chunks)
	for {
		buf := make([]byte, chunkBytes)
		n, err := src.Read(buf)
		if n > 0 {
			conditions, _ := l.current()
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

// write delivers chunks when they are due. A blackholed connection drops them, and
// the end of the stream too: each end stays open until its own user closes it.
func (l *Link) write(ctx context.Context, p *pair, direction int, dst io.Writer, chunks <-chan chunk) error {
	for c := range chunks {
		if err := l.awaitDelivery(ctx, direction, c); err != nil {
			return err
		}
		if p.isBlackholed() {
			continue
		}
		if _, err := dst.Write(c.bytes); err != nil {
			return err
		}
		l.mu.Lock()
		l.bytesCarried[direction] += uint64(len(c.bytes))
		l.mu.Unlock()
	}
	return nil
}

// awaitDelivery waits until a chunk is due, the bandwidth limit admits it, and the
// link is not cut.
func (l *Link) awaitDelivery(ctx context.Context, direction int, c chunk) error {
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
	return l.awaitUncut(ctx, direction)
}
