package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// Pattern of a region in which many instances share many servers: each instance sends
// to a single server every many seconds only, so that it has measured few of them.
const (
	regionServers  = 54
	measuredTokens = 9000
	measuredRate   = 50000 // tokens per second
	longPrompt     = 9000  // tokens
	promptTarget   = 800 * time.Millisecond
)

// newInstanceOfMany returns the router of an instance that has sent one prompt to each
// of a number of servers.
func newInstanceOfMany(measured int) *Router {
	router := newRouter(newRegistry(regionServers, 48), 1)
	router.MaxWaitFraction = 0.7
	for _, server := range router.Registry.Servers(testService.Name)[:measured] {
		a := server.StartAttempt(start.Add(-time.Second), backend.Job{UncachedTokens: measuredTokens, UncachedExact: true})
		a.FirstToken(start.Add(-time.Second).Add(measuredTokens * time.Second / measuredRate))
		a.End(start, true)
	}
	return router
}

func draft() *Request {
	service := *testService
	service.Ranks[catalog.Urgent].Target = promptTarget
	return &Request{Service: &service, Work: testWork, Received: start, Deadline: start.Add(5 * time.Second), PromptTokens: longPrompt}
}

// TestRateOfServiceIsKnownFromFewServers guards against an instance that knows the
// prefill rate of a few servers only, and takes the others for ten times slower than
// they are: it expects prompts to be late that would be in time.
func TestRateOfServiceIsKnownFromFewServers(t *testing.T) {
	c := qt.New(t)
	for _, measured := range []int{1, 5, regionServers} {
		d := newInstanceOfMany(measured).Decide(draft())
		c.Check(d.Server, qt.IsNotNil)
		c.Check(d.Cost < 300*time.Millisecond, qt.IsTrue, qt.Commentf("%d servers measured: expected %v", measured, d.Cost))
	}
}

// TestOverdueWorkIsRefusedAtUnmeasuredServers guards against prompts that are sent
// although the prompts ahead of them take longer than the target at every server, only
// because the rate of the chosen one has not been measured. Computing them makes those
// behind them late as well.
func TestOverdueWorkIsRefusedAtUnmeasuredServers(t *testing.T) {
	c := qt.New(t)
	router := newInstanceOfMany(1)
	for _, server := range router.Registry.Servers(testService.Name) {
		server.SetPeerPrefill(catalog.Urgent, 60000)
	}
	d := router.Decide(draft())
	c.Assert(d.Server, qt.IsNil)
	c.Assert(d.Reason, qt.Equals, ReasonWaitTooLong)
}

// TestIdleRegionIsUsedByManyInstances guards against a region that is idle beside an
// overloaded one: the summary of an instance that has measured few of its servers said
// that prompts take ten times as long as they do.
func TestIdleRegionIsUsedByManyInstances(t *testing.T) {
	c := qt.New(t)
	other := newInstanceOfMany(3)
	summary := other.Summarize(testService.Name)
	summary.Region = "alex"
	c.Assert(summary.PrefillRate > measuredRate/2, qt.IsTrue, qt.Commentf("%v tokens/s", summary.PrefillRate))

	table := &SummaryTable{}
	table.Put(summary)
	router := newInstanceOfMany(1)
	router.Regions, router.Spill = reachable{"alex"}, &Spiller{Summaries: table, EnterAfter: time.Nanosecond}
	for _, server := range router.Registry.Servers(testService.Name) {
		server.SetPeerPrefill(catalog.Urgent, 60000)
	}
	now := start
	router.Now = func() time.Time { return now }
	router.Decide(draft())
	now = now.Add(time.Millisecond)
	c.Assert(router.Decide(draft()).Region, qt.Equals, "alex")
}
