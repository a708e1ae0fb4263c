package daemon

import (
	"context"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/listing"
)

// startControllers starts all controllers in group. They run until ctx ends.
func (d *Daemon) startControllers(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { d.config.Run(ctx); return nil })
	group.Go(func() error { d.orders.Keeper.Run(ctx); return nil })
	group.Go(func() error { d.orders.Run(ctx); return nil })
	group.Go(func() error { loop.Every(ctx, d.settings.ListInterval, d.refreshServerList); return nil })
	group.Go(func() error { loop.Every(ctx, d.settings.LoadInterval, d.loadTracker.PollServers); return nil })
	group.Go(func() error { loop.Every(ctx, d.settings.LoadInterval, d.updateSlots); return nil })
	group.Go(func() error { loop.Every(ctx, limitUpdateInterval, d.updateLimitShares); return nil })
	group.Go(func() error { loop.Every(ctx, d.settings.DirectoryTTL/3, d.register); return nil })
	group.Go(func() error { loop.Every(ctx, ejectionInterval, d.ejectSlowServers); return nil })
	group.Go(func() error { d.membershipRunner.Run(ctx); return nil })
	group.Go(func() error { d.announceReady(ctx); return nil })
	group.Go(func() error { d.gossiper.Run(ctx); return nil })
	d.startClaimCleanup(ctx, group)
}

func (d *Daemon) self() listing.Instance {
	return listing.Instance{
		ID:          d.settings.Instance,
		URL:         d.settings.PublicURL,
		PeerAddr:    d.settings.PeerAddr,
		ControlAddr: d.settings.ControlAddr,
		Region:      d.settings.Region,
		Zone:        d.settings.Zone,
	}
}

func (d *Daemon) register(ctx context.Context) {
	if d.draining.Load() || !d.joined.Load() {
		return
	}
	if err := d.listing.Register(ctx, d.self(), d.settings.DirectoryTTL); err != nil {
		d.log.Warn().Str("event", "register_failed").Err(err).Msg("")
	}
}
