package hosted

import (
	"fmt"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestTargetIsForwardedUnchanged guards against a path that reaches the backend server
// as another one: a path that begins with two slashes was sent as the address of another
// host, and a path with bytes that need escaping was escaped on the way over a hop.
func TestTargetIsForwardedUnchanged(t *testing.T) {
	t.Parallel()
	for name, zone := range map[string]string{"own region": "cairo-a", "other region": "alex-a"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			all := newRoute("all", "unsafe", "orders")
			all.Prefix = "/"
			f.configure(1, all)
			server := f.startServer("orders", zone, 0)
			n := f.startFor(zone, 1)[0]
			targets := []string{
				"//pule252/2f", "//", "///a", "////", "//a//b", "//a?b=//c", "//a?", "//a%2Fb/..;c", "//user@host:80/a", "//a/*",
				"/", "/a//b", "/a?", "/a??b", "/a?//b", "/%2F%2fa", "/a/../b/.", "/a|b", `/a"b`, "/a^b?c|d", "/a:b", "/*", "/a%00", "/a;b=c,d",
			}
			for k, target := range targets {
				c := qt.New(t)
				status := n.sendTarget(target, fmt.Sprintf("id-%d", k))
				c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("target %q", target))
				arrivals := server.Arrivals()
				c.Assert(arrivals, qt.HasLen, k+1)
				c.Assert(arrivals[k].Target, qt.Equals, target)
				c.Assert(arrivals[k].Host, qt.Equals, host)
			}
			// These bytes are no part of a valid path, and cannot be sent unchanged here.
			qt.Assert(t, n.sendTarget("//a|b", "id-bad"), qt.Equals, http.StatusBadRequest)
			qt.Assert(t, server.Arrivals(), qt.HasLen, len(targets))
		})
	}
}

// sendTarget sends a request with the target byte for byte, and returns the status.
func (n *testInstance) sendTarget(target, id string) int {
	resp, err := n.exchangeRaw("POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\nRequest-Id: " + id + "\r\nDeadline-Ms: 5000\r\nContent-Length: 1\r\n\r\nx")
	n.f.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	return resp.StatusCode
}
