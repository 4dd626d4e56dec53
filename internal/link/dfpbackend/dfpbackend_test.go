package dfpbackend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfpbackend"
	"dragonflyport/internal/standin/dfprawserver"
)

// rawServer answers the requests of each connection with the given answers in turn and closes the
// connection after the last. It returns its address and the number of requests that it has read.
func rawServer(t *testing.T, answers ...string) (string, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var read atomic.Int64
	var g errgroup.Group
	serve := func(conn net.Conn) {
		defer conn.Close()
		r := bufio.NewReader(conn)
		for _, answer := range answers {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			read.Add(1)
			// net/http sends an empty body in chunks if it does not find out in time that the body is empty.
			if _, err := io.Copy(io.Discard, req.Body); err != nil {
				return
			}
			fmt.Fprint(conn, answer)
		}
	}
	g.Go(func() error {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return nil
			}
			g.Go(func() error { serve(conn); return nil })
		}
	})
	t.Cleanup(func() { ln.Close(); _ = g.Wait() })
	return ln.Addr().String(), &read
}

func newClient(t *testing.T, cfg dfpbackend.Config) *dfpbackend.Client {
	client := dfpbackend.New(cfg)
	t.Cleanup(client.Close)
	return client
}

func describe(out dfpcall.Outcome) string {
	switch out := out.(type) {
	case *dfpcall.Answer:
		return fmt.Sprintf("answer %d %s", out.Status, out.Body)
	case *dfpcall.NotRun:
		return "not_run " + string(out.Reason)
	case *dfpcall.Unknown:
		return "unknown " + string(out.Reason)
	}
	panic("unknown type of outcome")
}

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"

func TestOutcomeIsTrue(t *testing.T) {
	for _, tc := range []struct{ name, answer, want string }{
		{"complete answer", completeResponse, "answer 200 hello"},
		{"body cut short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", "unknown backend_failed"},
		{"chunk cut short", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", "unknown backend_failed"},
		{"closed after the request", "", "unknown backend_failed"},
		{"shed", "HTTP/1.1 503 No\r\nDragonflyport-Shed: yes\r\nContent-Length: 0\r\n\r\n", "not_run overload"},
		{"failed without having shed", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", "answer 503 "},
		{"shed header on another status", "HTTP/1.1 200 OK\r\nDragonflyport-Shed: yes\r\nContent-Length: 0\r\n\r\n", "answer 200 "},
		{"garbage", "what\r\n\r\n", "unknown backend_failed"},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "unknown backend_failed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, _ := rawServer(t, tc.answer)
			client := newClient(t, dfpbackend.Config{})
			req := &dfpcall.Request{Method: "POST", Path: "/order", Body: []byte("one")}
			out, _ := client.Run(t.Context(), address, req, "token")
			assert.Equal(t, describe(out), tc.want)
		})
	}
}

// TestShedOfAnotherRequest has the backend server send an earlier answer, "shed", once more on a kept connection while it
// runs the next request. That one must not be reported as not run, nor the connection be used again.
func TestShedOfAnotherRequest(t *testing.T) {
	const shed = "HTTP/1.1 503 No\r\nDragonflyport-Shed: yes\r\n"
	const empty = "Content-Length: 0\r\n\r\n"
	for _, tc := range []struct{ name, answer, want string }{
		{"without an id", shed + empty, "unknown backend_failed"},
		{"with another id", shed + "Dragonflyport-Request: 9-1\r\n" + empty, "unknown backend_failed"},
		{"with its id", shed + "Dragonflyport-Request: 0000000000000001-2\r\n" + empty, "not_run overload"},
		{"an answer with another id", "HTTP/1.1 200 OK\r\nDragonflyport-Request: 9-1\r\n" + empty, "unknown backend_failed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, read := rawServer(t, completeResponse, tc.answer, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate")
			client := newClient(t, dfpbackend.Config{})
			run := func() string {
				req := &dfpcall.Request{ID: dfpcall.RequestID{Incarnation: 1, Counter: 2}, Method: "POST", Path: "/order", Body: []byte("one")}
				out, _ := client.Run(t.Context(), address, req, "token")
				return describe(out)
			}
			assert.Equal(t, run(), "answer 200 hello")
			assert.Equal(t, run(), tc.want)
			assert.Equal(t, read.Load(), int64(2))
			if tc.want != "not_run overload" {
				assert.Equal(t, run(), "answer 200 hello", "the connection was used again")
			}
		})
	}
}

// TestNotices checks what an answer says about the backend server, and that the caller is not sent it.
func TestNotices(t *testing.T) {
	for _, tc := range []struct {
		name, header string
		want         dfpcall.Notice
	}{
		{"nothing", "", dfpcall.Notice{}},
		{"a limit", "Dragonflyport-Rate-Limit: 19.6\r\n", dfpcall.Notice{Limited: true, Rate: 19.6}},
		{"an infinite limit", "Dragonflyport-Rate-Limit: Inf\r\n", dfpcall.Notice{}},
		{"leaving", "Dragonflyport-Leaving: yes\r\n", dfpcall.Notice{Leaving: true}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, _ := rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"+tc.header+"\r\nhello")
			out, notice := newClient(t, dfpbackend.Config{}).Run(t.Context(), address, &dfpcall.Request{Method: "POST", Path: "/order"}, "token")
			assert.DeepEqual(t, *notice, tc.want)
			header := out.(*dfpcall.Answer).Header
			assert.Equal(t, len(header[dfpbackend.HeaderRateLimit])+len(header[dfpbackend.HeaderLeaving]), 0)
		})
	}
}

// TestRefuses checks that only a refused connection counts as one, so that a crash is not assumed without cause.
func TestRefuses(t *testing.T) {
	listening, _ := rawServer(t)
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, closed.Close())
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	for _, tc := range []struct {
		name    string
		ctx     context.Context
		address string
		want    bool
	}{
		{"listening", t.Context(), listening, false},
		{"no process listens", t.Context(), closed.Addr().String(), true},
		{"no time to ask", ended, closed.Addr().String(), false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			assert.Equal(t, newClient(t, dfpbackend.Config{}).Refuses(tc.ctx, tc.address), tc.want)
		})
	}
}

func TestHeadKeepsTheLengthOfItsAnswer(t *testing.T) {
	address, _ := rawServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
	client := newClient(t, dfpbackend.Config{})
	out, _ := client.Run(t.Context(), address, &dfpcall.Request{Method: "HEAD", Path: "/catalogue/1", Idempotent: true}, "token")
	assert.Equal(t, describe(out), "answer 200 ")
	assert.DeepEqual(t, out.(*dfpcall.Answer).Header["Content-Length"], []string{"5"})
}

// TestSilenceIsBounded checks that a backend server that stops responding, at whatever point, delays a request
// at most until its timeout, and that the outcome is true.
func TestSilenceIsBounded(t *testing.T) {
	hang := func(ctx context.Context, _, _ string) (net.Conn, error) {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	for _, tc := range []struct {
		name, answer string
		cfg          dfpbackend.Config
		want         string
	}{
		{"no connection", "", dfpbackend.Config{Dial: hang, DialTimeout: 50 * time.Millisecond}, "not_run backend_failed"},
		{"no connection before the deadline", "", dfpbackend.Config{Dial: hang, DialTimeout: time.Minute}, "not_run deadline"},
		{"no answer", "-", dfpbackend.Config{}, "unknown deadline"},
		{"half a header", "HTTP/1.1 200 OK\r\nContent-", dfpbackend.Config{}, "unknown deadline"},
		{"half a body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", dfpbackend.Config{}, "unknown deadline"},
		{"half a chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhel", dfpbackend.Config{}, "unknown deadline"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, _ := silentServer(t, strings.TrimPrefix(tc.answer, "-"))
			client := newClient(t, tc.cfg)
			ctx, cancel := context.WithTimeout(t.Context(), 200*time.Millisecond)
			defer cancel()
			start := time.Now()
			out, _ := client.Run(ctx, address, &dfpcall.Request{Method: "POST", Path: "/order"}, "token")
			assert.Equal(t, describe(out), tc.want)
			assert.Assert(t, time.Since(start) < 3*time.Second)
		})
	}
}

// silentServer writes a complete or partial answer to each request and keeps the connection open. It
// returns its address and the number of connections that it has accepted.
func silentServer(t *testing.T, answer string) (string, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	var accepted atomic.Int64
	var g errgroup.Group
	g.Go(func() error {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return nil
			}
			accepted.Add(1)
			t.Cleanup(func() { conn.Close() })
			g.Go(func() error {
				r := bufio.NewReader(conn)
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return nil
					}
					fmt.Fprint(conn, answer)
				}
			})
		}
	})
	t.Cleanup(func() { ln.Close() })
	return ln.Addr().String(), &accepted
}

// TestIdleConnectionsAreClosedEarly checks that an idle connection is closed after IdleTimeout, so that no
// device on the path can drop its state for the connection before.
func TestIdleConnectionsAreClosedEarly(t *testing.T) {
	for _, tc := range []struct {
		name string
		idle time.Duration
		want int64
	}{
		{"closed early", 20 * time.Millisecond, 2},
		{"kept open", time.Hour, 1},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, accepted := silentServer(t, completeResponse)
			client := newClient(t, dfpbackend.Config{IdleTimeout: tc.idle})
			for range 2 {
				out, _ := client.Run(t.Context(), address, &dfpcall.Request{Method: "GET", Path: "/order", Idempotent: true}, "token")
				assert.Equal(t, describe(out), "answer 200 hello")
				time.Sleep(300 * time.Millisecond)
			}
			assert.Equal(t, accepted.Load(), tc.want)
		})
	}
}

func TestConnectionRefusedIsNotRun(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := ln.Addr().String()
	ln.Close()
	client := newClient(t, dfpbackend.Config{})
	out, _ := client.Run(t.Context(), address, &dfpcall.Request{Method: "POST", Path: "/order"}, "token")
	assert.Equal(t, describe(out), "not_run backend_failed")
}

// TestNonIdempotentIsSentOnce guards against requests that are not idempotent and run twice: if a reused
// connection breaks after a request was written, net/http sends a replayable request again.
func TestNonIdempotentIsSentOnce(t *testing.T) {
	for _, tc := range []struct {
		name   string
		method string
		body   string
		rewind bool
		want   int64
	}{
		{"protected, with a body", "POST", "one", false, 2},
		{"protected, without a body", "POST", "", false, 2},
		{"protected, GET that is not idempotent", "GET", "", false, 2},
		{"protection off", "POST", "one", true, 3},
		{"protection off, without a body", "POST", "", true, 3},
	} {
		t.Run(tc.name, func(t *testing.T) {
			address, read := rawServer(t, completeResponse, "")
			client := newClient(t, dfpbackend.Config{RewindBodies: tc.rewind})
			req := &dfpcall.Request{
				Method: tc.method, Path: "/order", Body: []byte(tc.body),
				Header: map[string][]string{"Idempotency-Key": {"k1"}},
			}
			out, _ := client.Run(t.Context(), address, req, "token")
			assert.Equal(t, describe(out), "answer 200 hello")
			client.Run(t.Context(), address, req, "token")
			assert.Equal(t, read.Load(), tc.want)
		})
	}
}

// startScript starts a server that the test stops at its end.
func startScript(t *testing.T, script dfprawserver.Script) *dfprawserver.Server {
	t.Helper()
	server, err := dfprawserver.Start(script)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	return server
}

// TestAnswerBeforeBodyIsRead has the backend server answer a long request at once, without a length. The answer counts
// only if the connection was not reset.
func TestAnswerBeforeBodyIsRead(t *testing.T) {
	const raw = "HTTP/1.1 200 OK\r\n\r\n0123456789"
	for _, tc := range []struct {
		name   string
		script dfprawserver.Script
		want   string
	}{
		{"ended", dfprawserver.Script{Raw: raw, End: dfprawserver.Finish}, "answer 200 0123456789"},
		{"reset", dfprawserver.Script{Raw: raw, End: dfprawserver.Reset}, "unknown backend_failed"},
		{"reset after 20 ms", dfprawserver.Script{Raw: raw, Pause: 20 * time.Millisecond, End: dfprawserver.Reset}, "unknown backend_failed"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server, client := startScript(t, tc.script), newClient(t, dfpbackend.Config{})
			for range 20 {
				out, _ := client.Run(t.Context(), server.Address, &dfpcall.Request{Method: "POST", Path: "/order", Body: make([]byte, 7<<20)}, "token")
				assert.Equal(t, describe(out), tc.want)
			}
		})
	}
}

// TestBrokenAnswers has the backend server send what is no answer: the outcome of the request is unknown at once, also
// if the connection stays open.
func TestBrokenAnswers(t *testing.T) {
	for _, answer := range dfprawserver.Broken("X-Own: 1\r\n") {
		t.Run(answer.Name, func(t *testing.T) {
			server, client := startScript(t, answer.Script()), newClient(t, dfpbackend.Config{})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			out, _ := client.Run(ctx, server.Address, &dfpcall.Request{Method: "POST", Path: "/order"}, "token")
			assert.Equal(t, describe(out), "unknown backend_failed")
		})
	}
}

// TestValidAnswers has the backend server send each kind of answer: it is passed on unchanged.
func TestValidAnswers(t *testing.T) {
	for _, answer := range dfprawserver.Valid("X-Own: 1\r\n") {
		t.Run(answer.Name, func(t *testing.T) {
			server, client := startScript(t, answer.Script()), newClient(t, dfpbackend.Config{})
			out, _ := client.Run(t.Context(), server.Address, &dfpcall.Request{Method: "POST", Path: "/order"}, "token")
			assert.Equal(t, describe(out), fmt.Sprintf("answer %d %s", answer.Status, answer.Body))
		})
	}
}
