package hosted

import (
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/drain"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

// newStreamRoute returns a route whose responses are streams that another server may
// continue.
func newStreamRoute(name string) route {
	r := newRoute(name, "stream", "drafts")
	r.Timeout, r.GapTarget, r.Resumable = 60000, 10000, true
	return r
}

// streamFor is an override that sends an event at once and another one after d.
func streamFor(d time.Duration) hosting.Override {
	return func(w http.ResponseWriter, r *http.Request) bool {
		w.Header().Set("Content-Type", "text/event-stream")
		fmt.Fprint(w, "id: 1\ndata: event 1\n\n")
		_ = http.NewResponseController(w).Flush()
		select {
		case <-time.After(d):
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		}
		fmt.Fprint(w, "id: 2\ndata: event 2\n\n")
		return true
	}
}

// startDrainable starts an instance that is killed grace after it is stopped.
func (f *fleet) startDrainable(grace time.Duration, servers int) *testInstance {
	settings := f.settings("cairo")
	settings.Bounds.GracePeriod = grace
	return f.start(settings).waitForServers(servers)
}

// awaitRegion waits until the instance knows count live instances of its region.
func (n *testInstance) awaitRegion(count int) {
	n.f.eventually("the instances of the region are live", func() bool {
		return len(n.roster.InRegion(n.settings.Region)) == count
	})
}

// sendMany sends count requests at once and checks that all are served.
func (n *testInstance) sendMany(count int, target string) {
	var group sync.WaitGroup
	for k := range count {
		group.Go(func() {
			got := n.send(n.longRequest(target, fmt.Sprintf("%s-%d", n.settings.Instance, k)))
			n.f.Check(got.err, qt.IsNil)
			n.f.Check(got.status, qt.Equals, http.StatusOK)
		})
	}
	group.Wait()
}

// longRequest returns a request whose caller waits for a minute.
func (n *testInstance) longRequest(target, id string) *http.Request {
	req := n.request("POST", target, id, "x")
	req.Header.Set("Deadline-Ms", "60000")
	req.Header.Set("Tokens", "10,100")
	return req
}

// checkRefused checks that a response refuses a request that has not run, and returns
// its Retry-After time.
func (f *fleet) checkRefused(got response, id string, servers ...*hosting.Server) time.Duration {
	f.Helper()
	f.Assert(got.err, qt.IsNil)
	f.Assert(got.status, qt.Equals, http.StatusServiceUnavailable)
	f.Assert(got.closes, qt.IsTrue)
	for _, server := range servers {
		for _, arrival := range server.Arrivals() {
			f.Assert(arrival.ID, qt.Not(qt.Equals), id)
		}
	}
	seconds, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
	f.Assert(err, qt.IsNil)
	return time.Duration(seconds * float64(time.Second))
}

// TestDrainingInstanceRefusesStreamsThatCannotEnd guards against streams that an instance
// takes after SIGTERM although it must exit before they end, while all instances of the
// region drain and callers come back until they are gone.
func TestDrainingInstanceRefusesStreamsThatCannotEnd(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newStreamRoute("drafts"), newRoute("orders", "unsafe", "orders"))
	orders := f.startServer("orders", "cairo-a", 0)
	var drafts []*hosting.Server
	for range 3 {
		server := f.startServer("drafts", "cairo-a", 0)
		server.SetOverride(streamFor(3500 * time.Millisecond))
		drafts = append(drafts, server)
	}
	const grace = 6 * time.Second // exits after 5.3 s
	first, second := f.startDrainable(grace, 4), f.startDrainable(grace, 4)
	first.awaitRegion(2)
	second.awaitRegion(2)
	var group sync.WaitGroup
	for _, n := range []*testInstance{first, second} {
		group.Go(func() { n.sendMany(10, "/drafts/") })
	}
	group.Wait()

	first.stop()
	second.stop()
	start := time.Now()
	f.eventually("draining", func() bool { return first.draining.Load() && second.draining.Load() })
	f.eventually("both have left", func() bool { return len(first.roster.Live())+len(second.roster.Live()) == 0 })
	// While these streams run, the instances listen.
	early := make(chan response, 2)
	for _, n := range []*testInstance{first, second} {
		go func() { early <- n.send(n.longRequest("/drafts/", "early-"+n.settings.Instance)) }()
	}

	// 2.3 s or less are left, and the instance still listens for callers with old
	// directory responses.
	time.Sleep(time.Until(start.Add(2900 * time.Millisecond)))
	retryAfter := f.checkRefused(first.send(first.longRequest("/drafts/", "long")), "long", drafts...)
	f.Assert(retryAfter <= directoryTTL, qt.IsTrue)
	f.checkRefused(second.send(second.longRequest("/drafts/", "long-2")), "long-2", drafts...)

	// The early stream still runs, so that other requests are served as long as they
	// end in time.
	time.Sleep(time.Until(start.Add(3200 * time.Millisecond)))
	short := first.request("POST", "/orders/", "short", "x")
	short.Header.Set("Deadline-Ms", "1500")
	got := first.send(short)
	f.Assert(got.err, qt.IsNil)
	f.Assert(got.body, qt.Equals, "answer to short by "+orders.ID)
	f.checkRefused(first.send(first.longRequest("/orders/", "unbounded")), "unbounded", orders)

	for range 2 {
		got = <-early
		f.Assert(got.err, qt.IsNil)
		f.Assert(got.body, qt.Equals, "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n")
	}
	<-first.done
	<-second.done
	f.Assert(time.Since(start) < grace, qt.IsTrue)
}

// TestDrainingInstanceLeadsToReadyOne guards against callers that wait although another
// instance of the region can serve them.
func TestDrainingInstanceLeadsToReadyOne(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newStreamRoute("drafts"))
	server := f.startServer("drafts", "cairo-a", 2)
	n := f.startDrainable(4*time.Second, 1)
	other := f.start(f.settings("cairo")).waitForServers(1)
	n.awaitRegion(2)
	n.stop()
	f.eventually("draining", func() bool { return n.draining.Load() })
	// Nothing is known of the times of such requests.
	retryAfter := f.checkRefused(n.send(n.longRequest("/drafts/", "refused")), "refused", server)
	f.Assert(retryAfter, qt.Equals, drainRetryAfter)
	f.Assert(other.send(other.longRequest("/drafts/", "served")).status, qt.Equals, http.StatusOK)
}

// TestRequestsLeftAtTheEndOfDrain guards against requests that end with a closed
// connection and no answer when their instance exits, and against streams that look
// complete then.
func TestRequestsLeftAtTheEndOfDrain(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newStreamRoute("drafts"), newRoute("orders", "unsafe", "orders"))
	drafts, orders := f.startServer("drafts", "cairo-a", 0), f.startServer("orders", "cairo-a", 0)
	drafts.SetOverride(streamFor(time.Minute))
	orders.SetOverride(hosting.Hang(func() {}))
	n := f.startDrainable(2*time.Second, 2)
	responses := map[string]chan response{"/drafts/": make(chan response, 1), "/orders/": make(chan response, 1)}
	for target, channel := range responses {
		go func() { channel <- n.send(n.longRequest(target, "id"+target[1:len(target)-1])) }()
	}
	f.eventually("in flight", func() bool { return len(drafts.Arrivals()) == 1 && len(orders.Arrivals()) == 1 })
	n.stop()
	got := <-responses["/orders/"]
	f.Assert(got.err, qt.IsNil)
	f.Assert(got.status, qt.Equals, http.StatusBadGateway) // it may have run
	got = <-responses["/drafts/"]
	f.Assert(got.body, qt.Equals, "id: 1\ndata: event 1\n\n")
	f.Assert(got.err, qt.IsNotNil)
	<-n.done
}

// awaitThen is an override that waits until closed is closed and then calls respond.
func awaitThen(closed <-chan struct{}, respond hosting.Override) hosting.Override {
	return func(w http.ResponseWriter, r *http.Request) bool {
		<-closed
		return respond(w, r)
	}
}

// TestResponsesOfDrainingInstanceCloseConnections guards against callers that send a
// further request on a connection just as the instance closes it, if the previous one
// arrived before the drain.
func TestResponsesOfDrainingInstanceCloseConnections(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("orders", "unsafe", "orders"))
	server := f.startServer("orders", "cairo-a", 0)
	draining := make(chan struct{})
	server.SetOverride(awaitThen(draining, func(http.ResponseWriter, *http.Request) bool { return false }))
	n := f.startDrainable(4*time.Second, 1)
	early := make(chan response, 1)
	go func() { early <- n.send(n.request("POST", "/orders/", "early", "x")) }()
	f.eventually("in flight", func() bool { return len(server.Arrivals()) == 1 })
	n.stop()
	f.eventually("draining", func() bool { return n.draining.Load() })
	close(draining)
	got := <-early
	f.Assert(got.err, qt.IsNil)
	f.Assert(got.status, qt.Equals, http.StatusOK)
	f.Assert(got.closes, qt.IsTrue)
}

// TestFurtherAttemptWhileDraining guards against a request that arrived before the drain
// and that a further attempt starts at another server when it cannot end.
func TestFurtherAttemptWhileDraining(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newStreamRoute("drafts"))
	servers := []*hosting.Server{f.startServer("drafts", "cairo-a", 2), f.startServer("drafts", "cairo-a", 2)}
	draining := make(chan struct{})
	for _, server := range servers {
		server.SetOverride(awaitThen(draining, hosting.Reject))
	}
	n := f.startDrainable(4*time.Second, 2)
	f.start(f.settings("cairo"))
	n.awaitRegion(2)
	arrivals := func() int { return len(servers[0].Arrivals()) + len(servers[1].Arrivals()) }
	early := make(chan response, 1)
	go func() { early <- n.send(n.longRequest("/drafts/", "early")) }()
	f.eventually("in flight", func() bool { return arrivals() == 1 })
	n.stop()
	f.eventually("draining", func() bool { return n.draining.Load() })
	close(draining)
	got := <-early
	f.Assert(f.checkRefused(got, "none"), qt.Equals, drainRetryAfter)
	f.Assert(arrivals(), qt.Equals, 1)
}

// awaitMeasured waits until the instance has measured count drafts. The end of a request
// is recorded just after its response.
func (n *testInstance) awaitMeasured(count int) {
	n.f.eventually("the drafts are measured", func() bool {
		_, samples, _ := n.gate.Durations.Estimate(time.Now(), drain.Kind{Service: "drafts", Work: "drafts"}, 100, 0.5)
		return samples == count
	})
}

// forward sends a stream request to the instance as one of another region does, with
// further headers, each a name and a value.
func (n *testInstance) forward(id string, headers ...string) response {
	req := n.longRequest("/drafts/", id)
	req.URL.Host = n.settings.PeerAddr
	for name, value := range map[string]string{
		filters.HopOriginHeader: "entry-alex-0", filters.HopRegionHeader: "alex", filters.HopDeadlineHeader: "60000",
		filters.HopServiceHeader: "drafts", filters.HopWorkHeader: "drafts", filters.HopStreamHeader: "true", outcome.RequestIDHeader: id,
	} {
		req.Header.Set(name, value)
	}
	for pair := range slices.Chunk(headers, 2) {
		req.Header.Set(pair[0], pair[1])
	}
	return n.send(req)
}

// TestDrainingInstanceRefusesForwardedRequests guards against requests that an instance
// takes from another region although it must exit before they end.
func TestDrainingInstanceRefusesForwardedRequests(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newStreamRoute("drafts"))
	server := f.startServer("drafts", "cairo-a", 2)
	n := f.startDrainable(4*time.Second, 1)
	f.start(f.settings("cairo"))
	n.awaitRegion(2)
	f.Assert(n.forward("before").status, qt.Equals, http.StatusOK)
	n.stop()
	f.eventually("draining", func() bool { return n.draining.Load() })
	f.checkRefused(n.forward("refused"), "refused", server)
}

// TestForwardedRequestsAreMeasured guards against a draining instance that knows nothing
// of requests which it has served for other regions only.
func TestForwardedRequestsAreMeasured(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newStreamRoute("drafts"))
	f.startServer("drafts", "cairo-a", 2)
	n := f.startDrainable(4*time.Second, 1)
	for k := range 8 {
		f.Assert(n.forward(fmt.Sprint("id-", k)).status, qt.Equals, http.StatusOK)
	}
	n.awaitMeasured(8)
}

// TestDrainingInstanceRefusesByObservedTimes guards against a draining instance that
// takes requests although all others of their kind took longer than it has left, or that
// refuses requests with a small output limit because of those with a large one.
func TestDrainingInstanceRefusesByObservedTimes(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newStreamRoute("drafts"))
	server := f.startServer("drafts", "cairo-a", 2)
	server.SetOverride(streamFor(4 * time.Second))
	n := f.startDrainable(4*time.Second, 1) // exits after 3.5 s
	n.sendMany(8, "/drafts/")
	n.awaitMeasured(8)
	server.SetOverride(nil)
	n.stop()
	f.eventually("draining", func() bool { return n.draining.Load() })
	f.checkRefused(n.send(n.longRequest("/drafts/", "long")), "long", server)
	short := n.longRequest("/drafts/", "short")
	short.Header.Set("Tokens", "10,1")
	f.Assert(n.send(short).status, qt.Equals, http.StatusOK)
}

// TestRequestThatPanicsIsMeasuredNoLonger guards against an estimate that grows without
// end because requests whose handler panicked count as in progress.
func TestRequestThatPanicsIsMeasuredNoLonger(t *testing.T) {
	c := qt.New(t)
	filter := drainFilter{&Instance{}}
	now := time.Now()
	handle := func(next filters.Handler) {
		defer func() { _ = recover() }()
		_ = filter.Handle(&filters.Exchange{
			Service: &catalog.Service{Name: "desk"}, Work: catalog.Work{Name: "orders"}, Received: now,
		}, next)
	}
	for range 10 {
		handle(func(*filters.Exchange) *outcome.Error { return nil })
		handle(func(*filters.Exchange) *outcome.Error { panic("invariant") })
	}
	estimate, _, ok := filter.instance.gate.Durations.Estimate(now.Add(20*time.Second), drain.Kind{Service: "desk", Work: "orders"}, 0, 0.9)
	c.Assert(ok, qt.IsTrue)
	c.Assert(estimate < 10*time.Second, qt.IsTrue, qt.Commentf("%v", estimate))
}

func BenchmarkDrainFilter(b *testing.B) {
	filter := drainFilter{&Instance{}}
	service := &catalog.Service{Name: "drafting-desk"}
	b.ReportAllocs()
	for b.Loop() {
		x := &filters.Exchange{Service: service, Work: catalog.Work{Name: "grade-enquiry"}, MaxOutputTokens: 100}
		if err := filter.Handle(x, func(*filters.Exchange) *outcome.Error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
