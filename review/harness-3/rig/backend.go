package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Backend is a stand-in of a backend server: it runs requests in slots, and announces itself to the node beside it.
// A request's path ends with /MILLISECONDS/BYTES: how long it works and how long its answer is.
type Backend struct {
	ID, Service, Address, Zone string
	Control                    string
	Slots                      int
	Born                       int64
	record                     *Record
	server                     *http.Server

	mu    sync.Mutex
	used  int
	seq   int
	state string
	// runs counts how often each request ran.
	runs map[string]int
}

// StartBackend starts a backend server at its address. The caller sets the exported fields.
func StartBackend(b *Backend, record *Record) error {
	l, err := net.Listen("tcp", b.Address)
	if err != nil {
		return err
	}
	b.record, b.state, b.runs, b.Born = record, "ready", map[string]int{}, time.Now().UnixMilli()
	b.server = &http.Server{Handler: http.HandlerFunc(b.serve)}
	Go(func() { _ = b.server.Serve(l) })
	Go(b.beat)
	return nil
}

// Runs returns how often a request ran.
func (b *Backend) Runs(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[id]
}

// beat sends heartbeats until the process ends.
func (b *Backend) beat() {
	for {
		b.Heartbeat()
		time.Sleep(1500 * time.Millisecond)
	}
}

// Heartbeat sends one heartbeat and reports whether it was acknowledged.
func (b *Backend) Heartbeat() bool {
	b.mu.Lock()
	b.seq++
	body, _ := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Address, "zone": b.Zone, "version": "v1", "slots": b.Slots, "state": b.state,
		"cold_left": "0ms", "seq": b.seq, "born": b.Born,
	})
	b.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Control+"/rpc?call="+Wire("heartbeat")+"&of="+b.ID, bytes.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(Wire("attempt"))
	w.Header().Set(Wire("attempt"), id)
	if strings.HasPrefix(r.URL.Path, "/healthz") {
		w.Header().Set("X-Instance-Id", b.ID)
		return
	}
	if expect := r.Header.Get(Wire("expect")); expect != "" && expect != b.ID {
		w.Header().Set(Wire("notrun"), "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b.mu.Lock()
	full := b.used >= b.Slots
	if !full {
		b.used++
		b.runs[id]++
	}
	b.mu.Unlock()
	if full {
		w.Header().Set(Wire("notrun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	b.record.Printf("run      %s at %s", id, b.ID)
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	work, size := 0, 0
	if len(parts) >= 3 {
		work, _ = strconv.Atoi(parts[len(parts)-2])
		size, _ = strconv.Atoi(parts[len(parts)-1])
	}
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
	}
	b.mu.Lock()
	b.used--
	b.mu.Unlock()
	w.Header().Set(Wire("seal"), "seal of "+id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(Body(id, size))
}

// Body returns the body of the answer to a request.
func Body(id string, size int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%-16.16s", id)), size/16+1)[:size]
}
