package main

import (
	"cmp"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Store is a stand-in for the platform's metadata store, as PROTOCOL.md describes it.
type Store struct {
	addr string

	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision uint64
	history  uint64 // events up to this revision have been dropped
	leases   map[uint64]*storeLease
	lastID   uint64
	era      uint64
	down     bool
	changed  chan struct{}
	copied   *storeCopy
	watched  func(after uint64) // called for each watch; nil for none
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

type storeCopy struct {
	items    map[string]item
	revision uint64
}

// NewStore starts a store on a free port of host.
func NewStore(host string) *Store {
	s := &Store{items: map[string]item{}, revision: 1, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	listener, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
	if err != nil {
		cannotRun("store: %v", err)
	}
	s.addr = listener.Addr().String()
	go func() {
		_ = http.Serve(listener, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(mux, w, r) }))
	}()
	return s
}

func (s *Store) serve(mux http.Handler, w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	down := s.down
	s.setEra(w)
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	mux.ServeHTTP(w, r)
}

// setEra sets the header with the era. s.mu is held.
func (s *Store) setEra(w http.ResponseWriter) {
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
}

// SetDown lets the store answer 503, or serve again.
func (s *Store) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// Copy takes the copy from which RollBack returns.
func (s *Store) Copy() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.copied = &storeCopy{maps.Clone(s.items), s.revision}
}

// RollBack returns from the copy in the next era: without leases and their keys, and
// without history.
func (s *Store) RollBack() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.leases, s.items = map[uint64]*storeLease{}, map[string]item{}
	for key, i := range s.copied.items {
		if i.Lease == 0 {
			s.items[key] = i
		}
	}
	s.revision, s.history, s.events = s.copied.revision, s.copied.revision, nil
	s.era++
	s.notify()
}

// Put writes a key as the operator or a server does. It returns the revision.
func (s *Store) Put(key string, value any) uint64 {
	text, _ := json.Marshal(value)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, text, 0)
	return s.revision
}

// Delete removes a key. It returns the revision.
func (s *Store) Delete(key string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	return s.revision
}

func (s *Store) put(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Rev: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
	s.notify()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Rev: s.revision, Tombstone: true})
	s.notify()
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, i)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	const page = 500
	reply(w, http.StatusOK, map[string]any{"items": found[:min(len(found), page)], "has-more": len(found) > page, "current-rev": s.revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	if s.watched != nil {
		s.watched(after)
	}
	s.mu.Unlock()
	for {
		s.mu.Lock()
		s.setEra(w)
		if s.down {
			s.mu.Unlock()
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if after < s.history || after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, e := range s.events {
			if e.Rev > after && strings.HasPrefix(e.Key, query.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "current-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, http.StatusOK, map[string]any{"events": []item{}, "current-rev": revision})
			return
		}
	}
}

func (s *Store) txn(w http.ResponseWriter, r *http.Request) {
	var txn struct {
		ExpectRev []struct {
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
	if json.NewDecoder(r.Body).Decode(&txn) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range txn.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	current, failed := []item{}, false
	for _, e := range txn.ExpectRev {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		failed = failed || i.Rev != e.Rev
	}
	if failed {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.revision++
	for _, p := range txn.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Delete {
		s.remove(key)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.revision})
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
	s.lastID++
	id, ttl := s.lastID, time.Duration(request.TTL)*time.Millisecond
	s.leases[id] = &storeLease{ttl, time.AfterFunc(ttl, func() { s.endLease(id) })}
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": request.TTL})
}

func (s *Store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	reply(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *Store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	if !s.endLease(id) {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, map[string]any{})
}

func (s *Store) endLease(id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return false
	}
	l.timer.Stop()
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
	return true
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
