// Package dfpbackend runs requests on the backend server of this VM over HTTP.
//
// It is the last hop. What it returns has to be true: NotRun only if no byte of the
// request was handed to a connection or the backend server says that it has shed it, an
// Answer only if it arrived whole, and Unknown in every other case.
//
// net/http repeats a request by itself when a reused connection breaks and the
// request looks replayable: a GET, or any request with an Idempotency-Key header. A
// request that is not idempotent is therefore sent with a body that cannot be
// rewound, which net/http never repeats once a byte was written.
//
// # Usage
//
//	client := dfpbackend.New(dfpbackend.Config{MaxConnections: 800})
//	outcome := client.Run(ctx, "127.0.0.1:9001", req, parentToken)
package dfpbackend

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
)

// Headers that the guard sets on each request to the backend server.
const (
	// HeaderParent names the running request; nested calls send it back.
	HeaderParent = "Dragonflyport-Parent"
	// HeaderRequest is the request's id.
	HeaderRequest = "Dragonflyport-Request"
	// HeaderOrganisation is the organisation that the request runs for.
	HeaderOrganisation = "Dragonflyport-Organisation"
	// HeaderDeadline is the time left in milliseconds.
	HeaderDeadline = "Dragonflyport-Deadline-Ms"
)

// HeaderShed is "yes" on a 503 by which a backend server says that it has shed the
// request before running any of it.
const HeaderShed = "Dragonflyport-Shed"

// shedRetryAfter is when to come back to a backend server that does not say it.
const shedRetryAfter = time.Second

// Config sets the limits of a client. Zero fields take the defaults.
type Config struct {
	// MaxConnections bounds the open connections; 0 sets no bound.
	MaxConnections int
	// MaxAnswerBody is the largest body in bytes that is taken; 8 MiB by default.
	MaxAnswerBody int64
	// IdleTimeout closes connections before something in between forgets them; 2 s by default.
	IdleTimeout time.Duration
	// DialTimeout bounds the opening of a connection; 500 ms by default.
	DialTimeout time.Duration
	// Dial opens a connection; the stand-ins add faults here.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// RewindBodies switches off the protection against net/http's own repeats.
	// Only the test that proves the protection sets it.
	RewindBodies bool
}

const (
	defaultMaxAnswerBody = 8 << 20
	defaultIdleTimeout   = 2 * time.Second
	defaultDialTimeout   = 500 * time.Millisecond
)

// Client runs requests on backend servers. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *http.Transport
}

// New returns a client with its own pool of connections.
func New(cfg Config) *Client {
	if cfg.MaxAnswerBody == 0 {
		cfg.MaxAnswerBody = defaultMaxAnswerBody
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.DialTimeout == 0 {
		cfg.DialTimeout = defaultDialTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = new(net.Dialer).DialContext
	}
	return &Client{cfg: cfg, transport: &http.Transport{
		DialContext:         cfg.dial,
		MaxConnsPerHost:     cfg.MaxConnections,
		MaxIdleConnsPerHost: max(cfg.MaxConnections, 64),
		IdleConnTimeout:     cfg.IdleTimeout,
		DisableCompression:  true,
	}}
}

// dial opens a connection within DialTimeout.
func (c Config) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	return c.Dial(ctx, network, address)
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Run runs one request at the backend server at address and waits for the whole
// answer. Cancelling ctx cancels the request. It never returns nil.
func (c *Client) Run(ctx context.Context, address string, req *dfpcall.Request, parent string) dfpcall.Outcome {
	// Only what was handed to a connection can have run.
	var sent atomic.Bool
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { sent.Store(true) },
	})
	out, err := c.newRequest(traced, address, req, parent)
	if err != nil {
		return &dfpcall.NotRun{Reason: dfpcall.ReasonBadRequest, Budget: req.Budget}
	}
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		return Failure(ctx, dfpcall.ReasonBackendFailed, sent.Load(), req)
	}
	defer resp.Body.Close()
	body, err := readAll(resp, c.cfg.MaxAnswerBody)
	if err != nil {
		return Failure(ctx, dfpcall.ReasonBackendFailed, true, req)
	}
	header := resp.Header
	RemoveHopHeaders(header)
	if resp.StatusCode == http.StatusServiceUnavailable && header.Get(HeaderShed) == "yes" {
		return &dfpcall.NotRun{Reason: dfpcall.ReasonOverload, RetryAfter: retryAfterOf(header), Budget: req.Budget}
	}
	// On any other answer the word would be passed on by whoever called, and be untrue there.
	header.Del(HeaderShed)
	return &dfpcall.Answer{Status: resp.StatusCode, Header: header, Body: body, Budget: req.Budget}
}

// retryAfterOf returns the time in whole seconds that a backend server told.
func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return shedRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

// Failure is the outcome of a request that got no whole answer. Sent says that the backend server may have
// run it. The reason is the context's if that has ended.
func Failure(ctx context.Context, reason dfpcall.Reason, sent bool, req *dfpcall.Request) dfpcall.Outcome {
	if ctx.Err() != nil {
		reason = dfpcall.EndReason(ctx)
	}
	if sent {
		return &dfpcall.Unknown{Reason: reason, Budget: req.Budget}
	}
	return &dfpcall.NotRun{Reason: reason, RetryAfter: time.Second, Budget: req.Budget}
}

func (c *Client) newRequest(ctx context.Context, address string, req *dfpcall.Request, parent string) (*http.Request, error) {
	target, err := url.Parse("http://" + address + req.Path)
	if err != nil {
		return nil, fmt.Errorf("path %q: %w", req.Path, err)
	}
	out := &http.Request{
		Method: req.Method, URL: target, Host: address,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: make(http.Header, len(req.Header)+4),
	}
	for name, values := range req.Header {
		out.Header[name] = values
	}
	out.Header.Set(HeaderParent, parent)
	out.Header.Set(HeaderRequest, req.ID.String())
	out.Header.Set(HeaderOrganisation, req.Organisation)
	out.Header.Set(HeaderDeadline, strconv.FormatInt(req.Timeout.Milliseconds(), 10))
	c.setBody(out, req)
	return out.WithContext(ctx), nil
}

func (c *Client) setBody(out *http.Request, req *dfpcall.Request) {
	out.ContentLength = int64(len(req.Body))
	if req.Idempotent || c.cfg.RewindBodies {
		if len(req.Body) == 0 {
			return
		}
		out.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(req.Body)), nil }
		out.Body, _ = out.GetBody()
		return
	}
	out.Body = NonReplayableBody(req.Body)
}

// NonReplayableBody returns a request's body that net/http sends once only: it repeats a request by itself
// where it can rewind the body.
func NonReplayableBody(body []byte) io.ReadCloser { return nonReplayableBody{bytes.NewReader(body)} }

// nonReplayableBody is a body that net/http cannot rewind, even when it is empty.
type nonReplayableBody struct{ *bytes.Reader }

func (nonReplayableBody) Close() error { return nil }

// readAll reads the whole body. net/http reports a body shorter than its
// announced length as an error, so that a part never passes for the whole.
func readAll(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit && resp.Body != http.NoBody {
		return nil, fmt.Errorf("answer of %d bytes is over the limit of %d", resp.ContentLength, limit)
	}
	if resp.Body == http.NoBody {
		return nil, nil // An answer to HEAD has a length and no body.
	}
	if resp.ContentLength > 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fmt.Errorf("answer is over the limit of %d bytes", limit)
	}
	return body, err
}

// hopHeaders are the headers of one connection, which are not passed on (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders removes the headers that concern one connection only.
func RemoveHopHeaders(h http.Header) {
	for _, list := range h["Connection"] {
		for _, name := range strings.Split(list, ",") {
			h.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		h.Del(name)
	}
}
