// Package dfpcaller implements the HTTP interface through which callers reach an entry node.
//
// It turns an HTTP request into an Incoming, removing the caller's key from what is forwarded,
// and an Outcome into an HTTP response. It decides only matters of the protocol: sizes, timeouts,
// headers and statuses. docs/CALLERS.md lists them.
//
// A key may be given in the header Authorization (Bearer), in the header Dragonflyport-Key or in
// the query as key=. A request that contains its key anywhere else, such as in the path, another
// header or the body, is refused, because the key would reach a backend server.
//
// # Usage
//
//	handler := dfpcaller.New(dfpcaller.Config{Serve: entry.Serve})
//	server := handler.NewServer()
//	server.Serve(listener)
package dfpcaller

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dragonflyport/internal/contract/dfpcall"
	"dragonflyport/internal/link/dfpbackend"
)

// Headers of the interface for callers.
const (
	HeaderKey            = "Dragonflyport-Key"
	HeaderTimeout        = "Dragonflyport-Timeout-Ms"
	HeaderOutcome        = "Dragonflyport-Outcome"
	HeaderReason         = "Dragonflyport-Reason"
	HeaderRetryAfter     = "Dragonflyport-Retry-After-Ms"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// The values of HeaderOutcome.
const (
	OutcomeAnswered = "answered"
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
)

// StatusUnknown is the HTTP status of every dfpcall.Unknown, and of no dfpcall.NotRun.
const StatusUnknown = http.StatusBadGateway

var errIdempotencyKey = errors.New("Idempotency-Key is longer than 256 bytes")

// Incoming is a caller's request. Only its field Key contains the caller's key.
type Incoming struct {
	// Key is the caller's key in clear text; empty if the request has none.
	Key string
	// CallerID is the id that the caller gave the request; empty if its protocol has none.
	CallerID string
	// Host is the host name in the caller's request.
	Host   string
	Method string
	// Path is the escaped path without the query.
	Path string
	// PathAndQuery is the request target that is sent to the backend server.
	PathAndQuery   string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	// Timeout is the timeout that the caller set; 0 if it set none.
	Timeout time.Duration
	// MaxBody is the maximum size of the body in bytes; Config.Admit may change it.
	MaxBody int64
}

// Config sets a handler's limits. Zero fields take the defaults.
type Config struct {
	// Serve runs one request. It must return a non-nil outcome soon after ctx ends.
	Serve func(ctx context.Context, in *Incoming) dfpcall.Outcome
	// Admit counts a request whose body has not been read yet against limits on the requests in progress,
	// so that requests with slow or large bodies are limited too. It returns a function that releases the
	// request, or else a refusal. If Admit is nil, every request is admitted.
	Admit func(in *Incoming) (release func(), refusal dfpcall.Outcome)
	// MaxBody is the maximum size of a body in bytes; 1 MiB by default.
	MaxBody int64
	// BodyTimeout limits the time to read a body; 5 s by default.
	BodyTimeout time.Duration
	// WriteTimeout limits the time to write a response, counted from the end of Serve; 60 s by default.
	WriteTimeout time.Duration
	// KeepKeys forwards keys to backend servers. It exists only for the test that shows that keys are
	// removed without it.
	KeepKeys bool
}

const (
	defaultMaxBody     = 1 << 20
	defaultBodyTimeout = 5 * time.Second
	maxHeaderBytes     = 32 << 10

	// refusedBodyTimeout limits the time for which net/http reads the body of a refused request.
	refusedBodyTimeout = 100 * time.Millisecond

	headerTimeout       = 5 * time.Second
	idleTimeout         = 60 * time.Second
	defaultWriteTimeout = 60 * time.Second
	maxIdempotencyKey   = 256 // bytes

	// minKeyLength is the length in bytes from which a second key in a request counts as a key.
	minKeyLength = 16
)

// Counters counts requests that violate the protocol.
type Counters struct {
	// BadRequests counts requests whose Idempotency-Key is too long, or whose body is too large or could
	// not be read.
	BadRequests atomic.Int64
	// SlowBodies counts the bodies that did not arrive in full within BodyTimeout, or whose
	// connection failed.
	SlowBodies atomic.Int64
	// KeysExposed counts requests refused because their key would have reached a backend server.
	KeysExposed atomic.Int64
}

// Handler is an http.Handler for the requests of callers. It is safe for concurrent use.
type Handler struct {
	cfg                Config
	Counters           Counters
	keepAlivesDisabled atomic.Bool
}

// New returns a handler.
func New(cfg Config) *Handler {
	if cfg.MaxBody == 0 {
		cfg.MaxBody = defaultMaxBody
	}
	if cfg.BodyTimeout == 0 {
		cfg.BodyTimeout = defaultBodyTimeout
	}
	if cfg.WriteTimeout == 0 {
		cfg.WriteTimeout = defaultWriteTimeout
	}
	return &Handler{cfg: cfg}
}

// NewServer returns an HTTP server for the handler, with timeouts for each resource that a slow or
// unresponsive caller could hold. It supports HTTP/1.1 and unencrypted HTTP/2.
func (h *Handler) NewServer() *http.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           h,
		Protocols:         protocols,
		MaxHeaderBytes:    maxHeaderBytes,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		HTTP2: &http.HTTP2Config{
			SendPingTimeout: 15 * time.Second,
			PingTimeout:     5 * time.Second,
		},
	}
}

// DisableKeepAlives closes each connection after its next response, which tells the caller so. If
// idle connections were closed without notice, a caller that had just sent a request on one could
// not tell whether the request was run.
func (h *Handler) DisableKeepAlives() { h.keepAlivesDisabled.Store(true) }

// ServeHTTP serves one caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := h.serve(w, r)
	// Checked after the request, since the node may have started its shutdown while the request ran.
	if h.keepAlivesDisabled.Load() {
		// On HTTP/2, net/http sends GOAWAY in response to this header.
		w.Header().Set("Connection", "close")
	}
	// http.Server.WriteTimeout would count from the request, and cut off requests that run longer.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.cfg.WriteTimeout))
	WriteOutcome(w, out)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) dfpcall.Outcome {
	// The deadline also limits how long net/http reads the body after a refusal. net/http resets it
	// before the connection's next request.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.cfg.BodyTimeout))
	in, keys, err := h.newIncoming(r)
	if err != nil {
		h.Counters.BadRequests.Add(1)
		return &dfpcall.NotRun{Reason: dfpcall.ReasonBadRequest}
	}
	if h.cfg.Admit != nil {
		release, refusal := h.cfg.Admit(in)
		if refusal != nil {
			// net/http may continue to read the body before it writes the refusal.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
			return refusal
		}
		defer release()
	}
	if in.Body, err = h.readBody(w, r, in.MaxBody); err != nil {
		h.Counters.BadRequests.Add(1)
		return &dfpcall.NotRun{Reason: dfpcall.ReasonBadRequest}
	}
	if !h.cfg.KeepKeys && in.exposesAny(r.URL, keys) {
		h.Counters.KeysExposed.Add(1)
		return &dfpcall.NotRun{Reason: dfpcall.ReasonBadRequest}
	}
	return h.cfg.Serve(r.Context(), in)
}

// readBody reads the whole body within BodyTimeout. It runs before the request is sent on, so
// that a slow caller occupies no slot of a backend server.
func (h *Handler) readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	if r.Body == nil || r.Body == http.NoBody {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
		return nil, nil
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	if err != nil {
		if !errors.As(err, new(*http.MaxBytesError)) {
			h.Counters.SlowBodies.Add(1)
		}
		return nil, err
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// newIncoming returns a request without its body, and the keys that the request contains.
func (h *Handler) newIncoming(r *http.Request) (*Incoming, []string, error) {
	query := r.URL.Query()
	keys := keysOf(r.Header, query)
	in := &Incoming{
		Method:         r.Method,
		Path:           r.URL.EscapedPath(),
		Header:         r.Header,
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		Timeout:        timeoutOf(r.Header),
		MaxBody:        h.cfg.MaxBody,
	}
	if len(keys) > 0 {
		in.Key = keys[0]
	}
	in.PathAndQuery = in.Path
	if len(in.IdempotencyKey) > maxIdempotencyKey {
		return nil, nil, errIdempotencyKey
	}
	if h.cfg.KeepKeys {
		in.PathAndQuery = r.URL.RequestURI()
		return in, keys, nil
	}
	if len(query) > 0 {
		query.Del("key")
		if rest := query.Encode(); rest != "" {
			in.PathAndQuery += "?" + rest
		}
	}
	RemoveInternalHeaders(in.Header)
	return in, keys, nil
}

// exposesAny reports whether one of the keys would be forwarded to the backend server.
func (in *Incoming) exposesAny(u *url.URL, keys []string) bool {
	for i, key := range keys {
		if i > 0 && len(key) < minKeyLength {
			continue // A short query parameter named key is the application's own.
		}
		if in.exposes(u, key) {
			return true
		}
	}
	return false
}

// exposes reports whether what is forwarded to the backend server contains the key.
func (in *Incoming) exposes(u *url.URL, key string) bool {
	if strings.Contains(u.Path, key) || strings.Contains(in.PathAndQuery, key) || bytes.Contains(in.Body, []byte(key)) {
		return true
	}
	folded := strings.ToLower(key)
	for name, values := range in.Header {
		// The case of header names is not preserved: net/http canonicalises them.
		if strings.Contains(strings.ToLower(name), folded) {
			return true
		}
		for _, v := range values {
			if strings.Contains(v, key) {
				return true
			}
		}
	}
	return false
}

// keysOf returns the keys that a request contains. The first one identifies the caller.
func keysOf(header http.Header, query url.Values) []string {
	var keys []string
	if scheme, token, found := strings.Cut(header.Get("Authorization"), " "); found && strings.EqualFold(scheme, "bearer") {
		keys = append(keys, strings.TrimSpace(token))
	}
	keys = append(keys, header.Get(HeaderKey), query.Get("key"))
	return slices.DeleteFunc(keys, func(key string) bool { return key == "" })
}

// RemoveInternalHeaders removes Authorization, which may contain the key, the hop-by-hop headers and all
// headers that start with Dragonflyport-, by which a caller could impersonate a node.
func RemoveInternalHeaders(header http.Header) {
	dfpbackend.RemoveHopHeaders(header)
	header.Del("Authorization")
	for name := range header {
		if strings.HasPrefix(name, "Dragonflyport-") {
			delete(header, name)
		}
	}
}

func timeoutOf(header http.Header) time.Duration {
	ms, err := strconv.ParseInt(header.Get(HeaderTimeout), 10, 32)
	if err != nil || ms <= 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// ErrorBody is the JSON body of the response for dfpcall.NotRun and dfpcall.Unknown.
type ErrorBody struct {
	Outcome string         `json:"outcome"`
	Reason  dfpcall.Reason `json:"reason"`
	// RetryAfterMs is the time in milliseconds to wait before a retry; 0 if a retry makes no sense.
	RetryAfterMs int64 `json:"retry_after_ms"`
}

// WriteOutcome writes an outcome as an HTTP response.
func WriteOutcome(w http.ResponseWriter, out dfpcall.Outcome) {
	switch out := out.(type) {
	case *dfpcall.Answer:
		writeAnswer(w, out)
	case *dfpcall.NotRun:
		writeError(w, statusOf(out.Reason), ErrorBody{OutcomeNotRun, out.Reason, out.RetryAfter.Milliseconds()})
	case *dfpcall.Unknown:
		writeError(w, StatusUnknown, ErrorBody{OutcomeUnknown, out.Reason, 0})
	default:
		panic("dfpcaller: request ended without a known outcome")
	}
}

func writeAnswer(w http.ResponseWriter, out *dfpcall.Answer) {
	header := w.Header()
	for name, values := range out.Header {
		header[name] = values
	}
	header.Set(HeaderOutcome, OutcomeAnswered)
	if len(out.Body) > 0 || header.Get("Content-Length") == "" {
		// The response to HEAD keeps the Content-Length of the backend server.
		header.Set("Content-Length", strconv.Itoa(len(out.Body)))
	}
	w.WriteHeader(out.Status)
	// If the write fails, the caller has disconnected and there is nobody to report the error to.
	_, _ = w.Write(out.Body)
}

func writeError(w http.ResponseWriter, status int, body ErrorBody) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, body.Outcome)
	header.Set(HeaderReason, string(body.Reason))
	if body.RetryAfterMs > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(body.RetryAfterMs)/1000))))
		header.Set(HeaderRetryAfter, strconv.FormatInt(body.RetryAfterMs, 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// statusOf returns the HTTP status of a dfpcall.NotRun.
func statusOf(reason dfpcall.Reason) int {
	switch reason {
	case dfpcall.ReasonNoKey, dfpcall.ReasonKeyUnknown:
		return http.StatusUnauthorized
	case dfpcall.ReasonNoRoute:
		return http.StatusNotFound
	case dfpcall.ReasonBadRequest, dfpcall.ReasonParentUnknown:
		return http.StatusBadRequest
	case dfpcall.ReasonOrganisationRate, dfpcall.ReasonEntryFull:
		return http.StatusTooManyRequests
	case dfpcall.ReasonKeyReused:
		return http.StatusUnprocessableEntity
	case dfpcall.ReasonRepeatInProgress, dfpcall.ReasonBarred, dfpcall.ReasonKeyTooOld:
		return http.StatusConflict
	case dfpcall.ReasonDeadline:
		return http.StatusGatewayTimeout
	default:
		return http.StatusServiceUnavailable
	}
}
