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

// ErrNotLoopback is returned for an egress listener that is reachable from other machines than
// this VM.
var ErrNotLoopback = errors.New("egress must listen on a loopback address")

// Maximum numbers of open connections per listener.
const (
	maxLinkConnections  = 8192
	maxLocalConnections = 4096
)

// evictAfter is how long a connection must be without a request before it can be closed in favour of
// a new one.
const evictAfter = 500 * time.Millisecond

// connections limits the open connections of one server. At the limit, a new connection replaces the one
// that has been without a request for longest, whether that one is idle or still sending a request's
// header. If none has been without a request for evictAfter, the new connection is closed. So
// connections that are merely held open cannot lock out new ones.
type connections struct {
	max     int
	evicted expvar.Int
	refused expvar.Int

	mu   sync.Mutex
	open map[*limitedConn]struct{}
}

// limitedConn is a connection that counts towards the limit. connections.mu guards its fields.
type limitedConn struct {
	net.Conn
	owner *connections
	// requests is the number in progress; idleSince is when it became 0.
	requests  int
	idleSince time.Time
	// hijacked is set once the connection no longer carries HTTP.
	hijacked bool
}

// connKey is the context key of a request's *limitedConn.
type connKey struct{}

// limit limits the server to n open connections and returns the listener that the server must use.
func (c *connections) limit(server *http.Server, listener net.Listener, n int) net.Listener {
	c.init(n)
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*limitedConn); ok {
			conn.begin()
			defer conn.end()
		}
		handler.ServeHTTP(w, r)
	})
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		if conn, ok := conn.(*limitedConn); ok && state == http.StateHijacked {
			conn.hijack()
		}
	}
	return &limitedListener{Listener: listener, owner: c}
}

func (c *connections) init(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.max, c.open = n, make(map[*limitedConn]struct{})
}

// limitedListener accepts connections within the limit.
type limitedListener struct {
	net.Listener
	owner *connections
}

// Accept returns the next connection within the limit and closes those above it.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if limited := l.owner.add(conn); limited != nil {
			return limited, nil
		}
		_ = conn.Close()
	}
}

// add counts a connection towards the limit, or returns nil if the limit is reached.
func (c *connections) add(conn net.Conn) *limitedConn {
	now := time.Now()
	added := &limitedConn{Conn: conn, owner: c, idleSince: now}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.max && !c.evict(now) {
		c.refused.Add(1)
		return nil
	}
	c.open[added] = struct{}{}
	return added
}

// evict closes the connection that has been without a request for longest, if that is at least
// evictAfter, and reports whether it closed one. c.mu must be held.
func (c *connections) evict(now time.Time) bool {
	var oldest *limitedConn
	for conn := range c.open {
		if conn.requests == 0 && !conn.hijacked && (oldest == nil || conn.idleSince.Before(oldest.idleSince)) {
			oldest = conn
		}
	}
	if oldest == nil || now.Sub(oldest.idleSince) < evictAfter {
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

func (c *limitedConn) begin() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.requests++
}

func (c *limitedConn) end() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.requests--
	c.idleSince = time.Now()
}

func (c *limitedConn) hijack() {
	c.owner.mu.Lock()
	defer c.owner.mu.Unlock()
	c.hijacked = true
}

// Close closes the connection and removes it from the count.
func (c *limitedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// SetWriteBuffer sets the size of the kernel's write buffer in bytes, if the connection supports it.
func (c *limitedConn) SetWriteBuffer(bytes int) error {
	if s, ok := c.Conn.(interface{ SetWriteBuffer(bytes int) error }); ok {
		return s.SetWriteBuffer(bytes)
	}
	return nil
}

// checkLoopback returns an error that wraps ErrNotLoopback if the listener's address is not a
// loopback address.
func checkLoopback(listener net.Listener) error {
	address, ok := listener.Addr().(*net.TCPAddr)
	if ok && !address.IP.IsLoopback() {
		return fmt.Errorf("%w: %s", ErrNotLoopback, address)
	}
	return nil
}

// serverLog receives the errors that net/http logs about connections. It counts them and logs them at
// debug level only, because clients outside the fleet can cause any number of them.
type serverLog struct {
	errors expvar.Int
	log    log.Interface
}

// HTTPErrorLog returns a writer for the log lines of net/http's clients, which have no logger of their own.
// A process that runs one node sets it as the output of the standard logger.
func (n *Node) HTTPErrorLog() io.Writer { return &n.serverLog }

// Write counts one log line and logs it at debug level.
func (l *serverLog) Write(line []byte) (int, error) {
	l.errors.Add(1)
	l.log.WithField("line", string(line)).Debug("http server")
	return len(line), nil
}
