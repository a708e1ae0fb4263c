package dispatch

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/internal/faultconn"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/routing"
	"github.com/fuchsiastack/fuchsiastack/standin/plain"
)

const (
	faultSeeds        = 200
	requestsPerSeed   = 12
	largeRequestBytes = 64 << 10
)

func tcpDial(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

type noRegions struct{}

func (noRegions) Reachable() []string { return nil }
func (noRegions) Peer(string) string  { return "" }

// faultTest sends requests to servers of a plain service over failing connections.
type faultTest struct {
	random     *rand.Rand
	density    int // fraction of connections that fail, in quarters
	services   []*plain.Service
	dispatcher *Dispatcher
}

// plan draws the failure of a connection at random. Most connections fail late, so
// that they are reused before they fail.
func (f *faultTest) plan() faultconn.Plan {
	plan := faultconn.Plan{WriteLimit: faultconn.Never, ReadLimit: faultconn.Never, DropResponseAfter: faultconn.Never}
	if f.random.IntN(4) >= f.density {
		return plan
	}
	switch f.random.IntN(5) {
	case 0:
		plan.RefuseDial = true
	case 1:
		plan.WriteLimit = 0
	case 2:
		plan.WriteLimit = f.random.Int64N(3000)
	case 3:
		plan.ReadLimit = f.random.Int64N(1500)
	case 4:
		plan.DropResponseAfter = 1 + f.random.Int64N(6)
	}
	return plan
}

func newFaultTest(tb testing.TB, seed uint64) *faultTest {
	f := &faultTest{random: rand.New(rand.NewPCG(seed, 2))}
	f.density = 1 + f.random.IntN(4)
	registry := backend.NewRegistry()
	var list []backend.Info
	for i := range 3 {
		service := plain.New(0)
		server := httptest.NewServer(service)
		tb.Cleanup(server.Close)
		f.services = append(f.services, service)
		list = append(list, backend.Info{
			ID: fmt.Sprint("orders-", i), Addr: server.Listener.Addr().String(),
			Region: "cairo", Service: testService.Name, State: backend.StateLive,
		})
	}
	registry.Replace(list)
	dialer := &faultconn.Dialer{Next: f.plan}
	transport := &http.Transport{DialContext: GuardDial(dialer.DialContext)}
	tb.Cleanup(transport.CloseIdleConnections)
	f.dispatcher = &Dispatcher{
		Instance: "entry", Region: "cairo", Peers: noRegions{}, Transport: transport, PeerScheme: "http", Observer: nopObserver{},
		Router: &routing.Router{
			Region: "cairo", Registry: registry, Regions: noRegions{},
			Filters: []routing.Filter{routing.UntriedFilter{}}, Scorer: routing.FirstTokenScorer{},
		},
		Retry: &retry.Policy{MaxAttempts: 3, Random: rand.New(rand.NewPCG(seed, 3))},
	}
	return f
}

// send dispatches one request and returns its outcome.
func (f *faultTest) send(id string, repeatable bool) outcome.Outcome {
	method, body := http.MethodGet, ""
	switch f.random.IntN(3) {
	case 1:
		method, body = http.MethodPost, "two swatches"
	case 2:
		method, body = http.MethodPost, strings.Repeat("x", largeRequestBytes)
	}
	x := &filters.Exchange{
		Writer: httptest.NewRecorder(), Request: httptest.NewRequest(method, "/order", http.NoBody), ID: id,
		Snapshot: &catalog.Snapshot{}, Service: testService, Path: "/order",
		Received: time.Now(), Work: catalog.Work{Repeatable: repeatable}, Body: []byte(body), Deadline: time.Now().Add(time.Minute),
	}
	// net/http retries requests with this header by itself.
	x.Request.Header.Set(filters.IdempotencyHeader, id)
	if err := f.dispatcher.Handle(x); err != nil {
		return err.Outcome
	}
	return outcome.Served
}

func (f *faultTest) executions() map[string]int {
	count := make(map[string]int)
	for _, service := range f.services {
		for _, x := range service.Executions() {
			count[x.RequestID]++
		}
	}
	return count
}

// TestNotRunMatchesExecutionLogs compares the reported outcomes with the execution
// logs of the servers. A request reported as not run must not have been executed, a
// served one must have been, and one that is not repeatable must not have been
// executed twice.
func TestNotRunMatchesExecutionLogs(t *testing.T) {
	outcomeCounts := make(map[outcome.Outcome]int)
	for seed := range uint64(faultSeeds) {
		f := newFaultTest(t, seed)
		outcomes := make(map[string]outcome.Outcome)
		for i := range requestsPerSeed {
			repeatable := i%2 == 0
			id := fmt.Sprintf("%d-%t", i, repeatable)
			outcomes[id] = f.send(id, repeatable)
			outcomeCounts[outcomes[id]]++
		}
		count := f.executions()
		for id, o := range outcomes {
			comment := qt.Commentf("seed %d, request %s, %s, executed %d times", seed, id, o, count[id])
			qt.Assert(t, o == outcome.NotRun && count[id] > 0, qt.IsFalse, comment)
			qt.Assert(t, o == outcome.Served && count[id] == 0, qt.IsFalse, comment)
			qt.Assert(t, strings.HasSuffix(id, "false") && count[id] > 1, qt.IsFalse, comment)
		}
	}
	t.Logf("%d runs of %d requests, by outcome: %v", faultSeeds, requestsPerSeed, outcomeCounts)
	qt.Assert(t, outcomeCounts[outcome.NotRun] > 0 && outcomeCounts[outcome.MayHaveRun] > 0, qt.IsTrue)
}

// staleConn fails the first request before a byte of it is sent.
type staleConn struct {
	*fakeEngines
	reused bool
	failed bool
}

// RoundTrip implements http.RoundTripper.
func (s *staleConn) RoundTrip(req *http.Request) (*http.Response, error) {
	if s.failed {
		return s.fakeEngines.RoundTrip(req)
	}
	s.failed = true
	if s.reused {
		httptrace.ContextClientTrace(req.Context()).GotConn(httptrace.GotConnInfo{Conn: &guardedConn{}, Reused: true})
	}
	return nil, errReset
}

// TestStaleConnectionEjectsNoServer checks that a server that closed an idle
// connection is not ejected, and that an unreachable server is.
func TestStaleConnectionEjectsNoServer(t *testing.T) {
	for _, reused := range []bool{true, false} {
		inVirtualTime(t, 1, 3, func(c *qt.C, e *fakeEngines, all []*testInstance) {
			all[0].Transport = &staleConn{fakeEngines: e, reused: reused}
			_, err := all[0].send("question", nonRepeatable)
			c.Assert(err == nil, qt.IsTrue)
			ejected := 0
			for _, s := range all[0].registry.All() {
				if s.Health().Ejected() {
					ejected++
				}
			}
			c.Assert(ejected == 0, qt.Equals, reused)
		})
	}
}
