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
	ejectionInterval = time.Second     // between two checks for slow backend servers
	maxLoadReportAge = 3 * time.Second // a backend server with an older load report gets no new requests
	bitsPerMegabit   = 1e6
	bitsPerByte      = 8
)

// routingState holds the components that decide where requests are sent.
type routingState struct {
	router     *routing.Router
	ejector    *routing.Ejector
	summaries  *routing.SummaryTable
	link       *routing.LinkBudget
	quarantine *quarantine.Table
	digestKey  quarantine.Key
	retry      *retry.Policy
}

func (d *Daemon) newRoutingState() *routingState {
	s := d.settings
	share := func() float64 { return d.peers.equalShare(s.Region) }
	table := &quarantine.Table{Instance: s.Instance, PropagationDelay: s.QuarantinePropagationDelay}
	r := &routingState{
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
		Filters:  []routing.Filter{routing.AcceptingFilter{}, routing.PauseFilter{}, routing.StaleReportFilter{MaxAge: maxLoadReportAge}, routing.UntriedFilter{}, quarantine.Filter{Table: table}},
		Health:   []routing.Filter{routing.HealthyFilter{}},
		Scorer:   routing.FirstTokenScorer{Zone: s.Zone},
		Prefix:   routing.NewPrefixIndex(0),
		Waiting:  d.estimateRegionWaiting,
		Spill:    &routing.Spiller{Summaries: r.summaries, Link: r.link, LinkRate: r.link.BytesPerSecond, LinkLatency: s.LinkLatency, Share: share},
	}
	return r
}

// digestKey returns the digest key of the deployment. If none is set it returns a
// random key. Other instances cannot match digests under that key, so the
// quarantine then applies to this instance only.
func (d *Daemon) digestKey() quarantine.Key {
	if d.settings.DigestKey != "" {
		return quarantine.Key(d.settings.DigestKey)
	}
	d.log.Warn().Str("event", "no_digest_key").Msg("digest key is not set: the quarantine applies to this instance only; set --digest-key")
	return quarantine.Key(rand.Text())
}

func (d *Daemon) newDispatcher(observer dispatch.Observer) *dispatch.Dispatcher {
	return &dispatch.Dispatcher{
		Instance:   d.settings.Instance,
		Region:     d.settings.Region,
		Router:     d.routingState.router,
		Peers:      d.peers,
		Transport:  d.newTransport(),
		PeerScheme: d.peering.scheme(),
		Observer:   observer,
		Retry:      d.routingState.retry,
		Ejector:    d.routingState.ejector,
		Quarantine: d.routingState.quarantine,
		DigestKey:  d.routingState.digestKey,
		Link:       d.routingState.link,
		OwnerURL:   d.ownerURL,
		Memory:     d.admission.guard,

		MaxResponseBytes: d.settings.MaxResponseBytes,
	}
}

// canSpill reports whether another region may serve a request that gets no slot
// in this region in time.
func (d *Daemon) canSpill(x *filters.Exchange) bool {
	return d.routingState.router.CanSpill(dispatch.RoutingRequest(x))
}

// ownerURL returns the caller URL of the owner of a suspect, or "" if it is not
// known. The owner is an instance id, or "@" followed by a region, for which an
// instance of that region is returned.
func (d *Daemon) ownerURL(owner string) string {
	if region, ok := strings.CutPrefix(owner, quarantine.RegionOwnerPrefix); ok {
		return d.peers.URL(region)
	}
	for _, p := range d.peers.all() {
		if p.ID == owner {
			return p.URL
		}
	}
	return ""
}

// ejectSlowServers ejects slow backend servers of all services and reports each
// ejection to the observer.
func (d *Daemon) ejectSlowServers(context.Context) {
	for _, service := range d.registry.Services() {
		for _, ejection := range d.routingState.ejector.Evaluate(time.Now(), service) {
			d.observer.EjectionChanged(ejection)
		}
	}
}

// equalShare returns this instance's share, 0..1, of a resource that is divided
// equally among the instances of its region.
func (t *peerTable) equalShare(region string) float64 {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return 1 / float64(1+len(t.byRegion[region]))
}
