package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store as PROTOCOL.md shows it.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease_id"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is the platform's metadata store, sound and without disruptions.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
	leases   map[uint64]lease
	nextID   uint64
}

type lease struct {
	ttl time.Duration
	due time.Time
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{}), leases: map[uint64]lease{}}
}

// put writes a key without a condition, as the operator does.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(key, value, 0)
	s.wake()
}

func (s *store) write(key string, value []byte, leaseID uint64) {
	created := s.revision
	if before, found := s.items[key]; found {
		created = before.Created
	}
	i := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: leaseID}
	s.items[key] = i
	s.events = append(s.events, i)
}

func (s *store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that are due. The mutex must be held.
func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.Before(l.due) {
			continue
		}
		delete(s.leases, id)
		s.revision++
		for key, i := range s.items {
			if i.Lease == id {
				s.remove(key)
			}
		}
		s.wake()
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	s.expire(time.Now())
	switch path := r.URL.Path; {
	case path == "/kv-key":
		i, found := s.items[query.Get("key")]
		asOf := s.revision
		s.mu.Unlock()
		if !found {
			answer(w, http.StatusNotFound, map[string]any{"as_of": asOf})
			return
		}
		answer(w, http.StatusOK, struct {
			item
			AsOf uint64 `json:"as_of"`
		}{i, asOf})
	case path == "/kv-range":
		items := []item{}
		for key, i := range s.items {
			if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
				items = append(items, i)
			}
		}
		asOf := s.revision
		s.mu.Unlock()
		sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
		answer(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": asOf})
	case path == "/kv-watch":
		s.mu.Unlock()
		s.watch(w, r)
	case path == wire["txn"]:
		s.txn(w, r)
		s.mu.Unlock()
	case path == "/kv-lease":
		var body struct {
			TTL string `json:"ttl_time"`
		}
		_ = json.NewDecoder(r.Body).Decode(&body)
		ttl, err := time.ParseDuration(body.TTL)
		if err != nil {
			s.mu.Unlock()
			answer(w, http.StatusBadRequest, map[string]any{})
			return
		}
		s.nextID++
		id := s.nextID
		s.leases[id] = lease{ttl, time.Now().Add(ttl)}
		s.mu.Unlock()
		answer(w, http.StatusOK, map[string]any{"lease_id": id, "ttl_time": body.TTL})
	case strings.HasPrefix(path, "/kv-keep/"):
		id, _ := strconv.ParseUint(strings.TrimPrefix(path, "/kv-keep/"), 10, 64)
		l, found := s.leases[id]
		if found {
			s.leases[id] = lease{l.ttl, time.Now().Add(l.ttl)}
		}
		s.mu.Unlock()
		if !found {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
		answer(w, http.StatusOK, map[string]any{"lease_id": id, "ttl_time": l.ttl.String()})
	default:
		s.mu.Unlock()
		answer(w, http.StatusNotFound, map[string]any{})
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	raw := map[string]json.RawMessage{}
	if err := json.NewDecoder(r.Body).Decode(&raw); err != nil {
		answer(w, http.StatusBadRequest, map[string]any{})
		return
	}
	var expected, puts []item
	var deletes []string
	_ = json.Unmarshal(raw[wire["expected"]], &expected)
	_ = json.Unmarshal(raw["puts"], &puts)
	_ = json.Unmarshal(raw["deletes"], &deletes)
	mismatch, current := false, []item{}
	for _, e := range expected {
		i, found := s.items[e.Key]
		if found {
			current = append(current, i)
		}
		mismatch = mismatch || i.Revision != e.Revision
	}
	if mismatch {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": current, "as_of": s.revision})
		return
	}
	for _, p := range puts {
		if _, found := s.leases[p.Lease]; p.Lease != 0 && !found {
			answer(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range puts {
		s.write(p.Key, p.Value, p.Lease)
	}
	for _, key := range deletes {
		s.remove(key)
	}
	s.wake()
	answer(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		asOf, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		case <-r.Context().Done():
			return
		}
	}
}
