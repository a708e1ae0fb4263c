package daemon

import (
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/internal/boundedhttp"
	"github.com/fuchsiastack/fuchsiastack/lease"
	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/orders"
	"github.com/fuchsiastack/fuchsiastack/store"
)

const (
	ordersInterval = 5 * time.Second
	orderTimeout   = 5 * time.Second
	purposeOrders  = "orders/"
)

// newOrders returns the controller that brings the engines of the region into the
// state that the configuration specifies.
func (d *Daemon) newOrders(s store.Store) *orders.Controller {
	return &orders.Controller{
		Region:       d.settings.Region,
		Keeper:       lease.NewKeeper(s, lease.DefaultConfig),
		Engines:      newEngineClient(),
		Services:     d.services,
		Servers:      d.serverInfos,
		Candidate:    func(service string) bool { return d.isSelected(purposeOrders+service, 1) },
		Interval:     ordersInterval,
		OrderTimeout: orderTimeout,
		LeaseTTL:     lease.DefaultConfig.TTL,
		MaxLoading:   d.settings.MaxLoading,
		Logger:       d.log,
	}
}

func newEngineClient() orders.HTTPEngineClient {
	return orders.HTTPEngineClient{Client: &http.Client{Timeout: orderTimeout, Transport: boundedhttp.NewTransport()}}
}

// isSelected reports whether this instance is among the n live instances of its
// region that rendezvous hashing selects for a purpose.
func (d *Daemon) isSelected(purpose string, n int) bool {
	return slices.Contains(membership.Rendezvous(d.regionMembers(), purpose, n), d.settings.Instance)
}

// services returns the services of the configuration in force, or nil before the
// first configuration.
func (d *Daemon) services() map[string]*catalog.Service {
	snapshot := d.table.Current()
	if snapshot == nil {
		return nil
	}
	return snapshot.Services
}

func (d *Daemon) serverInfos(service string) []backend.Info {
	servers := d.registry.Servers(service)
	infos := make([]backend.Info, len(servers))
	for i, server := range servers {
		infos[i] = server.Info
	}
	return infos
}
