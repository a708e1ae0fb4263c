package hosted

import (
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

const (
	// maxSlowdownAge is the age above which a slowdown is not reported to other
	// instances: it has most likely ended.
	maxSlowdownAge = 400 * time.Millisecond
	// maxSlowServers limits the backend servers whose slowdowns are reported.
	maxSlowServers = 32
)

// slowdowns holds the recent slowdowns of backend servers, by id.
type slowdowns map[string]slowdown

// slowdown is what a backend server reported of its slowdown.
type slowdown struct {
	Factor backend.Slowdown `json:"factor"`
	AgeMS  int64            `json:"age-ms"`
}

// recentSlowdowns returns the slowdowns that were reported recently. A server that
// works as usual is left out, since a slowdown that is not confirmed ends by itself.
func recentSlowdowns(now time.Time, servers []*backend.Server) slowdowns {
	var recent slowdowns
	for _, server := range servers {
		last := server.LastSlowdown()
		age := now.Sub(last.ReceivedAt)
		if last.Slowdown == 0 || last.Slowdown == 1 || age > maxSlowdownAge || len(recent) == maxSlowServers {
			continue
		}
		if recent == nil {
			recent = make(slowdowns)
		}
		recent[server.ID] = slowdown{last.Slowdown, age.Milliseconds()}
	}
	return recent
}

// record records the slowdowns that another instance has reported in response to a
// query sent at the given time.
func (s slowdowns) record(sent time.Time, servers []*backend.Server) {
	if len(s) == 0 {
		return
	}
	for _, server := range servers {
		report, reported := s[server.ID]
		if reported && report.AgeMS >= 0 && report.Factor.Validate() == nil {
			server.RecordSlowdown(backend.SlowdownReport{
				Slowdown: report.Factor, ReceivedAt: sent.Add(-time.Duration(report.AgeMS) * time.Millisecond),
			})
		}
	}
}
