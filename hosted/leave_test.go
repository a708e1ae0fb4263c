package hosted

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/routing"
	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
	"github.com/fuchsiastack/fuchsiastack/standin/thinlink"
)

// stopBound is how long a server may work on once the close of its caller has
// reached the instance.
const stopBound = 500 * time.Millisecond

// thinLink returns the link of the smallest instances, of 10 Mbit/s.
func thinLink(t *testing.T) *thinlink.Link {
	link := thinlink.New(10e6 / 8)
	t.Cleanup(link.Close)
	return link
}

// TestCloseIsNotHeldUpByQuestions guards against GONE on a thin link: the answers
// that other instances ask for must not fill it, as the close of an attempt
// whose caller has left waits behind them.
func TestCloseIsNotHeldUpByQuestions(t *testing.T) {
	t.Parallel()
	f, link := newFleet(t), thinLink(t)
	f.configure(1, newRoute("query", "stream", "drafts"))
	server := f.serverBehind(link, "drafts", "cairo-a", 1)
	n := f.start(f.settings("cairo")).knows(1)
	// What the instance has to tell is as much as it keeps.
	const parts = 32
	for i := range 4096 / parts {
		req := n.request("POST", "/query/", fmt.Sprintf("id-%d", i), "x")
		var prefix strings.Builder
		for part := range parts {
			fmt.Fprintf(&prefix, "%x:100,", i*parts+part)
		}
		req.Header.Set("Prefix-Hash", prefix.String()+"ffff:10")
		req.Header.Set("Tokens", "3210,10")
		f.Assert(n.send(req).status, qt.Equals, http.StatusOK)
	}
	gone := make(chan struct{})
	server.SetAnswer(hosting.Hang(func() { close(gone) }))
	ctx, leave := context.WithCancel(context.Background())
	go n.send(n.request("POST", "/query/", "id-x", "x").WithContext(ctx))
	f.eventually("in flight", func() bool { return len(server.Arrivals()) == 4096/parts+1 })

	link.Longest()
	f.askAsFleet(n, link)
	time.Sleep(time.Second) // a question to a neighbor comes each 0.7 s
	leave()
	select {
	case <-gone:
	case <-time.After(patience):
		f.Fatal("the backend server still works")
	}
	if wait := link.Longest(); wait > stopBound {
		f.Fatalf("what the instance sent waited for up to %v, bound %v", wait, stopBound)
	}
}

// askAsFleet lets 20 instances of the region and 41 of other ones follow the
// work of n over its link, as often as each of them asks one instance.
func (f *fleet) askAsFleet(n *node, link *thinlink.Link) {
	addr, err := link.Inbound(n.settings.PeerAddr)
	f.Assert(err, qt.IsNil)
	asking, err := New(f.settings("cairo"), Options{LogLevel: "info"}, nil)
	f.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	f.Cleanup(stop)
	follow := func(count int, interval, timeout time.Duration, prefill bool) {
		for range count {
			follower := &workFollower{
				instance: asking, interval: interval * time.Duration(count) / workPeers, timeout: timeout, prefill: prefill,
				addrs: func() map[string]string { return map[string]string{n.settings.Instance: addr} },
				learn: func(time.Time, []routing.Placement) {}, told: make(map[string]*peerWork),
			}
			go follower.run(ctx)
		}
	}
	follow(20, neighborInterval, neighborTimeout, true)
	follow(41, remoteInterval, remoteTimeout, false)
}

// TestForwardedRequestEndsWithoutItsClose guards against GONE behind another
// instance: a server works for a caller of another region that has left, as the
// close is late or lost on the way between the two instances.
func TestForwardedRequestEndsWithoutItsClose(t *testing.T) {
	t.Parallel()
	f, link := newFleet(t), thinLink(t)
	f.configure(1, f.patientRoute())
	server := f.server("drafts", "alex-a", 1)
	there := f.settings("alex")
	addr, err := link.Outbound(there.PeerAddr)
	f.Assert(err, qt.IsNil)
	f.startBehind(there, addr).knows(1)
	n := f.start(f.settings("cairo"))
	f.eventually("an instance there", func() bool { return len(n.roster.In("alex")) == 1 })
	f.leaveUnheard(n, n.settings.CallerAddr, server, link)
}

// TestSilentCallerIsGivenUp guards against GONE at the instance that the caller
// uses: its close is lost, as its connection has gone silent.
func TestSilentCallerIsGivenUp(t *testing.T) {
	t.Parallel()
	f, link := newFleet(t), thinLink(t)
	f.configure(1, f.patientRoute())
	server := f.server("drafts", "cairo-a", 1)
	n := f.start(f.settings("cairo")).knows(1)
	addr, err := link.Outbound(n.settings.CallerAddr)
	f.Assert(err, qt.IsNil)
	f.leaveUnheard(n, addr, server, link)
}

// patientRoute is a route whose deadline is far, and whose callers wait for 2 s
// for the first event.
func (f *fleet) patientRoute() route {
	r := newRoute("query", "stream", "drafts")
	r.Timeout, r.Target, r.Pause = int(time.Minute.Milliseconds()), 400, 200
	return r
}

// leaveUnheard sends a request to addr whose answer does not begin, and leaves
// while the link is silent. The server must stop long before the deadline.
func (f *fleet) leaveUnheard(n *node, addr string, server *hosting.Server, link *thinlink.Link) {
	gone := make(chan struct{})
	server.SetAnswer(hosting.Hang(func() { close(gone) }))
	ctx, leave := context.WithCancel(context.Background())
	defer leave()
	req := n.request("POST", "/query/", "id-1", "x").WithContext(ctx)
	req.URL.Host = addr
	req.Header.Set("Deadline-Ms", "60000")
	go n.send(req)
	f.eventually("in flight", func() bool { return len(server.Arrivals()) == 1 })
	link.Silence()
	leave()
	select {
	case <-gone:
	case <-time.After(patience):
		f.Fatal("the backend server still works")
	}
}

// TestNewcomerLearnsOverAThinLink guards against answers among instances that are
// asked for again and again, as they take longer than the question may wait.
func TestNewcomerLearnsOverAThinLink(t *testing.T) {
	t.Parallel()
	f, link := newFleet(t), thinLink(t)
	routes := make([]route, 3000) // 0.8 MB as it is told, 0.6 s of the link
	for i := range routes {
		routes[i] = newRoute(fmt.Sprintf("stock-%d", i), "safe", "orders")
	}
	f.configure(3, routes...)
	f.server("orders", "cairo-a", 0)
	first := f.start(f.settings("cairo")).knows(1)
	f.store.SetDown(true)
	addr, err := link.Inbound(first.settings.PeerAddr)
	f.Assert(err, qt.IsNil)
	late := f.settings("cairo")
	late.Seeds = []string{addr}
	second := f.start(late).knows(1)
	f.Assert(second.revision(), qt.Equals, uint64(3))
}
