package hosted

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/fuchsiastack/fuchsiastack/collector"
	"github.com/fuchsiastack/fuchsiastack/internal/check"
	"github.com/fuchsiastack/fuchsiastack/origin"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/quota"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

const (
	maxExchangeBytes = 1 << 20 // of a request
	// maxSummaryAge is the age above which a summary is not passed on.
	maxSummaryAge = 5 * time.Second
)

// exchangeRequest is what an instance tells a collector, and from where on it wants
// the placements and the evidence against parts of prompts.
type exchangeRequest struct {
	ID      string `json:"id"`
	Started int64  `json:"started"` // of the process, in Unix milliseconds
	// Role is what the sender is to the receiver.
	Role       collector.Source       `json:"role"`
	Work       collector.Work         `json:"work,omitempty"`
	Loads      collector.Loads        `json:"loads,omitempty"`
	Slowdowns  slowdowns              `json:"slowdowns,omitempty"`
	RateLimits rateLimits             `json:"rate-limits,omitempty"`
	Capacities learnedCapacities      `json:"capacities,omitempty"`
	Placements collector.Placements   `json:"placements,omitempty"`
	Parts      *quarantine.PartReport `json:"parts,omitempty"`
	Quota      *quota.Message         `json:"quota,omitempty"`

	// Leaving means that the sender drains, so that it need not be known any more.
	Leaving bool           `json:"leaving,omitempty"`
	Origins origin.Records `json:"origins,omitempty"`
	// OriginsAfter are the numbers of the last origins of streams received; nil if none are
	// wanted.
	OriginsAfter *originNumbers `json:"origins-after,omitempty"`

	// Summaries asks for the summaries of other regions, or of the receiver's region if
	// the sender is of another one.
	Summaries bool `json:"summaries,omitempty"`

	Region uint64 `json:"region"` // first placement of the region that is wanted
	Remote uint64 `json:"remote"` // the same of other regions
	Since  uint64 `json:"since"`  // version of the last parts received
}

// exchangeResponse is what a collector knows of other instances.
type exchangeResponse struct {
	ID         string                 `json:"id"`
	Started    int64                  `json:"started"`
	Work       collector.Work         `json:"work,omitempty"`
	Loads      collector.Loads        `json:"loads,omitempty"`
	Slowdowns  slowdowns              `json:"slowdowns,omitempty"`
	RateLimits rateLimits             `json:"rate-limits,omitempty"`
	Capacities learnedCapacities      `json:"capacities,omitempty"`
	Placements collector.Placements   `json:"placements,omitempty"` // of the region
	Remote     collector.Placements   `json:"remote,omitempty"`     // of other regions
	Parts      *quarantine.PartReport `json:"parts,omitempty"`
	Summaries  []agedSummary          `json:"summaries,omitempty"`
	Region     string                 `json:"region,omitempty"` // of the responder
	Quota      *quota.Message         `json:"quota,omitempty"`

	Origins     origin.Records `json:"origins,omitempty"`
	OriginsLast *originNumbers `json:"origins-last,omitempty"`

	NextRegion uint64 `json:"next-region"`
	NextRemote uint64 `json:"next-remote"`
	// Limited means that placements and parts are missing, as the link carries
	// enough of them already.
	Limited bool `json:"limited,omitempty"`
}

// agedSummary is the summary of a service in a region, and how old it is.
type agedSummary struct {
	routing.RegionSummary
	AgeMS int64 `json:"age-ms"`
}

// check returns a *check.FieldError for the first field that cannot be used.
func (r *exchangeRequest) check() error {
	switch r.Role {
	case collector.Member, collector.Collector, collector.Remote:
	default:
		return check.Field("role", string(r.Role), check.ErrUnknown)
	}
	if len(r.Slowdowns) > collector.MaxServers {
		return check.Field("slowdowns", strconv.Itoa(len(r.Slowdowns)), check.ErrOutOfRange)
	}
	if len(r.RateLimits) > collector.MaxServers {
		return check.Field("rate-limits", strconv.Itoa(len(r.RateLimits)), check.ErrOutOfRange)
	}
	if len(r.Capacities) > collector.MaxServers {
		return check.Field("capacities", strconv.Itoa(len(r.Capacities)), check.ErrOutOfRange)
	}
	return nil
}

// serveExchange merges the report of another instance and responds with what this one
// knows of the others.
func (e *exchanger) serveExchange(w http.ResponseWriter, r *http.Request) {
	i := e.instance
	var request exchangeRequest
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxExchangeBytes))
	if err == nil {
		err = json.Unmarshal(body, &request)
	}
	if err == nil {
		err = request.check()
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	now := time.Now()
	response := exchangeResponse{ID: i.settings.Instance, Region: i.settings.Region, Started: i.roster.Self.Started}
	if request.Parts != nil {
		i.parts.Merge(now, request.Parts)
	}
	if request.Role != collector.Remote {
		_, live := e.find(i.settings.Region, request.ID)
		if !live && !request.Leaving {
			http.Error(w, "instance "+check.Shorten(request.ID)+" is not known in region "+i.settings.Region, http.StatusConflict)
			return
		}
		i.origins.receive(now, request.Role, request.Origins)
		if !live {
			i.writeJSON(w, response)
			return
		}
		e.hub.Report(now, request.Role, request.ID, request.Work)
		i.quotas.Merge(now, 0, quota.Role(request.Role), request.ID, request.Quota)
		recordLoads(now, request.Loads, i.registry.All())
		request.Slowdowns.record(now, i.registry.All())
		request.RateLimits.record(now, i.registry.All())
		request.Capacities.record(now, request.ID, request.Role, i.registry.All())
		i.router.Prefix.MergePlacements(now, request.Placements)
		e.hub.AddPlacements(now, request.Role, request.Placements)
		own := i.ownWork()
		if request.Role == collector.Collector {
			response.Work = e.hub.CellWork(now, own).Heaviest(maxReportedServers)
		} else {
			response.Work = e.hub.OthersWork(now, own, request.ID).Heaviest(maxReportedServers)
		}
		response.Loads = recentLoads(now, i.registry.All())
		response.Slowdowns = recentSlowdowns(now, i.registry.All())
		response.RateLimits = currentRateLimits(now, i.registry.All())
		response.Capacities = capacityReports(now, i.registry.All(), request.Role == collector.Collector)
	}
	response.Quota = i.quotas.Report(now, quotaRoleOfResponse(request.Role), request.ID)
	switch {
	case !request.Summaries:
	case request.Role == collector.Remote:
		response.Summaries = e.ownSummaries()
	default:
		response.Summaries = e.otherSummaries(now)
	}
	if request.OriginsAfter != nil {
		limit := originsPerExchange
		if request.Role == collector.Remote {
			limit = originsPerRemoteExchange
		}
		origins, last := i.origins.since(now, *request.OriginsAfter, limit, true)
		response.Origins, response.OriginsLast = origins, &last
	}
	response.Limited = !i.reportBudget.available()
	if !response.Limited {
		known := e.hub.Placements(request.Role, request.Region, request.Remote)
		response.Placements, response.NextRegion = known.Region, known.NextRegion
		response.Remote, response.NextRemote = known.Remote, known.NextRemote
		response.Parts = i.parts.Report(now, request.Since)
	}
	i.writeJSON(w, response)
	i.reportBudget.spend(response.limitedBytes())
}

// limitedBytes returns the encoded size of the placements and parts. The rest of a response
// is not limited and does not count: on a thin link, what is always sent would use up the
// budget, and members of the collector would never learn of placements.
func (r *exchangeResponse) limitedBytes() int {
	size := r.Placements.EncodedLen() + r.Remote.EncodedLen()
	if r.Parts == nil {
		return size
	}
	parts, _ := json.Marshal(r.Parts) // has been encoded as a part of the response already
	return size + len(parts)
}

// ownSummaries returns the summaries of this region.
func (e *exchanger) ownSummaries() []agedSummary {
	var own []agedSummary
	for _, service := range e.instance.registry.Services() {
		own = append(own, agedSummary{RegionSummary: e.instance.router.Summarize(service)})
	}
	return own
}

// otherSummaries returns the summaries of other regions, with their age.
func (e *exchanger) otherSummaries(now time.Time) []agedSummary {
	var others []agedSummary
	for _, summary := range e.instance.summaries.All() {
		if age := now.Sub(summary.At); age <= maxSummaryAge {
			others = append(others, agedSummary{summary, age.Milliseconds()})
		}
	}
	return others
}
