// Package backend tracks the state of the backend servers of an instance's
// region: their addresses, which of them are draining, their load, health and
// latency, and the requests that this instance has in flight on each.
package backend

import (
	"cmp"
	"slices"
	"sync"
)

// shardCount is the number of shards of a Registry.
const shardCount = 16

// Registry holds the backend servers of a region by service, in shards with a
// lock each. It is safe for concurrent use.
type Registry struct {
	shards   [shardCount]shard
	departed departedServers
	// LearnConcurrency selects that the concurrency which servers handle well is learned.
	// It must be set before the first Replace.
	LearnConcurrency bool

	mu        sync.Mutex
	estimates map[string]*serviceEstimates // by service
}

type shard struct {
	mu       sync.RWMutex
	services map[string]*Group // groups are replaced, never modified
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{estimates: make(map[string]*serviceEstimates)}
	for i := range r.shards {
		r.shards[i].services = make(map[string]*Group)
	}
	return r
}

// shardOf selects the shard of a service by the FNV-1a hash of its name.
func (r *Registry) shardOf(service string) *shard {
	var h uint32 = 2166136261
	for i := range len(service) {
		h = (h ^ uint32(service[i])) * 16777619
	}
	return &r.shards[h%shardCount]
}

// Group is a snapshot of the servers of a service. It must not be modified.
type Group struct {
	Servers []*Server
	byKey   map[uint64]*Server
	ring    []ringPoint
}

// ringPoint is one point of a server on the consistent hash ring.
type ringPoint struct {
	hash   uint64
	server *Server
}

// pointsPerServer is the number of points of each server on the hash ring.
const pointsPerServer = 4

// emptyGroup is returned for services without servers.
var emptyGroup = &Group{}

func newGroup(servers []*Server) *Group {
	g := &Group{Servers: servers, byKey: make(map[uint64]*Server, len(servers))}
	for _, s := range servers {
		g.byKey[s.Key] = s
		for i := range uint64(pointsPerServer) {
			g.ring = append(g.ring, ringPoint{mix(s.Key + i), s})
		}
	}
	slices.SortFunc(g.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return g
}

// mix is the 64-bit finalizer of MurmurHash3.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// LookupRing returns the server that owns hash on the consistent hash ring, and
// the next different server on the ring. Either is nil if there is none.
// Instances with the same list of servers get the same result.
func (g *Group) LookupRing(hash uint64) (first, second *Server) {
	if len(g.ring) == 0 {
		return nil, nil
	}
	position, _ := slices.BinarySearchFunc(g.ring, mix(hash), func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	first = g.ring[position%len(g.ring)].server
	for i := 1; i <= pointsPerServer; i++ {
		if second = g.ring[(position+i)%len(g.ring)].server; second != first {
			return first, second
		}
	}
	return first, nil
}

// ByKey returns the server with the given key, or nil.
func (g *Group) ByKey(key uint64) *Server { return g.byKey[key] }

// Group returns the current group of a service. It is never nil.
func (r *Registry) Group(service string) *Group {
	s := r.shardOf(service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if g := s.services[service]; g != nil {
		return g
	}
	return emptyGroup
}

// Servers returns the servers of a service. The slice must not be modified.
func (r *Registry) Servers(service string) []*Server { return r.Group(service).Servers }

// Services returns the names of the services that have servers, in no
// particular order.
func (r *Registry) Services() []string {
	var names []string
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for name := range s.services {
			names = append(names, name)
		}
		s.mu.RUnlock()
	}
	return names
}

// All returns the servers of all services, in no particular order.
func (r *Registry) All() []*Server {
	var all []*Server
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.RLock()
		for _, group := range s.services {
			all = append(all, group.Servers...)
		}
		s.mu.RUnlock()
	}
	return all
}

// Replace replaces the list of servers. A server that is in both lists keeps its
// state, such as its load report and requests in flight, unless its process has
// been replaced. So does a server that has withdrawn from new requests and whose
// entry, lost for a time, is listed again.
func (r *Registry) Replace(list []Info) { r.ReplacePrepared(list, func(*Server) {}) }

// ReplacePrepared is like Replace. It calls prepare for each server before requests can be
// routed to it.
func (r *Registry) ReplacePrepared(list []Info, prepare func(*Server)) {
	known := make(map[string]*Server)
	for _, s := range r.All() {
		known[s.ID] = s
	}
	next := make(map[string][]*Server)
	for _, info := range list {
		old := known[info.ID]
		if old == nil {
			old = r.departed.take(info.ID)
		}
		server := r.updatedServer(old, info)
		prepare(server)
		next[info.Service] = append(next[info.Service], server)
	}
	r.dropEstimates(next)
	for _, info := range list {
		delete(known, info.ID)
	}
	r.departed.add(known)
	for i := range r.shards {
		r.shards[i].replace(r, next)
	}
}

// updatedServer returns the server for info. If the description has changed, it
// returns a new value, which shares the state of old unless the address or start
// time shows that it is another process.
func (r *Registry) updatedServer(old *Server, info Info) *Server {
	estimates := r.estimatesOf(info.Service)
	if old != nil && old.Info == info && old.service == estimates {
		return old
	}
	s := NewServer(info)
	s.service = estimates
	if old != nil && old.Addr == info.Addr && old.Started == info.Started {
		s.state = old.state
	} else if r.LearnConcurrency {
		s.concurrency = &concurrency{}
	}
	return s
}

// serviceEstimates are estimates over all servers of a service, from the samples of this
// instance.
type serviceEstimates struct {
	prefillRate rateEstimate
	interval    intervalEstimate
	length      lengthEstimate
}

func (r *Registry) estimatesOf(service string) *serviceEstimates {
	r.mu.Lock()
	defer r.mu.Unlock()
	estimates := r.estimates[service]
	if estimates == nil {
		estimates = &serviceEstimates{}
		r.estimates[service] = estimates
	}
	return estimates
}

// dropEstimates deletes the estimates of services without servers.
func (r *Registry) dropEstimates(servers map[string][]*Server) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for service := range r.estimates {
		if len(servers[service]) == 0 {
			delete(r.estimates, service)
		}
	}
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
			s.services[service] = newGroup(servers)
		}
	}
}
