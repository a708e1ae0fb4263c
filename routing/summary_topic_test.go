package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

func TestSummaryTopicRoundTrip(t *testing.T) {
	c := qt.New(t)
	registry := backend.NewRegistry()
	registry.Replace([]backend.Info{
		{ID: "e1", Service: "drafting-desk", State: backend.StateLive},
		{ID: "p1", Service: "orders-desk", State: backend.StateLive},
	})
	registry.Servers("drafting-desk")[0].SetLoad(backend.Load{Running: 3, Slots: 16, ReceivedAt: time.Now()})
	sender := &SummaryTopic{Router: &Router{Region: "cairo", Registry: registry}}
	receiver := &SummaryTopic{Router: &Router{Region: "alex"}, Table: &SummaryTable{}}
	state := sender.RegionState()
	c.Assert(receiver.MergeRegion("cairo", state, 4*time.Second), qt.IsNil)
	summary, ok := receiver.Table.Summary("cairo", "drafting-desk")
	c.Assert(ok, qt.IsTrue)
	c.Assert([]int{summary.Servers, summary.Slots, summary.FreeSlots}, qt.DeepEquals, []int{1, 16, 13})
	c.Assert(time.Since(summary.At) >= 4*time.Second, qt.IsTrue)
	for n := range state {
		c.Assert(receiver.MergeRegion("cairo", state[:n], 0) != nil || n == 0 || n == len("x")+len("drafting-desk")+len("12345"), qt.IsTrue, qt.Commentf("state truncated to %d bytes", n))
	}
}
