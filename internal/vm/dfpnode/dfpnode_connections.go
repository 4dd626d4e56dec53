package dfpnode

import (
	"context"
	"errors"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/apex/log"
)

// ErrNotLoopback is returned for an egress listener that others than this VM's
// backend server could reach.
var ErrNotLoopback = errors.New("the egress must listen on a loopback address")

// Numbers of connections that a listener holds open at once.
const (
	maxLinkConnections  = 8192
	maxLocalConnections = 4096
)

// evictAfter is how long a connection may be without a request before it can be closed
// to make room for a new one.
const evictAfter = 500 * time.Millisecond

// connections bounds the open connections of one server. When all places are
// taken, the one that has been without a request for longest makes room for a new one, be it
// idle or still sending its request's header; if none has been for evictAfter, the
// new one is closed. So connections that are held open do not shut others out.
type connections struct {
	max     int
	evicted expvar.Int
	refused expvar.Int

	mu   sync.Mutex
	open map[*boundConn]struct{}
}

// boundConn is a connection that holds a place. Its fields are under connections.mu.
type boundConn struct {
	net.Conn
	owner *connections
	// requests is the number in progress; since is when it became 0.
	requests int
	since    time.Time
	// hijacked says that the connection no longer carries HTTP.
	hijacked bool
}

// connKey is the key of a request's *boundConn in its context.
type connKey struct{}

// bound makes a server keep at most n connections open, and returns the listener
// that it has to serve.
func (c *connections) bound(server *http.Server, listener net.Listener, n int) net.Listener {
	c.setUp(n)
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*boundConn); ok {
			conn.begin()
			defer conn.end()
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if conn, ok := conn.(*boundConn); ok && state == http.StateHijacked {
			conn.hijack()
		}
	}
	return &boundListener{Listener: listener, owner: c}
}

func (c *connections) setUp(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.max, c.open = n, make(map[*boundConn]struct{})
}

// boundListener takes connections that have a place.
type boundListener struct {
	net.Listener
	owner *connections
}

// Accept returns the next connection that has a place.
func (l *boundListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if bound := l.owner.add(conn); bound != nil {
			return bound, nil
		}
		_ = conn.Close()
	}
}

// add gives a connection a place, or returns nil if there is none.
func (c *connections) add(conn net.Conn) *boundConn {
	now := time.Now()
	added := &boundConn{Conn: conn, owner: c, since: now}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.max && !c.evict(now) {
		c.refused.Add(1)
		return nil
	}
	c.open[added] = struct{}{}
	return added
}

// evict closes the connection that has been without a request for longest, and reports
// whether there was one. c.mu must be held.
func (c *connections) evict(now time.Time) bool {
	var oldest *boundConn
	for conn := range c.open {
		if conn.requests == 0 && !conn.hijacked && (oldest == nil || conn.since.Before(oldest.since)) {
			oldest = conn
		}
	}
	if oldest == nil || now.Sub(oldest.since) < evictAfter {
		return false
	}
	delete(c.open, oldest)
	_ = oldest.Conn.Close()
	c.evicted.Add(1)
	return true
}

func (c *connections) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.open)
}

func (b *boundConn) begin() {
	b.owner.mu.Lock()
	defer b.owner.mu.Unlock()
	b.requests++
}

func (b *boundConn) end() {
	b.owner.mu.Lock()
	defer b.owner.mu.Unlock()
	b.requests--
	b.since = time.Now()
}

func (b *boundConn) hijack() {
	b.owner.mu.Lock()
	defer b.owner.mu.Unlock()
	b.hijacked = true
}

// Close closes the connection and gives its place back.
func (b *boundConn) Close() error {
	b.owner.mu.Lock()
	delete(b.owner.open, b)
	b.owner.mu.Unlock()
	return b.Conn.Close()
}

// SetWriteBuffer bounds what the kernel holds for the connection, in bytes.
func (b *boundConn) SetWriteBuffer(bytes int) error {
	if s, ok := b.Conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		return s.SetWriteBuffer(bytes)
	}
	return nil
}

// checkLoopback returns an error that wraps ErrNotLoopback unless a listener can be
// reached from this VM only.
func checkLoopback(listener net.Listener) error {
	address, ok := listener.Addr().(*net.TCPAddr)
	if ok && !address.IP.IsLoopback() {
		return fmt.Errorf("%w: %s", ErrNotLoopback, address)
	}
	return nil
}

// serverLog takes what net/http says of a connection's errors: it is counted, not logged
// line by line, since outsiders can cause it.
type serverLog struct {
	errors expvar.Int
	log    log.Interface
}

// HTTPErrorLog takes lines of net/http's clients, which have no logger of their own: a process that runs one
// node makes it the standard logger's output.
func (n *Node) HTTPErrorLog() io.Writer { return &n.serverLog }

// Write takes one line.
func (l *serverLog) Write(line []byte) (int, error) {
	l.errors.Add(1)
	l.log.WithField("line", string(line)).Debug("http server")
	return len(line), nil
}
