package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestPlacementsSharedBetweenInstances dispatches a prompt at one instance, publishes
// the placements to another one, and checks that the latter routes a prompt with
// the same shared blocks to the same server.
func TestPlacementsSharedBetweenInstances(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(4, 64)
	sender, receiver := newRouter(registry, 1), newRouter(registry, 2)
	sender.Prefix, receiver.Prefix = NewPrefixIndex(0), NewPrefixIndex(0)
	now := func() time.Time { return start }
	sender.Now, receiver.Now = now, now
	prompt := func(own uint64) *Request {
		return &Request{
			Service: testService, Work: testWork, Deadline: start.Add(time.Minute), PromptTokens: 9000,
			Prefix: []uint64{1, 2, own}, PrefixTokens: []int{2000, 6000, 9000}, SharedBlocks: 2,
		}
	}
	server, _ := registry.Group(testService.Name).LookupRing(2)
	sender.RecordDispatch(prompt(3), server)
	list, next := sender.Prefix.PlacementsSince(0)
	c.Assert(list, qt.DeepEquals, []Placement{{server.Key, 1}, {server.Key, 2}})
	receiver.Prefix.MergePlacements(start, list)
	d := receiver.Decide(prompt(4))
	c.Assert(d.Server, qt.Equals, server)
	c.Assert(d.CachedTokens, qt.Equals, 6000)

	list, next = sender.Prefix.PlacementsSince(next)
	c.Assert(list, qt.HasLen, 0)
	list, _ = sender.Prefix.PlacementsSince(next + 100) // sequence number of an earlier process
	c.Assert(list, qt.HasLen, 2)
}

// TestPlacementsAreBounded checks that only the most recent placements are kept.
func TestPlacementsAreBounded(t *testing.T) {
	c := qt.New(t)
	x := NewPrefixIndex(0)
	for i := range uint64(placementLimit + 10) {
		x.addPrompt(start, i, []uint64{i}, []uint64{i})
	}
	list, next := x.PlacementsSince(0)
	c.Assert(next, qt.Equals, uint64(placementLimit+10))
	c.Assert(list, qt.HasLen, placementLimit)
	c.Assert(list[0].Server, qt.Equals, uint64(10))
}

// TestPlacementPublishThresholds checks that only long prefixes are published, and
// each of them at most once per republishInterval.
func TestPlacementPublishThresholds(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(4, 64)
	sender := newRouter(registry, 1)
	sender.Prefix = NewPrefixIndex(0)
	now := start
	sender.Now = func() time.Time { return now }
	req := &Request{
		Service: testService, Work: testWork, PromptTokens: 9000,
		Prefix: []uint64{1, 2, 3, 4}, PrefixTokens: []int{100, 6000, 7000, 9000}, SharedBlocks: 3,
	}
	server, _ := registry.Group(testService.Name).LookupRing(2)
	published := []Placement{{server.Key, 2}, {server.Key, 3}}
	sender.RecordDispatch(req, server)
	sender.RecordDispatch(req, server)
	list, next := sender.Prefix.PlacementsSince(0)
	c.Assert(list, qt.DeepEquals, published)
	now = now.Add(republishInterval)
	sender.RecordDispatch(req, server)
	list, _ = sender.Prefix.PlacementsSince(next)
	c.Assert(list, qt.DeepEquals, published)
}

// TestUrgentPrefillPrecedesBatch checks that pending prompts of batch work cost urgent
// work less than batch work if, and only if, servers compute urgent prompts first.
func TestUrgentPrefillPrecedesBatch(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(1, 64)
	server := registry.Servers(testService.Name)[0]
	server.SetPeerPrefill(1, 40000)
	urgent, batch := &Request{PromptTokens: 1000}, &Request{PromptTokens: 1000}
	batch.Work.Rank = 1
	for _, byRank := range []bool{false, true} {
		scorer := FirstTokenScorer{ByRank: byRank}
		sooner := scorer.Score(urgent, server, 0) < scorer.Score(batch, server, 0)
		c.Assert(sooner, qt.Equals, byRank)
	}
}
