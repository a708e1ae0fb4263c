package daemon

import (
	"context"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/listing"
)

// listServiceName is the RPC name under which ListService is registered.
const listServiceName = "BackendServers"

// errNoServerList is returned if no other instance of the region has returned a
// list of backend servers that is not empty.
var errNoServerList = errors.New("fetch list of backend servers: no other instance of the region returned one")

// ListService is the RPC service that returns this instance's list of backend
// servers to other instances of the region. Its methods follow the rules of
// net/rpc.
type ListService struct{ registry *backend.Registry }

// ListArgs is the empty argument of ListService.List; net/rpc requires one.
type ListArgs struct{}

// List returns the descriptions of all known backend servers.
func (s ListService) List(_ *ListArgs, reply *[]backend.Info) error {
	for _, server := range s.registry.All() {
		*reply = append(*reply, server.Info)
	}
	return nil
}

// refreshServerList reads the platform's list of backend servers into the registry.
// While the list cannot be read, the last one stays in force. An instance without
// any servers fetches the list from another instance of its region, so that
// instances of a region that is cut off can be replaced.
func (d *Daemon) refreshServerList(ctx context.Context) {
	list, err := d.listing.Servers(ctx, d.settings.Region)
	if err == nil {
		d.registry.Replace(list)
		return
	}
	d.log.Warn().Str("event", "list_failed").Err(err).Msg("")
	if len(d.registry.All()) > 0 {
		return
	}
	if list, err = d.fetchServerListFromPeers(ctx); err != nil {
		d.log.Warn().Str("event", "list_of_peers_failed").Err(err).Msg("")
		return
	}
	d.log.Info().Str("event", "list_of_peers").Int("backend_servers", len(list)).Msg("")
	d.registry.Replace(list)
}

func (d *Daemon) fetchServerListFromPeers(ctx context.Context) ([]backend.Info, error) {
	for _, instance := range d.peers.inRegion(d.settings.Region) {
		var list []backend.Info
		err := d.peering.client.Call(ctx, instance, listServiceName+".List", &ListArgs{}, &list)
		if err == nil && len(list) > 0 {
			return list, nil
		}
	}
	return nil, errNoServerList
}

// inRegion returns the other instances of a region. The slice must not be modified.
func (t *peerTable) inRegion(region string) []listing.Instance {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.byRegion[region]
}
