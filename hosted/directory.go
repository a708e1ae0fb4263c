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
	// maxMisplaced is the largest fraction of a host's requests with homes that may
	// be led to a region that is no home of theirs. The platform tolerates one in
	// twenty; the difference allows for callers whose requests are unlike others.
	maxMisplaced = 0.04
)

// directoryReason is why a response of the directory names its instances.
type directoryReason string

// The reasons of directory responses.
const (
	directoryZone   directoryReason = "zone"   // the instances of the caller's zone
	directoryRegion directoryReason = "region" // the instances of the caller's region
	directoryHomes  directoryReason = "homes"  // the caller's region has no instance: those of regions that may run the host's requests
	directoryNone   directoryReason = "none"   // no instance may be named
)

// serveDirectory returns the addresses of the instances that a caller may use.
func (i *Instance) serveDirectory(w http.ResponseWriter, r *http.Request) {
	query := platform.ParseDirectoryQuery(r)
	answer := i.lookup(query)
	instances := answer.instances[:min(len(answer.instances), maxDirectoryAddrs)]
	addrs := []string{}
	var regions []string
	for _, instance := range instances {
		addrs = append(addrs, instance.CallerAddr)
		if !slices.Contains(regions, instance.Region) {
			regions = append(regions, instance.Region)
		}
	}
	i.directory.Responded(time.Now(), telemetry.DirectoryResponse{
		Host: query.Host, Region: query.Region, Zone: query.Zone, Reason: string(answer.reason),
		Instances: len(instances), Regions: regions, Misplaced: answer.misplaced, Revision: i.revision(), StoreOutage: i.mirror.Outage(),
	})
	if err := platform.WriteDirectoryResponse(w, addrs, min(directoryTTL, i.settings.Bounds.MaxTTL)); err != nil {
		i.log.Warn().Str("event", "directory_answer_failed").Err(err).Msg("")
	}
}

// directoryAnswer is what the directory answers to a query, and why.
type directoryAnswer struct {
	instances []roster.Instance
	reason    directoryReason
	// misplaced is the fraction of the host's requests with homes that would be
	// misplaced in each other region; nil if the caller's region has an instance.
	misplaced map[string]float64
}

// lookup returns the instances that a caller may use: those in its zone if there
// are at least minZoneAddrs, else those in its region, else those in the regions
// that may run the host's requests. If there are none, the answer is empty: the
// body of a request must not enter a region that may not run the request.
func (i *Instance) lookup(query platform.DirectoryQuery) directoryAnswer {
	live := i.roster.Live()
	var inZone, inRegion []roster.Instance
	for _, other := range live {
		if other.Region == query.Region {
			inRegion = append(inRegion, other)
		}
		if other.Zone == query.Zone {
			inZone = append(inZone, other)
		}
	}
	switch {
	case len(inZone) >= minZoneAddrs:
		return directoryAnswer{instances: inZone, reason: directoryZone}
	case len(inRegion) > 0:
		return directoryAnswer{instances: inRegion, reason: directoryRegion}
	}
	answer := directoryAnswer{reason: directoryNone, misplaced: i.misplaced(query.Host, live)}
	for _, other := range live {
		if answer.misplaced[other.Region] <= maxMisplaced {
			answer.instances, answer.reason = append(answer.instances, other), directoryHomes
		}
	}
	return answer
}

// misplaced estimates which fraction of a host's requests with homes would be
// misplaced in the region of each instance. If any route may not run in a region, one
// misplaced request more than were observed is assumed there, so that the region is
// ruled out until enough requests show that these routes are hardly used. Without a
// configuration, or for a host that it does not contain, nothing is known of the
// homes and all requests count as misplaced.
func (i *Instance) misplaced(host string, instances []roster.Instance) map[string]float64 {
	fractions := make(map[string]float64)
	for _, instance := range instances {
		fractions[instance.Region] = 1
	}
	snapshot := i.table.Current()
	if snapshot == nil || len(snapshot.Routes.ForHost(host)) == 0 {
		return fractions
	}
	homed := snapshot.HomedRoutes(host)
	requests := make([]float64, len(homed))
	now := time.Now()
	total := 1.0
	for k, route := range homed {
		requests[k] = i.usage.of(now, route.Name)
		total += requests[k]
	}
	for region := range fractions {
		permitted, misplaced := true, 1.0
		for k, route := range homed {
			if !snapshot.RouteMayRunIn(route, region) {
				permitted = false
				misplaced += requests[k]
			}
		}
		fractions[region] = misplaced / total
		if permitted {
			fractions[region] = 0
		}
	}
	return fractions
}
