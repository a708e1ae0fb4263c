package product

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/policybench/cluster"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/ratelimit"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/routing"
	"github.com/fuchsiastack/fuchsiastack/share"
)

// silenceLimit is the time without a load report until a backend server gets
// nothing new, as in the daemon.
const silenceLimit = 3 * time.Second

// node is the state of one instance.
type node struct {
	policy    *Policy
	instance  *cluster.Instance
	neighbors []*cluster.Instance // other instances of the region
	registry  *backend.Registry
	router    *routing.Router
	ejector   *routing.Ejector
	summaries *routing.SummaryTable
	retries   *retry.Policy
	table     *quarantine.Table
	slots     *share.Table
	limits    *share.Table
	limiter   *ratelimit.Limiter
	queues    map[string]*queue // by service
	turn      int               // of the instances of other regions
}

func newNode(p *Policy, in *cluster.Instance, random *rand.Rand) *node {
	n := &node{
		policy: p, instance: in, registry: backend.NewRegistry(), summaries: &routing.SummaryTable{},
		retries: &retry.Policy{Budget: &retry.Budget{}, Random: random},
		table:   &quarantine.Table{Instance: in.ID},
		queues:  make(map[string]*queue),
	}
	n.ejector = &routing.Ejector{Registry: n.registry, Random: random}
	n.list()
	n.join()
	n.limiter = ratelimit.New(n.limits, random.Uint64())
	n.router = n.newRouter(random)
	for _, service := range n.services() {
		config := admission.ConfigOf(service, admission.DefaultBounds())
		n.queues[service.Name] = &queue{node: n, service: service, scheduler: admission.NewScheduler(config, random)}
	}
	return n
}

func (n *node) newRouter(random *rand.Rand) *routing.Router {
	part := func() float64 { return 1 / float64(1+len(n.neighbors)) }
	link := &routing.LinkBudget{Share: part}
	return &routing.Router{
		Region:   n.instance.Region,
		Registry: n.registry,
		Regions:  n,
		Filters:  []routing.Filter{routing.AcceptingFilter{}, routing.UntriedFilter{}, quarantine.Filter{Table: n.table}},
		Health:   []routing.Filter{routing.HealthyFilter{}, routing.SilentFilter{Limit: silenceLimit}},
		Scorer:   routing.FirstTokenScorer{Zone: zoneName(n.instance.Zone)},
		Prefix:   routing.NewPrefixIndex(0),
		Spill:    &routing.Spiller{Summaries: n.summaries, Link: link, Share: part},
		Waiting:  n.waiting,
		Now:      n.now,
		Random:   random,
	}
}

// list enters the backend servers of the region into the registry.
func (n *node) list() {
	var infos []backend.Info
	for _, s := range n.policy.cluster.Servers {
		if s.Region == n.instance.Region {
			infos = append(infos, backend.Info{
				ID: s.ID, Addr: s.ID, Region: s.Region, Zone: zoneName(s.Zone),
				Service: s.Service, State: backend.StateLive,
			})
		}
	}
	n.registry.Replace(infos)
	for _, server := range n.registry.All() {
		load := n.policy.servers[server.ID].Engine.Load()
		load.At = n.now()
		server.SetLoad(load)
	}
}

// join makes the tables of parts that the instances of the region exchange.
func (n *node) join() {
	members := []string{n.instance.ID}
	for _, in := range n.policy.cluster.InstancesOf(n.instance.Region) {
		if in != n.instance {
			n.neighbors = append(n.neighbors, in)
			members = append(members, in.ID)
		}
	}
	n.slots, n.limits = n.newShares("slots"), n.newShares("limits")
	n.slots.SetMembers(members)
	n.limits.SetMembers(members)
}

func (n *node) newShares(topic string) *share.Table {
	config := share.DefaultConfig(topic, n.instance.ID)
	config.Clock = n.now
	return share.NewTable(config)
}

func (n *node) services() []*catalog.Service {
	return []*catalog.Service{n.policy.cluster.Setup.Model, n.policy.cluster.Setup.Plain}
}

func (n *node) serverOf(s *cluster.Server) *backend.Server {
	for _, server := range n.registry.Of(s.Service) {
		if server.ID == s.ID {
			return server
		}
	}
	return nil
}

// Reachable implements routing.Regions: the regions with an instance in the
// directory, whether their link is cut or not.
func (n *node) Reachable() []string {
	var regions []string
	for _, r := range n.policy.cluster.Setup.Regions {
		if r.Name != n.instance.Region {
			regions = append(regions, r.Name)
		}
	}
	return regions
}

func zoneName(zone int) string { return string(rune('a' + zone)) }
