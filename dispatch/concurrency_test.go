package dispatch

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/filters"
)

// misses lets an instance learn the concurrency of new server processes that are full,
// sends one request, and returns the weight of the late samples.
func misses(i *testInstance, change ...func(*filters.Exchange)) float64 {
	var list []backend.Info
	for _, server := range i.registry.All() {
		info := server.Info
		info.Started++
		list = append(list, info)
	}
	i.registry.LearnConcurrency = true
	i.registry.Replace(list)
	for _, server := range i.registry.All() {
		server.SetLoad(backend.Load{Running: 8, Slots: 8, ReceivedAt: time.Now()})
	}
	_, _ = i.send("order", change...)
	total := 0.0
	for _, server := range i.registry.All() {
		report, _ := server.Concurrency().Report(time.Now(), 8)
		total += report.Misses
	}
	return total
}

// TestLateAnswersAreSamples guards against attempts that teach nothing of the concurrency
// that servers handle well: late responses, and streams that pause for too long.
func TestLateAnswersAreSamples(t *testing.T) {
	inVirtualTime(t, 1, 8, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		e.responseTime = testService.Ranks[0].Target * 3 / 2
		c.Check(misses(all[0]) > 0.9, qt.IsTrue)
		e.responseTime = testService.Ranks[0].Target / 2
		c.Check(misses(all[0]), qt.Equals, 0.0)
	})
	for gap, late := range map[time.Duration]bool{500 * time.Millisecond: true, 300 * time.Millisecond: false} {
		inStreamTest(t, &streamServers{events: 3, gap: gap}, func(c *qt.C, i *testInstance) {
			c.Check(misses(i, streaming(), func(x *filters.Exchange) { x.Work.MaxGap = 400 * time.Millisecond }) > 1, qt.Equals, late)
		})
	}
}
