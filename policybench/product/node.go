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

// maxReportAge is the age of the last load report beyond which a backend server
// is sent no new requests, unless no healthy server is left. The value is that of
// the daemon.
const maxReportAge = 3 * time.Second

// node is the policy's state of one instance.
type node struct {
	policy          *Policy
	instance        *cluster.Instance
	peers           []*cluster.Instance // other instances of the region
	registry        *backend.Registry
	router          *routing.Router
	ejector         *routing.Ejector
	summaries       *routing.SummaryTable
	retries         *retry.Policy
	quarantineTable *quarantine.Table
	slotShares      *share.Table
	limitShares     *share.Table
	limiter         *ratelimit.Limiter
	queues          map[string]*queue // by service
	rotation        int               // counter of the rotation over the instances of other regions
}

// newNode returns the state of an instance. random is the source of all random
// choices of the instance, so that a run is reproducible.
func newNode(p *Policy, in *cluster.Instance, random *rand.Rand) *node {
	n := &node{
		policy: p, instance: in, registry: backend.NewRegistry(), summaries: &routing.SummaryTable{},
		retries:         &retry.Policy{Budget: &retry.Budget{}, Random: random},
		quarantineTable: &quarantine.Table{Instance: in.ID},
		queues:          make(map[string]*queue),
	}
	n.ejector = &routing.Ejector{Registry: n.registry, Random: random}
	n.registerServers()
	n.initShares()
	n.limiter = ratelimit.New(n.limitShares, random.Uint64())
	n.router = n.newRouter(random)
	for _, service := range n.services() {
		config := admission.ConfigOf(service, admission.DefaultBounds())
		n.queues[service.Name] = &queue{node: n, service: service, scheduler: admission.NewScheduler(config, random)}
	}
	return n
}

func (n *node) newRouter(random *rand.Rand) *routing.Router {
	regionFraction := func() float64 { return 1 / float64(1+len(n.peers)) }
	link := &routing.LinkBudget{Share: regionFraction}
	return &routing.Router{
		Region:   n.instance.Region,
		Registry: n.registry,
		Regions:  n,
		Filters:  []routing.Filter{routing.AcceptingFilter{}, routing.UntriedFilter{}, quarantine.Filter{Table: n.quarantineTable}},
		Health:   []routing.Filter{routing.HealthyFilter{}, routing.StaleReportFilter{MaxAge: maxReportAge}},
		Scorer:   routing.FirstTokenScorer{Zone: zoneName(n.instance.Zone)},
		Prefix:   routing.NewPrefixIndex(0),
		Spill:    &routing.Spiller{Summaries: n.summaries, Link: link, Share: regionFraction},
		Waiting:  n.estimateWaiting,
		Now:      n.now,
		Random:   random,
	}
}

// registerServers adds the backend servers of the region to the registry, with
// their present load.
func (n *node) registerServers() {
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
		load.ReceivedAt = n.now()
		server.SetLoad(load)
	}
}

// initShares sets the peers and creates the share tables that the instances of
// the region exchange.
func (n *node) initShares() {
	members := []string{n.instance.ID}
	for _, in := range n.policy.cluster.InstancesOf(n.instance.Region) {
		if in != n.instance {
			n.peers = append(n.peers, in)
			members = append(members, in.ID)
		}
	}
	n.slotShares, n.limitShares = n.newShares("slots"), n.newShares("limits")
	n.slotShares.SetMembers(members)
	n.limitShares.SetMembers(members)
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
	for _, server := range n.registry.Servers(s.Service) {
		if server.ID == s.ID {
			return server
		}
	}
	return nil
}

// Reachable implements routing.Regions. It returns all other regions, as a
// directory of instances would: the directory does not reflect cut links.
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
