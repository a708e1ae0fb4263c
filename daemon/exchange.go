package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/exchange"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// newCarrier prepares the exchange of states with other instances.
func (d *Daemon) newCarrier() error {
	d.carrier = exchange.NewCarrier(exchange.Config{
		Self:      d.self(),
		View:      d.members.Machine.View,
		Transport: d.peering.client,
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnError: func(topic, origin string, err error) {
			d.log.Warn().Str("event", "state_refused").Str("topic", topic).Str("origin", origin).Err(err).Msg("")
		},
	})
	d.carrier.Add(d.topics...)
	d.carrier.AddRegional(
		quarantineRegions{d.routes.quarantine},
		&routing.SummaryTopic{Router: d.routes.router, Table: d.routes.summaries},
	)
	return d.peering.server.Register(exchange.ServiceName, d.carrier.Service())
}

// quarantineRegions tells other regions of the suspects of this one.
type quarantineRegions struct{ table *quarantine.Table }

// Name implements exchange.RegionTopic.
func (quarantineRegions) Name() string { return "quarantine" }

// RegionState implements exchange.RegionTopic.
func (t quarantineRegions) RegionState() []byte { return t.table.RegionState(time.Now()) }

// MergeRegion implements exchange.RegionTopic.
func (t quarantineRegions) MergeRegion(region string, state []byte, _ time.Duration) error {
	return t.table.MergeRegion(time.Now(), region, state)
}
