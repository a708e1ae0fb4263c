package routing

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// fetchService returns a service whose engines fetch a million prompt tokens per
// second.
func fetchService() *catalog.Service {
	service := *testService
	service.TransferRate = 1e6
	return &service
}

// fetchPrompt returns a request whose prompt of 9,000 tokens shares its first 6,000
// with other prompts.
func fetchPrompt(service *catalog.Service, work catalog.Work) *Request {
	return &Request{
		Service: service, Work: work, Deadline: start.Add(time.Minute), PromptTokens: 9000,
		Prefix: []uint64{1, 2, 3}, PrefixTokens: []int{2000, 6000, 9000}, SharedBlocks: 2,
	}
}

// TestBusyServerFetches checks that a server fetches tokens that another server has
// cached if more prompt tokens are pending on it than it would have to compute
// again.
func TestBusyServerFetches(t *testing.T) {
	c := qt.New(t)
	registry := newRegistry(2, 64)
	router := newRouter(registry, 1)
	router.Prefix = NewPrefixIndex(0)
	router.Now = func() time.Time { return start }
	servers := registry.Servers(testService.Name)
	holder, fetcher := servers[0], servers[1]
	router.Prefix.MergePlacements(start, []Placement{{holder.Key, 1}, {holder.Key, 2}})
	decide := func(service *catalog.Service, waiting int) Decision {
		holder.SetPeerPrefill(catalog.Urgent, 20*waiting)
		fetcher.SetPeerPrefill(catalog.Urgent, waiting)
		return router.Decide(fetchPrompt(service, testWork))
	}
	d := decide(fetchService(), 7000)
	c.Assert(d.Server, qt.Equals, fetcher)
	c.Assert(d.FetchFrom, qt.Equals, holder)
	c.Assert(d.CachedTokens, qt.Equals, 6000)
	c.Assert(d.Job(fetchPrompt(testService, testWork)).UncachedExact, qt.IsFalse)

	c.Assert(decide(fetchService(), 5000).FetchFrom, qt.IsNil)
	c.Assert(decide(testService, 7000).FetchFrom, qt.IsNil) // engines without a transfer rate cannot fetch
}

// TestFetchFromAnotherRegion checks that tokens are fetched from another region only
// if the prefix was used recently there, on a live server in a home of the work.
func TestFetchFromAnotherRegion(t *testing.T) {
	c := qt.New(t)
	router := newRouter(newRegistry(1, 64), 1)
	now := start
	router.Now = func() time.Time { return now }
	router.Remote = NewRemoteCaches()
	here := router.Registry.Servers(testService.Name)[0]
	here.SetPeerPrefill(catalog.Urgent, 7000)
	there := backend.Info{ID: "remote-1", Addr: "10.0.0.1:1", Region: "delta", Service: testService.Name, State: backend.StateLive}
	key := backend.NewServer(there).Key
	router.Remote.Replace([]backend.Info{there})
	router.Remote.MergePlacements(now, []Placement{{key, 1}, {key, 2}})
	source := func(homes ...string) *backend.Server {
		work := testWork
		work.Homes = homes
		return router.Decide(fetchPrompt(fetchService(), work)).FetchFrom
	}
	c.Assert(source(), qt.IsNotNil)
	c.Assert(source().ID, qt.Equals, there.ID)
	c.Assert(source(router.Region), qt.IsNil)
	c.Assert(source(router.Region, "delta"), qt.IsNotNil)
	now = start.Add(remotePrefixTTL + time.Millisecond)
	c.Assert(source(), qt.IsNil)
	now = start
	router.Remote.Replace(nil)
	c.Assert(source(), qt.IsNil)
}
