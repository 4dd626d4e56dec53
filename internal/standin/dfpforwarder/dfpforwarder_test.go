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

// short bounds reads that are expected to get nothing.
const short = 30 * time.Millisecond

// echo answers each line with the same line.
func echo(t *testing.T) string {
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

// ask sends a line and returns the answer, or an error after the given time.
func ask(conn net.Conn, line string, wait time.Duration) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(wait)); err != nil {
		return "", err
	}
	if _, err := fmt.Fprintln(conn, line); err != nil {
		return "", err
	}
	return bufio.NewReader(conn).ReadString('\n')
}

// dials are the two ways over a link: its Dial, and its listener.
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

func TestLink(t *testing.T) {
	target := echo(t)
	for _, way := range []string{"dial", "listen"} {
		t.Run(way, func(t *testing.T) {
			link := dfpforwarder.New(dfpforwarder.Conditions{Delay: time.Millisecond, BytesPerSecond: 1 << 20})
			dial := dials(t, link, target)[way]
			conn, err := dial()
			assert.NilError(t, err)
			line, err := ask(conn, "first", time.Minute)
			assert.NilError(t, err)
			assert.Equal(t, line, "first\n")

			link.Set(dfpforwarder.Conditions{Cut: true})
			_, err = ask(conn, "held back", short)
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
			link.Set(dfpforwarder.Conditions{})
			assert.NilError(t, conn.SetDeadline(time.Now().Add(time.Minute)))
			line, err = bufio.NewReader(conn).ReadString('\n')
			assert.NilError(t, err)
			assert.Equal(t, line, "held back\n")

			link.BlackholeOpen()
			_, err = ask(conn, "lost", short)
			assert.ErrorIs(t, err, os.ErrDeadlineExceeded)
			other, err := dial()
			assert.NilError(t, err)
			line, err = ask(other, "new", time.Minute)
			assert.NilError(t, err)
			assert.Equal(t, line, "new\n")

			link.Set(dfpforwarder.Conditions{Refuse: true})
			_, err = ask(other, "refused", time.Minute)
			assert.Assert(t, err != nil && !errors.Is(err, os.ErrDeadlineExceeded), "got %v", err)
			assert.NilError(t, conn.Close())
			assert.NilError(t, other.Close())
		})
	}
}

func TestDialDuringCut(t *testing.T) {
	link := dfpforwarder.New(dfpforwarder.Conditions{Cut: true})
	ctx, cancel := context.WithTimeout(t.Context(), short)
	defer cancel()
	_, err := link.Dial(ctx, "tcp", echo(t))
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	link.Set(dfpforwarder.Conditions{Refuse: true})
	_, err = link.Dial(t.Context(), "tcp", echo(t))
	assert.ErrorIs(t, err, dfpforwarder.ErrRefused)
}
