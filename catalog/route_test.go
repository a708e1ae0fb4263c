package catalog

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestPortInHostIsIgnored guards against routes that never match: the port was removed
// from the host of a request, but not from that of a route, and an IPv6 address was cut
// at its first colon.
func TestPortInHostIsIgnored(t *testing.T) {
	c := qt.New(t)
	routes := NewRoutes([]*Route{{Name: "plain", Host: "Desk.example", Prefix: "/"}, {Name: "port", Host: "draft.example:8443", Prefix: "/"}, {Name: "ip", Host: "[FD00::1]", Prefix: "/"}})
	for host, want := range map[string]string{
		"desk.example": "plain", "DESK.example:443": "plain",
		"draft.example": "port", "draft.example:8443": "port", "draft.example:443": "port",
		"[fd00::1]": "ip", "[fd00::1]:443": "ip", "[fd00::2]": "", "other.example": "",
	} {
		name := ""
		if route := routes.Find(host, "/stock"); route != nil {
			name = route.Name
		}
		c.Check(name, qt.Equals, want, qt.Commentf("host %s", host))
	}
}
