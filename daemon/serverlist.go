package daemon

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/listing"
)

// listService is the name of ListService among the services of an instance.
const listService = "BackendServers"

// errNoList means that no instance of the region knows the backend servers.
var errNoList = errors.New("no instance of the region has the list of backend servers")

// ListService tells other instances of the region which backend servers this
// one knows. Its methods follow the rules of net/rpc.
type ListService struct{ registry *backend.Registry }

// ListArgs has no content.
type ListArgs struct{}

// List answers with the descriptions of all backend servers.
func (s ListService) List(_ *ListArgs, reply *[]backend.Info) error {
	for _, server := range s.registry.All() {
		*reply = append(*reply, server.Info)
	}
	return nil
}

// readList follows the platform's list of backend servers. While the list
// cannot be read, the last one stays in force; an instance that never had one
// takes it from another instance of its region, so that a region that is cut
// off can replace its instances.
func (d *Daemon) readList(ctx context.Context) {
	list, err := d.listing.Servers(ctx, d.settings.Region)
	if err == nil {
		d.registry.Replace(list)
		return
	}
	d.log.Warn().Str("event", "list_failed").Err(err).Msg("")
	if len(d.registry.All()) > 0 {
		return
	}
	if list, err = d.listOfPeers(ctx); err != nil {
		d.log.Warn().Str("event", "list_of_peers_failed").Err(err).Msg("")
		return
	}
	d.log.Info().Str("event", "list_of_peers").Int("backend_servers", len(list)).Msg("")
	d.registry.Replace(list)
}

func (d *Daemon) listOfPeers(ctx context.Context) ([]backend.Info, error) {
	for _, instance := range d.peers.in(d.settings.Region) {
		var list []backend.Info
		err := d.peering.client.Call(ctx, instance, listService+".List", &ListArgs{}, &list)
		if err == nil && len(list) > 0 {
			return list, nil
		}
	}
	return nil, errNoList
}

// in returns the other instances of a region.
func (t *peerTable) in(region string) []listing.Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byRegion[region]
}
