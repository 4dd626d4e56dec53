package dfpanswer_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dragonflyport/internal/link/dfpanswer"
	"dragonflyport/internal/standin/dfprawserver"
)

// get makes a request that net/http may repeat by itself, and returns the answer with its body.
func get(ctx context.Context, transport *dfpanswer.Transport, address string) (*http.Response, []byte, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/", nil)
	if err != nil {
		return nil, nil, err
	}
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return resp, body, err
}

// dialer counts the connections that it opens.
type dialer struct{ opened atomic.Int64 }

func (d *dialer) dial(ctx context.Context, network, address string) (net.Conn, error) {
	d.opened.Add(1)
	return new(net.Dialer).DialContext(ctx, network, address)
}

// TestAnswers reads each broken and each valid answer. A broken one is an error at once, its request is not repeated,
// and its connection is not used again.
func TestAnswers(t *testing.T) {
	run := func(answer dfprawserver.Answer, valid bool) {
		t.Run(answer.Name, func(t *testing.T) {
			server, err := dfprawserver.Start(answer.Script())
			assert.NilError(t, err)
			dialer := new(dialer)
			transport := dfpanswer.New(dfpanswer.Config{Dial: dialer.dial})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			for i := range 3 {
				resp, body, err := get(ctx, transport, server.Address)
				assert.NilError(t, ctx.Err())
				assert.Equal(t, err == nil, valid, "%v", err)
				if valid {
					assert.Equal(t, resp.StatusCode, answer.Status)
					assert.Equal(t, string(body), answer.Body)
					continue
				}
				assert.Equal(t, dialer.opened.Load(), int64(i+1))
			}
			transport.CloseIdleConnections()
			assert.NilError(t, server.Close())
		})
	}
	for _, answer := range dfprawserver.Broken("X-Own: 1\r\n") {
		run(answer, false)
	}
	for _, answer := range dfprawserver.Valid("X-Own: 1\r\n") {
		run(answer, true)
	}
}

// TestBrokenAnswerOnReusedConnection has a connection's second answer be broken: net/http must not repeat the request.
func TestBrokenAnswerOnReusedConnection(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone"
	for _, tc := range []struct{ name, second string }{
		{"status", "HTTP/1.1 000 X\r\n\r\n"},
		{"field name", "HTTP/1.1 200 OK\r\nX Bad: 1\r\nContent-Length: 0\r\n\r\n"},
	} {
		t.Run(tc.name, func(t *testing.T) {
			server, err := dfprawserver.Start(dfprawserver.Script{Raw: valid, Then: tc.second})
			assert.NilError(t, err)
			dialer := new(dialer)
			transport := dfpanswer.New(dfpanswer.Config{Dial: dialer.dial})
			_, _, err = get(t.Context(), transport, server.Address)
			assert.NilError(t, err)
			_, _, err = get(t.Context(), transport, server.Address)
			assert.Assert(t, err != nil)
			assert.Equal(t, dialer.opened.Load(), int64(1))
			assert.NilError(t, server.Close())
		})
	}
}

// TestBrokenTrailer reads an answer with an invalid trailer: its body has no valid end.
func TestBrokenTrailer(t *testing.T) {
	server, err := dfprawserver.Start(dfprawserver.BrokenTrailer().Script())
	assert.NilError(t, err)
	transport := dfpanswer.New(dfpanswer.Config{})
	_, _, err = get(t.Context(), transport, server.Address)
	assert.ErrorIs(t, err, dfpanswer.ErrInvalid)
	transport.CloseIdleConnections()
	assert.NilError(t, server.Close())
}
