package hosted

import (
	"encoding/json"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/collector"
)

// TestLoadsAreTold guards against an instance that goes by a load report of many seconds
// ago although others have received later ones, and against one that replaces its own
// recent report, or passes on old ones.
func TestLoadsAreTold(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := time.Now()
	servers := func(ages ...time.Duration) []*backend.Server {
		var all []*backend.Server
		for i, id := range []string{"idle", "known", "silent"} {
			server := backend.NewServer(backend.Info{ID: id})
			if i < len(ages) {
				server.SetLoad(backend.Load{Running: 3 + i, Waiting: i, Slots: 16, ReceivedAt: now.Add(-ages[i])})
			}
			all = append(all, server)
		}
		return all
	}
	text, err := json.Marshal(recentLoads(now, servers(100*time.Millisecond, 100*time.Millisecond, time.Second)))
	c.Assert(err, qt.IsNil)
	var loads collector.Loads
	c.Assert(json.Unmarshal(text, &loads), qt.IsNil)
	c.Assert(loads, qt.HasLen, 2)

	receiver := servers(20*time.Second, 200*time.Millisecond)
	receiver[0].SetLoad(backend.Load{Running: 16, Slots: 16, ReceivedAt: now.Add(-10 * time.Second)})
	recordLoads(now, loads, receiver)
	c.Check(receiver[0].Load().Running, qt.Equals, 3)
	c.Check(receiver[0].ReportAge(now), qt.Equals, 100*time.Millisecond)
	c.Check(receiver[1].ReportAge(now), qt.Equals, 200*time.Millisecond)
	c.Check(receiver[2].Load().Slots, qt.Equals, 0)
	c.Check(json.Unmarshal([]byte(`"AAAA"`), &loads), qt.IsNotNil)
}

// TestReportBudgetIsForPlacements guards against a collector on a thin link whose budget is
// used up by what it sends anyway, so that its members never learn of placements.
func TestReportBudgetIsForPlacements(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	response := exchangeResponse{Work: collector.Work{1: {1, 2}}, Loads: collector.Loads{{Server: 1}}}
	c.Check(response.limitedBytes(), qt.Equals, 0)
	response.Placements = make(collector.Placements, 30)
	text, err := json.Marshal(response.Placements)
	c.Assert(err, qt.IsNil)
	c.Check(response.limitedBytes(), qt.Equals, len(text)-len(`""`))
}
