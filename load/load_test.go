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

const pollInterval = 500 * time.Millisecond // of the daemon's default settings

// servers answers for all backend servers of a region.
type servers struct {
	mu      sync.Mutex
	asked   map[string]int // by instance
	down    map[string]bool
	leaving map[string]bool
	running int
}

// asker asks on behalf of an instance.
type asker struct {
	servers  *servers
	instance string
}

func (a asker) Ask(_ context.Context, server *backend.Server) (backend.Load, bool, error) {
	a.servers.mu.Lock()
	defer a.servers.mu.Unlock()
	a.servers.asked[a.instance]++
	if a.servers.down[server.ID] {
		return backend.Load{}, false, context.DeadlineExceeded
	}
	return backend.Load{Running: a.servers.running, Slots: 8}, a.servers.leaving[server.ID], nil
}

// region starts instances before count servers.
func region(t *testing.T, size, count int) (*servers, []*testfleet.Instance, []*backend.Registry) {
	var list []backend.Info
	for n := range count {
		list = append(list, backend.Info{ID: fmt.Sprintf("server-%d", n), Service: "desk", State: backend.StateLive})
	}
	s := &servers{asked: make(map[string]int), down: make(map[string]bool), leaving: make(map[string]bool)}
	var registries []*backend.Registry
	instances := testfleet.StartRegions(t.Context(), testlink.New(), 1, size, func(i *testfleet.Instance) {
		registry := backend.NewRegistry()
		registry.Replace(list)
		registries = append(registries, registry)
		members := func() (ids []string) {
			for _, m := range i.Machine.View().Members(i.Instance.Region) {
				ids = append(ids, m.Instance.ID)
			}
			return ids
		}
		follower := load.NewFollower(registry, i.Instance.ID, members, asker{s, i.Instance.ID})
		i.Carrier.Add(follower)
		go func() {
			ticker := time.NewTicker(pollInterval)
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					follower.Round(t.Context())
				case <-t.Context().Done():
					return
				}
			}
		}()
	})
	time.Sleep(20 * time.Second)
	return s, instances, registries
}

// everywhere reports whether a condition holds for a server, or for all if id
// is empty, at all instances.
func everywhere(registries []*backend.Registry, id string, condition func(*backend.Server) bool) bool {
	for _, registry := range registries {
		for _, server := range registry.Of("desk") {
			if (id == "" || server.ID == id) && !condition(server) {
				return false
			}
		}
	}
	return true
}

// await returns the time until condition holds.
func await(c *qt.C, limit time.Duration, condition func() bool) time.Duration {
	start := time.Now()
	for !condition() {
		c.Assert(time.Since(start) < limit, qt.IsTrue, qt.Commentf("not within %v", limit))
		time.Sleep(100 * time.Millisecond)
	}
	return time.Since(start)
}

// TestShareIsBounded puts 8 instances before 250 servers: about 31 for each,
// and twice that with two instances for each server.
func TestShareIsBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, instances, registries := region(t, 8, 250)
		s.mu.Lock()
		clear(s.asked)
		s.running = 3
		s.mu.Unlock()
		const rounds = 20
		time.Sleep(rounds * pollInterval)
		s.mu.Lock()
		for _, i := range instances {
			c.Check(s.asked[i.Instance.ID] < rounds*100, qt.IsTrue, qt.Commentf("%d", s.asked[i.Instance.ID]))
		}
		s.mu.Unlock()
		c.Assert(everywhere(registries, "", func(s *backend.Server) bool { return s.Load().Running == 3 }), qt.IsTrue)
	})
}

// TestSilentAndLeavingServers must be known to instances that do not ask them.
func TestSilentAndLeavingServers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		const silenceLimit = 3 * time.Second // of the daemon's routing
		s, _, registries := region(t, 8, 250)
		for range 200 {
			time.Sleep(100 * time.Millisecond)
			c.Assert(everywhere(registries, "", func(s *backend.Server) bool { return s.Silence(time.Now()) < silenceLimit }), qt.IsTrue)
		}
		s.mu.Lock()
		s.down["server-7"], s.leaving["server-9"] = true, true
		s.mu.Unlock()
		left := await(c, 10*time.Second, func() bool {
			return everywhere(registries, "server-9", func(s *backend.Server) bool { return !s.Accepts() })
		})
		silent := left + await(c, 10*time.Second, func() bool {
			return everywhere(registries, "server-7", func(s *backend.Server) bool { return s.Silence(time.Now()) > silenceLimit })
		})
		t.Logf("leaving known everywhere after %v, silence after %v", left, silent)
	})
}

// TestShareOfFailedInstanceIsTakenOver ends an instance without a word.
func TestShareOfFailedInstanceIsTakenOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		s, instances, registries := region(t, 8, 250)
		instances[0].Stop()
		time.Sleep(3 * time.Second)
		s.mu.Lock()
		s.running = 5
		s.mu.Unlock()
		took := await(c, 10*time.Second, func() bool {
			return everywhere(registries[1:], "", func(s *backend.Server) bool { return s.Load().Running == 5 })
		})
		t.Logf("all loads known everywhere after %v", took)
	})
}
