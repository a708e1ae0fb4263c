package routing

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// reachable is a fixed set of regions.
type reachable []string

// Reachable implements Regions.
func (r reachable) Reachable() []string { return r }

// overloaded returns a router of region cairo whose servers all have a wait of about
// 6 s, and its clock, which the test advances.
func overloaded(spill *Spiller) (*Router, *time.Time) {
	registry := newRegistry(9, 8)
	for _, server := range registry.All() {
		server.SetLoad(backend.Load{Running: 8, Waiting: 24, Slots: 8, ReceivedAt: start})
	}
	router := newRouter(registry, 1)
	now := start
	router.Now = func() time.Time { return now }
	router.Health = nil
	router.Regions = reachable{"alex"}
	router.Spill = spill
	return router, &now
}

func urgent(now time.Time, bytes int) *Request {
	return &Request{Service: testService, Work: testWork, Received: now, Deadline: now.Add(20 * time.Second), PromptTokens: 1000, BodyBytes: bytes}
}

// idle returns a summary of region alex without a wait and with the given number of
// free slots.
func idle(now time.Time, free int) RegionSummary {
	return RegionSummary{Region: "alex", Service: testService.Name, Servers: 18, Slots: 144, FreeSlots: free, PrefillRate: simRate, At: now}
}

// sent routes perSecond requests per second for d, with a fresh summary each second,
// and returns how many were sent to another region in each second.
func sent(router *Router, now *time.Time, table *SummaryTable, perSecond, bytes int, d time.Duration) []int {
	var counts []int
	for range int(d / time.Second) {
		count := 0
		table.Put(idle(*now, 1000))
		for range perSecond {
			if router.Decide(urgent(*now, bytes)).Region != "" {
				count++
			}
			*now = now.Add(time.Second / time.Duration(perSecond))
		}
		counts = append(counts, count)
	}
	return counts
}

// TestRampAfterLinkRecovery interrupts the link for a minute. The rate of spilled
// requests must start low after the recovery, because the caches of the other region
// are cold then.
func TestRampAfterLinkRecovery(t *testing.T) {
	c := qt.New(t)
	run := func(spill *Spiller) (before, after []int) {
		table := &SummaryTable{}
		spill.Summaries = table
		router, now := overloaded(spill)
		before = sent(router, now, table, 100, 0, 20*time.Second)
		router.Regions = reachable{}
		for range 60 {
			c.Assert(router.Decide(urgent(*now, 0)).Region, qt.Equals, "")
			*now = now.Add(time.Second)
		}
		router.Regions = reachable{"alex"}
		return before, sent(router, now, table, 100, 0, 20*time.Second)
	}
	before, after := run(&Spiller{})
	_, withoutRamp := run(&Spiller{RampStart: 1e6, RampMax: 1e6})
	t.Logf("requests per second before the interruption %d; after the recovery %v; without the ramp %v", before[len(before)-1], after, withoutRamp)
	c.Assert(withoutRamp[1], qt.Equals, 100)
	c.Assert(after[1] <= 4, qt.IsTrue)
	c.Assert(after[len(after)-1] >= 60, qt.IsTrue)
}

// TestIdleRegionDoesNotRestartRamp guards against refusals while another region has
// free slots: the ramp must not restart for a region that was reachable but received
// no requests for some time. It must restart for a region that was unreachable.
func TestIdleRegionDoesNotRestartRamp(t *testing.T) {
	c := qt.New(t)
	table := &SummaryTable{}
	spill := &Spiller{Summaries: table}
	router, now := overloaded(spill)
	before := sent(router, now, table, 100, 0, 20*time.Second)
	for range 30 {
		table.Put(idle(*now, 1000))
		*now = now.Add(time.Second)
	}
	after := sent(router, now, table, 100, 0, 2*time.Second)
	t.Logf("requests per second before the pause %d, after it %v", before[len(before)-1], after)
	c.Assert(before[len(before)-1] >= 60, qt.IsTrue)
	// In the first second, some requests stay because of the hysteresis.
	c.Assert(after[1], qt.Equals, 100)
	spill.Failed(*now, "alex")
	c.Assert(sent(router, now, table, 100, 0, time.Second)[0] <= 4, qt.IsTrue)
}

func TestLinkCap(t *testing.T) {
	c := qt.New(t)
	const bytes = 1 << 20
	run := func(link *LinkBudget) int {
		table := &SummaryTable{}
		router, now := overloaded(&Spiller{Summaries: table, Link: link, RampStart: 1e6, RampMax: 1e6})
		total := 0
		for _, n := range sent(router, now, table, 400, bytes, 10*time.Second) {
			total += n
		}
		return total * bytes / 10
	}
	seventh := &LinkBudget{Share: func() float64 { return 1.0 / 7 }}
	on, off := run(seventh), run(nil)
	t.Logf("bytes per second with the cap %d, without %d", on, off)
	c.Assert(float64(off) > 250e6/7, qt.IsTrue)
	c.Assert(float64(on) < 250e6/7*1.05, qt.IsTrue)
	c.Assert(float64(on) > 250e6/7*0.8, qt.IsTrue)
	// Responses are never delayed, but their bytes delay the next request.
	seventh.Spend(start.Add(time.Minute), 250e6)
	c.Assert(seventh.Take(start.Add(61*time.Second), 1), qt.IsFalse)
	c.Assert(seventh.Take(start.Add(68*time.Second), 1), qt.IsTrue)
}

// TestSpillHysteresis raises the local cost above the target for 300 ms of each
// second, which is too short for requests to spill.
func TestSpillHysteresis(t *testing.T) {
	c := qt.New(t)
	run := func(enter time.Duration) int {
		table := &SummaryTable{}
		router, now := overloaded(&Spiller{Summaries: table, EnterAfter: enter})
		count := 0
		for i := range 600 {
			table.Put(idle(*now, 1000))
			waiting := 0
			if i%20 < 6 {
				waiting = 24
			}
			for _, server := range router.Registry.All() {
				server.SetLoad(backend.Load{Running: 7, Waiting: waiting, Slots: 8, ReceivedAt: *now})
			}
			if router.Decide(urgent(*now, 0)).Region != "" {
				count++
			}
			*now = now.Add(50 * time.Millisecond)
		}
		return count
	}
	on, off := run(0), run(time.Nanosecond)
	t.Logf("spilled with hysteresis %d, without %d of 600 requests", on, off)
	c.Assert(off > 0, qt.IsTrue)
	c.Assert(on, qt.Equals, 0)
}

func TestSpillConditions(t *testing.T) {
	now := start.Add(time.Minute)
	batch := catalog.Work{Name: "draft", Rank: catalog.Batch, Repeatable: true}
	home := catalog.Work{Name: "ministry-draft", Home: "cairo", Repeatable: true}
	stale := idle(now, 100)
	stale.At = now.Add(-time.Minute)
	busy := idle(now, 100)
	busy.Wait = 3 * time.Second
	for _, test := range []struct {
		name    string
		summary RegionSummary
		change  func(*Request)
		want    string
	}{
		{"all conditions met", idle(now, 100), func(*Request) {}, "alex"},
		{"local server meets target of batch work", idle(now, 100), func(r *Request) { r.Work = batch }, ""},
		{"only home is this region", idle(now, 100), func(r *Request) { r.Work = home }, ""},
		{"forwarded", idle(now, 100), func(r *Request) { r.Forwarded = true }, ""},
		{"another region was tried", idle(now, 100), func(r *Request) { r.StayLocal = true }, ""},
		{"suspect", idle(now, 100), func(r *Request) { r.Alone = true }, ""},
		{"stale summary", stale, func(*Request) {}, ""},
		{"remote wait", busy, func(*Request) {}, ""},
		{"no free slot", idle(now, 0), func(*Request) {}, ""},
		{"cold prefill too long", idle(now, 100), func(r *Request) { r.PromptTokens = 13000 }, ""},
		{"transfer too long", idle(now, 100), func(r *Request) { r.BodyBytes = 400 << 20 }, ""},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := &SummaryTable{}
			router, clock := overloaded(&Spiller{Summaries: table, EnterAfter: time.Nanosecond})
			router.Decide(urgent(*clock, 0)) // the first miss
			*clock = now
			router.Decide(urgent(*clock, 0))
			*clock = now.Add(time.Millisecond)
			table.Put(test.summary)
			req := urgent(*clock, 0)
			test.change(req)
			qt.Assert(t, router.Decide(req).Region, qt.Equals, test.want)
		})
	}
}

// TestConflictingSummariesForwardOnce has two overloaded regions whose summaries of
// each other show an idle region. A request must be forwarded at most once.
func TestConflictingSummariesForwardOnce(t *testing.T) {
	c := qt.New(t)
	hops := func(setForwarded bool) int {
		routers := make(map[string]*Router)
		for _, pair := range [][2]string{{"cairo", "alex"}, {"alex", "cairo"}} {
			table := &SummaryTable{}
			router, _ := overloaded(&Spiller{Summaries: table, EnterAfter: time.Nanosecond})
			other := idle(start, 100)
			other.Region = pair[1]
			table.Put(other)
			router.Region, router.Regions = pair[0], reachable{pair[1]}
			now := start
			router.Now = func() time.Time { return now }
			router.Decide(urgent(now, 0))
			now = now.Add(time.Millisecond)
			routers[pair[0]] = router
		}
		req := urgent(start, 0)
		region := "cairo"
		for hop := range 10 {
			d := routers[region].Decide(req)
			if d.Region == "" {
				return hop
			}
			region = d.Region
			req.Forwarded = setForwarded
		}
		return 10
	}
	on, off := hops(true), hops(false)
	t.Logf("hops between regions %d, without Request.Forwarded %d", on, off)
	c.Assert(on, qt.Equals, 1)
	c.Assert(off > 1, qt.IsTrue)
}

// TestNoSlot routes requests that got no slot from admission, while the servers are
// idle. The requests spill or are refused, but never run in this region.
func TestNoSlot(t *testing.T) {
	c := qt.New(t)
	table := &SummaryTable{}
	router := newRouter(newRegistry(9, 8), 1)
	now := start
	router.Now = func() time.Time { return now }
	router.Regions = reachable{"alex"}
	request := func() *Request {
		req := urgent(now, 0)
		req.NoLocalSlot = true
		return req
	}
	d := router.Decide(request())
	c.Assert(d.Server == nil && d.Region == "", qt.IsTrue) // without a Spiller the load of the other region is unknown
	router.Spill = &Spiller{Summaries: table}
	c.Assert(router.CanSpill(request()), qt.IsFalse) // no summary
	for range 6 {
		now = now.Add(100 * time.Millisecond)
		router.CanSpill(request())
	}
	c.Assert(router.CanSpill(request()), qt.IsFalse) // no summary
	c.Assert(router.Decide(request()).Reason, qt.Equals, ReasonNoSlot)
	table.Put(idle(now, 1))
	c.Assert(router.CanSpill(request()), qt.IsTrue)
	c.Assert(router.Decide(request()).Region, qt.Equals, "alex")
	c.Assert(router.CanSpill(request()), qt.IsFalse) // the free slot of the summary is used up
	c.Assert(router.Decide(request()).Server, qt.IsNil)
	stay := request()
	stay.StayLocal = true
	c.Assert(router.Decide(stay).Reason, qt.Equals, ReasonNoSlot)
}

func TestSummarize(t *testing.T) {
	c := qt.New(t)
	router := newRouter(newRegistry(4, 8), 1)
	servers := router.Registry.Servers(testService.Name)
	servers[0].SetLoad(backend.Load{Running: 8, Waiting: 2, Slots: 8, ReceivedAt: start})
	servers[1].SetDraining()
	servers[2].Health().Eject(start.Add(time.Minute))
	summary := router.Summarize(testService.Name)
	c.Assert(summary.Servers, qt.Equals, 2)
	c.Assert(summary.FreeSlots, qt.Equals, 8)
	c.Assert(summary.Wait, qt.Equals, time.Duration(0))
	router.Waiting = func(string) int { return 3 }
	c.Assert(router.Summarize(testService.Name).FreeSlots, qt.Equals, 5)
	router.Waiting = func(string) int { return 9 }
	c.Assert(router.Summarize(testService.Name).FreeSlots, qt.Equals, 0)
	// If all servers are ejected, this region still uses them, but its summary
	// reports none, so that other regions send no requests.
	for _, server := range servers {
		server.Health().Eject(start.Add(time.Minute))
	}
	c.Assert(router.Summarize(testService.Name).Servers, qt.Equals, 0)
	c.Assert(slices.Collect(router.Healthy(testService.Name)), qt.HasLen, 3)
}

func TestSampleIsUniformAndFallsBack(t *testing.T) {
	c := qt.New(t)
	router := newRouter(newRegistry(100, 8), 1)
	router.Random = rand.New(rand.NewPCG(1, 1))
	seen := make(map[string]bool)
	for range 2000 {
		seen[router.Decide(urgent(start, 0)).Server.ID] = true
	}
	c.Assert(len(seen) > 45, qt.IsTrue) // nearly all servers of zone a, which cost less
	for _, server := range router.Registry.All() {
		server.Health().Eject(start.Add(time.Minute))
	}
	d := router.Decide(urgent(start, 0))
	c.Assert(d.Server, qt.IsNotNil)
	c.Assert(d.Reason, qt.Equals, ReasonNoHealthy)
}
