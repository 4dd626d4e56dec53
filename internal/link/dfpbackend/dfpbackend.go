// Package dfpbackend runs requests on the backend server of this VM over HTTP.
//
// It is the last hop of a request, so the outcome that it returns has to be true: NotRun only if the
// request was not handed to a connection or the backend server reports that it has shed it, Answer only
// if the response arrived complete, and Unknown in every other case.
//
// net/http retries a request by itself when a reused connection breaks and the request looks
// replayable: a GET, or any request with an Idempotency-Key header. A request that is not idempotent
// is therefore sent with a body that cannot be rewound. net/http never retries such a request once
// it has written a byte.
//
// # Usage
//
//	client := dfpbackend.New(dfpbackend.Config{MaxConnections: 800})
//	outcome, notice := client.Run(ctx, "127.0.0.1:9001", req, parentToken)
package dfpbackend

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfpanswer"
)

// Headers that are set on each request to the backend server.
const (
	// HeaderParent is a token for the running request. The backend server sends it with its nested calls.
	HeaderParent = "Dragonflyport-Parent"
	// HeaderRequest is the request's id. The backend server may repeat it in its answer, which then counts only if it
	// is this request's. Without it, HeaderShed counts only in the first answer on a connection.
	HeaderRequest = "Dragonflyport-Request"
	// HeaderOrganisation is the organisation on whose behalf the request runs.
	HeaderOrganisation = "Dragonflyport-Organisation"
	// HeaderDeadline is the time until the deadline in milliseconds.
	HeaderDeadline = "Dragonflyport-Deadline-Ms"
)

// HeaderShed is "yes" on a response with status 503 if the backend server has shed the request before
// running any part of it.
const HeaderShed = "Dragonflyport-Shed"

// Headers by which a backend server says in an answer what it takes; see dfpcall.Notice. They are not passed
// on to the caller.
const (
	// HeaderRateLimit is the number of requests a second that the backend server takes from all nodes together.
	HeaderRateLimit = "Dragonflyport-Rate-Limit"
	// HeaderLeaving is "yes" if the backend server is about to stop and takes no new requests.
	HeaderLeaving = "Dragonflyport-Leaving"
)

// shedRetryAfter is the retry delay for a request shed by a backend server that sends no Retry-After.
const shedRetryAfter = time.Second

// Config sets the limits of a client. Zero fields take the defaults.
type Config struct {
	// MaxConnections limits the open connections to one backend server; 0 means no limit.
	MaxConnections int
	// MaxAnswerBody is the maximum size of a response body in bytes; 8 MiB by default.
	MaxAnswerBody int64
	// IdleTimeout is how long an idle connection is kept open; 2 s by default. It is short so that the
	// connection is closed before a device on the path can drop its state for it.
	IdleTimeout time.Duration
	// DialTimeout limits the time to open a connection; 500 ms by default.
	DialTimeout time.Duration
	// Dial opens a connection; net.Dialer.DialContext by default. Simulations inject faults with it.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// RewindBodies disables the protection against retries by net/http. It exists only for the test of
	// this protection.
	RewindBodies bool
}

const (
	defaultMaxAnswerBody = 8 << 20
	maxAnswerHeader      = 64 << 10 // bytes
	defaultIdleTimeout   = 2 * time.Second
	defaultDialTimeout   = 500 * time.Millisecond
)

// Client runs requests on backend servers. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *dfpanswer.Transport
}

// New returns a client with its own connection pool.
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
	return &Client{cfg: cfg, transport: dfpanswer.New(dfpanswer.Config{
		Dial:               cfg.dial,
		MaxConnections:     cfg.MaxConnections,
		MaxIdleConnections: max(cfg.MaxConnections, 64),
		IdleTimeout:        cfg.IdleTimeout,
		MaxHeader:          maxAnswerHeader,
		IDField:            HeaderRequest,
	})}
}

// Refuses reports whether no process accepts connections at the address. It returns false if ctx ends first.
func (c *Client) Refuses(ctx context.Context, address string) bool {
	return Refuses(ctx, c.cfg.dial, address)
}

// Refuses reports whether a connection to the address, opened by dial, is refused.
func Refuses(ctx context.Context, dial func(ctx context.Context, network, address string) (net.Conn, error), address string) bool {
	conn, err := dial(ctx, "tcp", address)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close() // Nothing was sent.
	return false
}

// dial opens a connection, for which it allows DialTimeout.
func (c Config) dial(ctx context.Context, network, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
	defer cancel()
	return c.Dial(ctx, network, address)
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Run runs a request on the backend server at address and waits for the complete response. The token
// parent is sent in HeaderParent. Cancelling ctx cancels the request. The outcome is never nil; the notice is
// nil if no answer has arrived.
func (c *Client) Run(ctx context.Context, address string, req *dfpcall.Request, parent string) (dfpcall.Outcome, *dfpcall.Notice) {
	// Only a request that was handed to a connection can have run.
	var used atomic.Pointer[httptrace.GotConnInfo]
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { used.Store(&info) },
	})
	out, err := c.newRequest(traced, address, req, parent)
	if err != nil {
		return &dfpcall.NotRun{Reason: dfpcall.ReasonBadRequest, Budget: req.Budget}, nil
	}
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		return Failure(ctx, dfpcall.ReasonBackendFailed, used.Load() != nil, req), nil
	}
	defer resp.Body.Close()
	header := resp.Header
	notice := noticeOf(header)
	body, err := readAll(resp, c.cfg.MaxAnswerBody)
	if err != nil {
		return Failure(ctx, dfpcall.ReasonBackendFailed, true, req), notice
	}
	RemoveHopHeaders(header)
	named := header.Get(HeaderRequest) != ""
	header.Del(HeaderRequest)
	if resp.StatusCode == http.StatusServiceUnavailable && header.Get(HeaderShed) == "yes" {
		if conn := used.Load(); conn.Reused && !named {
			_ = conn.Conn.Close() // The answer to this request may follow.
			return &dfpcall.Unknown{Reason: dfpcall.ReasonBackendFailed, Budget: req.Budget}, nil
		}
		return &dfpcall.NotRun{Reason: dfpcall.ReasonOverload, RetryAfter: retryAfterOf(header), Budget: req.Budget}, notice
	}
	// On any other response the header would be passed on to the caller, for whom it would be false.
	header.Del(HeaderShed)
	return &dfpcall.Answer{Status: resp.StatusCode, Header: header, Body: body, Budget: req.Budget}, notice
}

// noticeOf removes the headers of a notice and returns it. A limit that cannot be read counts as none.
func noticeOf(header http.Header) *dfpcall.Notice {
	notice := &dfpcall.Notice{Leaving: header.Get(HeaderLeaving) == "yes"}
	_ = notice.ParseRateLimit(header.Get(HeaderRateLimit))
	header.Del(HeaderRateLimit)
	header.Del(HeaderLeaving)
	return notice
}

// retryAfterOf returns the delay in the Retry-After header, or shedRetryAfter if the header is missing or is
// not a number of seconds.
func retryAfterOf(header http.Header) time.Duration {
	seconds, err := strconv.ParseUint(header.Get("Retry-After"), 10, 16)
	if err != nil {
		return shedRetryAfter
	}
	return time.Duration(seconds) * time.Second
}

// Failure returns the outcome of a request that got no complete response: Unknown if it was sent, so that
// the backend server may have run it, or else NotRun. If ctx has ended, its reason replaces the given one.
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

// NonReplayableBody returns a request body that net/http cannot rewind. net/http retries a request by
// itself only if it can rewind the body, so it sends a request with this body at most once.
func NonReplayableBody(body []byte) io.ReadCloser { return nonReplayableBody{bytes.NewReader(body)} }

// nonReplayableBody hides the type of its reader from net/http, which therefore cannot rewind even an
// empty body.
type nonReplayableBody struct{ *bytes.Reader }

func (nonReplayableBody) Close() error { return nil }

// readAll reads the whole body. net/http returns an error for a body that is shorter than its
// Content-Length, so that an incomplete body is never taken for a complete one.
func readAll(resp *http.Response, limit int64) ([]byte, error) {
	if resp.ContentLength > limit && resp.Body != http.NoBody {
		return nil, fmt.Errorf("response body has %d bytes, more than the limit of %d", resp.ContentLength, limit)
	}
	if resp.Body == http.NoBody {
		return nil, nil // The response to HEAD has a Content-Length but no body.
	}
	if resp.ContentLength > 0 {
		body := make([]byte, resp.ContentLength)
		_, err := io.ReadFull(resp.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = fmt.Errorf("response body has more than the limit of %d bytes", limit)
	}
	return body, err
}

// hopHeaders are the hop-by-hop headers, which a proxy must not forward (RFC 9110, section 7.6.1).
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate",
	"Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders removes the hop-by-hop headers, including those that the Connection header names.
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
