package main

import (
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

// store is a stand-in of the platform's key-value store, as PROTOCOL.md describes it.
type store struct {
	addr string

	mu      sync.Mutex
	items   map[string]item
	events  []item
	rev     uint64
	since   uint64 // the history before this revision is gone
	leases  map[uint64]*storeLease
	leaseID uint64
	changed chan struct{}
	era     uint64 // 0: no header
	// refuse decides on a call: a status other than 0 is sent in place of the answer. Nil for none.
	refuse func(r *http.Request) int
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

func newStore(addr string) *store {
	s := &store{addr: addr, items: map[string]item{}, rev: 1, leases: map[uint64]*storeLease{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	listener, err := net.Listen("tcp", addr)
	check(err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		refuse, era := s.refuse, s.era
		s.mu.Unlock()
		if era > 0 {
			w.Header().Set("Store-Era", strconv.FormatUint(era, 10))
		}
		if refuse != nil {
			if status := refuse(r); status != 0 {
				w.WriteHeader(status)
				return
			}
		}
		mux.ServeHTTP(w, r)
	})}
	go server.Serve(listener)
	return s
}

// put writes a key as the operator or a replica does.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, text, 0)
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
}

func (s *store) set(key string, value []byte, lease uint64) {
	i := item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
	s.notify()
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.events = append(s.events, item{Key: key, Rev: s.rev, Tombstone: true})
		s.notify()
	}
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) setRefuse(refuse func(r *http.Request) int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuse = refuse
	s.notify()
}

func (s *store) keys(prefix string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		Current uint64 `json:"current-rev"`
	}{i, s.rev})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			found = append(found, s.items[key])
		}
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": found, "has-more": false, "current-rev": s.rev})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for {
		s.mu.Lock()
		refuse := s.refuse
		if era != s.era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if after < s.since || after > s.rev {
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
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if refuse != nil {
			if status := refuse(r); status != 0 {
				w.WriteHeader(status)
				return
			}
		}
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "current-rev": rev})
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
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
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	s.rev++
	for _, p := range txn.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range txn.Delete {
		s.remove(key)
	}
	writeJSON(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTL int64 `json:"ttl-ms"`
	}
	if json.NewDecoder(r.Body).Decode(&request) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaseID++
	id, era, ttl := s.leaseID, s.era, time.Duration(request.TTL)*time.Millisecond
	s.leases[id] = &storeLease{ttl, time.AfterFunc(ttl, func() { s.endLease(id, era) })}
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl-ms": request.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.timer.Reset(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	era, known := s.era, s.leases[id] != nil
	s.mu.Unlock()
	if !known {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	s.endLease(id, era)
	writeJSON(w, http.StatusOK, map[string]any{})
}

func (s *store) endLease(id, era uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil || s.era != era {
		return
	}
	s.leases[id].timer.Stop()
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.remove(key)
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// rollBack starts a new era with an older copy. Leases are gone, and the keys that belong to
// them. Revisions and leases are numbered again from those of the copy.
func (s *store) rollBack(items map[string]item, rev, leaseID uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.leases {
		l.timer.Stop()
	}
	s.leases, s.items = map[uint64]*storeLease{}, map[string]item{}
	for key, i := range items {
		if i.Lease == 0 {
			s.items[key] = i
		}
	}
	s.rev, s.since, s.events, s.leaseID = rev, rev, nil, leaseID
	s.era++
	s.notify()
}
