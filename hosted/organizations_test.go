package hosted

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

// tenant is an organization of the configuration.
type tenant struct {
	Name     string   `json:"name"`
	Keys     []string `json:"api-keys"`
	Priority *int     `json:"priority,omitempty"`
	Homes    []string `json:"home-regions"`
}

func (n *testInstance) requestWithKey(target, id, key string) *http.Request {
	req := n.request("POST", target, id, "body of "+id)
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	req.Header.Set("Tenant", "forged")
	return req
}

// headersOf returns the lines of the header of the last request with an id that a server got.
func headersOf(c *qt.C, s *hosting.Server, id string) http.Header {
	arrivals := s.Arrivals()
	for i := len(arrivals) - 1; i >= 0; i-- {
		if arrivals[i].Header.Get("Request-Id") == id {
			return arrivals[i].Header
		}
	}
	c.Fatalf("request %s did not arrive", id)
	return nil
}

// wireLog holds what was sent over connections.
type wireLog struct {
	mu   sync.Mutex
	text bytes.Buffer
}

// Write implements io.Writer.
func (l *wireLog) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(p)
}

func (l *wireLog) contains(text string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return bytes.Contains(l.text.Bytes(), []byte(text))
}

// recordWire returns an address whose connections lead to addr, and records what is sent to
// it.
func (f *fleet) recordWire(addr string, sent *wireLog) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			onward, err := net.Dial("tcp", addr)
			if err != nil {
				conn.Close()
				continue
			}
			go func() { _, _ = io.Copy(conn, onward); conn.Close() }()
			go func() { _, _ = io.Copy(onward, io.TeeReader(conn, sent)); onward.Close() }()
		}
	}()
	return l.Addr().String()
}

// TestKeysStayAtTheEntry guards against an API key that reaches a backend server, another
// instance or a log line, and against a server that believes the Tenant of the caller. The
// second route runs in the other region only, so that its requests are forwarded.
func TestKeysStayAtTheEntry(t *testing.T) {
	t.Parallel()
	const key = "key-that-must-stay-here"
	f := newFleet(t)
	far := newRoute("far", "safe", "orders")
	far.Homes = []string{"alex"}
	open := newRoute("open", "safe", "orders")
	open.Public = true
	f.configureTenants(1, []tenant{{Name: "acme", Keys: []string{"other", key}}}, newRoute("near", "safe", "orders"), far, open)
	near, remote := f.startServer("orders", "cairo-a", 0), f.startServer("orders", "alex-a", 0)
	var logs logBuffer
	settings := f.settings("cairo")
	n := f.startLogging(settings, settings.PeerAddr, &logs).waitForServers(1)
	otherSettings := f.settings("alex")
	var hop wireLog
	f.startLogging(otherSettings, f.recordWire(otherSettings.PeerAddr, &hop), &logs).waitForServers(1)
	f.eventually("live instance in alex", func() bool { return len(n.roster.InRegion("alex")) == 1 })

	for _, test := range []struct {
		target, key string
		status      int
		server      *hosting.Server
		tenant      string
	}{
		{"/near/", key, http.StatusOK, near, "acme"},
		{"/far/", key, http.StatusOK, remote, "acme"},
		{"/near/", "", http.StatusUnauthorized, nil, ""},
		{"/near/", key + "x", http.StatusUnauthorized, nil, ""},
		{"/open/", "", http.StatusOK, near, ""},
		{"/open/", key, http.StatusOK, near, ""},
	} {
		id := fmt.Sprintf("id-%s-%d", strings.Trim(test.target, "/"), len(near.Arrivals())+len(test.key))
		got := n.send(n.requestWithKey(test.target, id, test.key))
		f.Assert(got.status, qt.Equals, test.status, qt.Commentf("%s %s: %s", test.target, test.key, got.body))
		if test.server == nil {
			continue
		}
		header := headersOf(f.C, test.server, id)
		f.Check(header.Get("Tenant"), qt.Equals, test.tenant, qt.Commentf("%s", test.target))
		f.Check(header.Values("Api-Key"), qt.HasLen, 0)
		f.Check(strings.Contains(fmt.Sprint(header), key), qt.IsFalse)
	}
	f.eventually("log lines name the organization and the revision", func() bool {
		return logs.lines(`"event":"route"`, `"caller":"acme"`, `"revision":1`) >= 2 &&
			logs.lines(`"event":"refused"`, `"filter":"organization"`, `"reason":"unknown_key"`, `"revision":1`) >= 1
	})
	f.Check(logs.lines(key), qt.Equals, 0)
	f.Check(hop.contains("Fuchsia-Hop-Caller: acme"), qt.IsTrue)
	f.Check(hop.contains(key) || hop.contains("forged"), qt.IsFalse, qt.Commentf("bytes to the other region"))
	entry, _ := n.mirror.Get("op/config")
	f.Check(strings.Contains(string(entry.Value), key), qt.IsFalse, qt.Commentf("instances pass on the configuration"))
}

// TestUnknownKeyIsRefusedBeforeTheBody guards against reading the body of a caller that is
// not authenticated. The body is never sent here.
func TestUnknownKeyIsRefusedBeforeTheBody(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configureTenants(1, []tenant{{Name: "acme", Keys: []string{"k"}}}, newRoute("near", "safe", "orders"))
	f.startServer("orders", "cairo-a", 0)
	n := f.start(f.settings("cairo")).waitForServers(1)
	conn, err := net.Dial("tcp", n.settings.CallerAddr)
	f.Assert(err, qt.IsNil)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = io.WriteString(conn, "POST /near/ HTTP/1.1\r\nHost: "+host+"\r\nRequest-Id: id-1\r\nApi-Key: wrong\r\nContent-Length: 1000\r\n\r\n")
	f.Assert(err, qt.IsNil)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	f.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	f.Check(resp.StatusCode, qt.Equals, http.StatusUnauthorized)
}

// TestHomesOfOrganizationAndRoute guards against a request that runs where its organization
// or its route does not permit it, and against one that waits although no region may run it.
func TestHomesOfOrganizationAndRoute(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	both, near := newRoute("both", "safe", "orders"), newRoute("near", "safe", "orders")
	both.Homes, near.Homes = []string{"cairo", "alex"}, []string{"cairo"}
	f.configureTenants(1, []tenant{{Name: "acme", Keys: []string{"k"}, Homes: []string{"alex"}}}, both, near)
	local, remote := f.startServer("orders", "cairo-a", 0), f.startServer("orders", "alex-a", 0)
	n := f.start(f.settings("cairo")).waitForServers(1)
	f.start(f.settings("alex")).waitForServers(1)
	f.eventually("live instance in alex", func() bool { return len(n.roster.InRegion("alex")) == 1 })
	for i := range 10 {
		got := n.send(n.requestWithKey("/both/", fmt.Sprintf("id-%d", i), "k"))
		f.Assert(got.status, qt.Equals, http.StatusOK, qt.Commentf("%s", got.body))
	}
	start := time.Now()
	got := n.send(n.requestWithKey("/near/", "id-near", "k"))
	f.Check(got.status, qt.Equals, http.StatusMisdirectedRequest)
	f.Check(time.Since(start) < time.Second, qt.IsTrue)
	f.Check(local.Arrivals(), qt.HasLen, 0)
	f.Check(remote.Arrivals(), qt.HasLen, 10)
}

// TestRemovedKeyStopsBehindAPeer guards against a removed key that still works, and a new key
// that does not work yet, at an instance that the store refuses while it serves others.
func TestRemovedKeyStopsBehindAPeer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	near := newRoute("near", "safe", "orders")
	f.configureTenants(1, []tenant{{Name: "acme", Keys: []string{"old"}}}, near)
	f.startServer("orders", "cairo-a", 0)
	served := f.start(f.settings("cairo")).waitForServers(1)
	settings := f.settings("cairo")
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	closed.Close()
	settings.StoreAddr, settings.Seeds = closed.Addr().String(), []string{served.settings.PeerAddr}
	refused := f.start(settings).waitForServers(1)
	status := func(id, key string) int { return refused.send(refused.requestWithKey("/near/", id, key)).status }
	f.Assert(status("id-1", "old"), qt.Equals, http.StatusOK)
	f.configureTenants(2, []tenant{{Name: "acme", Keys: []string{"new"}}}, near)
	start := time.Now()
	f.eventually("removed key is refused", func() bool { return status("id-2", "old") == http.StatusUnauthorized })
	f.Check(time.Since(start) < 5*time.Second, qt.IsTrue, qt.Commentf("%v", time.Since(start)))
	f.Check(status("id-3", "new"), qt.Equals, http.StatusOK)
}
