package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Item is a key of the store.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  uint64 `json:"revision"`
	Created   uint64 `json:"created"`
	Lease     uint64 `json:"lease_id"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// Store is a stand-in of the platform's metadata store.
type Store struct {
	Address string
	record  *Record

	mu       sync.Mutex
	revision uint64
	items    map[string]Item
	events   []Item
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
	era      int
	// turn, if not nil, may answer a call before the store does; it reports whether it has.
	turn func(w http.ResponseWriter, r *http.Request) bool
}

// StartStore starts a store at an address.
func StartStore(ip string, record *Record) (*Store, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), record: record, revision: 100, items: map[string]Item{}, leases: map[uint64]*lease{}, nextID: 7, changed: make(chan struct{}), era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST "+Wire("txn"), s.write)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		turn, era := s.turn, s.era
		s.mu.Unlock()
		if turn != nil && turn(w, r) {
			return
		}
		w.Header().Set(Wire("era"), strconv.Itoa(era))
		mux.ServeHTTP(w, r)
	})}
	Go(func() { _ = server.Serve(l) })
	return s, nil
}

var group sync.WaitGroup

// Go runs f in a goroutine.
func Go(f func()) { group.Go(f) }

// SetTurn sets what may answer calls before the store does.
func (s *Store) SetTurn(turn func(w http.ResponseWriter, r *http.Request) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.turn = turn
}

// Put writes a key as the operator does.
func (s *Store) Put(key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(Item{Key: key, Value: value, Revision: s.revision})
	s.notify()
	return s.revision
}

// set stores an item at its revision. s.mu must be held.
func (s *Store) set(i Item) {
	i.Created = i.Revision
	if old, found := s.items[i.Key]; found {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.events = append(s.events, i)
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; found {
		delete(s.items, key)
		s.events = append(s.events, Item{Key: key, Revision: s.revision, Tombstone: true})
	}
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that are over. s.mu must be held.
func (s *Store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id uint64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.notify()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, struct {
		Item
		AsOf uint64 `json:"as_of"`
	}{i, s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	items := []Item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "as_of": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	begun := s.era
	s.mu.Unlock()
	for over := false; ; {
		s.mu.Lock()
		s.expire()
		if s.era != begun || after > s.revision {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]any{})
			return
		}
		events := []Item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request) {
	var txn map[string]json.RawMessage
	var expected []struct {
		Key      string `json:"key"`
		Revision uint64 `json:"revision"`
	}
	var puts []Item
	var deletes []string
	if json.NewDecoder(r.Body).Decode(&txn) != nil || json.Unmarshal(txn[Wire("expected")], &expected) != nil ||
		json.Unmarshal(txn["puts"], &puts) != nil || json.Unmarshal(txn["deletes"], &deletes) != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current := []Item{}
	holds := true
	for _, e := range expected {
		i, found := s.items[e.Key]
		if found {
			current = append(current, i)
		}
		holds = holds && i.Revision == e.Revision
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, p := range puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			reply(w, http.StatusForbidden, map[string]any{})
			return
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	s.revision++
	for _, p := range puts {
		s.set(Item{Key: p.Key, Value: p.Value, Revision: s.revision, Lease: p.Lease})
	}
	for _, key := range deletes {
		s.remove(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]any{"revision": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL string `json:"ttl_time"`
	}
	ttl := time.Duration(0)
	if json.NewDecoder(r.Body).Decode(&body) == nil {
		ttl, _ = time.ParseDuration(body.TTL)
	}
	if ttl < time.Second {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease_id": s.nextID, "ttl_time": body.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]any{})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	reply(w, http.StatusOK, map[string]any{})
}

// Keys returns the keys that exist.
func (s *Store) Keys() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Value returns the value of a key.
func (s *Store) Value(key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.items[key].Value
}

// Lapse ends all leases.
func (s *Store) Lapse() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.leases {
		s.endLease(id)
	}
}

// Copy is what the store held at a moment.
type Copy struct {
	revision, nextID uint64
	items            map[string]Item
	leases           map[uint64]lease
	events           int
}

// Copy returns a copy of what the store holds.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	c := &Copy{revision: s.revision, nextID: s.nextID, items: map[string]Item{}, leases: map[uint64]lease{}, events: len(s.events)}
	for key, i := range s.items {
		c.items[key] = i
	}
	for id, l := range s.leases {
		c.leases[id] = *l
	}
	return c
}

// Restore brings the store back from a copy, in the next era. What was written since is gone; the operator writes again
// what it wrote. Leases of the copy run from now on.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.nextID, s.items, s.leases = c.revision, c.nextID, map[string]Item{}, map[uint64]*lease{}
	s.events = s.events[:c.events:c.events]
	for key, i := range c.items {
		s.items[key] = i
	}
	for id, l := range c.leases {
		s.leases[id] = &lease{l.ttl, time.Now().Add(l.ttl)}
	}
	s.record.Printf("store    is back from a copy, era %d, revision %d", s.era, s.revision)
	s.notify()
}
