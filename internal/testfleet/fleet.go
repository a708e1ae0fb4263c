// Package testfleet runs the membership and exchange protocols of many instances
// over an in-memory link, for tests and measurements in virtual time.
package testfleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/exchange"
	"github.com/fuchsiastack/fuchsiastack/internal/testlink"
	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/membership"
)

// Instance is one instance of a fleet, without the request path.
type Instance struct {
	*testlink.Node
	Membership *membership.StateMachine
	Runner     *membership.Runner
	Gossiper   *exchange.Gossiper
	cancel     context.CancelFunc
}

// directoryPeriod equals DirectoryTTL of the daemon's default settings, which
// the daemon uses for the same purpose.
const directoryPeriod = 10 * time.Second

// Start runs an instance in the background until ctx ends. It calls prepare
// before the instance starts, to add the topics of its exchange.
func Start(ctx context.Context, l *testlink.Link, id, region, zone string, prepare func(*Instance)) *Instance {
	self := listing.Instance{ID: id, Region: region, Zone: zone, URL: "http://" + id + ":80", PeerAddr: id + ":81", ControlAddr: id + ":83"}
	member := membership.Member{Instance: self, Generation: uint64(time.Now().UnixNano()), Serving: true}
	i := &Instance{Node: l.Node(self), Membership: membership.NewStateMachine(member, rand.New(rand.NewPCG(l.Seed(), 1)))}
	i.Runner = membership.NewRunner(i.Membership, i.Node, l, nil, directoryPeriod)
	i.Gossiper = exchange.NewGossiper(exchange.Config{
		Self: self, View: i.Membership.View, Transport: i.Node, Random: rand.New(rand.NewPCG(l.Seed(), 2)),
	})
	prepare(i)
	i.Membership.OnTerminated(i.Gossiper.Forget)
	i.Attach(map[string]any{membership.ServiceName: i.Runner.Service(), exchange.ServiceName: i.Gossiper.Service()})
	ctx, i.cancel = context.WithCancel(ctx)
	go i.Runner.Run(ctx)
	go i.Gossiper.Run(ctx)
	return i
}

// StartRegions starts a fleet of the given number of regions with size instances
// each, alternating between two zones.
func StartRegions(ctx context.Context, l *testlink.Link, regions, size int, prepare func(*Instance)) []*Instance {
	var fleet []*Instance
	for r := range regions {
		for n := range size {
			region := fmt.Sprintf("region-%d", r)
			fleet = append(fleet, Start(ctx, l, fmt.Sprintf("%s-%d", region, n), region, fmt.Sprintf("%s-%d", region, n%2), prepare))
		}
	}
	return fleet
}

// Stop ends an instance abruptly: it sends no leave message.
func (i *Instance) Stop() {
	i.Kill()
	i.cancel()
}

// AllJoined reports whether every instance has the whole fleet in its
// membership view.
func AllJoined(fleet []*Instance) bool {
	for _, i := range fleet {
		if i.Membership.View().Size() != len(fleet) {
			return false
		}
	}
	return true
}
