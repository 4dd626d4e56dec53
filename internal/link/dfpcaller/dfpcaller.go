// Package dfpcaller is the callers' side of an entry: HTTP in, HTTP out.
//
// It turns an HTTP request into an Incoming, from which the caller's key has been
// taken out, and an Outcome into an HTTP answer. What it decides is only about the
// protocol: sizes, time limits, headers and statuses. docs/CALLERS.md lists them.
//
// A key may stand in the header Authorization (Bearer), in Dragonflyport-Key or in
// the query as key=. A request that repeats its key anywhere else, such as in the path,
// another header or the body, is refused, because it would reach a backend server.
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

// Headers of the callers' interface.
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

// StatusUnknown is the HTTP status of every outcome that is unknown, and of no other.
const StatusUnknown = http.StatusBadGateway

var errIdempotencyKey = errors.New("the Idempotency-Key is too long")

// Incoming is a caller's request without its key.
type Incoming struct {
	// Key is the caller's key in clear text; empty if there is none.
	Key string
	// CallerID is the id that the caller gave the request; empty if its protocol has none.
	CallerID string
	// Host is the name that the caller addressed.
	Host   string
	Method string
	// Path is the escaped path without the query.
	Path string
	// PathAndQuery is what the backend server gets.
	PathAndQuery   string
	Header         http.Header
	Body           []byte
	IdempotencyKey string
	// Timeout is what the caller asked for; 0 if it said nothing.
	Timeout time.Duration
	// MaxBody is the largest body in bytes that is read; Admit may change it.
	MaxBody int64
}

// Config sets a handler's limits. Zero fields take the defaults.
type Config struct {
	// Serve runs one request. It must return a non-nil outcome soon after ctx ends.
	Serve func(ctx context.Context, in *Incoming) dfpcall.Outcome
	// Admit takes a place for a request whose body has not been read, so that slow or
	// large bodies are bounded too. It returns what frees the place, or a refusal. Nil
	// admits all.
	Admit func(in *Incoming) (leave func(), refusal dfpcall.Outcome)
	// MaxBody is the largest body in bytes; 1 MiB by default.
	MaxBody int64
	// BodyTimeout bounds the reading of a body; 5 s by default.
	BodyTimeout time.Duration
	// WriteTimeout bounds the writing of an answer, from when it is there; 60 s by default.
	WriteTimeout time.Duration
	// KeepKeys passes keys on to backend servers. Only the test that proves the
	// removal of keys sets it.
	KeepKeys bool
}

const (
	defaultMaxBody      = 1 << 20
	defaultBodyTimeout  = 5 * time.Second
	maxHeaderBytes      = 32 << 10
	refusedBodyTimeout  = 100 * time.Millisecond
	headerTimeout       = 5 * time.Second
	idleTimeout         = 60 * time.Second
	defaultWriteTimeout = 60 * time.Second
	maxIdempotencyKey   = 256
	minKeyLength        = 16 // characters
)

// Counters counts what went wrong at the protocol's level.
type Counters struct {
	BadRequests atomic.Int64
	SlowBodies  atomic.Int64
	KeysExposed atomic.Int64
}

// Handler serves callers. It is safe for concurrent use.
type Handler struct {
	cfg      Config
	Counters Counters
	leaving  atomic.Bool
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

// NewServer returns an HTTP server with time limits on everything that a slow
// or silent caller could hold. It speaks HTTP/1.1 and unencrypted HTTP/2.
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

// DisableKeepAlives makes each answer from now on its connection's last, and says so to the
// caller. A caller that finds its idle connection closed without a word could not tell
// whether a request that it had just sent was run.
func (h *Handler) DisableKeepAlives() { h.leaving.Store(true) }

// ServeHTTP serves one caller's request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	out := h.serve(w, r)
	// Asked last, since the node may have begun to leave while the request ran.
	if h.leaving.Load() {
		// On HTTP/2, net/http sends GOAWAY for it.
		w.Header().Set("Connection", "close")
	}
	// The server's own WriteTimeout would count from the request, and cut what runs longer.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(h.cfg.WriteTimeout))
	WriteOutcome(w, out)
}

func (h *Handler) serve(w http.ResponseWriter, r *http.Request) dfpcall.Outcome {
	// The bound holds for what net/http reads of a body after a refusal, too. It ends
	// by itself before the connection's next request.
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(h.cfg.BodyTimeout))
	in, keys, err := h.newIncoming(r)
	if err != nil {
		h.Counters.BadRequests.Add(1)
		return &dfpcall.NotRun{Reason: dfpcall.ReasonBadRequest}
	}
	if h.cfg.Admit != nil {
		leave, refusal := h.cfg.Admit(in)
		if refusal != nil {
			// net/http reads what has come of the body before it writes the refusal.
			_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(refusedBodyTimeout))
			return refusal
		}
		defer leave()
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

// readBody reads the whole body in bounded time, so that a slow sender holds
// no slot of a backend server.
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

// newIncoming returns a request without its body, and the keys that it presents.
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

// exposesAny reports whether one of the keys would go on to the backend server.
func (in *Incoming) exposesAny(u *url.URL, keys []string) bool {
	for i, key := range keys {
		if i > 0 && len(key) < minKeyLength {
			continue // A short text named key= is the application's own.
		}
		if in.exposes(u, key) {
			return true
		}
	}
	return false
}

// exposes reports whether a key stands in what goes on to the backend server.
func (in *Incoming) exposes(u *url.URL, key string) bool {
	if strings.Contains(u.Path, key) || strings.Contains(in.PathAndQuery, key) || bytes.Contains(in.Body, []byte(key)) {
		return true
	}
	folded := strings.ToLower(key)
	for name, values := range in.Header {
		// A header's name has lost its case on the way.
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

// keysOf returns the keys that a request presents; the first counts.
func keysOf(header http.Header, query url.Values) []string {
	var keys []string
	if scheme, token, found := strings.Cut(header.Get("Authorization"), " "); found && strings.EqualFold(scheme, "bearer") {
		keys = append(keys, strings.TrimSpace(token))
	}
	keys = append(keys, header.Get(HeaderKey), query.Get("key"))
	return slices.DeleteFunc(keys, func(key string) bool { return key == "" })
}

// RemoveInternalHeaders removes the key and everything by which an outsider could
// pass for a node: all headers of dragonflyport's own.
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

// ErrorBody is the JSON body of an outcome without an answer.
type ErrorBody struct {
	Outcome string         `json:"outcome"`
	Reason  dfpcall.Reason `json:"reason"`
	// RetryAfterMs is when to come back, in milliseconds; 0 where it never makes sense.
	RetryAfterMs int64 `json:"retry_after_ms"`
}

// WriteOutcome writes an outcome as an HTTP answer.
func WriteOutcome(w http.ResponseWriter, out dfpcall.Outcome) {
	switch out := out.(type) {
	case *dfpcall.Answer:
		writeAnswer(w, out)
	case *dfpcall.NotRun:
		writeRefusal(w, statusOf(out.Reason), ErrorBody{OutcomeNotRun, out.Reason, out.RetryAfter.Milliseconds()})
	case *dfpcall.Unknown:
		writeRefusal(w, StatusUnknown, ErrorBody{OutcomeUnknown, out.Reason, 0})
	default:
		panic("dfpcaller: request ended without an outcome")
	}
}

func writeAnswer(w http.ResponseWriter, out *dfpcall.Answer) {
	header := w.Header()
	for name, values := range out.Header {
		header[name] = values
	}
	header.Set(HeaderOutcome, OutcomeAnswered)
	if len(out.Body) > 0 || header.Get("Content-Length") == "" {
		// An answer to HEAD keeps the length that the backend server gave.
		header.Set("Content-Length", strconv.Itoa(len(out.Body)))
	}
	w.WriteHeader(out.Status)
	// A failed write means that the caller has gone; there is nobody to tell.
	_, _ = w.Write(out.Body)
}

func writeRefusal(w http.ResponseWriter, status int, refusal ErrorBody) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, refusal.Outcome)
	header.Set(HeaderReason, string(refusal.Reason))
	if refusal.RetryAfterMs > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(refusal.RetryAfterMs)/1000))))
		header.Set(HeaderRetryAfter, strconv.FormatInt(refusal.RetryAfterMs, 10))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(refusal)
}

// statusOf returns the HTTP status of a refusal for which nothing has run.
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
