package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// run is one request that a backend received.
type run struct {
	ID       string
	Method   string
	Path     string
	Instance string
	Tenant   string
	Bytes    int64
	At       time.Time
	// Work is how long the run takes; onRun may set it.
	Work time.Duration
	// Finished is set when the work ended before the connection closed.
	Finished bool
}

// connKey is the context key of a request's *backendConn.
type connKey struct{}

// backendConn is one connection to a backend. It serves one request at a time.
type backendConn struct {
	conn net.Conn
	// extra is a response that the backend still sends when the next request arrives, or nil.
	extra []byte
}

// backend is a sound application backend.
type backend struct {
	site  *site
	node  *node
	id    string
	born  int64
	onRun func(*backend, *run)
	// extraAfter, if not nil, makes the backend a faulty one: it returns the extra response that follows an answer late,
	// or nil.
	extraAfter func(*run) []byte

	// silent is closed when the backend sends no more heartbeats.
	silent   chan struct{}
	stopOnce sync.Once

	mu    sync.Mutex
	acked bool
	seq   int
	runs  []*run
}

func newBackend(s *site, n *node, onRun func(*backend, *run)) (*backend, error) {
	b := &backend{site: s, node: n, id: "i-" + strings.ReplaceAll(n.name, "sidecar-", ""), born: time.Now().UnixMilli(), onRun: onRun, silent: make(chan struct{})}
	l, err := net.Listen("tcp", n.app)
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: b, ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, &backendConn{conn: conn})
	}}
	s.group.Go(func() { _ = server.Serve(l) })
	s.group.Go(b.beat)
	return b, nil
}

func (b *backend) isAcknowledged() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.acked
}

// nextHeartbeat returns the body of the next heartbeat.
func (b *backend) nextHeartbeat() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":140,"state":"ready","cold_left":"0ms","seq":%d,"born":%d}`,
		b.node.service, b.node.app, b.node.zone, b.seq, b.born)
}

// stopBeats ends the heartbeats. The backend goes on serving.
func (b *backend) stopBeats() { b.stopOnce.Do(func() { close(b.silent) }) }

// beat sends heartbeats until the site ends or stopBeats is called.
func (b *backend) beat() {
	client := http.Client{Timeout: time.Second}
	for b.site.ctx.Err() == nil {
		resp, err := client.Post("http://"+b.node.control+"/rpc?call="+wire["heartbeat"]+"&of="+b.id, "application/json", strings.NewReader(b.nextHeartbeat()))
		wait := 300 * time.Millisecond
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode/100 == 2 {
				b.mu.Lock()
				b.acked = true
				b.mu.Unlock()
				wait = heartbeatEvery
			}
		}
		select {
		case <-b.site.ctx.Done():
		case <-b.silent:
			return
		case <-time.After(wait):
		}
	}
}

// ServeHTTP implements http.Handler: it runs a request, with an echo of its id and a seal.
func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set(wire["instance"], b.id)
		return
	}
	if expected := r.Header.Get(wire["expect"]); expected != "" && expected != b.id {
		w.Header().Set(wire["instance"], b.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	conn := r.Context().Value(connKey{}).(*backendConn)
	extra := conn.extra
	conn.extra = nil
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		b.site.rec.printf("backend %s got an incomplete request %s: %v", b.id, r.Header.Get(wire["attempt"]), err)
		return
	}
	x := &run{
		ID: r.Header.Get(wire["attempt"]), Method: r.Method, Path: r.URL.RequestURI(), Instance: b.id,
		Tenant: r.Header.Get(wire["tenant"]), Bytes: n, At: time.Now(),
	}
	if b.onRun != nil {
		b.onRun(b, x)
	}
	b.mu.Lock()
	b.runs = append(b.runs, x)
	b.mu.Unlock()
	if extra != nil {
		b.site.rec.printf("backend %s begins to run %s, and sends an extra response on its connection, late", b.id, x.ID)
		_, _ = conn.conn.Write(extra)
	}
	select {
	case <-time.After(x.Work):
		b.mu.Lock()
		x.Finished = true
		b.mu.Unlock()
	case <-r.Context().Done():
		b.site.rec.printf("backend %s: the connection of request %s closed after %.3f s of %.3f s of work", b.id, x.ID, time.Since(x.At).Seconds(), x.Work.Seconds())
		return
	}
	if b.extraAfter != nil {
		conn.extra = b.extraAfter(x)
	}
	w.Header().Set(wire["attempt"], x.ID)
	w.Header().Set(wire["seal"], "3e1b.07.5a2.600.0."+x.ID)
	_, _ = fmt.Fprintf(w, "run by %s: %s", b.id, x.ID)
}

// runsOf returns how often a request has run on all backends.
func (s *site) runsOf(id string) []*run {
	var found []*run
	for _, n := range s.nodes {
		n.backend.mu.Lock()
		for _, x := range n.backend.runs {
			if x.ID == id {
				found = append(found, x)
			}
		}
		n.backend.mu.Unlock()
	}
	return found
}
