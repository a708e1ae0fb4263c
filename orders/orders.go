// Package orders brings the model engines of a region to the state that the
// configuration wants: model, version, adapters and role. For each service one
// instance of the region holds a lease and gives the orders. An order states
// the wanted end state and carries the lease's fencing number, so that it is
// harmless when it arrives twice or late.
//
// Some engines refuse an order with an old fencing number. For those that
// ignore it, a new holder first waits until no order of its predecessor can be
// under way any more.
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

// Order is what an engine is told.
type Order struct {
	Fence uint64              `json:"fence"`
	State catalog.EngineState `json:"state"`
}

// Report is what an engine tells of itself.
type Report struct {
	State   catalog.EngineState `json:"state"`
	Loading bool                `json:"loading"` // it is on the way to another state
}

// Engines reaches the engines.
type Engines interface {
	// Report asks an engine for its state.
	Report(ctx context.Context, server backend.Info) (Report, error)
	// Send gives an order. It must check valid immediately before the order
	// leaves, and send nothing if it reports false.
	Send(ctx context.Context, server backend.Info, order Order, valid func() bool) error
}

// ErrLeaseLost means that nothing was sent because the lease has run out.
var ErrLeaseLost = errors.New("lease was lost before the order was sent")

// Lease is the right to give orders. *lease.Lease implements it.
type Lease interface {
	Valid() bool
}

// held is a lease with what is needed to use it.
type held struct {
	Lease
	fence    uint64
	acquired time.Time
}

// Controller gives the orders of one instance. Its fields must not be changed
// while Run is running.
type Controller struct {
	Region  string
	Keeper  *lease.Keeper
	Engines Engines
	// Services returns the services in force.
	Services func() map[string]*catalog.Service
	// Servers returns the backend servers of a service.
	Servers func(service string) []backend.Info
	// Candidate reports whether this instance shall try to hold the orders of a
	// service. One instance is enough, as the lease decides where instances
	// disagree; the others stay away from the store.
	Candidate func(service string) bool

	Interval     time.Duration // between two looks at the engines
	OrderTimeout time.Duration // longest time that an order is under way
	LeaseTTL     time.Duration // of the keeper's session
	// MaxLoading bounds the engines of a service that load at the same time, so
	// that a mass restart stays within the limit of the weight store.
	MaxLoading int
	Logger     *log.Logger

	leases map[string]held
}

// Run reconciles until ctx ends.
func (c *Controller) Run(ctx context.Context) {
	c.leases = make(map[string]held)
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

// reconcile gives the orders that bring the engines of a service nearer to the
// wanted state.
func (c *Controller) reconcile(ctx context.Context, service string, want catalog.EngineState) {
	h, ok := c.hold(ctx, service)
	if !ok {
		return
	}
	servers := c.Servers(service)
	due, loading := c.inspect(ctx, servers, want)
	for _, server := range due {
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

// hold returns the lease of a service, and takes it if it is free.
func (c *Controller) hold(ctx context.Context, service string) (held, bool) {
	if h, ok := c.leases[service]; ok && h.Valid() {
		return h, true
	}
	delete(c.leases, service)
	if !c.Candidate(service) {
		return held{}, false
	}
	l, err := c.Keeper.Acquire(ctx, Key(c.Region, service))
	if err != nil {
		if !errors.Is(err, lease.ErrHeld) && !errors.Is(err, lease.ErrNoSession) {
			c.Logger.Warn().Str("event", "orders_lease_failed").Str("service", service).Err(err).Msg("")
		}
		return held{}, false
	}
	h := held{Lease: l, fence: l.Fence, acquired: time.Now()}
	c.leases[service] = h
	c.Logger.Info().Str("event", "orders_lease").Str("service", service).Uint64("fence", l.Fence).Msg("")
	return h, true
}

// Key returns the key of the lease for the orders of a service in a region.
func Key(region, service string) string { return "fuchsia/orders/" + region + "/" + service }

// inspect returns the servers that are due an order, and how many are loading.
func (c *Controller) inspect(ctx context.Context, servers []backend.Info, want catalog.EngineState) (due []backend.Info, loading int) {
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
			due = append(due, server)
		}
	}
	return due, loading
}

func (c *Controller) report(ctx context.Context, server backend.Info) (Report, error) {
	ctx, cancel := context.WithTimeout(ctx, c.OrderTimeout)
	defer cancel()
	return c.Engines.Report(ctx, server)
}

// mayOrder reports whether an order to server is safe. An engine that ignores
// fencing numbers must not hear two holders: the last order of the one before
// was sent before its session ended, and is under way for OrderTimeout.
func (c *Controller) mayOrder(h held, server backend.Info) bool {
	return server.Fenced || time.Since(h.acquired) >= c.LeaseTTL+c.OrderTimeout
}

func (c *Controller) send(ctx context.Context, h held, server backend.Info, want catalog.EngineState) {
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
