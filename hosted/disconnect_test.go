package hosted

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/collector"
	"github.com/fuchsiastack/fuchsiastack/internal/loop"
	"github.com/fuchsiastack/fuchsiastack/roster"
	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
	"github.com/fuchsiastack/fuchsiastack/standin/thinlink"
)

// maxStopDelay is how long a backend server may continue with a request after the
// close of the caller's connection has reached the instance.
const maxStopDelay = 500 * time.Millisecond

// newThinLink returns a link with the 10 Mbit/s of the smallest instances.
func newThinLink(t *testing.T) *thinlink.Link {
	link := thinlink.New(10e6 / 8)
	t.Cleanup(link.Close)
	return link
}

// TestCallerDisconnectIsNotDelayedByPeerQueries guards against a backend server
// that continues to work for a caller that has disconnected: on a thin link, the
// close of the attempt must not wait behind responses to other instances.
func TestCallerDisconnectIsNotDelayedByPeerQueries(t *testing.T) {
	t.Parallel()
	f, link := newFleet(t), newThinLink(t)
	f.configure(1, newRoute("query", "stream", "drafts"))
	server := f.startServerBehind(link, "drafts", "cairo-a", 1)
	n := f.start(f.settings("cairo")).waitForServers(1)
	// The instance has as many placements to report as it keeps.
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
	canceled := make(chan struct{})
	server.SetOverride(hosting.Hang(func() { close(canceled) }))
	ctx, disconnect := context.WithCancel(context.Background())
	go n.send(n.request("POST", "/query/", "id-x", "x").WithContext(ctx))
	f.eventually("in flight", func() bool { return len(server.Arrivals()) == 4096/parts+1 })

	link.TakeMaxDelay()
	f.pollFromInstances(n, link)
	time.Sleep(time.Second) // several exchanges of each instance
	disconnect()
	select {
	case <-canceled:
	case <-time.After(waitTimeout):
		f.Fatal("the backend server still runs the request after its caller has disconnected")
	}
	if wait := link.TakeMaxDelay(); wait > maxStopDelay {
		f.Fatalf("data sent by the instance waited for up to %v for the link, want at most %v", wait, maxStopDelay)
	}
}

// pollFromInstances sends n, over its link, what 20 instances of its region and 41 of
// other regions send to a collector that all of them have chosen.
func (f *fleet) pollFromInstances(n *testInstance, link *thinlink.Link) {
	addr, err := link.Inbound(n.settings.PeerAddr)
	f.Assert(err, qt.IsNil)
	querier, err := New(f.settings("cairo"), Options{LogLevel: "info"}, nil)
	f.Assert(err, qt.IsNil)
	ctx, stop := context.WithCancel(context.Background())
	f.Cleanup(stop)
	startSenders := func(role collector.Source, region string, count int, interval, stallTimeout time.Duration) {
		for k := range count {
			sender := roster.Instance{ID: fmt.Sprintf("%s-%d", role, k), Started: 1, Region: region, Zone: region + "-a", CallerAddr: "127.0.0.1:1", PeerAddr: "127.0.0.1:2"}
			value, err := json.Marshal(sender)
			f.Assert(err, qt.IsNil)
			f.store.Put(instanceKeyPrefix+sender.ID, string(value))
			go loop.Every(ctx, interval, func(ctx context.Context) {
				var response exchangeResponse
				_ = querier.post(ctx, addr+exchangePath, stallTimeout, exchangeRequest{ID: sender.ID, Started: 1, Role: role}, &response)
			})
		}
	}
	startSenders(collector.Member, "cairo", 20, exchangeInterval, exchangeStallTimeout)
	startSenders(collector.Remote, "alex", 41, remoteExchangeInterval, remoteStallTimeout)
	f.eventually("senders known", func() bool { return len(n.roster.InRegion("cairo")) == 21 })
}

// TestForwardedRequestIsCanceledWhenCloseIsLost guards against a backend server
// that continues to work for a caller in another region that has disconnected,
// because the close is delayed or lost between the two instances.
func TestForwardedRequestIsCanceledWhenCloseIsLost(t *testing.T) {
	t.Parallel()
	f, link := newFleet(t), newThinLink(t)
	f.configure(1, f.longDeadlineRoute())
	server := f.startServer("drafts", "alex-a", 1)
	remoteSettings := f.settings("alex")
	addr, err := link.Outbound(remoteSettings.PeerAddr)
	f.Assert(err, qt.IsNil)
	f.startBehind(remoteSettings, addr).waitForServers(1)
	n := f.start(f.settings("cairo"))
	f.eventually("live instance in alex", func() bool { return len(n.roster.InRegion("alex")) == 1 })
	f.disconnectWithLostClose(n, n.settings.CallerAddr, server, link)
}

// TestRequestIsCanceledWhenCloseOfCallerIsLost guards against a backend server that
// continues to work for a caller that has disconnected, because the close is lost
// between the caller and its instance, whose connection transmits nothing any more.
func TestRequestIsCanceledWhenCloseOfCallerIsLost(t *testing.T) {
	t.Parallel()
	f, link := newFleet(t), newThinLink(t)
	f.configure(1, f.longDeadlineRoute())
	server := f.startServer("drafts", "cairo-a", 1)
	n := f.start(f.settings("cairo")).waitForServers(1)
	addr, err := link.Outbound(n.settings.CallerAddr)
	f.Assert(err, qt.IsNil)
	f.disconnectWithLostClose(n, addr, server, link)
}

// longDeadlineRoute returns a route with a deadline of 1 min, whose callers wait 2 s
// for the first event.
func (f *fleet) longDeadlineRoute() route {
	r := newRoute("query", "stream", "drafts")
	r.Timeout, r.Target, r.GapTarget = int(time.Minute.Milliseconds()), 400, 200
	return r
}

// disconnectWithLostClose sends a request to addr, whose response does not begin,
// and disconnects while the link loses all data. The server must stop long before
// the deadline.
func (f *fleet) disconnectWithLostClose(n *testInstance, addr string, server *hosting.Server, link *thinlink.Link) {
	canceled := make(chan struct{})
	server.SetOverride(hosting.Hang(func() { close(canceled) }))
	ctx, disconnect := context.WithCancel(context.Background())
	defer disconnect()
	req := n.request("POST", "/query/", "id-1", "x").WithContext(ctx)
	req.URL.Host = addr
	req.Header.Set("Deadline-Ms", "60000")
	go n.send(req)
	f.eventually("in flight", func() bool { return len(server.Arrivals()) == 1 })
	link.DropAll()
	disconnect()
	select {
	case <-canceled:
	case <-time.After(waitTimeout):
		f.Fatal("the backend server still runs the request after its caller has disconnected")
	}
}

// TestStartupFromSeedOverThinLink guards against queries between instances that
// never complete: a response that takes longer than the timeout would be requested
// again and again.
func TestStartupFromSeedOverThinLink(t *testing.T) {
	t.Parallel()
	f, link := newFleet(t), newThinLink(t)
	routes := make([]route, 3000) // a response of 0.8 MB, which takes 0.6 s on the link
	for i := range routes {
		routes[i] = newRoute(fmt.Sprintf("stock-%d", i), "safe", "orders")
	}
	f.configure(3, routes...)
	f.startServer("orders", "cairo-a", 0)
	first := f.start(f.settings("cairo")).waitForServers(1)
	f.store.SetDown(true)
	addr, err := link.Inbound(first.settings.PeerAddr)
	f.Assert(err, qt.IsNil)
	lateSettings := f.settings("cairo")
	lateSettings.Seeds = []string{addr}
	second := f.start(lateSettings).waitForServers(1)
	f.Assert(second.revision(), qt.Equals, uint64(3))
}
