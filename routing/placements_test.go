package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlacementsReachNeighbors sends a prompt by one instance and asks another
// one, which has been told of it, for a prompt with the same shared parts.
func TestPlacementsReachNeighbors(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(4, 64)
	sender, neighbor := newRouter(registry, 1), newRouter(registry, 2)
	sender.Prefix, neighbor.Prefix = NewPrefixIndex(0), NewPrefixIndex(0)
	now := func() time.Time { return start }
	sender.Now, neighbor.Now = now, now
	prompt := func(own uint64) *Request {
		return &Request{
			Service: testService, Work: testWork, Deadline: start.Add(time.Minute), PromptTokens: 9000,
			Prefix: []uint64{1, 2, own}, PrefixTokens: []int{2000, 6000, 9000}, Shared: 2,
		}
	}
	server, _ := registry.Group(testService.Name).Ring(2)
	sender.Dispatched(prompt(3), server)
	list, next := sender.Prefix.Since(0)
	c.Assert(list, qt.DeepEquals, []Placement{{server.Key, 1}, {server.Key, 2}})
	neighbor.Prefix.Learn(start, list)
	d := neighbor.Decide(prompt(4))
	c.Assert(d.Server, qt.Equals, server)
	c.Assert(d.CachedTokens, qt.Equals, 6000)

	list, next = sender.Prefix.Since(next)
	c.Assert(list, qt.HasLen, 0)
	list, _ = sender.Prefix.Since(next + 100) // told by an earlier process
	c.Assert(list, qt.HasLen, 2)
}

// TestPlacementsAreBounded keeps the last ones only.
func TestPlacementsAreBounded(t *testing.T) {
	c := qt.New(t)
	x := NewPrefixIndex(0)
	for i := range uint64(placementLimit + 10) {
		x.addPrompt(start, i, []uint64{i}, []uint64{i})
	}
	list, next := x.Since(0)
	c.Assert(next, qt.Equals, uint64(placementLimit+10))
	c.Assert(list, qt.HasLen, placementLimit)
	c.Assert(list[0].Server, qt.Equals, uint64(10))
}

// TestPlacementsWorthTelling tells others of long parts only, and of each one
// once in a while.
func TestPlacementsWorthTelling(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(4, 64)
	sender := newRouter(registry, 1)
	sender.Prefix = NewPrefixIndex(0)
	now := start
	sender.Now = func() time.Time { return now }
	req := &Request{
		Service: testService, Work: testWork, PromptTokens: 9000,
		Prefix: []uint64{1, 2, 3, 4}, PrefixTokens: []int{100, 6000, 7000, 9000}, Shared: 3,
	}
	server, _ := registry.Group(testService.Name).Ring(2)
	told := []Placement{{server.Key, 2}, {server.Key, 3}}
	sender.Dispatched(req, server)
	sender.Dispatched(req, server)
	list, next := sender.Prefix.Since(0)
	c.Assert(list, qt.DeepEquals, told)
	now = now.Add(retellInterval)
	sender.Dispatched(req, server)
	list, _ = sender.Prefix.Since(next)
	c.Assert(list, qt.DeepEquals, told)
}

// TestUrgentPromptsPassOthers checks that the prompts of batch work do not
// count for urgent work where servers compute that first.
func TestUrgentPromptsPassOthers(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(1, 64)
	server := registry.Of(testService.Name)[0]
	server.SetOthersPrefill(1, 40000)
	urgent, batch := &Request{PromptTokens: 1000}, &Request{PromptTokens: 1000}
	batch.Work.Rank = 1
	for _, byRank := range []bool{false, true} {
		scorer := FirstTokenScorer{ByRank: byRank}
		sooner := scorer.Score(urgent, server, 0) < scorer.Score(batch, server, 0)
		c.Assert(sooner, qt.Equals, byRank)
	}
}
