package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as PROTOCOL.md writes it.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease_id"`
}

// event is a change that a watch reports.
type event struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease_id,omitempty"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in for the platform's metadata store. It is sound: it loses nothing and is linearizable.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []event
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
}

func newStore() *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, nextID: 1000, changed: make(chan struct{})}
	background.Go(func() {
		for range time.Tick(100 * time.Millisecond) {
			s.expire()
		}
	})
	return s
}

// put writes a key; s.mu must be held.
func (s *store) put(key string, value []byte, leaseID uint64) {
	old, found := s.items[key]
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if found {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, event{Key: key, Value: value, Revision: it.Revision, Created: it.Created, Lease: leaseID})
}

// remove deletes a key; s.mu must be held.
func (s *store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.history = append(s.history, event{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys; s.mu must be held.
func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

// write is the operator's write; its return is the acknowledgement.
func (s *store) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) serve(l net.Listener) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		it, found := s.items[r.URL.Query().Get("key")]
		if !found {
			reply(w, 404, map[string]any{"as_of": s.revision})
			return
		}
		reply(w, 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease_id": it.Lease, "as_of": s.revision})
	})
	mux.HandleFunc("GET /kv-range", func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
		items := []item{}
		for key, it := range s.items {
			if strings.HasPrefix(key, prefix) && key > after {
				items = append(items, it)
			}
		}
		sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
		reply(w, 200, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
	})
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST "+wire["txn"], s.txn)
	mux.HandleFunc("POST /kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			TTL string `json:"ttl_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		ttl, err := time.ParseDuration(body.TTL)
		if err != nil {
			reply(w, 400, map[string]any{})
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextID++
		s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
		reply(w, 200, map[string]any{"lease_id": s.nextID, "ttl_time": body.TTL})
	})
	mux.HandleFunc("POST /kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[id]
		if l == nil {
			reply(w, 404, map[string]any{})
			return
		}
		l.end = time.Now().Add(l.ttl)
		reply(w, 200, map[string]any{})
	})
	mux.HandleFunc("DELETE /kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.endLease(id)
		reply(w, 200, map[string]any{})
	})
	_ = http.Serve(l, mux)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, 200, map[string]any{"events": events, "as_of": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease_id"`
		} `json:"puts"`
		Deletes []string `json:"deletes"`
	}
	var expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}
	var fields map[string]json.RawMessage
	text, err := io.ReadAll(r.Body)
	if err == nil {
		err = json.Unmarshal(text, &body)
	}
	if err == nil {
		err = json.Unmarshal(text, &fields)
	}
	if conditions := fields[wire["expected"]]; err == nil && conditions != nil {
		err = json.Unmarshal(conditions, &expected)
	}
	if err != nil {
		reply(w, 400, map[string]any{"error": fmt.Sprint(err)})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []item{}
	for _, e := range expected {
		it, found := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if found {
			current = append(current, it)
		}
	}
	if !holds {
		reply(w, 412, map[string]any{"items": current, "as_of": s.revision})
		return
	}
	for _, p := range body.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, 403, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, 404, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Deletes {
		s.remove(key)
	}
	s.notify()
	reply(w, 200, map[string]any{"revision": s.revision})
}
