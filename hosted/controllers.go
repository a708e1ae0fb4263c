package hosted

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/overload"
)

const (
	maxBodyBytes = 16 << 20 // the configuration sets the bound below it
	// bodyTimeout exceeds the deadlines of requests: it ends callers that send
	// nothing at all.
	bodyTimeout = 15 * time.Second
	// writeTimeout exceeds the pause after which callers give up themselves.
	writeTimeout = 10 * time.Second

	assumedSlots = 4 // of a backend server that has told nothing
	// slotsInterval is about the time that plain services take for a request.
	slotsInterval = 100 * time.Millisecond
	// stateInterval is short against the time that a vanished server is kept.
	stateInterval = 250 * time.Millisecond
	// askInterval is the age that a summary of another region may have: a few
	// round trips.
	askInterval = 500 * time.Millisecond
	// trafficInterval is short against the time in which a link fills or a
	// caller gives up.
	trafficInterval = time.Second
)

// startControllers runs every controller until ctx ends.
func (i *Instance) startControllers(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { i.mirror.Run(ctx); return nil })
	group.Go(func() error { i.registerWhenReady(ctx); return nil })
	group.Go(func() error { loop.Every(ctx, slotsInterval, i.updateSlots); return nil })
	group.Go(func() error { loop.Every(ctx, stateInterval, i.expire); return nil })
	group.Go(func() error { loop.Every(ctx, askInterval, i.askSummaries); return nil })
	group.Go(func() error { loop.Every(ctx, trafficInterval, i.traffic.Report); return nil })
	group.Go(func() error { i.reloads(ctx); return nil })
	group.Go(func() error { i.followNeighbors(ctx); return nil })
	group.Go(func() error { i.followRemote(ctx); return nil })
}

// registerWhenReady enters the instance once callers may be sent to it.
func (i *Instance) registerWhenReady(ctx context.Context) {
	for !i.ready() && ctx.Err() == nil {
		select {
		case <-time.After(slotsInterval):
		case <-ctx.Done():
		}
	}
	i.log.Info().Str("event", "ready").Uint64("revision", i.revision()).Msg("")
	i.roster.Run(ctx)
}

func (i *Instance) revision() uint64 {
	if snapshot := i.table.Current(); snapshot != nil {
		return snapshot.Revision
	}
	return 0
}

// reloads notes the signal that the settings have changed. What an instance
// is told of itself holds until it is started again.
func (i *Instance) reloads(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	defer signal.Stop(signals)
	for {
		select {
		case <-signals:
			i.log.Info().Str("event", "reload").Msg("")
		case <-ctx.Done():
			return
		}
	}
}

// updateSlots gives the queue this instance's part of the slots of each
// service.
func (i *Instance) updateSlots(context.Context) {
	i.traffic.Beat(time.Now(), slotsInterval)
	i.guard.SetHeap(overload.ReadHeap())
	snapshot := i.table.Current()
	if snapshot == nil {
		return
	}
	members := max(len(i.roster.In(i.settings.Region)), 1)
	for _, service := range snapshot.Services {
		total, free := 0, 0
		for server := range i.router.Healthy(service.Name) {
			slots := server.SlotCount()
			if slots == 0 {
				slots = assumedSlots
			}
			total += slots
			free += max(slots-max(server.Load().Running+server.Load().Waiting, server.InFlight()), 0)
		}
		i.queue.SetCapacity(service, admission.Capacity{
			Slots: total, Free: free, Fraction: 1 / float64(members), Members: members,
		})
	}
}

// waiting estimates the requests that wait for a slot of a service at all
// instances of the region.
func (i *Instance) waiting(service string) int {
	snapshot := i.table.Current()
	if snapshot == nil || snapshot.Services[service] == nil {
		return 0
	}
	stats := i.queue.StatsOf(snapshot.Services[service])
	return int(float64(stats.Waiting()) / i.share())
}

func (i *Instance) expire(context.Context) {
	i.servers.expire()
	snapshot := i.table.Current()
	if snapshot == nil {
		return
	}
	for name := range snapshot.Services {
		for _, ejection := range i.ejector.Evaluate(time.Now(), name) {
			i.observer.Ejected(ejection)
		}
	}
}
