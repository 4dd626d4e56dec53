package dfpbackendserver

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"golang.org/x/sync/errgroup"
)

const (
	announceTimeout = time.Second
	stopTimeout     = 10 * time.Second
)

// Announcement is the body of POST /dragonflyport/announce.
type Announcement struct {
	Service string `json:"service"`
	// Address is host:port of the backend server.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Serve answers on the listener until ctx is done, then lets the requests in
// progress end. Connections beyond the limit are closed at once.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.mu.Lock()
	s.address = listener.Addr().String()
	s.mu.Unlock()
	if s.cfg.MaxConnections > 0 {
		listener = &limitListener{Listener: listener, limit: int64(s.cfg.MaxConnections)}
	}
	server := &http.Server{Handler: s.Handler(), ReadHeaderTimeout: 10 * time.Second}
	group, groupCtx := errgroup.WithContext(ctx)
	group.Go(func() error {
		if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	group.Go(func() error {
		<-groupCtx.Done()
		stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
		defer cancel()
		return server.Shutdown(stopCtx)
	})
	return group.Wait()
}

// Announce tells the node of this VM of the backend server, again and again
// until ctx is done or Drain was called. Failed attempts are made again at the
// next turn.
func (s *Server) Announce(ctx context.Context, address string) error {
	for ctx.Err() == nil && !s.draining.Load() {
		body := Announcement{Service: s.cfg.Service, Address: address, Slots: s.cfg.Slots, Connections: s.cfg.MaxConnections}
		pause := s.cfg.AnnounceInterval
		if err := s.post(ctx, "/dragonflyport/announce", body); err != nil {
			pause = min(pause, 100*time.Millisecond)
		}
		sleep(ctx, pause)
	}
	return nil
}

// Drain tells the node of this VM that the backend server is leaving.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	return s.post(ctx, "/dragonflyport/drain", struct{}{})
}

func (s *Server) post(ctx context.Context, path string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, s.cfg.EgressURL+path, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r.Header.Set("Content-Type", "application/json")
	answer, err := s.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = answer.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(answer.Body, maxBodyBytes)) // Lets the connection be used again.
	if answer.StatusCode >= 300 {
		return fmt.Errorf("POST %s: status %d", path, answer.StatusCode)
	}
	return nil
}

// limitListener closes connections beyond a limit.
type limitListener struct {
	net.Listener
	limit int64
	open  atomic.Int64
}

// Accept returns the next connection within the limit.
func (l *limitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &limitConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		_ = conn.Close()
	}
}

type limitConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close closes the connection and gives its place back.
func (c *limitConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}
