// Package dfpanswer decides what is an answer. It is the HTTP transport of everything in a node that reads answers:
// those of backend servers, of the platform's store and of other nodes.
//
// net/http passes on some answers that are broken: with a status below 100, or with field names that hold blanks, which
// it drops from the answer with what they say of its length. The transport therefore also checks the head of each answer
// before net/http reads it. An answer that is not valid HTTP/1.1 (RFC 9110 and 9112), or not whole, is an error.
//
// net/http writes a request and reads its answer at the same time. Linux reports a reset of the connection
// once, to the call that comes first. If that is a write, the next read returns io.EOF, which looks like the end of an
// answer without a length. A read here returns io.EOF only if no write has failed.
//
// A server may also send bytes after an answer that belong to no request, such as an earlier answer once more. Where
// answers name their requests, the transport therefore checks the name.
//
// # Usage
//
//	transport := dfpanswer.New(dfpanswer.Config{IdleTimeout: 2 * time.Second})
//	resp, err := transport.RoundTrip(req) // Or as the Transport of an http.Client.
package dfpanswer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"
)

// ErrInvalid is wrapped by the errors for bytes that are no whole answer.
var ErrInvalid = errors.New("invalid answer")

// defaultMaxHeader is the default of Config.MaxHeader.
const defaultMaxHeader = 64 << 10

// Config sets the limits of a transport. Zero fields take the defaults.
type Config struct {
	// Dial opens a connection; net.Dialer.DialContext by default.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// MaxConnections limits the open connections to one address; 0 means no limit.
	MaxConnections int
	// MaxIdleConnections limits the idle connections to one address; 2 by default.
	MaxIdleConnections int
	// IdleTimeout is how long an idle connection is kept open; 0 means no limit.
	IdleTimeout time.Duration
	// DisableKeepAlives makes each connection serve one request.
	DisableKeepAlives bool
	// IDField, if not empty, is the field in which a request has an id and an answer names its request. An answer
	// that names another request is invalid, as a late one on a connection that is used again.
	IDField string
	// IDRequired says that all answers have IDField. One without it is then invalid too, unless it is the first on its
	// connection: bytes that belong to no request can only follow an answer.
	IDRequired bool
	// MaxHeader is the maximum size of the head of an answer in bytes; 64 KiB by default.
	MaxHeader int64
}

// Transport is an http.RoundTripper that returns only valid answers. It asks for no content encoding. It is safe for
// concurrent use.
type Transport struct {
	cfg  Config
	http *http.Transport
}

// New returns a transport with its own connection pool.
func New(cfg Config) *Transport {
	if cfg.Dial == nil {
		cfg.Dial = new(net.Dialer).DialContext
	}
	if cfg.MaxHeader == 0 {
		cfg.MaxHeader = defaultMaxHeader
	}
	cfg.IDField = http.CanonicalHeaderKey(cfg.IDField)
	return &Transport{cfg, &http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			c, err := cfg.Dial(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return &conn{Conn: c}, nil
		},
		MaxConnsPerHost:        cfg.MaxConnections,
		MaxIdleConnsPerHost:    cfg.MaxIdleConnections,
		IdleConnTimeout:        cfg.IdleTimeout,
		DisableCompression:     true,
		DisableKeepAlives:      cfg.DisableKeepAlives,
		MaxResponseHeaderBytes: cfg.MaxHeader,
	}}
}

// RoundTrip implements http.RoundTripper. Errors for broken answers wrap ErrInvalid or are those of net/http.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	var used *conn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		used = info.Conn.(*conn)
		used.begin(req.Header.Get("Upgrade") != "", owner{
			field: t.cfg.IDField, id: req.Header.Get(t.cfg.IDField), required: t.cfg.IDRequired && info.Reused,
		})
	}}
	resp, err := t.http.RoundTrip(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if !used.checked() {
		_ = resp.Body.Close()
		_ = used.Close()
		return nil, fmt.Errorf("%w: it arrived before its request was sent", ErrInvalid)
	}
	if len(resp.TransferEncoding) > 0 {
		resp.Body = &chunkedBody{resp.Body, resp}
	}
	return resp, nil
}

// chunkedBody is the body of an answer in chunks. It ends with io.EOF only if the trailer is valid.
type chunkedBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read implements io.Reader.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		// net/http has read the trailer.
		if invalid := checkTrailer(b.resp.Trailer); invalid != nil {
			err = invalid
		}
	}
	return n, err
}

// CloseIdleConnections closes the idle connections.
func (t *Transport) CloseIdleConnections() { t.http.CloseIdleConnections() }
