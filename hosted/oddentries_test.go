package hosted

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

// oddServer returns the entry of a server with some of its parts replaced.
func oddServer(s *hosting.Server, replacements ...string) string {
	return strings.NewReplacer(replacements...).Replace(s.Entry("orders", "cairo-a", "ready"))
}

// assertServed sends unsafe and safe requests, all of which must be served.
func (n *testInstance) assertServed(what string) {
	n.f.Helper()
	for k := range 30 {
		for _, req := range []*http.Request{
			n.request("POST", "/orders/", fmt.Sprintf("%s-%d", what, k), "x"), n.request("GET", "/stock/", fmt.Sprintf("%s-s%d", what, k), ""),
		} {
			got := n.send(req)
			n.f.Assert(got.err, qt.IsNil)
			n.f.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s: %s %s", what, req.Method, got.body))
		}
	}
}

// startWithGoodServers starts an instance with two backend servers.
func startWithGoodServers(t *testing.T) (*testInstance, []*hosting.Server) {
	f := newFleet(t)
	f.configure(1, newRoute("orders", "unsafe", "orders"), newRoute("stock", "safe", "orders"))
	servers := []*hosting.Server{f.startServer("orders", "cairo-a", 0), f.startServer("orders", "cairo-a", 0)}
	return f.start(f.settings("cairo")).waitForServers(2), servers
}

// awaitEntry waits until the instance has processed all entries written so far.
func (n *testInstance) awaitEntry() {
	n.f.Helper()
	server := n.f.startServer("drafts", "cairo-a", 0)
	n.f.eventually("later entry", func() bool {
		for _, s := range n.registry.Servers("drafts") {
			if s.ID == server.ID {
				return true
			}
		}
		return false
	})
}

// TestOddAddressTakesNoRequests guards against requests that are answered 400 or
// 502 because an entry holds an address that no connection can be opened to.
func TestOddAddressTakesNoRequests(t *testing.T) {
	t.Parallel()
	n, servers := startWithGoodServers(t)
	for k, addr := range []string{"10.0.0.1:80:90", "10.0.0.1:http", "127.0.0.1:99999", "127.0.0.1:0", "a b:80", "127.0.0.1"} {
		n.f.store.Put(fmt.Sprintf("%sodd-%d", platform.ServerPrefix, k), oddServer(servers[0], servers[0].Addr(), addr))
		n.awaitEntry()
		n.assertServed(addr)
	}
	n.f.Assert(len(n.registry.Servers("orders")), qt.Equals, 2)
}

// TestOddIDTakesNoRequests guards against requests that fail because the id of an
// entry is no valid value of the header that names the server.
func TestOddIDTakesNoRequests(t *testing.T) {
	t.Parallel()
	n, servers := startWithGoodServers(t)
	for k, id := range []string{"odd\r\nHold: 1", "odd\x00", "odd ", ""} {
		n.f.store.Put(platform.ServerPrefix+id, oddServer(servers[0]))
		n.awaitEntry()
		n.assertServed(fmt.Sprintf("id%d", k))
	}
	n.f.Assert(len(n.registry.Servers("orders")), qt.Equals, 2)
}

// TestOddSlotsLeaveCapacity guards against a service that refuses all requests
// because an entry holds a negative number of slots, or one that overflows sums.
func TestOddSlotsLeaveCapacity(t *testing.T) {
	t.Parallel()
	n, servers := startWithGoodServers(t)
	for k, slots := range []string{"-1000000", "9223372036854775807", "-9223372036854775808", "1e400", "8.5", "null"} {
		n.f.store.Put(fmt.Sprintf("%sodd-%d", platform.ServerPrefix, k), oddServer(servers[0], `"slots":8`, `"slots":`+slots))
		n.awaitEntry()
		n.updateSlots(t.Context())
		n.assertServed("slots" + slots)
	}
}

// lines counts the log lines with all of the given parts.
func (b *logBuffer) lines(parts ...string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	count := 0
	for line := range strings.Lines(b.text.String()) {
		missing := func(part string) bool { return !strings.Contains(line, part) }
		if !slices.ContainsFunc(parts, missing) {
			count++
		}
	}
	return count
}

// logBuffer collects the log lines of an instance.
type logBuffer struct {
	mu   sync.Mutex
	text strings.Builder
}

func (b *logBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(line)
}

// rejectedEntries returns the value of the counter of rejected entries of a kind.
func (n *testInstance) rejectedEntries(kind string) string {
	recorder := httptest.NewRecorder()
	n.metrics.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	for line := range strings.Lines(recorder.Body.String()) {
		if strings.HasPrefix(line, `fuchsia_rejected_entries_total{kind="`+kind+`"}`) {
			return strings.Fields(line)[1]
		}
	}
	return ""
}

// TestOddEntryIsLoggedOnce guards against a log line for an odd entry at each
// change of any other entry. Each revision of an odd entry gets one line and counts
// once.
func TestOddEntryIsLoggedOnce(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("orders", "unsafe", "orders"))
	server, out := f.startServer("orders", "cairo-a", 0), &logBuffer{}
	settings := f.settings("cairo")
	n := f.startLogging(settings, settings.PeerAddr, out).waitForServers(1)
	n.f.store.Put(platform.ServerPrefix+"odd", strings.Repeat("[", 200_000))
	n.f.store.Put(instanceKeyPrefix+"odd", strings.Repeat("[", 200_000))
	for k := range 3 {
		n.awaitEntry()
		other := fmt.Sprintf("other-%d", k)
		f.store.Put(instanceKeyPrefix+other, fmt.Sprintf(`{"id":%q,"started":1,"region":"alex","zone":"alex-a","caller_addr":"127.0.0.1:1","peer_addr":"127.0.0.1:1"}`, other))
		f.eventually("instance", func() bool { return len(n.roster.InRegion("alex")) == k+1 })
	}
	n.logWriter.Flush()
	n.f.Assert(out.lines("server_unreadable", "servers/odd", "store_revision"), qt.Equals, 1)
	n.f.Assert(out.lines("instance_unreadable", "instances/odd", "store_revision"), qt.Equals, 1)
	n.f.store.Put(platform.ServerPrefix+"odd", oddServer(server, `"slots":8`, `"slots":-1`))
	n.awaitEntry()
	n.awaitEntry()
	n.logWriter.Flush()
	n.f.Assert(out.lines("server_unreadable", "servers/odd", "field slots"), qt.Equals, 1)
	n.f.Assert(n.rejectedEntries("server"), qt.Equals, "2")
	n.f.Assert(n.rejectedEntries("instance"), qt.Equals, "1")
}

// TestLargeEntriesDoNotStopTheMirror guards against an instance that stops following
// the store because the changes that it missed exceed the largest response that it
// reads.
func TestLargeEntriesDoNotStopTheMirror(t *testing.T) {
	// Not parallel: the overload guards of other instances would see its heap.
	n, _ := startWithGoodServers(t)
	n.f.store.SetDown(true)
	n.f.eventually("outage", func() bool { return n.mirror.Outage() > 0 })
	for range 10 {
		n.f.store.Put(platform.ServerPrefix+"odd", strings.Repeat("x", 1<<20))
	}
	n.f.store.SetDown(false)
	n.awaitEntry()
	n.assertServed("after")
}

// TestGoodEntriesAreFollowedBesideOddOnes guards against instances that end, or that
// stop following the store, because of an odd entry among those of the backend
// servers. A good entry that an odd one replaces names no server until it is
// repaired.
func TestGoodEntriesAreFollowedBesideOddOnes(t *testing.T) {
	t.Parallel()
	n, servers := startWithGoodServers(t)
	f, first := n.f, servers[0]
	deep := strings.Repeat("[", 300_000)
	accepts := func(id string) bool {
		return slices.ContainsFunc(n.registry.Servers("orders"), func(s *backend.Server) bool { return s.ID == id && s.Accepts() })
	}
	for k, odd := range []string{
		deep, deep + strings.Repeat("]", 300_000), oddServer(first, `"seq":1`, `"seq":1,"x":`+deep+strings.Repeat("]", 300_000)),
		"", "null", "\xff\x00", oddServer(first, `"slots":8`, `"slots":1e400`), oddServer(first, `"slots":8`, `"slots":9007199254740993`),
		oddServer(first, `"warmup-left-ms":0`, `"warmup-left-ms":1e12`), oddServer(first, `"seq":1`, `"seq":1e19`),
		oddServer(first, first.Addr(), "127.0.0.1:65536"), oddServer(first, `"state":"ready"`, `"state":"dancing"`),
		oddServer(first, `"seq":1`, `"seq":1,"slots":-5`), strings.Repeat("x", 1<<20),
	} {
		what := fmt.Sprintf("odd%d", k)
		for _, key := range []string{platform.ServerPrefix + "odd", instanceKeyPrefix + "odd", platform.EvacuatePrefix + "odd"} {
			f.store.Put(key, odd)
		}
		n.awaitEntry()
		n.assertServed(what)
		f.Assert(accepts(first.ID), qt.IsTrue)
		f.store.Put(platform.ServerPrefix+first.ID, odd)
		f.eventually(what+" replaces the good entry", func() bool { return !accepts(first.ID) })
		f.register(first, "orders", "cairo-a", "ready") // at the same seq
		f.eventually(what+" is repaired", func() bool { return accepts(first.ID) })
		for _, s := range n.registry.Servers("orders") {
			f.Assert(s.Cold(time.Now()), qt.IsFalse)
		}
		f.configure(k+2, newRoute("orders", "unsafe", "orders"), newRoute("stock", "safe", "orders"), newRoute(what, "safe", "orders"))
		f.eventually("new route is served", func() bool {
			return n.send(n.request("GET", "/"+what+"/", what+"-route", "")).status == http.StatusOK
		})
	}
	f.store.Put(platform.ConfigKey, deep)
	n.awaitEntry()
	n.assertServed("config")
	f.register(first, "orders", "cairo-a", "draining")
	f.eventually("draining", func() bool { return !accepts(first.ID) })
	f.Assert(n.status(n.settings.ReadyAddr, "/v1/readyz"), qt.Equals, http.StatusOK)
}

// TestServersAtOneAddress checks that requests are served if a second entry, of a
// server that does not exist, holds the address of another one.
func TestServersAtOneAddress(t *testing.T) {
	t.Parallel()
	n, servers := startWithGoodServers(t)
	n.f.store.Put(platform.ServerPrefix+"ghost", oddServer(servers[0]))
	n.f.store.Put(platform.ServerPrefix+"ghost-draft", servers[0].Entry("drafts", "cairo-a", "ready"))
	n.waitForServers(4)
	n.assertServed("ghost")
}
