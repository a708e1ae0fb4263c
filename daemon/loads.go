package daemon

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/dispatch"
	"github.com/fuchsiastack/fuchsiastack/internal/boundedhttp"
	"github.com/fuchsiastack/fuchsiastack/load"
)

const (
	loadTimeout        = time.Second
	maxLoadReportBytes = 16 << 10
)

// newLoadTracker returns the controller that tracks the load of backend servers.
func (d *Daemon) newLoadTracker() *load.Tracker {
	return load.NewTracker(d.registry, d.settings.Instance, d.regionMembers, newLoadFetcher())
}

// regionMembers returns the ids of the live instances of this region, including
// this instance and those that are draining.
func (d *Daemon) regionMembers() []string {
	members := d.membershipRunner.StateMachine.View().Members(d.settings.Region)
	ids := make([]string, len(members))
	for i, member := range members {
		ids[i] = member.Instance.ID
	}
	return ids
}

// httpLoadFetcher fetches load reports from backend servers over HTTP. It
// implements load.Fetcher.
type httpLoadFetcher struct{ client *http.Client }

func newLoadFetcher() httpLoadFetcher {
	return httpLoadFetcher{client: &http.Client{Transport: boundedhttp.NewTransport()}}
}

// FetchLoad implements load.Fetcher.
func (f httpLoadFetcher) FetchLoad(ctx context.Context, server *backend.Server) (report backend.Load, draining bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Addr+"/load", http.NoBody)
	if err != nil {
		return report, false, err
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return report, false, err
	}
	defer resp.Body.Close()
	draining = dispatch.AnnouncesLeaving(resp)
	if limit := dispatch.RateLimitOf(resp); limit != nil {
		server.RecordRateLimit(*limit)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoadReportBytes)).Decode(&report); err != nil {
		return report, draining, errors.Wrapf(err, "decode load report of %s", server.Addr)
	}
	if err := report.Validate(); err != nil {
		return backend.Load{}, draining, errors.Wrapf(err, "load report of %s", server.Addr)
	}
	return report, draining, nil
}
