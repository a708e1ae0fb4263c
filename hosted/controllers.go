package hosted

import (
	"context"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"golang.org/x/sync/errgroup"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/overload"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/roster"
)

const (
	maxBodyBytes = 16 << 20 // the configuration sets the bound below it
	bodyTimeout  = 15 * time.Second
	writeTimeout = 10 * time.Second

	// directoryTTL is short, so that callers leave an instance that drains
	// before it ends, also those that keep an answer three times as long.
	directoryTTL  = time.Second
	maxDirectory  = 64
	minZoneAddrs  = 2 // fewer instances of one zone are not named alone
	assumedSlots  = 4 // of a backend server that has told nothing
	slotsInterval = 100 * time.Millisecond
	stateInterval = 250 * time.Millisecond
	askInterval   = 500 * time.Millisecond

	// noticeTime is how long a draining instance takes new connections: callers
	// keep an answer of the directory for three times its life.
	noticeTime = 3*directoryTTL + 500*time.Millisecond
	// stopReserve is left of the time until the process is killed.
	stopReserve  = 700 * time.Millisecond
	leaveTimeout = 500 * time.Millisecond
)

// startControllers runs every controller until ctx ends.
func (i *Instance) startControllers(ctx context.Context, group *errgroup.Group) {
	group.Go(func() error { i.mirror.Run(ctx); return nil })
	group.Go(func() error { i.registerWhenReady(ctx); return nil })
	group.Go(func() error { every(ctx, slotsInterval, i.updateSlots); return nil })
	group.Go(func() error { every(ctx, stateInterval, i.expire); return nil })
	group.Go(func() error { every(ctx, askInterval, i.askSummaries); return nil })
	group.Go(func() error { i.reloads(ctx); return nil })
	group.Go(func() error { i.followPrefill(ctx); return nil })
}

// every calls f at once and then each interval until ctx ends.
func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
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

func (i *Instance) newRoster() *roster.Roster {
	s := i.settings
	return &roster.Roster{
		Self: roster.Instance{
			ID: s.Instance, Started: time.Now().UnixMilli(), Region: s.Region, Zone: s.Zone,
			CallerAddr: s.CallerAddr, PeerAddr: s.PeerAddr,
		},
		Leases: i.store, Prefix: memberPrefix, Ask: i.askAlive, Observer: rosterLog{i.log},
	}
}

// answerDirectory names the instances that a caller may use: those of its zone
// if there are several, else those of its region, else all.
func (i *Instance) answerDirectory(w http.ResponseWriter, r *http.Request) {
	question := platform.ReadDirectoryQuestion(r)
	live := i.roster.Live()
	var inZone, inRegion, all []string
	for _, other := range live {
		all = append(all, other.CallerAddr)
		if other.Region == question.Region {
			inRegion = append(inRegion, other.CallerAddr)
		}
		if other.Zone == question.Zone {
			inZone = append(inZone, other.CallerAddr)
		}
	}
	addrs := all
	switch {
	case len(inZone) >= minZoneAddrs:
		addrs = inZone
	case len(inRegion) > 0:
		addrs = inRegion
	}
	if err := platform.WriteDirectoryAnswer(w, addrs[:min(len(addrs), maxDirectory)], min(directoryTTL, i.settings.Bounds.MaxTTL)); err != nil {
		i.log.Warn().Str("event", "directory_answer_failed").Err(err).Msg("")
	}
}

// drain leaves the directory, serves what still arrives until no caller knows
// the instance any more, and ends what is in flight.
func (i *Instance) drain(l *listeners) {
	begun := time.Now()
	i.draining.Store(true)
	i.log.Info().Str("event", "draining").Int64("in_flight", i.guard.Held().InFlight).Msg("")
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	if err := i.roster.Leave(ctx); err != nil {
		i.log.Warn().Str("event", "leave_failed").Err(err).Msg("")
	}
	cancel()
	deadline := begun.Add(i.settings.Bounds.StopTime - stopReserve)
	time.Sleep(time.Until(begun.Add(min(noticeTime, i.settings.Bounds.StopTime/2))))
	end, stop := context.WithDeadline(context.Background(), deadline)
	defer stop()
	shutdown(end, l.callers)
	shutdown(end, l.others)
	i.log.Info().Str("event", "stopped").Int64("in_flight", i.guard.Held().InFlight).Dur("drain", time.Since(begun)).Msg("")
}

// shutdown ends servers after what they have in flight, or when ctx ends.
func shutdown(ctx context.Context, servers []*http.Server) {
	var group sync.WaitGroup
	for _, server := range servers {
		group.Go(func() {
			if server.Shutdown(ctx) != nil {
				server.Close()
			}
		})
	}
	group.Wait()
}

// sourceLog logs the loss and the return of the store.
type sourceLog struct{ log *log.Logger }

// SourceLost implements mirror.Observer.
func (l sourceLog) SourceLost(err error) {
	l.log.Warn().Str("event", "store_lost").Err(err).Msg("")
}

// SourceBack implements mirror.Observer.
func (l sourceLog) SourceBack(revision uint64, away time.Duration) {
	l.log.Info().Str("event", "store_back").Uint64("store_revision", revision).Dur("away", away).Msg("")
}

// rosterLog logs changes of the belief about instances.
type rosterLog struct{ log *log.Logger }

// InstanceSeen implements roster.Observer.
func (l rosterLog) InstanceSeen(instance roster.Instance, listed bool) {
	l.log.Info().Str("event", "instance_seen").Str("peer", instance.ID).Str("region", instance.Region).
		Int64("started", instance.Started).Bool("listed", listed).Msg("")
}

// InstanceGone implements roster.Observer.
func (l rosterLog) InstanceGone(instance roster.Instance, cause error) {
	l.log.Info().Str("event", "instance_gone").Str("peer", instance.ID).Str("region", instance.Region).Err(cause).Msg("")
}

// RegistrationFailed implements roster.Observer.
func (l rosterLog) RegistrationFailed(err error) {
	l.log.Warn().Str("event", "registration_failed").Err(err).Msg("")
}
