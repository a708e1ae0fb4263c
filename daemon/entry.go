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

// entries answers callers that ask which instance to use.
type entries struct {
	loads    *entry.Loads
	selector *entry.Selector
}

func (d *Daemon) newEntries() entries {
	loads := &entry.Loads{Self: d.settings.Instance, Own: d.ownLoad}
	return entries{loads: loads, selector: &entry.Selector{Load: loads.Of}}
}

// ownLoad returns the part of this instance's capacity in use: of the requests
// in flight or of the queue, whichever is larger.
func (d *Daemon) ownLoad() float64 {
	inFlight := part(int(d.admission.guard.Held().InFlight), d.settings.MaxInFlight)
	queued := 0.0
	d.admission.queue.Each(func(_ string, stats admission.Stats) {
		for _, rank := range stats.Ranks {
			queued = max(queued, part(rank.Queued, d.settings.QueueEntries))
		}
	})
	return max(inFlight, queued)
}

func part(used, limit int) float64 {
	if limit <= 0 {
		return 0
	}
	return float64(used) / float64(limit)
}

// answerEntry tells a caller which instances to use.
func (d *Daemon) answerEntry(w http.ResponseWriter, r *http.Request) {
	known := d.peers.all()
	if !d.draining.Load() && (d.joined.Load() || len(known) == 0) {
		known = append(known, d.self())
	}
	instances := make([]entry.Instance, len(known))
	for i, p := range known {
		instances[i] = entry.Instance{ID: p.ID, URL: p.URL, Region: p.Region, Zone: p.Zone}
	}
	values := r.URL.Query()
	permits, status := permitsOf(d.table.Current(), values)
	if status != http.StatusOK {
		http.Error(w, http.StatusText(status), status)
		return
	}
	host, _, _ := net.SplitHostPort(r.RemoteAddr)
	answer := d.entries.selector.Select(instances, entry.Query{
		Region: values.Get("region"), Zone: values.Get("zone"),
		Caller: cmp.Or(values.Get("caller"), host), Permits: permits,
	})
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer)
}

// permitsOf returns the regions that may receive the work a caller names. The
// function is nil if it names none.
func permitsOf(snapshot *catalog.Snapshot, values url.Values) (func(region string) bool, int) {
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
