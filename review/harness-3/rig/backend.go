package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
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

	silent atomic.Bool

	mu sync.Mutex
	// lose is the share of the answers that are lost: the request runs, and then its connection is reset.
	lose float64
	// slow, if not 0, is how many times as long requests work.
	slow     int
	arrivals []Arrival
	// again holds when requests arrived that had arrived here before.
	again []time.Time
	used  int
	seq   int
	state string
	// runs counts how often each request ran, and working how many of these runs have not ended.
	runs, working map[string]int
	// ranAt is when each request first began to run.
	ranAt map[string]time.Time
	// left holds the requests whose connection was closed while they ran.
	left map[string]bool
}

// Arrival is the arrival of a request that the server ran. Before is how often it had run it before.
type Arrival struct {
	ID     string
	At     time.Time
	Before int
}

// StartBackend starts a backend server at its address. The caller sets the exported fields.
func StartBackend(b *Backend, record *Record) error {
	l, err := net.Listen("tcp", b.Address)
	if err != nil {
		return err
	}
	b.ranAt = map[string]time.Time{}
	b.record, b.state, b.runs, b.working, b.left, b.Born = record, "ready", map[string]int{}, map[string]int{}, map[string]bool{}, time.Now().UnixMilli()
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

// Working returns how many runs of a request have not ended.
func (b *Backend) Working(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.working[id]
}

// RanAt returns when the request first began to run here.
func (b *Backend) RanAt(id string) (time.Time, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	at, found := b.ranAt[id]
	return at, found
}

// Left reports whether the connection of a request was closed while it ran.
func (b *Backend) Left(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.left[id]
}

// Slow makes requests that begin from now on work a number of times as long.
func (b *Backend) Slow(factor int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slow = factor
}

// Drain makes the server report that it is draining, and returns when that was acknowledged.
func (b *Backend) Drain() time.Time {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	for !b.Heartbeat() {
		time.Sleep(100 * time.Millisecond)
	}
	return time.Now()
}

// Arrivals returns when requests arrived.
func (b *Backend) Arrivals() []Arrival {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Arrival(nil), b.arrivals...)
}

// Lose sets the share of the requests that run and whose answers are lost from now on.
func (b *Backend) Lose(share float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lose = share
}

// Again returns when requests arrived that had arrived here before.
func (b *Backend) Again() []time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]time.Time(nil), b.again...)
}

// beat sends heartbeats until the server has deregistered.
func (b *Backend) beat() {
	for !b.silent.Load() {
		b.Heartbeat()
		time.Sleep(1500 * time.Millisecond)
	}
}

// Deregister ends the heartbeats, deregisters the server, and returns when that was acknowledged. The server goes on
// serving.
func (b *Backend) Deregister() time.Time {
	b.silent.Store(true)
	for {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Control+"/rpc?call="+Wire("deregister")+"&of="+b.ID, nil)
		if err != nil {
			panic(err)
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
		cancel()
		if err == nil && resp.StatusCode == http.StatusOK {
			return time.Now()
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Heartbeat sends one heartbeat and reports whether it was acknowledged.
func (b *Backend) Heartbeat() bool { return b.Send(b.Body()) == http.StatusOK }

// Body returns the body of the next heartbeat.
func (b *Backend) Body() []byte {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.seq++
	body, err := json.Marshal(map[string]any{
		"service": b.Service, "address": b.Address, "zone": b.Zone, "version": "v1", "slots": b.Slots, "state": b.state,
		"cold_left": "0ms", "seq": b.seq, "born": b.Born,
	})
	if err != nil {
		panic(err)
	}
	return body
}

// Send sends a heartbeat and returns the status of the answer, 0 if there was none.
func (b *Backend) Send(body []byte) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.Control+"/rpc?call="+Wire("heartbeat")+"&of="+b.ID, bytes.NewReader(body))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
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
		b.arrivals = append(b.arrivals, Arrival{id, time.Now(), b.runs[id]})
		if b.runs[id] == 0 {
			b.ranAt[id] = time.Now()
		} else {
			b.again = append(b.again, time.Now())
		}
		b.runs[id]++
		b.working[id]++
	}
	b.mu.Unlock()
	if full {
		w.Header().Set(Wire("notrun"), "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	b.record.Printf("run      %s at %s, connection %s", id, b.ID, r.RemoteAddr)
	parts := strings.Split(strings.Trim(r.URL.Path, "/"), "/")
	work, size := 0, 0
	if len(parts) >= 3 {
		work, _ = strconv.Atoi(parts[len(parts)-2])
		size, _ = strconv.Atoi(parts[len(parts)-1])
	}
	b.mu.Lock()
	work *= max(b.slow, 1)
	b.mu.Unlock()
	select {
	case <-time.After(time.Duration(work) * time.Millisecond):
	case <-r.Context().Done():
		b.record.Printf("left     %s at %s: its connection was closed while it ran", id, b.ID)
		b.mu.Lock()
		b.left[id] = true
		b.mu.Unlock()
	}
	b.mu.Lock()
	b.used--
	b.working[id]--
	lost := rand.Float64() < b.lose
	b.mu.Unlock()
	b.record.Printf("ran      %s at %s", id, b.ID)
	if lost {
		if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
			b.record.Printf("lost     the answer to %s at %s: connection reset", id, b.ID)
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
		return
	}
	w.Header().Set(Wire("seal"), "seal of "+id)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(size))
	_, _ = w.Write(Body(id, size))
}

// Body returns the body of the answer to a request.
func Body(id string, size int) []byte {
	return bytes.Repeat([]byte(fmt.Sprintf("%-16.16s", id)), size/16+1)[:size]
}
