package daemon

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"net/url"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/entry"
	"github.com/fuchsiastack/fuchsiastack/exchange"
)

var _ exchange.Topic = (*entry.Loads)(nil)

// entryService selects the instances that a caller is directed to.
type entryService struct {
	loads    *entry.Loads
	selector *entry.Selector
}

func (d *Daemon) newEntryService() entryService {
	loads := &entry.Loads{Self: d.settings.Instance, LocalLoad: d.localLoad}
	return entryService{loads: loads, selector: &entry.Selector{Load: loads.Of}}
}

// localLoad returns the fraction of this instance's capacity in use: that of the
// requests in flight or that of the fullest queue, whichever is larger.
func (d *Daemon) localLoad() float64 {
	inFlight := utilization(int(d.admission.guard.Usage().InFlight), d.settings.MaxInFlight)
	queued := 0.0
	d.admission.queue.Each(func(_ string, stats admission.Stats) {
		for _, rank := range stats.Ranks {
			queued = max(queued, utilization(rank.Queued, d.settings.QueueEntries))
		}
	})
	return max(inFlight, queued)
}

func utilization(used, limit int) float64 {
	if limit <= 0 {
		return 0
	}
	return float64(used) / float64(limit)
}

// handleEntry responds with the instances that a caller should use, best first.
// This instance is left out while it drains. It is also left out before it has
// joined, unless no other instance is known.
func (d *Daemon) handleEntry(w http.ResponseWriter, r *http.Request) {
	candidates := d.peers.all()
	if !d.draining.Load() && (d.joined.Load() || len(candidates) == 0) {
		candidates = append(candidates, d.self())
	}
	instances := make([]entry.Instance, len(candidates))
	for i, p := range candidates {
		instances[i] = entry.Instance{ID: p.ID, URL: p.URL, Region: p.Region, Zone: p.Zone}
	}
	values := r.URL.Query()
	permits, status := regionFilter(d.table.Current(), values)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	response := d.entryService.selector.Select(instances, entry.Query{
		Region: values.Get("region"), Zone: values.Get("zone"),
		Caller: cmp.Or(values.Get("caller"), host), Permits: permits,
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response)
}

// regionFilter returns a function that reports whether a region may receive the
// work named by the query parameters, and an HTTP status. The function is nil if
// no service is named or the status is not 200.
func regionFilter(snapshot *catalog.Snapshot, values url.Values) (func(region string) bool, int) {
	name := values.Get("service")
	if name == "" {
		return nil, http.StatusOK
	}
	if snapshot == nil {
		return nil, http.StatusServiceUnavailable
	}
	service, work, err := snapshot.Resolve(name, values.Get("work"))
	if err != nil {
		return nil, http.StatusNotFound
	}
	return func(region string) bool { return service.Permits(work, region) }, http.StatusOK
}
