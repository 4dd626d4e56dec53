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

// conn is a connection whose reads return io.EOF only if the other side has ended it without a reset.
type conn struct {
	net.Conn

	writeMu sync.Mutex // Held during a write.
	// writeErr is the error of the first failed write.
	writeErr error
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	n, err := c.Conn.Write(p)
	if c.writeErr == nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.writeErr = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
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
