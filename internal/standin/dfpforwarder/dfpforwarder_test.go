package dfpforwarder_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/standin/dfpforwarder"
)

// shortWait limits reads that are expected to receive nothing.
const shortWait = 30 * time.Millisecond

// startEcho starts a server that sends back what it receives, and returns its
// address.
func startEcho(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var group errgroup.Group
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return nil
			}
			group.Go(func() error {
				_, err := io.Copy(conn, conn)
				return errors.Join(err, conn.Close())
			})
		}
	})
	t.Cleanup(func() { assert.NilError(t, listener.Close()) })
	return listener.Addr().String()
}

// roundTrip sends a line and returns the line received, or an error after the given
// time.
func roundTrip(conn net.Conn, line string, wait time.Duration) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

// dials returns the two ways to connect over a link: by Dial, and to the listener of
// Serve.
func dials(t *testing.T, link *dfpforwarder.Link, target string) map[string]func() (net.Conn, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	group.Go(func() error { return link.Serve(ctx, listener, target) })
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, group.Wait())
	})
	return map[string]func() (net.Conn, error){
		"dial":   func() (net.Conn, error) { return link.Dial(t.Context(), "tcp", target) },
		"listen": func() (net.Conn, error) { return net.Dial("tcp", listener.Addr().String()) },
	}
}

// TestLink checks cuts, black holes and refusals on connections opened in both ways.
func TestLink(t *testing.T) {
	target := startEcho(t)
	for _, way := range []string{"dial", "listen"} {
		t.Run(way, func(t *testing.T) {
			link := dfpforwarder.New(dfpforwarder.Conditions{Delay: time.Millisecond, BytesPerSecond: 1 << 20})
			dial := dials(t, link, target)[way]
			conn, err := dial()
			assert.NilError(t, err)
			line, err := roundTrip(conn, "first", time.Minute)
			assert.NilError(t, err)
			assert.Equal(t, line, "first\n")

			link.Set(dfpforwarder.Conditions{Cut: true})
			_, err = roundTrip(conn, "held back", shortWait)
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
			link.Set(dfpforwarder.Conditions{})
			assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
			line, err = bufio.NewReader(conn).ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, line, "held back\n")

			link.BlackholeOpen()
			_, err = roundTrip(conn, "lost", shortWait)
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
			other, err := dial()
			assert.NilError(t, err)
			line, err = roundTrip(other, "new", time.Minute)
			assert.NilError(t, err)
			assert.Equal(t, line, "new\n")

			link.Set(dfpforwarder.Conditions{Refuse: true})
			_, err = roundTrip(other, "refused", time.Minute)
			assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "got %v", err)
			assert.NilError(t, conn.Close())
			assert.NilError(t, other.Close())
		})
	}
}

// TestDialDuringCut checks that Dial waits while the link is cut, and fails while
// the link refuses connections.
func TestDialDuringCut(t *testing.T) {
	link := dfpforwarder.New(dfpforwarder.Conditions{Cut: true})
	ctx, cancel := context.WithTimeout(t.Context(), shortWait)
	defer cancel()
	_, err := link.Dial(ctx, "tcp", startEcho(t))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	link.Set(dfpforwarder.Conditions{Refuse: true})
	_, err = link.Dial(t.Context(), "tcp", startEcho(t))
	assert.ErrorIs(t, err, dfpforwarder.ErrRefused)
}
