package hosted

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/internal/loop"
)

const (
	maxBodyBytes = 16 << 20 // upper limit; the configuration sets a lower one
	// bodyTimeout exceeds the deadlines of requests: it cuts off callers that
	// send nothing at all.
	bodyTimeout = 15 * time.Second
	// writeTimeout exceeds the pause after which callers abort by themselves.
	writeTimeout = 10 * time.Second

	defaultServerSlots = 4 // of a backend server that has not reported its slots
	// slotsInterval is about the time that plain services need for a request.
	slotsInterval = 100 * time.Millisecond
	// expireInterval is short compared with the time that a server is kept after
	// its entry was removed.
	expireInterval = 250 * time.Millisecond
	// usageInterval is the time between two fetches of the usage of routes from other
	// regions. It is short compared with usageHalfLife.
	usageInterval = 2 * time.Second
	// trafficInterval is short compared with the time in which a link becomes
	// saturated or a caller times out.
	trafficInterval = time.Second
)

// startControllers runs every controller until ctx ends.
func (i *Instance) startControllers(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { i.mirror.Run(ctx); return nil })
	group.Go(func() error { i.fetchParts(ctx); return nil })
	group.Go(func() error { i.registerWhenReady(ctx); return nil })
	group.Go(func() error { loop.Every(ctx, slotsInterval, i.updateSlots); return nil })
	group.Go(func() error { loop.Every(ctx, expireInterval, i.expire); return nil })
	group.Go(func() error { loop.Every(ctx, usageInterval, i.fetchUsage); return nil })
	group.Go(func() error { loop.Every(ctx, trafficInterval, i.traffic.LogSummary); return nil })
	group.Go(func() error { i.logReloadSignals(ctx); return nil })
	group.Go(func() error { i.exchanger.run(ctx); return nil })
	group.Go(func() error { i.serverLeases.run(ctx); return nil })
	group.Go(func() error { i.versions.run(ctx); return nil })
	group.Go(func() error { i.origins.archive.run(ctx); return nil })
}

// registerWhenReady waits until the instance is ready and then runs the roster,
// which registers it in the store, until ctx ends.
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

// logReloadSignals logs each SIGHUP, which reports a change of the settings. The
// settings are not read again: those of an instance apply until it is restarted.
func (i *Instance) logReloadSignals(ctx context.Context) {
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

// updateSlots sets the queue's capacity for each service: the requests that its
// backend servers handle well, and this instance's fraction of them. It also measures how late
// its timer runs, and updates the heap size of the overload guard.
func (i *Instance) updateSlots(context.Context) {
	i.traffic.RecordTick(time.Now(), slotsInterval)
	i.guard.SetHeap(i.options.Heap())
	snapshot := i.table.Current()
	if snapshot == nil {
		return
	}
	now := time.Now()
	i.registry.EvaluateConcurrency(now, i.observer.ServerConcurrencyChanged)
	members := max(len(i.roster.InRegion(i.settings.Region)), 1)
	for _, service := range snapshot.Services {
		total, free := 0, 0
		for server := range i.router.Healthy(service.Name) {
			slots := i.admissionSlots(now, server)
			total += slots
			free += max(slots-max(server.Load().Running+server.Load().Waiting, server.InFlight()), 0)
		}
		i.queue.SetCapacity(service, admission.Capacity{
			Slots: total, Free: free, Fraction: 1 / float64(members), Members: members,
		})
		if !i.registry.MayReceive(service.Name, time.Now()) {
			i.queue.ReleaseWaiting(service)
		}
	}
}

// admissionSlots returns the number of requests that the queue admits for a server.
func (i *Instance) admissionSlots(now time.Time, server *backend.Server) int {
	slots := server.SlotCount()
	if i.options.Concurrency != ConcurrencyRouting {
		slots = server.AdmissionSlots(now)
	}
	if slots == 0 {
		slots = defaultServerSlots
	}
	return server.UsableSlots(slots)
}

// waitingRequests estimates the requests that wait for a slot of a service at all
// instances of the region, from those that wait at this one.
func (i *Instance) waitingRequests(service string) int {
	snapshot := i.table.Current()
	if snapshot == nil || snapshot.Services[service] == nil {
		return 0
	}
	stats := i.queue.StatsOf(snapshot.Services[service])
	return int(float64(stats.Waiting()) / i.share())
}

func (i *Instance) expire(context.Context) {
	i.servers.expire()
	i.serverChecker.listCurrent() // an outage counts also if no request comes during it
	if i.store.AnswerAge() > maxAnswerAge {
		i.mirror.Detach()
	}
	i.updateRetryBurst()
	i.registry.EndPauses(time.Now(), i.observer.ServerResumed)
	i.registry.RateLimitChanges(i.observer.ServerLimitChanged)
	snapshot := i.table.Current()
	if snapshot == nil {
		return
	}
	for name := range snapshot.Services {
		for _, ejection := range i.ejector.Evaluate(time.Now(), name) {
			i.observer.EjectionChanged(ejection)
		}
	}
}
