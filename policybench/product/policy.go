// Package product is the policy of the bench that uses the decision packages of
// the gateway: admission, ratelimit, share, routing, retry and quarantine. Each
// instance has its own state, as the daemon has; what instances tell each other
// arrives late and is lost while a link is cut.
package product

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
)

// Policy implements cluster.Policy.
type Policy struct {
	seed    uint64
	cluster *cluster.Cluster
	nodes   map[*cluster.Instance]*node
	servers map[string]*cluster.Server // by id
}

// New returns the policy of the product. The seed is for sampling and jitter.
func New(seed uint64) *Policy {
	return &Policy{
		seed:    seed,
		nodes:   make(map[*cluster.Instance]*node),
		servers: make(map[string]*cluster.Server),
	}
}

// Start implements cluster.Policy.
func (p *Policy) Start(c *cluster.Cluster) {
	p.cluster = c
	for _, s := range c.Servers {
		p.servers[s.ID] = s
	}
	for i, in := range c.Instances {
		p.nodes[in] = newNode(p, in, rand.New(rand.NewPCG(p.seed, uint64(i))))
	}
	for i, in := range c.Instances {
		p.nodes[in].run(i)
	}
}

// Arrive implements cluster.Policy.
func (p *Policy) Arrive(t *cluster.Task) { p.nodes[t.Instance].arrive(t) }

// FirstToken implements cluster.Policy.
func (p *Policy) FirstToken(t *cluster.Task) { t.Data.(*request).firstToken() }

// Ended implements cluster.Policy.
func (p *Policy) Ended(t *cluster.Task, r cluster.Result) { t.Data.(*request).ended(r) }

// Dropped implements cluster.Policy.
func (p *Policy) Dropped(t *cluster.Task) {
	if r, ok := t.Data.(*request); ok {
		r.abandon()
	}
}

// Load implements cluster.Policy.
func (p *Policy) Load(in *cluster.Instance, s *cluster.Server, load backend.Load) {
	n := p.nodes[in]
	load.At = n.now()
	if server := n.serverOf(s); server != nil {
		server.SetLoad(load)
	}
}

func (n *node) now() time.Time { return n.policy.cluster.Clock.Now() }
