package routing

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
)

// testService has a target of 1.9 s for urgent work.
var testService = &catalog.Service{
	Name:  "drafting-desk",
	Kind:  catalog.Model,
	Ranks: [catalog.RankCount]catalog.RankPolicy{{Target: 1900 * time.Millisecond, Deadline: 20 * time.Second}, {Target: time.Minute, Deadline: 10 * time.Minute}},
}

var testWork = catalog.Work{Name: "grade-enquiry", Rank: catalog.Urgent, Repeatable: true}

// start is the initial virtual time.
var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newRegistry returns a registry of count idle servers in zones a and b, with the
// given number of slots each.
func newRegistry(count, slots int) *backend.Registry {
	infos := make([]backend.Info, count)
	for i := range infos {
		infos[i] = backend.Info{
			ID: fmt.Sprintf("engine-%d", i), Addr: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Region: "cairo",
			Zone: []string{"a", "b"}[i%2], Service: testService.Name, State: backend.StateLive,
		}
	}
	registry := backend.NewRegistry()
	registry.Replace(infos)
	for _, server := range registry.All() {
		server.SetLoad(backend.Load{Slots: slots, ReceivedAt: start})
	}
	return registry
}

func newRouter(registry *backend.Registry, seed uint64) *Router {
	return &Router{
		Region: "cairo", Registry: registry,
		Filters: []Filter{AcceptingFilter{}, PauseFilter{}, UntriedFilter{}},
		Health:  []Filter{HealthyFilter{}, StaleReportFilter{MaxAge: 3 * time.Second}},
		Scorer:  FirstTokenScorer{Zone: "a"},
		Prefix:  NewPrefixIndex(0),
		Now:     func() time.Time { return start },
		Random:  rand.New(rand.NewPCG(seed, 1)),
	}
}

func prefixOf(seed uint64, blocks int) []uint64 {
	random := rand.New(rand.NewPCG(seed, 2))
	digests := make([]uint64, blocks)
	for i := range digests {
		digests[i] = random.Uint64()
	}
	return digests
}

func BenchmarkDecide(b *testing.B) {
	for _, servers := range []int{10, 100, 500, 1000} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			router := newRouter(newRegistry(servers, 16), 1)
			req := &Request{Service: testService, Work: testWork, PromptTokens: 2000, Prefix: prefixOf(1, 32)}
			router.RecordDispatch(req, router.Registry.Servers(testService.Name)[0])
			b.ReportAllocs()
			for b.Loop() {
				if router.Decide(req).Server == nil {
					b.Fatal("Decide returned no server")
				}
			}
		})
	}
}

// BenchmarkDecideWithWithdrawnServers measures a decision if a third of the servers
// has withdrawn: one in six leaves, and one in six pauses.
func BenchmarkDecideWithWithdrawnServers(b *testing.B) {
	for _, servers := range []int{12, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			router := newRouter(newRegistry(servers, 16), 1)
			for i, server := range router.Registry.Servers(testService.Name) {
				switch i % 6 {
				case 0:
					server.SetDraining()
				case 1:
					server.Pause(start, time.Minute)
				}
			}
			req := &Request{Service: testService, Work: testWork, PromptTokens: 2000, Prefix: prefixOf(1, 32)}
			b.ReportAllocs()
			for b.Loop() {
				if router.Decide(req).Server == nil {
					b.Fatal("Decide returned no server")
				}
			}
		})
	}
}
