package hosted

import (
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

// hasServer reports whether the instance knows a backend server, and whether that accepts
// requests.
func (n *testInstance) hasServer(s *hosting.Server) (known, accepts bool) {
	for _, server := range n.registry.All() {
		if server.ID == s.ID {
			return true, server.Accepts()
		}
	}
	return false, false
}

// uses reports whether the instance may send requests to a backend server.
func (n *testInstance) uses(s *hosting.Server) bool {
	_, accepts := n.hasServer(s)
	return accepts
}

// TestStoreReturnsFromOlderCopy guards against what the loss of the last writes does to
// instances under load: requests that fail, an older configuration in force, a zone whose
// evacuation is lost and that receives requests, a server that is dropped because its entry
// is lost, and one that is used again because its entry is back. The operator and the
// servers write their data again after 1.5 s.
func TestStoreReturnsFromOlderCopy(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	stock := newRoute("stock", "safe", "orders")
	f.configure(1, stock)
	kept := f.startServer("orders", "cairo-a", 0)
	removed := f.startServer("orders", "cairo-a", 0)
	evacuated := f.startServer("orders", "cairo-b", 0)
	var instances []*testInstance
	for range 2 {
		settings := f.settings("cairo")
		settings.Regions["cairo-b"] = "cairo"
		instances = append(instances, f.start(settings).waitForServers(3))
	}
	each := func(condition string, holds func(n *testInstance) bool) {
		for _, n := range instances {
			f.eventually(condition, func() bool { return holds(n) })
		}
	}
	each("both listed", func(n *testInstance) bool { return len(n.roster.Live()) == 2 })

	f.store.Copy()
	writeLost := func() {
		f.configure(2, stock, newRoute("book", "unsafe", "orders"))
		f.store.Put(platform.EvacuatePrefix+"cairo-b", "{}")
	}
	writeLost()
	added := f.startServer("orders", "cairo-a", 0)
	f.store.Delete(platform.ServerPrefix + removed.ID)
	each("changes in force", func(n *testInstance) bool {
		known, _ := n.hasServer(removed)
		return n.revision() == 2 && n.uses(added) && !known && !n.uses(evacuated)
	})
	removedBefore, evacuatedBefore := len(removed.Arrivals()), len(evacuated.Arrivals())
	var loads []*traffic
	for _, n := range instances {
		loads = append(loads, n.startTraffic(4, "/stock/"))
	}

	f.store.SetDown(true)
	time.Sleep(300 * time.Millisecond)
	f.store.RollBack()
	f.store.SetDown(false)
	start, written := time.Now(), false
	for time.Since(start) < 8*time.Second {
		for _, n := range instances {
			f.Assert(n.revision() >= 2, qt.IsTrue, qt.Commentf("an older configuration is in force"))
			f.Assert(n.uses(added) && n.uses(kept), qt.IsTrue, qt.Commentf("a server is dropped after %v", time.Since(start)))
			f.Assert(n.uses(removed) || n.uses(evacuated), qt.IsFalse, qt.Commentf("a removed or evacuated server is back"))
		}
		if !written && time.Since(start) > 1500*time.Millisecond {
			writeLost()
			f.register(added, "orders", "cairo-a", "ready")
			written = true
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, load := range loads {
		responses := load.stop()
		f.Check(responses[http.StatusOK] > 100, qt.IsTrue)
		delete(responses, http.StatusOK)
		f.Check(responses, qt.HasLen, 0)
	}
	f.Check(arrivalsSince(removed, removedBefore), qt.Equals, 0)
	f.Check(arrivalsSince(evacuated, evacuatedBefore), qt.Equals, 0)
	each("copy of the new era", func(n *testInstance) bool { return n.mirror.Revision().Era == 1 })
	listed := f.store.Keys(instanceKeyPrefix)
	for _, n := range instances {
		f.Check(slices.Contains(listed, instanceKeyPrefix+n.settings.Instance), qt.IsTrue)
	}
	f.configure(3, stock)
	each("the next configuration", func(n *testInstance) bool { return n.revision() == 3 })
	f.store.Delete(platform.EvacuatePrefix + "cairo-b")
	each("evacuation ended", func(n *testInstance) bool {
		return n.uses(evacuated)
	})
}

// TestLeasesEndWithEra guards against a share of a limited server that an instance uses on
// in a new era, and against one that it acquires before holders of the earlier era have
// lost theirs.
func TestLeasesEndWithEra(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("stock", "safe", "orders"))
	server := f.startServer("orders", "cairo-a", 0)
	server.SetRateLimit("20")
	n := f.start(f.settings("cairo")).waitForServers(1)
	share := func() int {
		for _, s := range n.registry.All() {
			return n.serverLeases.share(s).Count
		}
		return 0
	}
	f.eventually("share", func() bool {
		n.send(n.request("GET", "/stock/", "id", ""))
		return share() == serverShares
	})
	f.store.Copy()
	f.store.RollBack()
	f.eventually("era learned", func() bool { return n.store.Era() == 1 })
	learned := time.Now()
	for time.Since(learned) < serverLeaseConfig.TTL-100*time.Millisecond {
		f.Assert(share(), qt.Equals, 0, qt.Commentf("%v after the era was learned", time.Since(learned)))
		time.Sleep(20 * time.Millisecond)
	}
	f.eventually("share in the new era", func() bool {
		n.send(n.request("GET", "/stock/", "id", ""))
		return share() == serverShares
	})
}
