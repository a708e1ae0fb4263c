package hosted

import (
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/platform"
)

const (
	// directoryTTL is short, so that callers stop using a draining instance
	// before it stops, even those that cache a response for three times its TTL.
	directoryTTL      = time.Second
	maxDirectoryAddrs = 64
	minZoneAddrs      = 2 // with fewer instances in its zone, a caller gets all of the region
)

// serveDirectory returns the addresses of the instances that a caller may use:
// those in its zone if there are at least minZoneAddrs, else those in its
// region, else those in the regions that may run all work of the host. If there
// are none, the list is empty: the body of a request must not enter a region
// that may not run the request.
func (i *Instance) serveDirectory(w http.ResponseWriter, r *http.Request) {
	query := platform.ParseDirectoryQuery(r)
	live := i.roster.Live()
	homes := i.homes(query.Host)
	var inZone, inRegion, inHomes []string
	for _, other := range live {
		if homes == nil || slices.Contains(homes, other.Region) {
			inHomes = append(inHomes, other.CallerAddr)
		}
		if other.Region == query.Region {
			inRegion = append(inRegion, other.CallerAddr)
		}
		if other.Zone == query.Zone {
			inZone = append(inZone, other.CallerAddr)
		}
	}
	addrs := inHomes
	switch {
	case len(inZone) >= minZoneAddrs:
		addrs = inZone
	case len(inRegion) > 0:
		addrs = inRegion
	}
	if err := platform.WriteDirectoryResponse(w, addrs[:min(len(addrs), maxDirectoryAddrs)], min(directoryTTL, i.settings.Bounds.MaxTTL)); err != nil {
		i.log.Warn().Str("event", "directory_answer_failed").Err(err).Msg("")
	}
}

// homes returns the regions that may run all work of a host; nil stands for all
// regions.
func (i *Instance) homes(host string) []string {
	if snapshot := i.table.Current(); snapshot != nil {
		return snapshot.Homes(host)
	}
	return nil
}
