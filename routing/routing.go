// Package routing decides which backend server runs a request, or which other
// region it is sent to. A decision filters the candidates, scores the rest and
// picks one. The package does no I/O.
package routing

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Request is what a decision needs to know of a request.
type Request struct {
	ID           string
	Service      *catalog.Service
	Work         catalog.Work
	Caller       string
	Deadline     time.Time
	PromptTokens int             // estimate
	Prefix       []uint64        // digests of the prompt's leading blocks, longest last
	Forwarded    bool            // arrived from another region; must be decided here
	Tried        map[string]bool // ids of backend servers that attempts have used
}

// Reason says why a decision came out as it did.
type Reason string

// The reasons of decisions.
const (
	ReasonLeastCost   Reason = "least_cost"
	ReasonNoServer    Reason = "no_backend_server"
	ReasonNotHere     Reason = "region_not_permitted"
	ReasonOtherRegion Reason = "other_region"
)

// Decision is the result of routing. Exactly one of Server and Region is set,
// or none if the request cannot be served.
type Decision struct {
	Server     *backend.Server
	Region     string // another region to forward to
	Reason     Reason
	Candidates int           // servers considered
	Cost       time.Duration // expected time to first token at Server
}

// Filter removes servers that must not be used.
type Filter interface {
	// Keep reports whether the server may run the request.
	Keep(req *Request, server *backend.Server) bool
}

// Scorer estimates what running a request on a server costs.
type Scorer interface {
	// Score returns the expected time to first token.
	Score(req *Request, server *backend.Server) time.Duration
}

// Regions tells which other regions could serve a request.
type Regions interface {
	// Reachable returns the regions with a live instance, other than this one.
	Reachable() []string
}

// Router decides for one region.
type Router struct {
	Region   string
	Registry *backend.Registry
	Regions  Regions
	Filters  []Filter
	Scorer   Scorer
}

// Decide routes one request.
func (r *Router) Decide(req *Request) Decision {
	if !req.Service.Permits(req.Work, r.Region) {
		return r.elsewhere(req, ReasonNotHere)
	}
	d := r.local(req)
	if d.Server != nil || req.Forwarded {
		return d
	}
	return r.elsewhere(req, d.Reason)
}

func (r *Router) local(req *Request) Decision {
	d := Decision{Reason: ReasonNoServer}
	for _, server := range r.Registry.Of(req.Service.Name) {
		if !r.keep(req, server) {
			continue
		}
		d.Candidates++
		cost := r.Scorer.Score(req, server)
		if d.Server == nil || cost < d.Cost {
			d.Server, d.Cost, d.Reason = server, cost, ReasonLeastCost
		}
	}
	return d
}

func (r *Router) keep(req *Request, server *backend.Server) bool {
	for _, f := range r.Filters {
		if !f.Keep(req, server) {
			return false
		}
	}
	return true
}

// elsewhere picks another region. Work with a home never leaves it.
func (r *Router) elsewhere(req *Request, why Reason) Decision {
	if req.Forwarded || req.Work.Home != "" {
		return Decision{Reason: why}
	}
	for _, region := range r.Regions.Reachable() {
		if region != r.Region && req.Service.Permits(req.Work, region) {
			return Decision{Region: region, Reason: ReasonOtherRegion}
		}
	}
	return Decision{Reason: why}
}
