package daemon

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"time"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/overload"
	"github.com/fuchsiastack/fuchsiastack/ratelimit"
	"github.com/fuchsiastack/fuchsiastack/share"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

const (
	// assumedSlots is the number of slots assumed for a backend server that has
	// not reported its load yet.
	assumedSlots = 4
	// limitUpdateInterval is the time between two updates of the shares of
	// the callers' limits.
	limitUpdateInterval = time.Second
	// callerQueueDivisor is the number of callers whose queue bounds add up to
	// the bound of the whole queue.
	callerQueueDivisor = 8
)

// admissionControl holds the components that decide whether a request may start.
type admissionControl struct {
	slotShares, limitShares *share.Table
	queue                   *admission.Queue
	limiter                 *ratelimit.Limiter
	guard                   *overload.Guard
	conns                   *overload.ConnectionLimiter
	observer                *telemetry.AdmissionObserver
}

func newAdmissionControl(s *Settings, observer *telemetry.AdmissionObserver) (*admissionControl, error) {
	newShares := func(topic string) *share.Table {
		config := share.DefaultConfig(topic, s.Instance)
		config.Observe = observer.ShareMember
		return share.NewTable(config)
	}
	limitShares := newShares("limits")
	a := &admissionControl{
		slotShares:  newShares("slots"),
		limitShares: limitShares,
		queue:       admission.NewQueue(queueBounds(s), rand.Uint64()),
		limiter:     ratelimit.New(limitShares, rand.Uint64()),
		guard: overload.NewGuard(overload.Limits{
			InFlight: int64(s.MaxInFlight), BodyBytes: s.MaxHeldBytes, HeapBytes: s.MaxHeapBytes,
		}),
		conns:    overload.NewConnectionLimiter(s.MaxConnections),
		observer: observer,
	}
	return a, observer.RegisterGauges(a.queue, a.guard, a.conns)
}

func queueBounds(s *Settings) admission.Bounds {
	return admission.Bounds{
		Entries: s.QueueEntries, CallerEntries: max(s.QueueEntries/callerQueueDivisor, 1),
		Bytes: s.MaxHeldBytes, CallerBytes: s.MaxHeldBytes / callerQueueDivisor,
	}
}

// overloadFilter returns the filter that runs first in each chain.
func (d *Daemon) overloadFilter() filters.Filter {
	a := d.admission
	return filters.Overload{
		Guard: a.guard, Observer: a.observer,
		BodyTimeout: d.settings.BodyTimeout, WriteTimeout: d.settings.WriteTimeout,
	}
}

func (d *Daemon) shedFilter() filters.Filter {
	return filters.Shed{Guard: d.admission.guard, Observer: d.admission.observer}
}

func (d *Daemon) limitFilter() filters.Filter {
	return filters.Limit{Limiter: d.admission.limiter, Observer: d.admission.observer}
}

func (d *Daemon) admitFilter() filters.Filter {
	return filters.Admit{Queue: d.admission.queue, CanServeLocally: d.canServeLocally, CanSpill: d.canSpill, Observer: d.admission.observer}
}

// canServeLocally reports whether a backend server of this region accepts
// requests of x's service.
func (d *Daemon) canServeLocally(x *filters.Exchange) bool {
	return d.registry.MayReceive(x.Service.Name, time.Now())
}

// limitConnections returns a listener that bounds the open connections of server.
func (a *admissionControl) limitConnections(server *http.Server, listener net.Listener) net.Listener {
	server.ConnState = a.conns.ConnState
	return a.conns.Listener(listener)
}

// updateSlots updates the region members, the heap size, and the slots of each
// service from the load reports. It runs once per LoadInterval, the period at
// which load reports are collected.
func (d *Daemon) updateSlots(context.Context) {
	a := d.admission
	members := d.peers.idsInRegion(d.settings.Region)
	members = append(members, d.settings.Instance)
	a.slotShares.SetMembers(members)
	a.limitShares.SetMembers(members)
	a.guard.SetHeap(overload.ReadHeap())
	d.registry.EndPauses(time.Now(), d.observer.ServerResumed)
	d.registry.RateLimitChanges(d.observer.ServerLimitChanged)
	snapshot := d.table.Current()
	if snapshot == nil {
		return
	}
	for _, service := range snapshot.Services {
		d.updateServiceSlots(service)
	}
}

func (d *Daemon) updateServiceSlots(service *catalog.Service) {
	a := d.admission
	key := share.KeyOf(service.Name)
	stats := a.queue.StatsOf(service)
	total, free := d.countSlots(service.Name)
	a.slotShares.SetDemand(key, admission.DemandOf(service, &stats, total))
	a.queue.SetCapacity(service, admission.Capacity{
		Slots: total, Free: free, Fraction: a.slotShares.Fraction(key),
		Members: a.slotShares.Members(),
	})
	if !d.registry.MayReceive(service.Name, time.Now()) {
		a.queue.ReleaseWaiting(service)
	}
}

// countSlots returns the total slots of the servers to which requests of a service
// are sent, and how many of them are free according to the last load reports and
// to this instance's own requests in flight. A server that is listed but that the
// router does not use, such as one that has crashed, adds no slots.
func (d *Daemon) countSlots(service string) (total, free int) {
	for server := range d.routingState.router.Healthy(service) {
		load := server.Load()
		if load.Slots == 0 {
			load.Slots = assumedSlots
		}
		total += load.Slots
		free += max(load.Slots-max(load.Running+load.Waiting, server.InFlight()), 0)
	}
	return total, free
}

// estimateRegionWaiting estimates the number of requests that wait for a slot of
// a service at all instances of the region. It multiplies the number that wait at
// this instance by the number of instances.
func (d *Daemon) estimateRegionWaiting(service string) int {
	snapshot := d.table.Current()
	if snapshot == nil || snapshot.Services[service] == nil {
		return 0
	}
	stats := d.admission.queue.StatsOf(snapshot.Services[service])
	return stats.Waiting() * d.admission.slotShares.Members()
}

// updateLimitShares updates this instance's shares of the callers' limits.
func (d *Daemon) updateLimitShares(context.Context) { d.admission.limiter.Tick(time.Now()) }
