package hosted

import (
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/membership"
	"github.com/fuchsiastack/fuchsiastack/mirror"
	"github.com/fuchsiastack/fuchsiastack/platform"
)

// TestStoreIsFollowedByOneInstance checks that one instance of a zone follows the store and
// the others follow it, that all have a change soon, and that a watcher that shuts down
// delays a change by no more than the bound of a silent relay.
func TestStoreIsFollowedByOneInstance(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("stock", "safe", "orders"))
	f.startServer("orders", "cairo-a", 0)
	instances := make(map[string]*testInstance)
	var ids []string
	for range 6 {
		n := f.start(f.settings("cairo"))
		instances[n.settings.Instance] = n
		ids = append(ids, n.settings.Instance)
	}
	for _, n := range instances {
		f.eventually("all instances known", func() bool { return len(n.roster.Live()) == len(ids) })
	}
	watcher := membership.Rendezvous(ids, watcherKey, 1)[0]
	f.eventually("all others follow the watcher", func() bool {
		for id, n := range instances {
			if n.mirror.FollowsService() != (id == watcher) {
				return false
			}
		}
		return true
	})
	const calm = 6 * time.Second
	before := f.store.WatchCalls()
	time.Sleep(calm)
	calls := f.store.WatchCalls() - before
	watcherCalls := int(calm/(2*time.Second) + 1)
	f.Check(calls <= watcherCalls, qt.IsTrue, qt.Commentf("%d calls of %d instances, %d of the watcher", calls, len(ids), watcherCalls))

	inForce := func(version uint64, except string) time.Duration {
		start := time.Now()
		for id, n := range instances {
			if id != except {
				f.eventually("configuration in force", func() bool { return n.revision() == version })
			}
		}
		return time.Since(start)
	}
	f.configure(2, newRoute("stock", "safe", "orders"))
	took := inForce(2, "")
	f.Check(took < time.Second, qt.IsTrue, qt.Commentf("%v", took))

	instances[watcher].stop()
	f.configure(3, newRoute("stock", "safe", "orders"))
	took = inForce(3, watcher)
	f.Check(took < 2400*time.Millisecond, qt.IsTrue, qt.Commentf("%v", took))
}

// TestChangesQueryIsChecked guards against a query for changes with bad parameters that is
// taken for another one.
func TestChangesQueryIsChecked(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("stock", "safe", "orders"))
	n := f.start(f.settings("cairo"))
	for query, want := range map[string]int{
		"":                               http.StatusBadRequest,
		"?since=-1":                      http.StatusBadRequest,
		"?since=x":                       http.StatusBadRequest,
		"?since=0":                       http.StatusOK,
		"?since=0&wait-ms=x":             http.StatusBadRequest,
		"?since=0&wait-ms=-5":            http.StatusBadRequest,
		"?since=0&wait-ms=1e3":           http.StatusBadRequest,
		"?since=0&wait-ms=99999999999":   http.StatusBadRequest,
		"?since=0&wait-ms=10":            http.StatusOK,
		"?since=9999999999&wait-ms=10":   http.StatusOK,
		"?since=0&wait-ms=10&unknown=10": http.StatusOK,
	} {
		f.Check(n.status(n.settings.PeerAddr, changesPath+query), qt.Equals, want, qt.Commentf("%s", query))
	}
}

// TestRelayedBytesAreBounded guards against a watcher whose link is taken up by changes for
// its zone: what exceeds the budget is refused, and the store has it for all.
func TestRelayedBytesAreBounded(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("stock", "safe", "orders"))
	n := f.start(f.settings("cairo"))
	budget := int(n.settings.LinkRate * relayLinkFraction)
	// An instance is ready once it has the configuration, before it has all entries.
	f.eventually("listing complete", func() bool { return !n.mirror.Revision().IsZero() })
	since := n.mirror.Revision()
	f.store.Put(platform.ServerPrefix+"i-large", strings.Repeat("x", budget/4))
	f.eventually("large entry known", func() bool { _, known := n.mirror.Get(platform.ServerPrefix + "i-large"); return known })
	served, start := 0, time.Now()
	for range 20 {
		var response changesResponse
		err := n.queryPeer(t.Context(), peerQuery{n.settings.PeerAddr, changesPath, url.Values{
			"since": {strconv.FormatUint(since.Number, 10)}, "wait-ms": {"1000"},
		}, waitTimeout}, &response)
		f.Assert(err, qt.IsNil)
		if len(response.Changes) == 0 {
			f.Check(response.Status, qt.Equals, mirror.RelayBehind)
			continue
		}
		f.Check(response.Status, qt.Equals, mirror.RelayCurrent)
		served++
	}
	// A response has more than a quarter of the bytes of a second, in base64 more than a third.
	allowed := 4 * (1 + time.Since(start).Seconds())
	f.Check(served >= 1 && float64(served) <= allowed, qt.IsTrue, qt.Commentf("%d of 20 responses, at most %.1f", served, allowed))
}
