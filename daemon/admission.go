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
	// assumedSlots is the number of slots of a backend server that has not
	// reported its load yet.
	assumedSlots = 4
	// tickInterval is the time between two updates of demand and limits.
	tickInterval = time.Second
	// callerQueueParts is the number of callers that fill a queue together.
	callerQueueParts = 8
)

// admissionControl holds what decides whether a request may start.
type admissionControl struct {
	slots, limits *share.Table
	queue         *admission.Queue
	limiter       *ratelimit.Limiter
	guard         *overload.Guard
	conns         *overload.Connections
	observer      *telemetry.Admission
}

func newAdmissionControl(s *Settings, observer *telemetry.Admission) (*admissionControl, error) {
	limits := share.NewTable(share.DefaultConfig("limits", s.Instance))
	a := &admissionControl{
		slots:   share.NewTable(share.DefaultConfig("slots", s.Instance)),
		limits:  limits,
		queue:   admission.NewQueue(queueBounds(s), rand.Uint64()),
		limiter: ratelimit.New(limits, rand.Uint64()),
		guard: overload.NewGuard(overload.Limits{
			InFlight: int64(s.MaxInFlight), BodyBytes: s.MaxHeldBytes, HeapBytes: s.MaxHeapBytes,
		}),
		conns:    overload.NewConnections(s.MaxConnections),
		observer: observer,
	}
	return a, observer.Watch(a.queue, a.guard, a.conns)
}

func queueBounds(s *Settings) admission.Bounds {
	return admission.Bounds{
		Entries: s.QueueEntries, CallerEntries: max(s.QueueEntries/callerQueueParts, 1),
		Bytes: s.MaxHeldBytes, CallerBytes: s.MaxHeldBytes / callerQueueParts,
	}
}

// overloadFilter returns the filter that stands first in each chain.
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
	return filters.Admit{Queue: d.admission.queue, Serves: d.serves, Elsewhere: d.couldLeave, Observer: d.admission.observer}
}

// serves reports whether a backend server of this region accepts the request.
func (d *Daemon) serves(x *filters.Exchange) bool {
	for _, server := range d.registry.Of(x.Service.Name) {
		if server.Accepts() {
			return true
		}
	}
	return false
}

// boundConnections bounds the connections of a server's listener.
func (a *admissionControl) boundConnections(server *http.Server, listener net.Listener) net.Listener {
	server.ConnState = a.conns.State
	return a.conns.Listener(listener)
}

// updateSlots sets the slots of each service from the load reports. It is
// called once after each round of reports.
func (d *Daemon) updateSlots(context.Context) {
	a := d.admission
	members := d.peers.idsIn(d.settings.Region)
	members = append(members, d.settings.Instance)
	a.slots.SetMembers(members)
	a.limits.SetMembers(members)
	a.guard.SetHeap(overload.ReadHeap())
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
	total, free := d.slotsOf(service.Name)
	a.slots.SetDemand(key, admission.DemandOf(service, &stats, total))
	a.queue.SetCapacity(service, admission.Capacity{
		Slots: total, Free: free, Fraction: a.slots.Fraction(key),
		Members: a.slots.Members(),
	})
}

// slotsOf returns the slots of the servers that requests are sent to, and those
// that are free by the last reports and by this instance's own work since. A
// server that is listed but lost has none.
func (d *Daemon) slotsOf(service string) (total, free int) {
	for server := range d.routes.router.Healthy(service) {
		load := server.Load()
		if load.Slots == 0 {
			load.Slots = assumedSlots
		}
		total += load.Slots
		free += max(load.Slots-max(load.Running+load.Waiting, server.InFlight()), 0)
	}
	return total, free
}

// waiting estimates the requests that wait for a slot of a service at all
// instances of the region, from those that wait here.
func (d *Daemon) waiting(service string) int {
	snapshot := d.table.Current()
	if snapshot == nil || snapshot.Services[service] == nil {
		return 0
	}
	stats := d.admission.queue.StatsOf(snapshot.Services[service])
	return stats.Waiting() * d.admission.slots.Members()
}

// tickLimits updates the shares of the callers' limits.
func (d *Daemon) tickLimits(context.Context) { d.admission.limiter.Tick(time.Now()) }
