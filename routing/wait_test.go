package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// TestLongWaitIsRefused adds pending prompts to the only server. A request is refused
// once they take more than the permitted fraction of its target, regardless of its
// own length, but not after an attempt that may have run.
func TestLongWaitIsRefused(t *testing.T) {
	c := qt.New(t)
	const rate = 20000.0
	router := newRouter(newRegistry(1, 64), 1)
	router.Now = func() time.Time { return start }
	router.MaxWaitFraction = 0.5
	server := router.Registry.Servers(testService.Name)[0]
	limit := int(router.MaxWaitFraction * rate * testService.PolicyOf(testWork).Target.Seconds())
	decide := func(pending, own int, tried map[string]bool) Decision {
		server.SetPeerPrefill(testWork.Rank, pending)
		return router.Decide(&Request{
			Service: testService, Work: testWork, Deadline: start.Add(time.Minute), PromptTokens: own, Tried: tried,
		})
	}
	c.Assert(decide(10*limit, 1000, nil).Server, qt.Equals, server) // the prefill rate is unknown
	for range 10 {
		server.StartAttempt(start, backend.Job{UncachedTokens: 4000, UncachedExact: true}).FirstToken(start.Add(200 * time.Millisecond))
		server.SetPeerPrefill(testWork.Rank, 0)
	}
	c.Assert(decide(limit*9/10, 10*limit, nil).Server, qt.Equals, server)
	refused := decide(limit*11/10, 10, nil)
	c.Assert(refused.Server, qt.IsNil)
	c.Assert(refused.Region, qt.Equals, "")
	c.Assert(refused.Reason, qt.Equals, ReasonWaitTooLong)
	c.Assert(decide(limit*11/10, 10, map[string]bool{"another": true}).Server, qt.Equals, server)
}
