package dfppeer_test

import (
	"context"
	"net"
	"sync"
	"time"
)

// faultDialer dials one node's connections and injects faults into them.
type faultDialer struct {
	mu      sync.Mutex
	conns   []*faultConn
	blocked bool // Dials get no answer.
	dials   int
	prepare func(*faultConn) // Called for each new connection, if not nil.
}

func (d *faultDialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.mu.Lock()
	blocked, prepare := d.blocked, d.prepare
	d.dials++
	d.mu.Unlock()
	if blocked {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	c, err := (&net.Dialer{}).DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	f := &faultConn{Conn: c, closed: make(chan struct{})}
	if prepare != nil {
		prepare(f)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.conns = append(d.conns, f)
	return f, nil
}

// eachConn applies a fault to the connections dialed so far.
func (d *faultDialer) eachConn(fault func(*faultConn)) {
	d.mu.Lock()
	conns := append([]*faultConn(nil), d.conns...)
	d.mu.Unlock()
	for _, c := range conns {
		c.mu.Lock()
		fault(c)
		c.mu.Unlock()
	}
}

func (d *faultDialer) setBlocked(blocked bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.blocked = blocked
}

// faultConn is a connection with injected faults, which mu guards.
type faultConn struct {
	net.Conn
	closed chan struct{}
	once   sync.Once

	mu              sync.Mutex
	holdWrites      bool // Writes are kept in held, also after Close.
	held            []byte
	discardWrites   bool // Writes are discarded.
	blockReads      bool // Reads block until Close.
	duplicateWrites bool // Writes are sent twice.
	swapWrites      bool // Every second write is sent before the preceding one.
	delayed         []byte
	// readLimit closes the connection after this many bytes were read; 0 means no limit.
	readLimit  int
	writeDelay time.Duration // Delay before each write of more than 1 KiB.
}

func (c *faultConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := append([]byte(nil), p...)
	switch {
	case c.holdWrites:
		c.held = append(c.held, p...)
		return len(p), nil
	case c.discardWrites:
		return len(p), nil
	case c.duplicateWrites:
		out = append(out, p...)
	case c.swapWrites && c.delayed == nil:
		c.delayed = out
		return len(p), nil
	case c.swapWrites:
		out = append(out, c.delayed...)
		c.delayed = nil
	}
	if c.writeDelay > 0 && len(p) > 1024 {
		time.Sleep(c.writeDelay)
	}
	if _, err := c.Conn.Write(out); err != nil {
		return 0, err
	}
	return len(p), nil
}

func (c *faultConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	blockReads, limited := c.blockReads, c.readLimit > 0
	if limited {
		c.readLimit -= n
	}
	cut := limited && c.readLimit <= 0
	c.mu.Unlock()
	if cut {
		_ = c.Conn.Close()
		return 0, net.ErrClosed
	}
	if blockReads {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

// Close closes the connection. While writes are held, it leaves the underlying connection open, so that
// flushHeld can send them.
func (c *faultConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holdWrites {
		return nil
	}
	return c.Conn.Close()
}

// flushHeld sends the held writes; later writes are still held. c.mu must be locked.
func (c *faultConn) flushHeld() {
	_, _ = c.Conn.Write(c.held)
	c.held = nil
}
