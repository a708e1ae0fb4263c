package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/exchange"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// newGossiper creates the gossiper, which exchanges state with other instances,
// and registers its RPC service.
func (d *Daemon) newGossiper() error {
	d.gossiper = exchange.NewGossiper(exchange.Config{
		Self:      d.self(),
		View:      d.membershipRunner.StateMachine.View,
		Transport: d.peering.client,
		Random:    rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		OnMergeError: func(topic, origin string, err error) {
			d.log.Warn().Str("event", "state_refused").Str("topic", topic).Str("origin", origin).Err(err).Msg("")
		},
	})
	d.gossiper.Add(d.topics...)
	d.gossiper.AddRegionTopics(
		quarantineRegionTopic{d.routingState.quarantine},
		&routing.SummaryTopic{Router: d.routingState.router, Table: d.routingState.summaries},
	)
	return d.peering.server.Register(exchange.ServiceName, d.gossiper.Service())
}

// quarantineRegionTopic sends the quarantine entries of this region to other
// regions and merges theirs.
type quarantineRegionTopic struct{ table *quarantine.Table }

// Name implements exchange.RegionTopic.
func (quarantineRegionTopic) Name() string { return "quarantine" }

// RegionState implements exchange.RegionTopic.
func (t quarantineRegionTopic) RegionState() []byte { return t.table.RegionState(time.Now()) }

// MergeRegion implements exchange.RegionTopic.
func (t quarantineRegionTopic) MergeRegion(region string, state []byte, _ time.Duration) error {
	return t.table.MergeRegion(time.Now(), region, state)
}
