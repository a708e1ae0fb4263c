package load_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/internal/testfleet"
	"github.com/fuchsiastack/fuchsiastack/internal/testlink"
	"github.com/fuchsiastack/fuchsiastack/load"
)

const pollInterval = 500 * time.Millisecond // the daemon's default load-interval

// fakeServers simulates all backend servers of a region.
type fakeServers struct {
	mu       sync.Mutex
	fetches  map[string]int // number of load queries by instance
	down     map[string]bool
	draining map[string]bool
	running  int
}

// fakeFetcher queries fakeServers on behalf of an instance.
type fakeFetcher struct {
	servers  *fakeServers
	instance string
}

func (f fakeFetcher) FetchLoad(_ context.Context, server *backend.Server) (backend.Load, bool, error) {
	f.servers.mu.Lock()
	defer f.servers.mu.Unlock()
	f.servers.fetches[f.instance]++
	if f.servers.down[server.ID] {
		return backend.Load{}, false, context.DeadlineExceeded
	}
	return backend.Load{Running: f.servers.running, Slots: 8}, f.servers.draining[server.ID], nil
}

// startRegion starts instanceCount instances in front of serverCount simulated
// servers and waits 20 s. It returns the registry of each instance.
func startRegion(t *testing.T, instanceCount, serverCount int) (*fakeServers, []*testfleet.Instance, []*backend.Registry) {
	var list []backend.Info
	for n := range serverCount {
		list = append(list, backend.Info{ID: fmt.Sprintf("server-%d", n), Service: "desk", State: backend.StateLive})
	}
	backends := &fakeServers{fetches: make(map[string]int), down: make(map[string]bool), draining: make(map[string]bool)}
	var registries []*backend.Registry
	instances := testfleet.StartRegions(t.Context(), testlink.New(), 1, instanceCount, func(i *testfleet.Instance) {
		registry := backend.NewRegistry()
		registry.Replace(list)
		registries = append(registries, registry)
		members := func() (ids []string) {
			for _, m := range i.Membership.View().Members(i.Instance.Region) {
				ids = append(ids, m.Instance.ID)
			}
			return ids
		}
		tracker := load.NewTracker(registry, i.Instance.ID, members, fakeFetcher{backends, i.Instance.ID})
		i.Gossiper.Add(tracker)
		go func() {
			ticker := time.NewTicker(pollInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					tracker.PollServers(t.Context())
				case <-t.Context().Done():
					return
				}
			}
		}()
	})
	time.Sleep(20 * time.Second)
	return backends, instances, registries
}

// holdsEverywhere reports whether a condition holds in all registries for the
// server with the given id, or for all servers if id is empty.
func holdsEverywhere(registries []*backend.Registry, id string, condition func(*backend.Server) bool) bool {
	for _, registry := range registries {
		for _, server := range registry.Servers("desk") {
			if (id == "" || server.ID == id) && !condition(server) {
				return false
			}
		}
	}
	return true
}

// waitFor waits until condition holds and returns the time that it took. It fails
// the test if that exceeds limit.
func waitFor(c *qt.C, limit time.Duration, condition func() bool) time.Duration {
	start := time.Now()
	for !condition() {
		c.Assert(time.Since(start) < limit, qt.IsTrue, qt.Commentf("condition does not hold within %v", limit))
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// TestFetchesPerInstanceAreBounded runs 8 instances in front of 250 servers: about
// 31 servers per instance, and twice that as each server is queried by two
// instances.
func TestFetchesPerInstanceAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		backends, instances, registries := startRegion(t, 8, 250)
		backends.mu.Lock()
		clear(backends.fetches)
		backends.running = 3
		backends.mu.Unlock()
		const rounds = 20
		time.Sleep(rounds * pollInterval)
		backends.mu.Lock()
		for _, i := range instances {
			c.Check(backends.fetches[i.Instance.ID] < rounds*100, qt.IsTrue, qt.Commentf("%d load queries", backends.fetches[i.Instance.ID]))
		}
		backends.mu.Unlock()
		c.Assert(holdsEverywhere(registries, "", func(s *backend.Server) bool { return s.Load().Running == 3 }), qt.IsTrue)
	})
}

// TestStaleReportsAndDrainingReachAllInstances checks that a server without new
// load reports and a draining server are recognized also by the instances that do
// not query them.
func TestStaleReportsAndDrainingReachAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const maxReportAge = 3 * time.Second // the daemon's limit for routing
		backends, _, registries := startRegion(t, 8, 250)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(holdsEverywhere(registries, "", func(s *backend.Server) bool { return s.ReportAge(time.Now()) < maxReportAge }), qt.IsTrue)
		}
		backends.mu.Lock()
		backends.down["server-7"], backends.draining["server-9"] = true, true
		backends.mu.Unlock()
		drainingDelay := waitFor(c, 10*time.Second, func() bool {
			return holdsEverywhere(registries, "server-9", func(s *backend.Server) bool { return !s.Accepts() })
		})
		staleDelay := drainingDelay + waitFor(c, 10*time.Second, func() bool {
			return holdsEverywhere(registries, "server-7", func(s *backend.Server) bool { return s.ReportAge(time.Now()) > maxReportAge })
		})
		t.Logf("draining observed by all instances after %v, stale reports after %v", drainingDelay, staleDelay)
	})
}

// TestServersOfFailedInstanceAreReassigned stops an instance without notice to the
// others, which must then query its servers.
func TestServersOfFailedInstanceAreReassigned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		backends, instances, registries := startRegion(t, 8, 250)
		instances[0].Stop()
		time.Sleep(3 * time.Second)
		backends.mu.Lock()
		backends.running = 5
		backends.mu.Unlock()
		elapsed := waitFor(c, 10*time.Second, func() bool {
			return holdsEverywhere(registries[1:], "", func(s *backend.Server) bool { return s.Load().Running == 5 })
		})
		t.Logf("all load reports received by all instances after %v", elapsed)
	})
}
