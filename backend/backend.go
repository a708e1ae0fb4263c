// Package backend keeps what an instance knows of the backend servers of its
// region: where they are, which are leaving, how loaded they are, and how much
// work this instance has in flight on each.
package backend

import (
	"sync"
	"sync/atomic"
	"time"
)

// Info describes a backend server as the platform lists it.
type Info struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"` // host:port
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	State   string `json:"state"`  // StateLive or StateLeaving
	Fenced  bool   `json:"fenced"` // refuses orders with an old fencing number
}

// States of a backend server in the platform's list.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// Load is a backend server's report of its own load.
type Load struct {
	Running int       `json:"running"` // sequences in the batch
	Waiting int       `json:"waiting"` // sequences in its queue
	Slots   int       `json:"slots"`   // sequences that fit the batch
	At      time.Time `json:"-"`       // when the report was received
}

// Server is a backend server. Its methods are safe for concurrent use.
type Server struct {
	Info
	inFlight atomic.Int64
	load     atomic.Pointer[Load]
	leaving  atomic.Bool
}

// InFlight returns the number of requests this instance has on the server.
func (s *Server) InFlight() int { return int(s.inFlight.Load()) }

// Begin counts a request in flight and returns the function that ends it.
func (s *Server) Begin() func() {
	s.inFlight.Add(1)
	return func() { s.inFlight.Add(-1) }
}

// Load returns the last load report, or the zero Load before the first one.
func (s *Server) Load() Load {
	if l := s.load.Load(); l != nil {
		return *l
	}
	return Load{}
}

// SetLoad records a load report.
func (s *Server) SetLoad(l Load) { s.load.Store(&l) }

// SetLeaving records that the server itself refuses new work.
func (s *Server) SetLeaving() { s.leaving.Store(true) }

// Accepts reports whether the server may receive new work.
func (s *Server) Accepts() bool { return s.State == StateLive && !s.leaving.Load() }

// shardCount is the number of shards of a Registry.
const shardCount = 16

// Registry holds the backend servers of a region by service, in shards each
// under its own lock.
type Registry struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.RWMutex
	services map[string][]*Server // slices are replaced, never modified
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{}
	for i := range r.shards {
		r.shards[i].services = make(map[string][]*Server)
	}
	return r
}

func (r *Registry) shardOf(service string) *shard {
	var h uint32 = 2166136261
	for i := range len(service) {
		h = (h ^ uint32(service[i])) * 16777619
	}
	return &r.shards[h%shardCount]
}

// Of returns the servers of a service. The slice must not be modified.
func (r *Registry) Of(service string) []*Server {
	s := r.shardOf(service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.services[service]
}

// All returns every server.
func (r *Registry) All() []*Server {
	var all []*Server
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for _, servers := range s.services {
			all = append(all, servers...)
		}
		s.mu.RUnlock()
	}
	return all
}

// Replace puts a new list in force. A server that stays keeps its load report
// and its work in flight.
func (r *Registry) Replace(list []Info) {
	known := make(map[string]*Server)
	for _, s := range r.All() {
		known[s.ID] = s
	}
	next := make(map[string][]*Server)
	for _, info := range list {
		next[info.Service] = append(next[info.Service], updated(known[info.ID], info))
	}
	for i := range r.shards {
		r.shards[i].replace(r, next)
	}
}

// updated returns the server for info. A server whose description changed is
// a new value that shares nothing but the counters copied from old.
func updated(old *Server, info Info) *Server {
	if old != nil && old.Info == info {
		return old
	}
	s := &Server{Info: info}
	if old != nil && old.Addr == info.Addr {
		s.load.Store(old.load.Load())
		s.leaving.Store(old.leaving.Load())
	}
	return s
}

func (s *shard) replace(r *Registry, next map[string][]*Server) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for service := range s.services {
		if _, ok := next[service]; !ok {
			delete(s.services, service)
		}
	}
	for service, servers := range next {
		if r.shardOf(service) == s {
			s.services[service] = servers
		}
	}
}
