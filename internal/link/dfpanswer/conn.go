package dfpanswer

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"time"
)

// conn is a connection whose reads fail from the first byte on that is no part of a valid head, and return io.EOF only if
// the other side has ended it without a reset.
type conn struct {
	net.Conn

	headMu sync.Mutex
	// head is that of the answer to the last request, and headErr says that it is invalid.
	head    head
	headErr error

	writeMu sync.Mutex // Held during a write.
	// writeErr is the error of the first failed write.
	writeErr error
	// upgrade says that the request asks for another protocol, and sent that a part of it has been written.
	upgrade, sent bool
}

// Write implements net.Conn. The error of a write after the first one of a request is left to Read: net/http would close
// the connection, though the whole answer may have arrived and only the rest of the request is not wanted.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr != nil && c.sent {
		return len(p), nil
	}
	n, err := c.Conn.Write(p)
	if err == nil {
		c.sent = !c.upgrade
		return n, nil
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		return n, err
	}
	c.writeErr = err
	if c.sent {
		return len(p), nil
	}
	return n, err
}

// begin starts a request, whose answer is the next to arrive.
func (c *conn) begin(upgrade bool, owner owner) {
	c.writeMu.Lock()
	c.upgrade, c.sent = upgrade, false
	c.writeMu.Unlock()
	c.headMu.Lock()
	defer c.headMu.Unlock()
	c.head = head{upgrade: upgrade, owner: owner}
}

// checked reports whether the head of the final answer to the last request has arrived and is valid.
func (c *conn) checked() bool {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.head.done
}

// check checks bytes that were read, and returns how many of them may be passed on.
func (c *conn) check(p []byte) (int, error) {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	begun := c.head.begun
	c.headErr = c.head.feed(p)
	switch {
	case c.headErr == nil:
		return len(p), nil
	case begun:
		return 0, c.headErr
	default:
		// net/http repeats some requests by itself if it gets an error before the first byte of an answer.
		return 1, nil
	}
}

// invalid returns the error of an invalid head, or nil.
func (c *conn) invalid() error {
	c.headMu.Lock()
	defer c.headMu.Unlock()
	return c.headErr
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	if err := c.invalid(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		return c.check(p[:n])
	}
	if errors.Is(err, io.EOF) {
		err = c.end()
	}
	return n, err
}

// end returns the error of a read that got io.EOF: io.EOF, or an error if a write has failed.
func (c *conn) end() error {
	// A write in progress may have been told of a reset, or may wait for as long as the other side reads nothing.
	// The deadline ends only one that waits.
	_ = c.SetWriteDeadline(time.Unix(1, 0)) // It fails if the connection is closed; then no write is in progress.
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeErr != nil {
		return fmt.Errorf("%w: connection broken before its end: %w", ErrInvalid, c.writeErr)
	}
	return io.EOF
}
