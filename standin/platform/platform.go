// Package platform is a stand-in for the platform's list of backend servers,
// which is published with a delay, and for its directory of entry instances. It
// is for tests and local development.
package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Server is an entry in the list of backend servers.
type Server struct {
	ID      string `json:"id"`
	Addr    string `json:"addr"` // host:port
	Region  string `json:"region"`
	Zone    string `json:"zone"`
	Service string `json:"service"`
	State   string `json:"state"`  // "live" or "leaving"
	Fenced  bool   `json:"fenced"` // rejects orders with an outdated fencing number
}

// Instance is an entry in the directory.
type Instance struct {
	ID          string    `json:"id"`
	URL         string    `json:"url"`          // base URL for callers
	PeerAddr    string    `json:"peer_addr"`    // host:port for requests forwarded by other instances
	ControlAddr string    `json:"control_addr"` // host:port for control messages
	Region      string    `json:"region"`
	Zone        string    `json:"zone"`
	Expires     time.Time `json:"expires"`
}

// Platform serves the list and the directory over HTTP.
type Platform struct {
	mux         *http.ServeMux
	lag         time.Duration
	now         func() time.Time
	mu          sync.Mutex
	servers     map[string]Server
	published   []Server // copy of servers at publishedAt, sorted by id
	publishedAt time.Time
	instances   map[string]Instance
}

// New returns an empty platform. A request for the list of backend servers gets
// a copy that is up to lag old.
func New(lag time.Duration) *Platform {
	p := &Platform{
		mux:       http.NewServeMux(),
		lag:       lag,
		now:       time.Now,
		servers:   make(map[string]Server),
		instances: make(map[string]Instance),
	}
	p.mux.HandleFunc("GET /v1/servers", p.listServers)
	p.mux.HandleFunc("PUT /v1/servers/{id}", p.putServer)
	p.mux.HandleFunc("DELETE /v1/servers/{id}", p.deleteServer)
	p.mux.HandleFunc("GET /v1/directory", p.listInstances)
	p.mux.HandleFunc("PUT /v1/directory/{id}", p.putInstance)
	p.mux.HandleFunc("DELETE /v1/directory/{id}", p.deleteInstance)
	return p
}

// ServeHTTP implements http.Handler.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) { p.mux.ServeHTTP(w, r) }

// Put adds a backend server, or replaces the one with the same id.
func (p *Platform) Put(s Server) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers[s.ID] = s
}

func (p *Platform) listServers(w http.ResponseWriter, r *http.Request) {
	region := r.URL.Query().Get("region")
	p.mu.Lock()
	p.refresh()
	servers := make([]Server, 0, len(p.published))
	for _, s := range p.published {
		if region == "" || s.Region == region {
			servers = append(servers, s)
		}
	}
	p.mu.Unlock()
	body, err := json.Marshal(map[string]any{"servers": servers})
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	etag := fmt.Sprintf(`"%016x"`, xxhash.Sum64(body))
	w.Header().Set("ETag", etag)
	if r.Header.Get("If-None-Match") == etag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	_, _ = w.Write(body)
}

// refresh publishes the current list of servers if the published one is at least
// lag old. The caller must hold p.mu.
func (p *Platform) refresh() {
	if now := p.now(); now.Sub(p.publishedAt) < p.lag {
		return
	}
	p.publishedAt = p.now()
	p.published = p.published[:0]
	for _, s := range p.servers {
		p.published = append(p.published, s)
	}
	sort.Slice(p.published, func(i, j int) bool { return p.published[i].ID < p.published[j].ID })
}

func (p *Platform) putServer(w http.ResponseWriter, r *http.Request) {
	var s Server
	if err := json.NewDecoder(r.Body).Decode(&s); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.ID = r.PathValue("id")
	p.Put(s)
}

func (p *Platform) deleteServer(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.servers, r.PathValue("id"))
}

func (p *Platform) listInstances(w http.ResponseWriter, r *http.Request) {
	region := r.URL.Query().Get("region")
	now := p.now()
	p.mu.Lock()
	instances := make([]Instance, 0, len(p.instances))
	for id, instance := range p.instances {
		if now.After(instance.Expires) {
			delete(p.instances, id)
			continue
		}
		if region == "" || instance.Region == region {
			instances = append(instances, instance)
		}
	}
	p.mu.Unlock()
	sort.Slice(instances, func(i, j int) bool { return instances[i].ID < instances[j].ID })
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": instances})
}

func (p *Platform) putInstance(w http.ResponseWriter, r *http.Request) {
	var request struct {
		Instance
		TTLSeconds float64 `json:"ttl_seconds"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	instance := request.Instance
	instance.ID = r.PathValue("id")
	instance.Expires = p.now().Add(time.Duration(request.TTLSeconds * float64(time.Second)))
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances[instance.ID] = instance
}

func (p *Platform) deleteInstance(_ http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.instances, r.PathValue("id"))
}
