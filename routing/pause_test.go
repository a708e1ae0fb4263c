package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// newPauseRouter returns a router of count servers whose clock is *now.
func newPauseRouter(count int, now *time.Time) *Router {
	router := newRouter(newRegistry(count, 16), 1)
	router.Health = router.Health[:1]
	router.Now = func() time.Time { return *now }
	return router
}

func decide(router *Router, now time.Time) Decision {
	return router.Decide(&Request{Service: testService, Work: testWork, PromptTokens: 100, Deadline: now.Add(time.Minute)})
}

// TestPausedServerReceivesNothing guards against requests to a server that has asked
// for a pause, as the only healthy one, as a fallback and as a probe.
func TestPausedServerReceivesNothing(t *testing.T) {
	c := qt.New(t)
	now := start
	router := newPauseRouter(2, &now)
	servers := router.Registry.Servers(testService.Name)
	servers[0].Pause(now, 10*time.Second)
	for range 50 {
		c.Assert(decide(router, now).Server, qt.Equals, servers[1])
	}
	// The other server is ejected: it is used nevertheless, as a fallback.
	servers[1].Health().Eject(now.Add(time.Hour))
	d := decide(router, now)
	c.Assert(d.Server, qt.Equals, servers[1])
	c.Assert(d.Reason, qt.Equals, ReasonNoHealthy)
	// A probe of the paused server is due.
	servers[1].Health().Restore(now)
	servers[0].Health().Eject(now)
	now = now.Add(9 * time.Second)
	for range 50 {
		c.Assert(decide(router, now).Server, qt.Equals, servers[1])
	}
	now = now.Add(time.Second)
	d = decide(router, now)
	c.Assert(d.Server, qt.Equals, servers[0])
	c.Assert(d.Reason, qt.Equals, ReasonProbe)
}

// TestAllServersPaused guards against a refusal that tells callers to return before
// any server resumes, or long after the first one does.
func TestAllServersPaused(t *testing.T) {
	c := qt.New(t)
	now := start
	router := newPauseRouter(4, &now)
	servers := router.Registry.Servers(testService.Name)
	servers[0].Pause(now, 5*time.Second)
	servers[1].Pause(now, 3*time.Second)
	servers[2].Pause(now, 9*time.Second)
	servers[3].SetDraining()
	now = now.Add(time.Second)
	d := decide(router, now)
	c.Assert(d.Server, qt.IsNil)
	c.Assert(d.Reason, qt.Equals, ReasonPaused)
	c.Assert(d.RetryAfter, qt.Equals, 2*time.Second)
	c.Assert(router.UntilResume(testService.Name), qt.Equals, 2*time.Second)
	now = now.Add(2 * time.Second)
	c.Assert(decide(router, now).Server, qt.Equals, servers[1])
	c.Assert(router.UntilResume(testService.Name), qt.Equals, time.Duration(0))
	// All are leaving: no pause ends that.
	for _, server := range servers {
		server.SetDraining()
	}
	c.Assert(decide(router, now).Reason, qt.Equals, ReasonNoServer)
}

// TestPausedServersSpill guards against a refusal while another region can serve the
// request.
func TestPausedServersSpill(t *testing.T) {
	c := qt.New(t)
	now := start
	router := newPauseRouter(1, &now)
	router.Registry.Servers(testService.Name)[0].Pause(now, 5*time.Second)
	summaries := &SummaryTable{}
	summaries.Put(RegionSummary{Region: "alex", Service: testService.Name, Servers: 1, Slots: 8, FreeSlots: 8, At: now})
	router.Regions = reachable{"alex"}
	router.Spill = &Spiller{Summaries: summaries, SpillOverdue: true}
	d := decide(router, now)
	c.Assert(d.Region, qt.Equals, "alex")
	work := testWork
	work.Home = "cairo"
	d = router.Decide(&Request{Service: testService, Work: work, PromptTokens: 100, Deadline: now.Add(time.Minute)})
	c.Assert(d.Region, qt.Equals, "")
	c.Assert(d.Reason, qt.Equals, ReasonPaused)
	c.Assert(d.RetryAfter, qt.Equals, 5*time.Second)
}

// TestServerResumesGradually guards against a burst to a server at the end of its
// pause: the requests of an instance return at a rate that doubles.
func TestServerResumesGradually(t *testing.T) {
	c := qt.New(t)
	now := start
	router := newPauseRouter(2, &now)
	server := router.Registry.Servers(testService.Name)[0]
	server.Pause(now, time.Second)
	router.Registry.Servers(testService.Name)[1].SetDraining()
	sent := make(map[time.Duration]int) // by time since the end of the pause, in steps of 250 ms
	for ; now.Before(start.Add(4 * time.Second)); now = now.Add(time.Millisecond) {
		req := &Request{Service: testService, Work: testWork, PromptTokens: 100, Deadline: now.Add(time.Minute)}
		d := router.Decide(req)
		switch {
		case d.Server != nil && router.Reserve(req, d.Server):
			sent[now.Sub(start.Add(time.Second)).Truncate(250*time.Millisecond)]++
		case now.Before(start.Add(time.Second)):
		default:
			c.Assert(d.Reason, qt.Equals, ReasonPaused)
			c.Assert(d.RetryAfter > 0 && d.RetryAfter <= 250*time.Millisecond, qt.IsTrue, qt.Commentf("%v", d.RetryAfter))
		}
	}
	c.Assert(sent[-250*time.Millisecond], qt.Equals, 0)
	c.Check(sent[0] <= 3, qt.IsTrue, qt.Commentf("%d", sent[0]))
	c.Check(sent[0] >= 1, qt.IsTrue)
	c.Check(sent[250*time.Millisecond] > sent[0], qt.IsTrue)
	c.Check(sent[time.Second] > 4*sent[0], qt.IsTrue)
	c.Check(sent[resumeTime], qt.Equals, 250) // every millisecond
}

// TestPausedServerIsNoFetchSource guards against a transfer of cached tokens from a
// server that has withdrawn.
func TestPausedServerIsNoFetchSource(t *testing.T) {
	c := qt.New(t)
	now := start
	router := newPauseRouter(2, &now)
	service := *testService
	service.TransferRate = 1e6
	servers := router.Registry.Servers(testService.Name)
	req := &Request{Service: &service, Work: testWork, PromptTokens: 6400, Prefix: prefixOf(1, 100), Deadline: now.Add(time.Minute)}
	router.RecordDispatch(req, servers[0])
	for _, server := range servers {
		server.StartAttempt(now, backend.Job{UncachedTokens: 100000, UncachedExact: true})
	}
	for range 4 { // the source has a queue, so that the other one is chosen
		servers[0].StartAttempt(now, backend.Job{UncachedTokens: 100000, UncachedExact: true})
	}
	c.Assert(router.Decide(req).FetchFrom, qt.Equals, servers[0])
	servers[0].Pause(now, time.Second)
	d := router.Decide(req)
	c.Assert(d.Server, qt.Equals, servers[1])
	c.Assert(d.FetchFrom, qt.IsNil)
}
