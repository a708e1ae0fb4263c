package hosted

import (
	"net/http"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

const (
	// directoryTTL is short, so that callers stop using a draining instance
	// before it stops, even those that cache a response for three times its TTL.
	directoryTTL      = time.Second
	maxDirectoryAddrs = 64
	minZoneAddrs      = 2 // with fewer instances in its zone, a caller gets all of the region
)

// directoryReason is why a response of the directory names its instances.
type directoryReason string

// The reasons of directory responses.
const (
	directoryZone   directoryReason = "zone"   // the instances of the caller's zone
	directoryRegion directoryReason = "region" // the instances of the caller's region
	directoryHomes  directoryReason = "homes"  // the caller's region has no instance: those of regions that may run the host's work
	directoryNone   directoryReason = "none"   // no instance may be named
)

// serveDirectory returns the addresses of the instances that a caller may use.
func (i *Instance) serveDirectory(w http.ResponseWriter, r *http.Request) {
	query := platform.ParseDirectoryQuery(r)
	instances, reason := i.lookup(query)
	instances = instances[:min(len(instances), maxDirectoryAddrs)]
	var addrs, regions []string
	for _, instance := range instances {
		addrs = append(addrs, instance.CallerAddr)
		if !slices.Contains(regions, instance.Region) {
			regions = append(regions, instance.Region)
		}
	}
	i.directory.Responded(time.Now(), telemetry.DirectoryResponse{
		Host: query.Host, Region: query.Region, Zone: query.Zone, Reason: string(reason),
		Instances: len(instances), Regions: regions, Revision: i.revision(), StoreOutage: i.mirror.Outage(),
	})
	if err := platform.WriteDirectoryResponse(w, addrs, min(directoryTTL, i.settings.Bounds.MaxTTL)); err != nil {
		i.log.Warn().Str("event", "directory_answer_failed").Err(err).Msg("")
	}
}

// lookup returns the instances that a caller may use: those in its zone if there
// are at least minZoneAddrs, else those in its region, else those in the regions
// that may run all work of the host. If there are none, the result is empty: the
// body of a request must not enter a region that may not run the request.
func (i *Instance) lookup(query platform.DirectoryQuery) ([]roster.Instance, directoryReason) {
	homes := i.homes(query.Host)
	var inZone, inRegion, inHomes []roster.Instance
	for _, other := range i.roster.Live() {
		if homes == nil || slices.Contains(homes, other.Region) {
			inHomes = append(inHomes, other)
		}
		if other.Region == query.Region {
			inRegion = append(inRegion, other)
		}
		if other.Zone == query.Zone {
			inZone = append(inZone, other)
		}
	}
	switch {
	case len(inZone) >= minZoneAddrs:
		return inZone, directoryZone
	case len(inRegion) > 0:
		return inRegion, directoryRegion
	case len(inHomes) > 0:
		return inHomes, directoryHomes
	}
	return nil, directoryNone
}

// homes returns the regions that may run all work of a host; nil stands for all
// regions.
func (i *Instance) homes(host string) []string {
	if snapshot := i.table.Current(); snapshot != nil {
		return snapshot.Homes(host)
	}
	return nil
}
