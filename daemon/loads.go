package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/load"
)

const (
	loadTimeout   = time.Second
	maxLoadBytes  = 16 << 10
	refusedHeader = "Fuchsia-Refused"
)

// newLoads returns the controller that follows the load of backend servers.
func (d *Daemon) newLoads() *load.Follower {
	return load.NewFollower(d.registry, d.settings.Instance, d.regionMembers, httpAsker{})
}

// regionMembers returns the ids of the live instances of the region.
func (d *Daemon) regionMembers() []string {
	members := d.members.Machine.View().Members(d.settings.Region)
	ids := make([]string, len(members))
	for i, member := range members {
		ids[i] = member.Instance.ID
	}
	return ids
}

// httpAsker asks backend servers over HTTP. It implements load.Asker.
type httpAsker struct{}

// Ask implements load.Asker.
func (httpAsker) Ask(ctx context.Context, server *backend.Server) (report backend.Load, leaving bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Addr+"/load", http.NoBody)
	if err != nil {
		return report, false, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return report, false, err
	}
	defer resp.Body.Close()
	leaving = resp.Header.Get(refusedHeader) != ""
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&report); err != nil {
		return report, leaving, errors.Wrap(err, "load report")
	}
	return report, leaving, nil
}
