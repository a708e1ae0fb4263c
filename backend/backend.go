// Package backend keeps what an instance knows of the backend servers of its
// region: where they are, which are leaving, how loaded they are, and how much
// work this instance has in flight on each.
package backend

import (
	"cmp"
	"slices"
	"sync"
)

// shardCount is the number of shards of a Registry.
const shardCount = 16

// Registry holds the backend servers of a region by service, in shards each
// under its own lock.
type Registry struct {
	shards [shardCount]shard
}

type shard struct {
	mu       sync.RWMutex
	services map[string]*Group // groups are replaced, never modified
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	r := &Registry{}
	for i := range r.shards {
		r.shards[i].services = make(map[string]*Group)
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

// Group is the servers of a service at one time. It must not be modified.
type Group struct {
	Servers []*Server
	byKey   map[uint64]*Server
	ring    []ringPoint
}

// ringPoint is one point of a consistent hash ring.
type ringPoint struct {
	hash   uint64
	server *Server
}

// ringPoints is the number of points of a server on the ring.
const ringPoints = 4

// noServers is the group of a service without servers.
var noServers = &Group{}

func newGroup(servers []*Server) *Group {
	g := &Group{Servers: servers, byKey: make(map[uint64]*Server, len(servers))}
	for _, s := range servers {
		g.byKey[s.Key] = s
		for i := range uint64(ringPoints) {
			g.ring = append(g.ring, ringPoint{mix(s.Key + i), s})
		}
	}
	slices.SortFunc(g.ring, func(a, b ringPoint) int { return cmp.Compare(a.hash, b.hash) })
	return g
}

// mix spreads the bits of a number.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

// Ring returns the server at a hash's place on the consistent hash ring, and
// the next one after it that differs, or nil. All instances agree on them as
// far as their lists do.
func (g *Group) Ring(hash uint64) (first, second *Server) {
	if len(g.ring) == 0 {
		return nil, nil
	}
	at, _ := slices.BinarySearchFunc(g.ring, mix(hash), func(p ringPoint, h uint64) int { return cmp.Compare(p.hash, h) })
	first = g.ring[at%len(g.ring)].server
	for i := 1; i <= ringPoints; i++ {
		if second = g.ring[(at+i)%len(g.ring)].server; second != first {
			return first, second
		}
	}
	return first, nil
}

// ByKey returns the server with the given key, or nil.
func (g *Group) ByKey(key uint64) *Server { return g.byKey[key] }

// Group returns the servers of a service; it is never nil.
func (r *Registry) Group(service string) *Group {
	s := r.shardOf(service)
	s.mu.RLock()
	defer s.mu.RUnlock()
	if g := s.services[service]; g != nil {
		return g
	}
	return noServers
}

// Of returns the servers of a service. The slice must not be modified.
func (r *Registry) Of(service string) []*Server { return r.Group(service).Servers }

// Services returns the names of the services that have servers.
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

// All returns every server.
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
// a new value that shares its state with old, unless it is another process.
func updated(old *Server, info Info) *Server {
	if old != nil && old.Info == info {
		return old
	}
	s := NewServer(info)
	if old != nil && old.Addr == info.Addr && old.Started == info.Started {
		s.state = old.state
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
			s.services[service] = newGroup(servers)
		}
	}
}
