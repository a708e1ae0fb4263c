package hosted

import (
	"cmp"
	"slices"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/collector"
)

// maxLoadAge is the age above which a load report is not passed on. Three exchanges take
// a report to all instances of the region.
const maxLoadAge = 400 * time.Millisecond

// loadNewsTime is how long an instance passes on a load report after it has recorded it:
// two exchanges, of which one may be late.
const loadNewsTime = 2 * exchangeInterval

// recentLoads returns the load reports that were received recently, the newest ones of at
// most maxReportedServers servers. A backend server reports its load in its responses, so
// that an instance that sends it a request every many seconds does not learn of its load
// in time.
func recentLoads(now time.Time, servers []*backend.Server) collector.Loads {
	var loads collector.Loads
	for _, server := range servers {
		load := server.Load()
		if age := now.Sub(load.ReceivedAt); !load.ReceivedAt.IsZero() && age <= maxLoadAge && now.Sub(server.LoadRecordedAt()) <= loadNewsTime {
			loads = append(loads, collector.ServerLoad{
				Server: server.Key, Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, Age: max(age, 0),
			})
		}
	}
	slices.SortFunc(loads, func(a, b collector.ServerLoad) int { return cmp.Compare(a.Age, b.Age) })
	return loads[:min(len(loads), maxReportedServers)]
}

// recordLoads records the load reports that another instance has sent in response to a
// query sent at the given time.
func recordLoads(sent time.Time, loads collector.Loads, servers []*backend.Server) {
	if len(loads) == 0 {
		return
	}
	byKey := make(map[uint64]collector.ServerLoad, len(loads))
	for _, load := range loads {
		byKey[load.Server] = load
	}
	for _, server := range servers {
		if load, reported := byKey[server.Key]; reported {
			server.RecordRelayedLoad(time.Now(), backend.Load{
				Running: load.Running, Waiting: load.Waiting, Slots: load.Slots, ReceivedAt: sent.Add(-load.Age),
			})
		}
	}
}
