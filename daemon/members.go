package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/membership"
)

// readyPollInterval is the interval at which a starting instance checks whether
// it has a configuration.
const readyPollInterval = 100 * time.Millisecond

// newMembership creates the membership runner and registers its RPC service. Each
// new view replaces the contents of the peer table.
func (d *Daemon) newMembership() error {
	self := membership.Member{Instance: d.self(), Generation: uint64(time.Now().UnixNano())}
	stateMachine := membership.NewStateMachine(self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	stateMachine.OnChange(func(view *membership.View) { d.peers.replace(view.ServingPeers()) })
	stateMachine.OnTerminated(func(id string) { d.gossiper.Forget(id) })
	d.membershipRunner = membership.NewRunner(stateMachine, d.peering.client, d.listing, d.settings.Seeds, d.settings.DirectoryTTL)
	return d.peering.server.Register(membership.ServiceName, d.membershipRunner.Service())
}

// announceReady waits until this instance has a configuration and JoinDelay has
// passed, by which time it holds its shares of the limits and slots of its region.
// It then registers the instance in the directory and announces to the other
// instances that it is serving. Callers that were directed to it earlier would be
// refused while other instances have free capacity.
func (d *Daemon) announceReady(ctx context.Context) {
	start := time.Now()
	for d.table.Current() == nil {
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return
		}
	}
	loop.Sleep(ctx, d.settings.JoinDelay-time.Since(start))
	d.joined.Store(true)
	if !d.draining.Load() && ctx.Err() == nil {
		d.register(ctx)
		d.membershipRunner.SetServing(ctx, true)
	}
}

// leaveMembership announces to the other instances that this one has left and
// holds no requests any more.
func (d *Daemon) leaveMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), shutdownStepTimeout)
	defer cancel()
	d.membershipRunner.Leave(ctx)
}

// assumedFleetSize is the fleet size assumed until another instance is known.
const assumedFleetSize = 16

// fleetSize returns the number of live instances of all regions, or
// assumedFleetSize while no other instance is known.
func (d *Daemon) fleetSize() int {
	if size := d.membershipRunner.StateMachine.View().Size(); size > 1 {
		return size
	}
	return assumedFleetSize
}
