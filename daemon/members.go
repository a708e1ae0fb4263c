package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/membership"
)

// readyPoll is how often an instance without configuration looks for one.
const readyPoll = 100 * time.Millisecond

// newMembers prepares the membership. The peer table follows its view.
func (d *Daemon) newMembers() error {
	self := membership.Member{Instance: d.self(), Generation: uint64(time.Now().UnixNano())}
	machine := membership.NewMachine(self, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())))
	machine.OnChange(func(view *membership.View) { d.peers.replace(view.Others()) })
	machine.OnForget(func(id string) { d.carrier.Forget(id) })
	d.members = membership.NewRunner(machine, d.peering.client, d.listing, d.settings.Seeds, d.settings.DirectoryTTL)
	return d.peering.server.Register(membership.ServiceName, d.members.Service())
}

// announceReady tells the directory and the other instances once this one has a
// configuration, and its part of the limits and slots of its region. Callers
// that are sent to it earlier would be refused while others have room.
func (d *Daemon) announceReady(ctx context.Context) {
	begun := time.Now()
	for d.table.Current() == nil {
		select {
		case <-time.After(readyPoll):
		case <-ctx.Done():
			return
		}
	}
	loop.Sleep(ctx, d.settings.JoinDelay-time.Since(begun))
	d.joined.Store(true)
	if !d.draining.Load() && ctx.Err() == nil {
		d.register(ctx)
		d.members.SetServing(ctx, true)
	}
}

// endMembership tells the other instances that this one has no work any more.
func (d *Daemon) endMembership() {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	d.members.End(ctx)
}

// assumedFleet is the size of the fleet until another instance is known.
const assumedFleet = 16

// fleetSize returns the number of live instances of all regions.
func (d *Daemon) fleetSize() int {
	if size := d.members.Machine.View().Size(); size > 1 {
		return size
	}
	return assumedFleet
}
