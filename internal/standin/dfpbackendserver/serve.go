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
	// Address is the host:port of the backend server.
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
}

// Serve serves requests on the listener until ctx is done, and then waits at most
// stopTimeout for the requests in progress. Connections over the limit are closed at
// once.
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

// Announce announces the backend server to the node of its VM at each interval until
// ctx is done or Drain is called. After a failure it tries again within 100 ms.
func (s *Server) Announce(ctx context.Context, address string) error {
	for ctx.Err() == nil && !s.draining.Load() {
		body := Announcement{Service: s.cfg.Service, Address: address, Slots: s.cfg.Slots, Connections: s.cfg.MaxConnections}
		wait := s.cfg.AnnounceInterval
		if err := s.post(ctx, "/dragonflyport/announce", body); err != nil {
			wait = min(wait, 100*time.Millisecond)
		}
		sleep(ctx, wait)
	}
	return nil
}

// Drain tells the node of the backend server's VM that the backend server is draining,
// and ends Announce.
func (s *Server) Drain(ctx context.Context) error {
	s.draining.Store(true)
	return s.post(ctx, "/dragonflyport/drain", struct{}{})
}

// post posts a JSON body to the node. A status of 300 or over is an error.
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
	response, err := s.client.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, maxBodyBytes)) // Allows the connection to be reused.
	if response.StatusCode >= 300 {
		return fmt.Errorf("POST %s: status %d", path, response.StatusCode)
	}
	return nil
}

// limitListener closes accepted connections over a limit.
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

// limitConn is a connection of a limitListener.
type limitConn struct {
	net.Conn
	open   *atomic.Int64
	closed atomic.Bool
}

// Close closes the connection, which then no longer counts towards the limit.
func (c *limitConn) Close() error {
	if !c.closed.Swap(true) {
		c.open.Add(-1)
	}
	return c.Conn.Close()
}
