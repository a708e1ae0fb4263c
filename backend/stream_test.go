package backend

import (
	"math"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestStreamEstimates guards against a length that single wrong estimates of callers
// determine, and against intervals that outlast the load that they were measured under.
func TestStreamEstimates(t *testing.T) {
	c := qt.New(t)
	r := NewRegistry()
	r.Replace([]Info{{ID: "i-1", Service: "a", State: StateLive}, {ID: "i-2", Service: "a", State: StateLive}, {ID: "i-3", Service: "b", State: StateLive}})
	servers := make(map[string]*Server)
	for _, s := range r.All() {
		servers[s.ID] = s
	}
	now := time.Now()
	c.Assert(servers["i-1"].ExpectedEvents(700), qt.Equals, 0.0)
	c.Assert(r.ExpectedStreamTime(now, "a", 700), qt.Equals, time.Duration(0))
	a := servers["i-1"].StartAttempt(now, Job{})
	for range 20 {
		a.EventReceived(now)
		now = now.Add(100 * time.Millisecond)
	}
	for _, hint := range []int{0, -1, 140, 280, 70, 1400, 14, 140, 140} { // of 20 events each
		a.StreamCompleted(hint, 20)
	}
	a.StreamCompleted(140, 0)
	c.Check(math.Abs(servers["i-1"].ExpectedEvents(700)-100) < 1, qt.IsTrue, qt.Commentf("%v", servers["i-1"].ExpectedEvents(700)))
	c.Check(servers["i-3"].ExpectedEvents(700), qt.Equals, 0.0)
	c.Check(servers["i-1"].EventInterval(now).Round(time.Millisecond), qt.Equals, 100*time.Millisecond)
	c.Check(servers["i-2"].EventInterval(now), qt.Equals, time.Duration(0))
	c.Check(servers["i-2"].ExpectedInterval(now).Round(time.Millisecond), qt.Equals, 100*time.Millisecond)
	c.Check(r.ExpectedStreamTime(now, "a", 700).Round(100*time.Millisecond), qt.Equals, 10*time.Second)
	// A clock that goes backward does not change the estimate.
	c.Check(servers["i-1"].EventInterval(now.Add(-time.Hour)).Round(time.Millisecond), qt.Equals, 100*time.Millisecond)
	c.Check(servers["i-1"].EventInterval(now.Add(10*time.Second)), qt.Equals, time.Duration(0))
}

// BenchmarkEventReceived measures what an instance does for each event of its streams, which
// all update the estimate of their service.
func BenchmarkEventReceived(b *testing.B) {
	r := NewRegistry()
	r.Replace([]Info{{ID: "i-1", Service: "a", State: StateLive}})
	server := r.All()[0]
	b.RunParallel(func(pb *testing.PB) {
		a := server.StartAttempt(time.Now(), Job{})
		for pb.Next() {
			a.EventReceived(time.Now())
		}
	})
}
