package hosted

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/capacity"
	"github.com/fuchsiastack/fuchsiastack/collector"
	"github.com/fuchsiastack/fuchsiastack/internal/check"
)

// ConcurrencyUse selects where the concurrency that servers handle well is used.
type ConcurrencyUse string

// The values of ConcurrencyUse.
const (
	ConcurrencyOff     ConcurrencyUse = ""        // it is not learned
	ConcurrencyRouting ConcurrencyUse = "routing" // in routing and summaries; admission counts all slots
	ConcurrencyFull    ConcurrencyUse = "full"    // in admission, routing and summaries
)

// Validate returns a *check.FieldError if the value is unknown.
func (u ConcurrencyUse) Validate() error {
	switch u {
	case ConcurrencyFull, ConcurrencyRouting, ConcurrencyOff:
		return nil
	}
	return check.Field("concurrency", string(u), check.ErrUnknown)
}

const (
	// maxLearnedServers limits the backend servers that are told of in one exchange. Of
	// more servers, each exchange tells others.
	maxLearnedServers = 16
	// newReductionTime is how long a changed limit is told in each exchange. Later it is
	// told in one of retellInterval exchanges, for instances that have missed it.
	newReductionTime = 8 * exchangeInterval
	retellInterval   = 8
	// evidenceUnit is the resolution of the evidence in messages.
	evidenceUnit = 0.1
)

// learnedCapacities holds what was learned of backend servers, by id.
type learnedCapacities map[string]learnedCapacity

// learnedCapacity is a capacity.Report of a backend server.
type learnedCapacity struct {
	Started  int64        `json:"started,omitempty"` // of the server's process
	Version  uint32       `json:"version,omitempty"`
	Ceiling  float64      `json:"ceiling,omitempty"`
	Floor    float64      `json:"floor,omitempty"`
	Releases int          `json:"releases,omitempty"`
	Use      capacity.Use `json:"use,omitempty"`
	AgeMS    int64        `json:"age-ms,omitempty"`
	// Evidence holds the fields of capacity.Evidence in multiples of evidenceUnit.
	Evidence []int64 `json:"evidence,omitempty"`
}

// capacityReports returns what others need to know of servers. withEvidence selects the
// evidence against limits, which only collectors use.
func capacityReports(now time.Time, servers []*backend.Server, withEvidence bool) learnedCapacities {
	var reports learnedCapacities
	offset := rand.IntN(len(servers) + 1)
	for k := range servers {
		server := servers[(k+offset)%len(servers)]
		if len(reports) == maxLearnedServers {
			break
		}
		estimator := server.Concurrency()
		if estimator == nil {
			continue
		}
		report, useful := estimator.Report(now, server.SlotCount())
		hasEvidence := withEvidence && report.Misses > 0
		recent := report.Version > 0 && (now.Sub(report.At) <= newReductionTime || rand.IntN(retellInterval) == 0)
		if !useful || !hasEvidence && !recent {
			continue
		}
		if reports == nil {
			reports = make(learnedCapacities)
		}
		reports[server.ID] = encodeCapacity(now, server.Started, &report, hasEvidence)
	}
	return reports
}

func encodeCapacity(now time.Time, started int64, r *capacity.Report, withEvidence bool) learnedCapacity {
	l := learnedCapacity{
		Started: started, Version: r.Version, Ceiling: round(r.Ceiling), Floor: round(r.Floor), Releases: r.Releases, Use: r.Use,
	}
	if r.Version > 0 {
		l.AgeMS = max(now.Sub(r.At).Milliseconds(), 0)
	}
	if withEvidence {
		for _, v := range r.Values() {
			l.Evidence = append(l.Evidence, int64(math.Round(v/evidenceUnit)))
		}
	}
	return l
}

// round limits the digits of a number in messages.
func round(v float64) float64 { return math.Round(v*100) / 100 }

// record merges what another instance has reported in response to a query sent at the
// given time. role is what the other instance is to this one. Reports of another process
// of a server are ignored.
func (l learnedCapacities) record(sent time.Time, source string, role collector.Source, servers []*backend.Server) {
	if len(l) == 0 {
		return
	}
	for _, server := range servers {
		told, reported := l[server.ID]
		estimator := server.Concurrency()
		if !reported || estimator == nil || told.Started != server.Started || told.AgeMS < 0 {
			continue
		}
		report := capacity.Report{Limit: capacity.Limit{
			Version: told.Version, Ceiling: told.Ceiling, Floor: told.Floor, Releases: told.Releases, Use: told.Use,
			At: sent.Add(-time.Duration(min(told.AgeMS, math.MaxInt32)) * time.Millisecond),
		}}
		values := report.Pointers()
		for k := 0; len(told.Evidence) == len(values) && k < len(values); k++ {
			*values[k] = float64(told.Evidence[k]) * evidenceUnit
		}
		estimator.Merge(time.Now(), source, role == collector.Collector, report)
	}
}
