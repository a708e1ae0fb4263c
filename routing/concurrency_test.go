package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/capacity"
)

// TestLearnedConcurrencyInRouting guards against requests that go to a server above the
// concurrency that it handles well while others have room, and against a server that is
// excluded, or requests that are refused, because of it.
func TestLearnedConcurrencyInRouting(t *testing.T) {
	c := qt.New(t)
	registry := backend.NewRegistry()
	registry.LearnConcurrency = true
	infos := []backend.Info{
		{ID: "slow", Service: testService.Name, State: backend.StateLive, Zone: "a"},
		{ID: "usual", Service: testService.Name, State: backend.StateLive, Zone: "a"},
	}
	registry.Replace(infos)
	slow := registry.Servers(testService.Name)[0]
	load := func(server *backend.Server, running int) {
		server.SetLoad(backend.Load{Running: running, Slots: 16, ReceivedAt: start})
		for k := range 10 {
			began := start.Add(time.Duration(k) * time.Millisecond)
			attempt := server.StartAttempt(began, backend.Job{UncachedTokens: 2000, UncachedExact: true})
			attempt.FirstToken(began.Add(100 * time.Millisecond))
			attempt.End(began.Add(10*time.Second), true)
		}
	}
	load(slow, 6)
	load(registry.Servers(testService.Name)[1], 10)
	router := newRouter(registry, 1)
	router.MaxWaitFraction = 0.7
	decide := func() Decision {
		return router.Decide(&Request{
			Service: testService, Work: testWork, Received: start, Deadline: start.Add(time.Minute), PromptTokens: 100, Tried: map[string]bool{},
		})
	}
	c.Check(decide().Server.ID, qt.Equals, "slow")
	slots := router.Summarize(testService.Name).Slots
	slow.Concurrency().Merge(start, "other", false, capacity.Report{Limit: capacity.Limit{Version: 1, Ceiling: 4, Floor: 3, At: start}})
	c.Check(decide().Server.ID, qt.Equals, "usual")
	c.Check(router.Summarize(testService.Name).Slots, qt.Equals, slots-13)
	registry.Replace(infos[:1])
	alone := decide()
	c.Check(alone.Server, qt.Equals, slow)
	c.Check(alone.Cost > time.Second, qt.IsTrue, qt.Commentf("cost %v", alone.Cost))
}
