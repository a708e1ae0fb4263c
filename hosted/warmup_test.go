package hosted

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

// Limit of a cold server of the service "cold": warmup-per-s times WarmupFactor, and
// WarmupBurst, as in fleet.settings.
const (
	coldRate  = 2.0
	coldBound = coldRate*1.5 + 3
)

// configureCold configures a service whose cold servers are limited, and its route.
func (f *fleet) configureCold() {
	data, err := json.Marshal(map[string]any{
		"version": 1, "routes": []route{newRoute("stock", "safe", "cold")},
		"services": []any{map[string]any{"name": "cold", "health-path": "/healthz", "warmup-s": 60.0, "warmup-per-s": coldRate}},
		"limits":   map[string]any{"max-body-bytes": 1 << 20},
	})
	f.Assert(err, qt.IsNil)
	f.store.Put(platform.ConfigKey, string(data))
}

// startColdServer starts a backend server whose entry says that it is cold. The returned
// function returns the times at which it received requests.
func (f *fleet) startColdServer() (s *hosting.Server, arrivals func() []time.Time) {
	f.count++
	s = hosting.NewServer(fmt.Sprintf("i-%d", f.count), 0)
	f.Cleanup(s.Close)
	f.Cleanup(s.CloseClientConnections)
	var mu sync.Mutex
	var times []time.Time
	s.SetOverride(func(http.ResponseWriter, *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		times = append(times, time.Now())
		return false
	})
	f.store.Put(platform.ServerPrefix+s.ID, oddServer(s, `"service":"orders"`, `"service":"cold"`, `"warmup-left-ms":0`, `"warmup-left-ms":60000`))
	return s, func() []time.Time {
		mu.Lock()
		defer mu.Unlock()
		return append([]time.Time(nil), times...)
	}
}

// mostInASecond returns the largest number of the given times, which are sorted, within a
// second.
func mostInASecond(times []time.Time) int {
	most := 0
	for first, at := range times {
		count := 0
		for _, other := range times[first:] {
			if other.Sub(at) < time.Second {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// TestColdServerWhileInstancesStart guards against a cold server that gets many times its
// limit after a region was lost: instances that start together know only themselves, or
// nobody else of their region, until the others are registered, and each of them took the
// part of the limit that it would have if it were alone.
func TestColdServerWhileInstancesStart(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configureCold()
	_, arrivals := f.startColdServer()
	release := f.store.HoldListing(instanceKeyPrefix)
	const instances = 10
	var started []*testInstance
	for range instances {
		settings := f.settings("cairo")
		started = append(started, f.startUnready(settings, settings.PeerAddr, io.Discard))
	}
	for _, n := range started {
		n.waitForServers(1)
		n.startTraffic(2, "/stock/")
	}
	time.Sleep(3 * time.Second)
	release()
	f.eventually("requests at the cold server once the instances know each other", func() bool { return len(arrivals()) > 10 })
	for _, n := range started {
		n.stop()
	}
	f.Check(mostInASecond(arrivals()) <= coldBound, qt.IsTrue, qt.Commentf("%d requests in a second, bound %v", mostInASecond(arrivals()), coldBound))
}

// startBeforeColdServer starts an instance with traffic before a cold server, and returns
// the server and its arrivals.
func (f *fleet) startBeforeColdServer() (s *hosting.Server, arrivals func() []time.Time) {
	f.configureCold()
	s, arrivals = f.startColdServer()
	n := f.start(f.settings("cairo")).waitForServers(1)
	n.startTraffic(2, "/stock/")
	return s, arrivals
}

// TestColdServerOfOtherHolders guards against requests to a cold server whose whole limit
// belongs to instances that this one does not know.
func TestColdServerOfOtherHolders(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	var keys []string
	for number := range serverShares {
		key := shareKey{"i-1", number}.storeKey()
		f.store.Put(key, "another instance")
		keys = append(keys, key)
	}
	_, arrivals := f.startBeforeColdServer()
	time.Sleep(selectionDelay + 3*leaseRetryDelay)
	f.Check(arrivals(), qt.HasLen, 0)
	for _, key := range keys {
		f.store.Delete(key)
	}
	f.eventually("requests once the shares are free", func() bool { return len(arrivals()) > 3 })
	f.Check(mostInASecond(arrivals()) <= coldBound, qt.IsTrue)
}

// TestColdServerWithoutStore guards against an instance that goes on using a cold server
// when the store may have granted its share to another instance.
func TestColdServerWithoutStore(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	s, arrivals := f.startBeforeColdServer()
	f.eventually("requests", func() bool { return len(arrivals()) > 3 })
	f.Check(f.store.Keys(serverLeasePrefix), qt.DeepEquals, []string{shareKey{s.ID, 0}.storeKey(), shareKey{s.ID, 1}.storeKey()})
	f.store.SetDown(true)
	time.Sleep(serverLeaseConfig.TTL)
	before := len(arrivals())
	time.Sleep(2 * time.Second)
	f.Check(len(arrivals()), qt.Equals, before)
	f.store.SetDown(false)
	f.eventually("requests after the outage", func() bool { return len(arrivals()) > before })
	f.Check(mostInASecond(arrivals()) <= coldBound, qt.IsTrue)
}

// TestLeasesOfGoneServerAreReleased guards against keys that stay in the store for servers
// that have left.
func TestLeasesOfGoneServerAreReleased(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	cold, arrivals := f.startBeforeColdServer()
	f.eventually("requests", func() bool { return len(arrivals()) > 0 })
	f.store.Delete(platform.ServerPrefix + cold.ID)
	f.eventually("leases released", func() bool { return len(f.store.Keys(serverLeasePrefix)) == 0 })
}
