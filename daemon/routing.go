package daemon

import (
	"context"
	"crypto/rand"
	"strings"
	"time"

	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

const (
	evaluateInterval = time.Second     // between looks for slow backend servers
	silenceLimit     = 3 * time.Second // without a load report until a backend server gets nothing new
	bitsPerMegabit   = 1e6
	bitsPerByte      = 8
)

// routes are the parts that decide where requests go.
type routes struct {
	router     *routing.Router
	ejector    *routing.Ejector
	summaries  *routing.SummaryTable
	link       *routing.LinkBudget
	quarantine *quarantine.Table
	digestKey  quarantine.Key
	retry      *retry.Policy
}

func (d *Daemon) newRoutes() *routes {
	s := d.settings
	share := func() float64 { return d.peers.share(s.Region) }
	table := &quarantine.Table{Instance: s.Instance, Spread: s.QuarantineSpread}
	r := &routes{
		ejector:    &routing.Ejector{Registry: d.registry},
		summaries:  &routing.SummaryTable{},
		link:       &routing.LinkBudget{BytesPerSecond: s.LinkMegabits * bitsPerMegabit / bitsPerByte, Share: share},
		quarantine: table,
		digestKey:  d.digestKey(),
		retry:      &retry.Policy{Budget: &retry.Budget{}},
	}
	r.router = &routing.Router{
		Region:   s.Region,
		Registry: d.registry,
		Regions:  d.peers,
		Filters:  []routing.Filter{routing.AcceptingFilter{}, routing.SilentFilter{Limit: silenceLimit}, routing.UntriedFilter{}, quarantine.Filter{Table: table}},
		Health:   []routing.Filter{routing.HealthyFilter{}},
		Scorer:   routing.FirstTokenScorer{Zone: s.Zone},
		Prefix:   routing.NewPrefixIndex(0),
		Waiting:  d.waiting,
		Spill:    &routing.Spiller{Summaries: r.summaries, Link: r.link, LinkRate: r.link.BytesPerSecond, LinkLatency: s.LinkLatency, Share: share},
	}
	return r
}

// digestKey returns the key of the deployment. Without one, digests of this
// instance mean nothing to the others, so that the quarantine holds here only.
func (d *Daemon) digestKey() quarantine.Key {
	if d.settings.DigestKey != "" {
		return quarantine.Key(d.settings.DigestKey)
	}
	d.log.Warn().Str("event", "no_digest_key").Msg("the quarantine holds at this instance only; set --digest-key")
	return quarantine.Key(rand.Text())
}

func (d *Daemon) newDispatcher(observer dispatch.Observer) *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Instance:   d.settings.Instance,
		Region:     d.settings.Region,
		Router:     d.routes.router,
		Peers:      d.peers,
		Transport:  d.newTransport(),
		PeerScheme: d.peering.scheme(),
		Observer:   observer,
		Retry:      d.routes.retry,
		Ejector:    d.routes.ejector,
		Quarantine: d.routes.quarantine,
		DigestKey:  d.routes.digestKey,
		Link:       d.routes.link,
		OwnerURL:   d.ownerURL,
		Memory:     d.admission.guard,

		MaxAnswerBytes: d.settings.MaxAnswer,
	}
}

// couldLeave reports whether another region may serve a request that gets no
// slot here in time.
func (d *Daemon) couldLeave(x *filters.Exchange) bool {
	return d.routes.router.CouldLeave(dispatch.RouteRequest(x))
}

// ownerURL returns the URL for callers of the owner of a suspect: an instance,
// or "@" and a region.
func (d *Daemon) ownerURL(owner string) string {
	if region, ok := strings.CutPrefix(owner, quarantine.RegionMark); ok {
		return d.peers.URL(region)
	}
	for _, p := range d.peers.all() {
		if p.ID == owner {
			return p.URL
		}
	}
	return ""
}

// evaluateServers looks for slow backend servers.
func (d *Daemon) evaluateServers(context.Context) {
	for _, service := range d.registry.Services() {
		for _, ejection := range d.routes.ejector.Evaluate(time.Now(), service) {
			d.observer.Ejected(ejection)
		}
	}
}

// share returns this instance's part of what the instances of its region have
// together.
func (t *peerTable) share(region string) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return 1 / float64(1+len(t.byRegion[region]))
}
