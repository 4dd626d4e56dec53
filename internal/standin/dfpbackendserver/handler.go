package dfpbackendserver

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const maxBodyBytes = 1 << 20

// Reply is the body of the response to each completed request.
type Reply struct {
	Service      string `json:"service"`
	Operation    string `json:"operation"`
	Organisation string `json:"organisation"`
	Path         string `json:"path"`
	Padding      string `json:"filling,omitempty"`
}

// Status is the content of the health and load pages.
type Status struct {
	Healthy  bool `json:"healthy"`
	InFlight int  `json:"in_flight"`
	Waiting  int  `json:"waiting"`
	Slots    int  `json:"slots"`
}

// Handler serves requests, the pages /health and /load, the ledger as JSON at
// /ledger, and POST /fault, which takes a Fault as JSON.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.serveStatus)
	mux.HandleFunc("GET /load", s.serveStatus)
	mux.HandleFunc("GET /ledger", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Ledger.Snapshot())
	})
	mux.HandleFunc("POST /fault", func(w http.ResponseWriter, r *http.Request) {
		var fault Fault
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&fault); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFault(fault)
	})
	mux.HandleFunc("/", s.serveRequest)
	return mux
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		panic("dfpbackendserver: response cannot be encoded: " + err.Error())
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // A failed write means that the client has disconnected.
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, s.currentStatus())
}

// currentStatus returns the status to show, which is at most Config.MaxPageAge old.
func (s *Server) currentStatus() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.fault.FalseHealth {
		return Status{Healthy: true, Slots: s.cfg.Slots}
	}
	if now := time.Now(); now.Sub(s.statusTime) >= s.cfg.MaxPageAge {
		s.statusTime = now
		s.status = Status{Healthy: !s.fault.FailFast && !s.fault.Hang, InFlight: len(s.slots), Waiting: int(s.waiting.Load()), Slots: s.cfg.Slots}
	}
	return s.status
}

func (s *Server) serveRequest(response http.ResponseWriter, r *http.Request) {
	w := &noticeWriter{response, s}
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	ctx, cancel := s.requestContext(r)
	defer cancel()
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, maxBodyBytes)); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !s.acquireSlot(ctx) {
		s.Ledger.shed()
		w.Header().Set(HeaderShed, "yes")
		http.Error(w, "no slot is free", http.StatusServiceUnavailable)
		return
	}
	defer s.releaseSlot()
	run := s.Ledger.begin(r)
	status, err := s.run(ctx, r)
	if err != nil {
		s.Ledger.end(run, ctx.Err() != nil, false)
		http.Error(w, err.Error(), status)
		return
	}
	s.Ledger.end(run, false, true)
	writeJSON(w, status, Reply{
		Service:      s.cfg.Service,
		Operation:    r.Header.Get(HeaderOperation),
		Organisation: r.Header.Get(HeaderOrganisation),
		Path:         r.URL.Path,
		Padding:      strings.Repeat("x", s.cfg.PayloadBytes),
	})
}

// noticeWriter adds the server's notice to the head of a response when it is written.
type noticeWriter struct {
	http.ResponseWriter
	server *Server
}

// WriteHeader implements http.ResponseWriter.
func (w *noticeWriter) WriteHeader(status int) {
	w.server.writeNotice(w.Header())
	w.ResponseWriter.WriteHeader(status)
}

// requestContext returns the context of a request. It ends when the caller
// disconnects or the deadline passes, unless cancellation is ignored.
func (s *Server) requestContext(r *http.Request) (context.Context, context.CancelFunc) {
	if s.cfg.IgnoreCancellation {
		return context.WithCancel(context.WithoutCancel(r.Context()))
	}
	if ms, err := strconv.Atoi(r.Header.Get(HeaderDeadline)); err == nil {
		return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	}
	return context.WithCancel(r.Context())
}

var (
	errFault     = errors.New("fault injected: fail fast")
	errCancelled = errors.New("request cancelled")
)

// run executes a request. It returns the status of the response, also with an error.
func (s *Server) run(ctx context.Context, r *http.Request) (int, error) {
	fault := s.Fault()
	if fault.FailFast {
		return http.StatusInternalServerError, errFault
	}
	if fault.Hang {
		<-ctx.Done()
		return http.StatusServiceUnavailable, errCancelled
	}
	if !sleep(ctx, s.drawServiceTime()) {
		return http.StatusServiceUnavailable, errCancelled
	}
	for i, nested := range s.cfg.NestedCalls {
		if !strings.HasPrefix(r.URL.Path, nested.PathPrefix) {
			continue
		}
		if err := s.callNested(ctx, r, i, nested); err != nil {
			return http.StatusBadGateway, err
		}
	}
	return http.StatusOK, nil
}

// callNested makes one nested call and retries it up to nested.Retries times.
func (s *Server) callNested(ctx context.Context, parent *http.Request, index int, nested NestedCall) error {
	var err error
	for range nested.Retries + 1 {
		if err = s.callOnce(ctx, parent, index, nested); err == nil || ctx.Err() != nil {
			break
		}
	}
	return err
}

// callOnce makes one attempt at a nested call and checks that the reply is to this
// call.
func (s *Server) callOnce(ctx context.Context, parent *http.Request, index int, nested NestedCall) error {
	url := s.cfg.EgressURL + "/service/" + nested.Service + nested.Path
	r, err := http.NewRequestWithContext(ctx, nested.Method, url, nil)
	if err != nil {
		return fmt.Errorf("nested call: %w", err)
	}
	r.Header.Set(HeaderParent, parent.Header.Get(HeaderParent))
	operation := fmt.Sprintf("%s/%d", parent.Header.Get(HeaderOperation), index)
	r.Header.Set(HeaderOperation, operation)
	response, err := s.client.Do(r)
	if err != nil {
		return fmt.Errorf("nested call to %s: %w", nested.Service, err)
	}
	defer func() { _ = response.Body.Close() }()
	var reply Reply
	if response.StatusCode != http.StatusOK {
		_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes)) // Allows the connection to be reused.
		return fmt.Errorf("nested call to %s: status %d", nested.Service, response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&reply); err != nil {
		return fmt.Errorf("nested call to %s: %w", nested.Service, err)
	}
	if reply.Operation != operation {
		s.Ledger.wrongAnswer()
		return fmt.Errorf("nested call to %s: %w: %s", nested.Service, errWrongAnswer, reply.Operation)
	}
	return nil
}

var errWrongAnswer = errors.New("reply to another operation")
