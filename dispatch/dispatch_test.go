package dispatch

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/relay"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

func nonRepeatable(x *filters.Exchange) { x.Work.Repeatable = false }

// inVirtualTime runs a test of instances that share backend servers, with a
// synthetic clock.
func inVirtualTime(t *testing.T, instances, servers int, test func(c *qt.C, e *fakeEngines, all []*testInstance)) {
	synctest.Test(t, func(t *testing.T) {
		e := newFakeEngines(servers)
		var all []*testInstance
		for i := range instances {
			all = append(all, newInstance(fmt.Sprintf("entry-%d", i), e))
		}
		ctx, cancel := context.WithCancel(context.Background())
		var group sync.WaitGroup
		group.Go(func() { propagateState(ctx, e, all) })
		defer group.Wait()
		defer cancel()
		time.Sleep(time.Second)
		test(qt.New(t), e, all)
	})
}

// TestCrashingRequestIsQuarantined sends harmless requests through all instances,
// while a caller sends a request that crashes its server to one instance after
// another, again after each failure. At most two servers may crash, and every
// harmless request must be served.
func TestCrashingRequestIsQuarantined(t *testing.T) {
	inVirtualTime(t, 3, 9, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		var group sync.WaitGroup
		var mu sync.Mutex
		served, sent := 0, 0
		for i := range 300 {
			group.Go(func() {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				body, err := all[i%len(all)].send(fmt.Sprintf("innocent %d", i))
				mu.Lock()
				defer mu.Unlock()
				sent++
				if err != nil {
					c.Logf("harmless request %d: %v", i, err)
				}
				if err == nil && body == fmt.Sprintf("answer to innocent %d", i) {
					served++
				}
			})
		}
		time.Sleep(2 * time.Second)
		for i := range 9 {
			_, err := all[i%len(all)].send("poison")
			c.Assert(err, qt.IsNotNil)
		}
		group.Wait()
		c.Logf("%d servers crashed, %d of %d harmless requests served", e.crashCount, served, sent)
		c.Assert(e.crashCount <= 2, qt.IsTrue)
		c.Assert(served, qt.Equals, sent)
		c.Assert(e.overlapped, qt.IsFalse)
	})
}

func TestCrashOfNonRepeatableWork(t *testing.T) {
	inVirtualTime(t, 1, 3, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		start := time.Now()
		_, err := all[0].send("poison", nonRepeatable)
		c.Assert(err.Outcome, qt.Equals, outcome.MayHaveRun)
		c.Assert(e.runs["poison"], qt.Equals, 1)
		// The error is delayed until the crash has been propagated to other instances.
		c.Assert(time.Since(start) >= all[0].Quarantine.EffectivePropagationDelay(), qt.IsTrue)
	})
}

// TestClosedIdleConnectionIsNotACrash uses servers that close idle connections just
// as a request arrives. That must not make the request a suspect, but a crash of
// the server soon after the request was sent must.
func TestClosedIdleConnectionIsNotACrash(t *testing.T) {
	inVirtualTime(t, 1, 3, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		e.closesIdle = true
		start := time.Now()
		_, err := all[0].send("question", nonRepeatable)
		c.Assert(err.Outcome, qt.Equals, outcome.MayHaveRun)
		c.Assert(time.Since(start), qt.Equals, time.Duration(0))
		c.Assert(all[0].Quarantine.Empty(), qt.IsTrue)
		e.responseTime = time.Millisecond
		_, _ = all[0].send("poison", nonRepeatable)
		c.Assert(all[0].Quarantine.Len(), qt.Equals, 1)
	})
}

// TestUnreachableServersFailNoRequest checks that no request fails while most
// registered servers are unreachable.
func TestUnreachableServersFailNoRequest(t *testing.T) {
	inVirtualTime(t, 1, 9, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		e.mu.Lock()
		for i := range 6 {
			e.up[fmt.Sprintf("engine-%d:1", i)] = false
		}
		e.mu.Unlock()
		failed := 0
		for i := range 200 {
			if _, err := all[0].send(fmt.Sprint("question ", i), nonRepeatable); err != nil {
				failed++
			}
		}
		c.Logf("%d of 200 requests failed", failed)
		c.Assert(failed, qt.Equals, 0)
	})
}

// TestConnectTimeoutIsRetried guards against requests that fail although another server
// would serve them, because a server's host is down or cut off: connections to it are not
// refused but time out, which was taken for the deadline of the request. Such a server
// must also be ejected, so that few requests lose time at it.
func TestConnectTimeoutIsRetried(t *testing.T) {
	inVirtualTime(t, 1, 3, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		e.setUnanswered("engine-0:1")
		failed, delayed := 0, 0
		for i := range 60 {
			start := time.Now()
			if _, err := all[0].send(fmt.Sprint("question ", i), nonRepeatable); err != nil {
				c.Logf("request %d: %v", i, err)
				failed++
			}
			if time.Since(start) >= unansweredTimeout+e.responseTime {
				delayed++
			}
		}
		c.Logf("%d of 60 requests failed, %d lost time", failed, delayed)
		c.Assert(failed, qt.Equals, 0)
		c.Assert(delayed > 0, qt.IsTrue)
		c.Assert(delayed < 10, qt.IsTrue)
	})
}

// TestLostConnectIsNoEjection guards against sound servers that are ejected because a
// single packet was lost: one connection that is not answered in time ejects none.
func TestLostConnectIsNoEjection(t *testing.T) {
	inVirtualTime(t, 1, 3, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		e.setUnanswered("engine-0:1")
		for i := 0; ; i++ {
			start := time.Now()
			_, err := all[0].send(fmt.Sprint("question ", i), nonRepeatable)
			c.Assert(err == nil, qt.IsTrue)
			if time.Since(start) >= unansweredTimeout+e.responseTime {
				break
			}
		}
		for _, server := range all[0].registry.All() {
			c.Assert(server.Health().Ejected(), qt.IsFalse, qt.Commentf("%s", server.ID))
		}
	})
}

// peerAddr is the address of the instances of every region.
type peerAddr string

func (peerAddr) Reachable() []string  { return nil }
func (a peerAddr) Peer(string) string { return string(a) }

// TestConnectTimeoutOfPeerIsRetried guards against requests that fail although their own
// region would serve them, because the instance that they are forwarded to is cut off.
func TestConnectTimeoutOfPeerIsRetried(t *testing.T) {
	inVirtualTime(t, 1, 1, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		e.setUnanswered("peer:1")
		all[0].Peers = peerAddr("peer:1")
		x := &filters.Exchange{
			Writer: httptest.NewRecorder(), Request: httptest.NewRequest(http.MethodPost, "/stock", nil), ID: "question",
			Snapshot: &catalog.Snapshot{Revision: 1}, Service: testService, Path: "/stock", Deadline: time.Now().Add(time.Minute),
		}
		ctx, cancel := context.WithDeadline(context.Background(), x.Deadline)
		defer cancel()
		err, responded := all[0].forward(ctx, x, "alex", 0, &relay.CallerResponse{Writer: x.Writer})
		c.Assert(err, qt.IsNotNil)
		c.Assert(responded, qt.IsFalse)
		verdict := all[0].Retry.Decide(time.Now(), retry.Attempt{
			Number: 1, Outcome: err.Outcome, Code: err.Code, Forwarded: true, Remaining: time.Until(x.Deadline),
		})
		c.Assert(verdict.Retry, qt.IsTrue, qt.Commentf("%v: %s", err, verdict.Reason))
	})
}

// TestDeadlineWhileConnecting checks that a request whose own deadline passes while a
// server does not answer its connection fails with that, and is not retried.
func TestDeadlineWhileConnecting(t *testing.T) {
	inVirtualTime(t, 1, 1, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		e.setUnanswered("engine-0:1")
		_, err := all[0].send("question", func(x *filters.Exchange) { x.Deadline = time.Now().Add(unansweredTimeout / 2) })
		c.Assert(err, qt.IsNotNil)
		c.Assert(err.Code, qt.Equals, outcome.CodeDeadline)
		c.Assert(err.Outcome, qt.Equals, outcome.NotRun)
	})
}

// TestMayHaveRunIsNotDowngraded checks that a request whose first attempt may have
// run is not reported as not run because of a second attempt that did not run.
func TestMayHaveRunIsNotDowngraded(t *testing.T) {
	inVirtualTime(t, 1, 1, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		_, err := all[0].send("poison")
		c.Assert(err.Code, qt.Not(qt.Equals), outcome.Code(""))
		c.Assert(err.Outcome, qt.Equals, outcome.MayHaveRun)
		c.Assert(e.runs["poison"], qt.Equals, 1)
	})
}

// TestStalledAttemptIsCanceledBeforeRetry uses servers of which some accept requests
// and never respond. Attempts of one request must not overlap, and a request that is
// not repeatable must not be retried.
func TestStalledAttemptIsCanceledBeforeRetry(t *testing.T) {
	inVirtualTime(t, 1, 4, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		e.hangs["engine-0:1"], e.hangs["engine-1:1"] = true, true
		for i := range 20 {
			body, err := all[0].send(fmt.Sprint("question ", i))
			c.Assert(err == nil, qt.IsTrue)
			c.Assert(body, qt.Equals, fmt.Sprint("answer to question ", i))
		}
		c.Assert(e.overlapped, qt.IsFalse)
		_, err := all[0].send("question", nonRepeatable, func(x *filters.Exchange) { x.Deadline = time.Now().Add(20 * time.Second) })
		c.Assert(err == nil || e.runs["question"] == 1, qt.IsTrue)
	})
}

// TestStallRetriesStayWithinBudget checks that attempts are not retried beyond the
// retry budget when no server responds.
func TestStallRetriesStayWithinBudget(t *testing.T) {
	inVirtualTime(t, 1, 4, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		for addr := range e.up {
			e.hangs[addr] = true
		}
		var group sync.WaitGroup
		for i := range 200 {
			group.Go(func() { _, _ = all[0].send(fmt.Sprint("question ", i)) })
		}
		group.Wait()
		runs := 0
		for _, n := range e.runs {
			runs += n
		}
		c.Logf("%d attempts for 200 requests", runs)
		c.Assert(runs <= 200+20+10+30, qt.IsTrue) // retries: a tenth of the requests, the burst of 10, and 0.5 per second for a minute
	})
}

// fakeRegions responds in place of instances of other regions.
type fakeRegions struct {
	*fakeEngines
	respond func() *http.Response
	calls   int
}

func (r *fakeRegions) RoundTrip(req *http.Request) (*http.Response, error) {
	if !strings.HasPrefix(req.URL.Host, "peer-") {
		return r.fakeEngines.RoundTrip(req)
	}
	r.calls++
	if r.respond == nil { // an unresponsive instance
		<-req.Context().Done()
		return nil, req.Context().Err()
	}
	return r.respond(), nil
}

func (*fakeRegions) Peer(region string) string { return "peer-" + region }
func (*fakeRegions) Reachable() []string       { return []string{"alex", "delta"} }

func TestNoSlotIsNotServedLocally(t *testing.T) {
	inVirtualTime(t, 1, 2, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		_, err := all[0].send("question", func(x *filters.Exchange) { x.NoLocalSlot = true })
		c.Assert(err.Code, qt.Equals, outcome.CodeOverloaded)
		c.Assert(err.Outcome, qt.Equals, outcome.NotRun)
		c.Assert(e.runs["question"], qt.Equals, 0)
	})
}

// preferOtherRegions loads the local servers, so that routing prefers the other
// regions.
func (i *testInstance) preferOtherRegions(r *fakeRegions) *routing.SummaryTable {
	i.Transport, i.Peers, i.Router.Regions = r, r, r
	table := &routing.SummaryTable{}
	i.Router.Spill = &routing.Spiller{Summaries: table, EnterAfter: time.Nanosecond}
	for _, s := range i.registry.All() {
		for range 100 {
			s.StartAttempt(time.Now(), backend.Job{UncachedExact: true})
		}
	}
	return table
}

// reportIdle reports that the other regions have free slots.
func (r *fakeRegions) reportIdle(table *routing.SummaryTable) {
	for _, region := range r.Reachable() {
		table.Put(routing.RegionSummary{Region: region, Service: testService.Name, Servers: 9, Slots: 72, FreeSlots: 72, At: time.Now()})
	}
}

// TestUnresponsiveRegionTimesOut uses instances of other regions that accept a
// request and never respond. The request must be served locally well before its
// deadline.
func TestUnresponsiveRegionTimesOut(t *testing.T) {
	inVirtualTime(t, 1, 2, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		r := &fakeRegions{fakeEngines: e}
		d := all[0]
		table := d.preferOtherRegions(r)
		for range 3 {
			r.reportIdle(table)
			start := time.Now()
			body, err := d.send("question")
			c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
			c.Assert(body, qt.Equals, "answer to question")
			c.Assert(time.Since(start) < 10*time.Second, qt.IsTrue)
		}
		c.Assert(r.calls >= 1, qt.IsTrue)
	})
}

// TestRequestRefusedByRegionIsServedLocally uses regions whose summaries show free
// slots but which refuse requests. The request must be served locally, even if its
// target is missed, and must not be sent to a second region.
func TestRequestRefusedByRegionIsServedLocally(t *testing.T) {
	inVirtualTime(t, 1, 2, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		refusal := outcome.Refuse(http.StatusServiceUnavailable, outcome.CodeOverloaded, "full")
		r := &fakeRegions{fakeEngines: e, respond: func() *http.Response {
			header := http.Header{outcome.Header: []string{outcome.NotRun.String()}}
			body := fmt.Sprintf(`{"error":{"code":%q}}`, refusal.Code)
			return &http.Response{StatusCode: refusal.Status, Header: header, Body: io.NopCloser(strings.NewReader(body))}
		}}
		d := all[0]
		table := d.preferOtherRegions(r)
		decided := 0
		for range 3 {
			r.reportIdle(table)
			decided++
			body, err := d.send("question")
			c.Assert(err == nil, qt.IsTrue)
			c.Assert(body, qt.Equals, "answer to question")
		}
		c.Assert(r.calls >= 1 && r.calls <= decided, qt.IsTrue)
		c.Assert(e.runs["question"], qt.Equals, decided)
	})
}
