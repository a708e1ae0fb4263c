// Package kv is a stand-in for the platform's key-value service. It implements
// the part of Consul's HTTP API that package consul uses, counts calls, and
// injects faults: outages, delays, and lost responses to writes that took
// effect. It is for tests and local development.
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

// Faults are the faults that the service injects.
type Faults struct {
	Down               bool          `json:"down"`        // abort every call, also waiting watches
	Delay              time.Duration `json:"delay"`       // added before each call, in nanoseconds in JSON
	LoseWriteResponses int           `json:"lose_writes"` // number of next writes that take effect but whose response is lost
}

// Counters are the numbers of calls since the start. A watch counts as one read,
// from when it starts to wait.
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

// Server is an http.Handler that implements the key-value service.
type Server struct {
	mux      *http.ServeMux
	mu       sync.Mutex
	entries  map[string]entry
	sessions map[string]*session
	index    uint64        // incremented by each write and deletion
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
	faults := s.countCall(r.Method)
	if faults.Delay > 0 {
		time.Sleep(faults.Delay)
	}
	if faults.Down {
		panic(http.ErrAbortHandler)
	}
	if r.Method != http.MethodGet && faults.LoseWriteResponses > 0 {
		s.mux.ServeHTTP(discardResponse{}, r)
		panic(http.ErrAbortHandler)
	}
	s.mux.ServeHTTP(w, r)
}

// SetFaults replaces the injected faults. An outage also ends waiting watches.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.notifyWatches()
}

// Counters returns the numbers of calls so far.
func (s *Server) Counters() Counters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// countCall updates the counters for a call and returns the faults that apply to
// it.
func (s *Server) countCall(method string) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	if method == http.MethodGet {
		s.counters.Reads++
		return faults
	}
	s.counters.Writes++
	if s.faults.LoseWriteResponses > 0 {
		s.faults.LoseWriteResponses--
	}
	return faults
}

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{}

// Header implements http.ResponseWriter.
func (discardResponse) Header() http.Header { return http.Header{} }

// Write implements http.ResponseWriter.
func (discardResponse) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader implements http.ResponseWriter.
func (discardResponse) WriteHeader(int) {}

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
		s.waitForChange(r, key, recurse, after, wait)
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

// waitForChange blocks until a matching entry has a version above after, until a
// matching entry is deleted, or until wait has passed. In an outage it aborts the
// call.
func (s *Server) waitForChange(r *http.Request, key string, recurse bool, after uint64, wait time.Duration) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	s.mu.Lock()
	initial, _ := s.match(key, recurse)
	s.mu.Unlock()
	for {
		s.mu.Lock()
		pairs, maxVersion := s.match(key, recurse)
		changed, down := s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			panic(http.ErrAbortHandler) // an outage also ends waiting watches
		}
		if maxVersion > after || len(pairs) < len(initial) {
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

// match returns the entry of key, or with recurse all entries whose keys begin
// with key, sorted, and their highest version. The caller must hold s.mu.
func (s *Server) match(key string, recurse bool) ([]wirePair, uint64) {
	var pairs []wirePair
	var maxVersion uint64
	for k, e := range s.entries {
		if k == key || recurse && strings.HasPrefix(k, key) {
			pairs = append(pairs, wirePair{Key: k, Value: e.value, ModifyIndex: e.version, Session: e.session})
			maxVersion = max(maxVersion, e.version)
		}
	}
	sort.Slice(pairs, func(i, j int) bool { return pairs[i].Key < pairs[j].Key })
	return pairs, maxVersion
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
	sessionID := query.Get("acquire")
	switch {
	case sessionID != "" && (s.sessions[sessionID] == nil || old.session != "" && old.session != sessionID):
		_, _ = io.WriteString(w, "false")
		return
	case query.Has("cas") && query.Get("cas") != strconv.FormatUint(old.version, 10):
		_, _ = io.WriteString(w, "false")
		return
	}
	s.set(key, value, sessionID)
	_, _ = io.WriteString(w, "true")
}

// set writes an entry. The caller must hold s.mu.
func (s *Server) set(key string, value []byte, sessionID string) {
	s.index++
	s.entries[key] = entry{value: value, version: s.index, session: sessionID}
	s.notifyWatches()
}

// remove deletes an entry. The caller must hold s.mu.
func (s *Server) remove(key string) {
	s.index++
	delete(s.entries, key)
	s.notifyWatches()
}

func (s *Server) notifyWatches() {
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
