// Package kv is a stand-in for the platform's key-value service. It speaks
// the HTTP API of Consul that package consul uses, counts its calls, and
// fails on order: outages, slow answers, and answers lost after the write
// took effect. It is for tests and local development.
package kv

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/google/uuid"
)

// Faults are the failures in force.
type Faults struct {
	Down       bool          `json:"down"`        // refuse every call
	Delay      time.Duration `json:"delay"`       // added before each call, ns in JSON
	LoseWrites int           `json:"lose_writes"` // number of coming writes whose answer is lost
}

// Counters count calls since the start. A waiting watch counts as a read.
type Counters struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

type entry struct {
	value   []byte
	version uint64
	session string
}

type session struct {
	ttl   time.Duration
	timer *time.Timer
}

// Server is the stand-in. It serves HTTP.
type Server struct {
	mux      *http.ServeMux
	mu       sync.Mutex
	entries  map[string]entry
	sessions map[string]*session
	index    uint64
	changed  chan struct{} // closed and replaced at each write
	faults   Faults
	counters Counters
}

// New returns an empty service.
func New() *Server {
	s := &Server{
		mux:      http.NewServeMux(),
		entries:  make(map[string]entry),
		sessions: make(map[string]*session),
		index:    1,
		changed:  make(chan struct{}),
	}
	s.mux.HandleFunc("GET /v1/kv/{key...}", s.read)
	s.mux.HandleFunc("PUT /v1/kv/{key...}", s.put)
	s.mux.HandleFunc("PUT /v1/txn", s.txn)
	s.mux.HandleFunc("PUT /v1/session/create", s.createSession)
	s.mux.HandleFunc("PUT /v1/session/renew/{id}", s.renewSession)
	s.mux.HandleFunc("PUT /v1/session/destroy/{id}", s.destroySession)
	s.mux.HandleFunc("PUT /standin/faults", s.setFaults)
	s.mux.HandleFunc("GET /standin/counters", s.readCounters)
	return s
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasPrefix(r.URL.Path, "/standin/") {
		s.mux.ServeHTTP(w, r)
		return
	}
	faults := s.count(r.Method)
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	if r.Method != http.MethodGet && faults.LoseWrites > 0 {
		s.mux.ServeHTTP(discard{}, r)
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the failures in force.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wake()
}

// Counters returns the calls counted so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// count counts a call and returns the faults that apply to it.
func (s *Server) count(method string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if method == http.MethodGet {
		s.counters.Reads++
		return faults
	}
	s.counters.Writes++
	if s.faults.LoseWrites > 0 {
		s.faults.LoseWrites--
	}
	return faults
}

// discard is a response writer whose answer is lost.
type discard struct{}

// Header implements http.ResponseWriter.
func (discard) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discard) WriteHeader(int) {}

type wirePair struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string `json:",omitempty"`
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	key := r.PathValue("key")
	query := r.URL.Query()
	recurse := query.Has("recurse")
	if after, err := strconv.ParseUint(query.Get("index"), 10, 64); err == nil {
		wait, err := time.ParseDuration(query.Get("wait"))
		if err != nil {
			wait = 5 * time.Minute
		}
		s.await(r, key, recurse, after, wait)
	}
	s.mu.Lock()
	pairs, _ := s.match(key, recurse)
	index := s.index
	s.mu.Unlock()
	w.Header().Set("X-Consul-Index", strconv.FormatUint(index, 10))
	if len(pairs) == 0 {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(pairs)
}

// await blocks until a matching entry is newer than index after, or until
// wait has passed. A deletion wakes every watch.
func (s *Server) await(r *http.Request, key string, recurse bool, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	before, _ := s.match(key, recurse)
	s.mu.Unlock()
	for {
		s.mu.Lock()
		pairs, newest := s.match(key, recurse)
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler) // an outage ends waiting watches too
		}
		if newest > after || len(pairs) < len(before) {
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// match returns the entries below key and their highest version.
func (s *Server) match(key string, recurse bool) ([]wirePair, uint64) {
	var pairs []wirePair
	var newest uint64
	for k, e := range s.entries {
		if k == key || recurse && strings.HasPrefix(k, key) {
			pairs = append(pairs, wirePair{Key: k, Value: e.value, ModifyIndex: e.version, Session: e.session})
			newest = max(newest, e.version)
		}
	}
	sort.Slice(pairs, func(i, j int) bool { return pairs[i].Key < pairs[j].Key })
	return pairs, newest
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	key := r.PathValue("key")
	query := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.entries[key]
	id := query.Get("acquire")
	switch {
	case id != "" && (s.sessions[id] == nil || old.session != "" && old.session != id):
		_, _ = io.WriteString(w, "false")
		return
	case query.Has("cas") && query.Get("cas") != strconv.FormatUint(old.version, 10):
		_, _ = io.WriteString(w, "false")
		return
	}
	s.set(key, value, id)
	_, _ = io.WriteString(w, "true")
}

// set writes an entry. The caller holds the lock.
func (s *Server) set(key string, value []byte, sessionID string) {
	s.index++
	s.entries[key] = entry{value: value, version: s.index, session: sessionID}
	s.wake()
}

// remove deletes an entry. The caller holds the lock.
func (s *Server) remove(key string) {
	s.index++
	delete(s.entries, key)
	s.wake()
}

func (s *Server) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Server) readCounters(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Counters())
}

func newSessionID() string { return uuid.NewString() }
