// Package orders reconciles the model engines of a region with the configured
// state: model, version, adapters and role. The engines are the backend servers
// of services that configure such a state. For each service, one instance of
// the region holds a lease and sends commands, called orders, to the engines. An
// order contains the complete desired state and the fencing number of the lease,
// so that an order that arrives twice or late does no harm.
//
// Some engines refuse an order with an outdated fencing number. For engines that
// ignore fencing numbers, a new lease holder first waits until no order of its
// predecessor can still be in transit.
package orders

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/lease"
)

// Order is a command to an engine to load a state. It is sent as JSON.
type Order struct {
	Fence uint64              `json:"fence"`
	State catalog.EngineState `json:"state"`
}

// Report is the state that an engine reports. It is received as JSON.
type Report struct {
	State   catalog.EngineState `json:"state"`
	Loading bool                `json:"loading"` // the engine is changing to another state
}

// EngineClient sends orders to engines and queries their state.
type EngineClient interface {
	// Report queries the state of an engine.
	Report(ctx context.Context, server backend.Info) (Report, error)
	// Send sends an order to an engine. It must call valid immediately before
	// it sends the order, and must not send it if valid returns false.
	Send(ctx context.Context, server backend.Info, order Order, valid func() bool) error
}

// ErrLeaseLost means that the order was not sent because the lease is no longer
// valid.
var ErrLeaseLost = errors.New("lease was lost before the order was sent")

// Lease is the exclusive right to send orders to the engines of a service.
// *lease.Lease implements it.
type Lease interface {
	Valid() bool
}

// heldLease is a lease that this instance has acquired, with its fencing number
// and the time of acquisition.
type heldLease struct {
	Lease
	fence    uint64
	acquired time.Time
}

// Controller sends orders to the engines of the services whose lease this
// instance holds. Its fields must not be changed while Run is running.
type Controller struct {
	Region  string
	Keeper  *lease.Keeper
	Engines EngineClient
	// Services returns the services of the configuration in force, by name.
	Services func() map[string]*catalog.Service
	// Servers returns the backend servers of a service.
	Servers func(service string) []backend.Info
	// Candidate reports whether this instance should try to acquire the lease of
	// a service. One candidate for each service is enough, and the others put no
	// load on the store. If instances disagree on the candidate, the lease
	// decides.
	Candidate func(service string) bool

	Interval     time.Duration // between two reconciliations of all services
	OrderTimeout time.Duration // limit for sending an order or querying a state; no order may be in transit for longer
	LeaseTTL     time.Duration // TTL of the session of Keeper
	// MaxLoading limits the engines of a service that load at the same time, so
	// that a restart of many engines stays within the limit of the store from
	// which they load model weights.
	MaxLoading int
	Logger     *log.Logger

	leases map[string]heldLease
}

// Run reconciles the engines of all services periodically until ctx is done.
func (c *Controller) Run(ctx context.Context) {
	c.leases = make(map[string]heldLease)
	ticker := time.NewTicker(c.Interval)
	defer ticker.Stop()
	for {
		for name, service := range c.Services() {
			if service.Engine != nil {
				c.reconcile(ctx, name, *service.Engine)
			}
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile sends orders to engines of a service that are not in the desired
// state, if this instance holds the lease of the service.
func (c *Controller) reconcile(ctx context.Context, service string, want catalog.EngineState) {
	h, ok := c.ensureLease(ctx, service)
	if !ok {
		return
	}
	servers := c.Servers(service)
	mismatched, loading := c.inspect(ctx, servers, want)
	for _, server := range mismatched {
		if loading >= c.MaxLoading {
			return
		}
		if !c.mayOrder(h, server) {
			continue
		}
		loading++
		c.send(ctx, h, server, want)
	}
}

// ensureLease returns the lease of a service. If this instance does not hold the
// lease but is a candidate for it, ensureLease tries to acquire it.
func (c *Controller) ensureLease(ctx context.Context, service string) (heldLease, bool) {
	if h, ok := c.leases[service]; ok && h.Valid() {
		return h, true
	}
	delete(c.leases, service)
	if !c.Candidate(service) {
		return heldLease{}, false
	}
	l, err := c.Keeper.Acquire(ctx, LeaseKey(c.Region, service))
	if err != nil {
		if !errors.Is(err, lease.ErrHeld) && !errors.Is(err, lease.ErrNoSession) {
			c.Logger.Warn().Str("event", "orders_lease_failed").Str("service", service).Err(err).Msg("")
		}
		return heldLease{}, false
	}
	h := heldLease{Lease: l, fence: l.Fence, acquired: time.Now()}
	c.leases[service] = h
	c.Logger.Info().Str("event", "orders_lease").Str("service", service).Uint64("fence", l.Fence).Msg("")
	return h, true
}

// LeaseKey returns the store key of the lease for the orders of a service in a
// region.
func LeaseKey(region, service string) string { return "fuchsia/orders/" + region + "/" + service }

// inspect queries the live servers. It returns those that need an order, and the
// number of servers that are loading.
func (c *Controller) inspect(ctx context.Context, servers []backend.Info, want catalog.EngineState) (mismatched []backend.Info, loading int) {
	for _, server := range servers {
		if server.State != backend.StateLive {
			continue
		}
		report, err := c.report(ctx, server)
		switch {
		case err != nil:
			c.Logger.Warn().Str("event", "orders_report_failed").Str("server", server.ID).Err(err).Msg("")
		case report.Loading:
			loading++
		case !report.State.Equal(want):
			mismatched = append(mismatched, server)
		}
	}
	return mismatched, loading
}

func (c *Controller) report(ctx context.Context, server backend.Info) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.OrderTimeout)
	defer cancel()
	return c.Engines.Report(ctx, server)
}

// mayOrder reports whether server can be sent an order safely. An engine that
// ignores fencing numbers could apply a late order of the previous lease holder
// after a newer one. That holder sent its last order before its session ended,
// and the order is in transit for at most OrderTimeout.
func (c *Controller) mayOrder(h heldLease, server backend.Info) bool {
	return server.Fenced || time.Since(h.acquired) >= c.LeaseTTL+c.OrderTimeout
}

func (c *Controller) send(ctx context.Context, h heldLease, server backend.Info, want catalog.EngineState) {
	ctx, cancel := context.WithTimeout(ctx, c.OrderTimeout)
	defer cancel()
	err := c.Engines.Send(ctx, server, Order{Fence: h.fence, State: want}, h.Valid)
	entry := c.Logger.Info()
	if err != nil {
		entry = c.Logger.Warn().Err(err)
	}
	entry.Str("event", "order").Str("server", server.ID).Uint64("fence", h.fence).
		Str("model", want.Model).Str("version", want.Version).Str("role", want.Role).Msg("")
}
