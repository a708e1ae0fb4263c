package hosted

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/capacity"
	"github.com/fuchsiastack/fuchsiastack/collector"
)

// learningServers returns servers with 16 slots whose concurrency is learned.
func learningServers(count int, started int64) []*backend.Server {
	registry := backend.NewRegistry()
	registry.LearnConcurrency = true
	var list []backend.Info
	for k := range count {
		list = append(list, backend.Info{ID: fmt.Sprint("engine-", k), Service: "s", Slots: 16, Started: started})
	}
	registry.Replace(list)
	return registry.Servers("s")
}

// TestCapacitiesAreTold guards against instances that each see too few late answers to
// limit a server, against messages that grow with the number of servers, and against
// reports of another process that limit its successor.
func TestCapacitiesAreTold(t *testing.T) {
	t.Parallel()
	c := qt.New(t)
	now := time.Now()
	own, others := learningServers(1, 7), learningServers(1, 7)
	for k := range 16 {
		member := learningServers(1, 7)
		for j, ratio := range []float64{0.2, 1.5} {
			member[0].Concurrency().Observe(now, 16, capacity.Sample{Requests: 4 + 12*j, Ratio: ratio, Began: now})
		}
		_, changed := member[0].Concurrency().Evaluate(now, 16, true)
		c.Assert(changed, qt.IsFalse, qt.Commentf("a single late answer"))
		reports := transmit(c, capacityReports(now, member, true))
		reports.record(now, fmt.Sprint("member-", k), collector.Member, own)
		c.Check(transmit(c, capacityReports(now, member, false)), qt.HasLen, 0)
	}
	_, changed := own[0].Concurrency().Evaluate(now, 16, true)
	c.Assert(changed, qt.IsTrue)
	lowered := own[0].GoodSlots(now)
	c.Check(lowered < 16, qt.IsTrue)
	limits := transmit(c, capacityReports(now, own, false))
	limits.record(now, "collector", collector.Collector, others)
	c.Check(others[0].GoodSlots(now), qt.Equals, lowered)
	successor := learningServers(1, 8)
	limits.record(now, "collector", collector.Collector, successor)
	c.Check(successor[0].GoodSlots(now), qt.Equals, 16)

	many := learningServers(300, 7)
	for _, server := range many {
		for range 4 {
			server.Concurrency().Observe(now, 16, capacity.Sample{Requests: 16, Ratio: 3.3333, Began: now})
		}
		server.Concurrency().Evaluate(now, 16, true)
		server.Concurrency().Observe(now.Add(time.Second), 16, capacity.Sample{Requests: 9, Ratio: 3.3333, Began: now.Add(900 * time.Millisecond)})
	}
	now = now.Add(time.Second)
	text, err := json.Marshal(capacityReports(now, many, true))
	c.Assert(err, qt.IsNil)
	t.Logf("%d bytes", len(text))
	c.Check(len(text) < 4<<10, qt.IsTrue, qt.Commentf("%d bytes", len(text)))
}

// TestAdmissionSlots guards against a queue that fills servers which serve fewer requests
// per second the more they have, against one that refuses requests for which others have
// slots, and against the option for measurements having no effect.
func TestAdmissionSlots(t *testing.T) {
	t.Parallel()
	now := time.Now()
	for _, test := range []struct {
		concurrency ConcurrencyUse
		use         capacity.Use
		want        int
	}{
		{ConcurrencyFull, capacity.Admission, 3},
		{ConcurrencyFull, capacity.Trial, 3},
		{ConcurrencyFull, capacity.Preference, 16},
		{ConcurrencyRouting, capacity.Admission, 16},
	} {
		server := learningServers(1, 7)[0]
		server.Concurrency().Merge(now, "other", false, capacity.Report{Limit: capacity.Limit{Version: 1, Ceiling: 4, Floor: 3, Use: test.use, At: now}})
		i := &Instance{options: Options{Concurrency: test.concurrency}}
		qt.Check(t, i.admissionSlots(now, server), qt.Equals, test.want, qt.Commentf("%+v", test))
		qt.Check(t, server.GoodSlots(now), qt.Equals, 3)
	}
}

func transmit(c *qt.C, reports learnedCapacities) learnedCapacities {
	text, err := json.Marshal(reports)
	c.Assert(err, qt.IsNil)
	var received learnedCapacities
	c.Assert(json.Unmarshal(text, &received), qt.IsNil)
	return received
}
