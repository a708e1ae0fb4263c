package hosted

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

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
