// Package product implements the policy of the gateway for the bench. It uses the
// gateway's decision packages: admission, ratelimit, share, routing, retry and
// quarantine. Each instance has its own state, as in the daemon. Messages between
// instances arrive with a delay and are lost while a link is cut.
package product

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
)

// Policy implements cluster.Policy with the decision packages of the gateway.
type Policy struct {
	seed    uint64
	cluster *cluster.Cluster
	nodes   map[*cluster.Instance]*node
	servers map[string]*cluster.Server // by ID
}

// New returns a policy for one run. The seed determines sampling and jitter.
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
		p.nodes[in].startUpdates(i)
	}
}

// OnArrival implements cluster.Policy.
func (p *Policy) OnArrival(t *cluster.Task) { p.nodes[t.Instance].arrive(t) }

// OnFirstToken implements cluster.Policy.
func (p *Policy) OnFirstToken(t *cluster.Task) { t.PolicyState.(*request).firstToken() }

// OnCallEnd implements cluster.Policy.
func (p *Policy) OnCallEnd(t *cluster.Task, r cluster.Result) { t.PolicyState.(*request).callEnded(r) }

// OnDrop implements cluster.Policy.
func (p *Policy) OnDrop(t *cluster.Task) {
	if r, ok := t.PolicyState.(*request); ok {
		r.dropped()
	}
}

// OnLoadReport implements cluster.Policy.
func (p *Policy) OnLoadReport(in *cluster.Instance, s *cluster.Server, load backend.Load) {
	n := p.nodes[in]
	load.ReceivedAt = n.now()
	if server := n.serverOf(s); server != nil {
		server.SetLoad(load)
	}
}

func (n *node) now() time.Time { return n.policy.cluster.Clock.Now() }
