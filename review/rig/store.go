package main

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageItems is the largest number of items in a page of a listing.
const pageItems = 500

// Store is a stand-in for the platform's metadata store.
type Store struct {
	mux *http.ServeMux

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	leases   map[uint64]*storeLease
	changed  chan struct{} // closed and replaced at each change
}

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	timer *time.Timer
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{
		mux: http.NewServeMux(), items: make(map[string]item), revision: 1,
		leases: make(map[uint64]*storeLease), changed: make(chan struct{}),
	}
	s.mux.HandleFunc("GET /v1/kv-key", s.key)
	s.mux.HandleFunc("GET /v1/kv-range", s.list)
	s.mux.HandleFunc("GET /v1/kv-watch", s.watch)
	s.mux.HandleFunc("POST /v1/kv-txn", s.txn)
	s.mux.HandleFunc("POST /v1/kv-lease", s.grant)
	s.mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	s.mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.endLease)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Put writes a key without a lease, as the operator and the replicas do.
func (s *Store) Put(key string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, text, 0)
}

// Delete removes a key.
func (s *Store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
}

func (s *Store) set(key string, value []byte, lease uint64) {
	created := s.revision
	if old, found := s.items[key]; found {
		created = old.Created
	}
	i := item{Key: key, Value: value, Rev: s.revision, Created: created, Lease: lease}
	s.items[key] = i
	s.record(i)
}

func (s *Store) remove(key string) {
	if _, found := s.items[key]; !found {
		return
	}
	delete(s.items, key)
	s.record(item{Key: key, Rev: s.revision, Tombstone: true})
}

func (s *Store) record(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, found := s.items[r.URL.Query().Get("key")]
	if !found {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, map[string]any{"key": i.Key, "value": i.Value, "rev": i.Rev, "created": i.Created, "lease": i.Lease, "current-rev": s.revision})
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	more := len(found) > pageItems
	respond(w, map[string]any{"items": found[:min(len(found), pageItems)], "has-more": more, "current-rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(waitMS) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			respond(w, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Expect []struct {
			Key string `json:"key"`
			Rev uint64 `json:"rev"`
		} `json:"expect-rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Delete []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	current, conflict := []item{}, false
	for _, e := range request.Expect {
		current = append(current, s.items[e.Key])
		conflict = conflict || s.items[e.Key].Rev != e.Rev
	}
	if conflict {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(http.StatusPreconditionFailed)
		_ = json.NewEncoder(w).Encode(map[string]any{"items": current})
		return
	}
	for _, p := range request.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.revision++
	for _, p := range request.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range request.Delete {
		s.remove(key)
	}
	respond(w, map[string]any{"rev": s.revision})
}

func (s *Store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id, ttl := uint64(len(s.leases)+1), time.Duration(request.TTL)*time.Millisecond
	s.leases[id] = &storeLease{ttl, time.AfterFunc(ttl, func() { s.end(id) })}
	respond(w, map[string]any{"lease": id, "ttl-ms": request.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	lease := s.leases[id]
	if lease == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	lease.timer.Reset(lease.ttl)
	respond(w, map[string]any{"ttl-ms": lease.ttl.Milliseconds()})
}

func (s *Store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.end(id)
	respond(w, map[string]any{})
}

// end ends a lease and removes its keys. Ids of ended leases stay in use as nil.
func (s *Store) end(id uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return
	}
	s.leases[id].timer.Stop()
	s.leases[id] = nil
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func respond(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
