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
	faultSeeds       = 200
	requestsPerSeed  = 12
	largeRequestSize = 64 << 10
)

func tcpDial(ctx context.Context, network, addr string) (net.Conn, error) {
	return (&net.Dialer{}).DialContext(ctx, network, addr)
}

type noRegions struct{}

func (noRegions) Reachable() []string { return nil }
func (noRegions) Peer(string) string  { return "" }

// wireTest sends requests to plain services over connections that fail.
type wireTest struct {
	random     *rand.Rand
	density    int // of failing connections, in quarters
	services   []*plain.Service
	dispatcher *Dispatcher
}

// plan draws the failure of a connection. Most fail late, so that they are
// reused first.
func (w *wireTest) plan() faultconn.Plan {
	plan := faultconn.Plan{CutWrite: faultconn.Never, CutRead: faultconn.Never, LoseAnswer: faultconn.Never}
	if w.random.IntN(4) >= w.density {
		return plan
	}
	switch w.random.IntN(5) {
	case 0:
		plan.RefuseDial = true
	case 1:
		plan.CutWrite = 0
	case 2:
		plan.CutWrite = w.random.Int64N(3000)
	case 3:
		plan.CutRead = w.random.Int64N(1500)
	case 4:
		plan.LoseAnswer = 1 + w.random.Int64N(6)
	}
	return plan
}

func newWireTest(tb testing.TB, seed uint64) *wireTest {
	w := &wireTest{random: rand.New(rand.NewPCG(seed, 2))}
	w.density = 1 + w.random.IntN(4)
	registry := backend.NewRegistry()
	var list []backend.Info
	for i := range 3 {
		service := plain.New(0)
		server := httptest.NewServer(service)
		tb.Cleanup(server.Close)
		w.services = append(w.services, service)
		list = append(list, backend.Info{
			ID: fmt.Sprint("orders-", i), Addr: server.Listener.Addr().String(),
			Region: "cairo", Service: testService.Name, State: backend.StateLive,
		})
	}
	registry.Replace(list)
	dialer := &faultconn.Dialer{Next: w.plan}
	transport := &http.Transport{DialContext: GuardDial(dialer.DialContext)}
	tb.Cleanup(transport.CloseIdleConnections)
	w.dispatcher = &Dispatcher{
		Instance: "entry", Region: "cairo", Peers: noRegions{}, Transport: transport, PeerScheme: "http", Observer: silent{},
		Router: &routing.Router{
			Region: "cairo", Registry: registry, Regions: noRegions{},
			Filters: []routing.Filter{routing.UntriedFilter{}}, Scorer: routing.FirstTokenScorer{},
		},
		Retry: &retry.Policy{MaxTries: 3, Random: rand.New(rand.NewPCG(seed, 3))},
	}
	return w
}

// send dispatches one request and returns its outcome.
func (w *wireTest) send(id string, repeatable bool) outcome.Outcome {
	method, body := http.MethodGet, ""
	switch w.random.IntN(3) {
	case 1:
		method, body = http.MethodPost, "two swatches"
	case 2:
		method, body = http.MethodPost, strings.Repeat("x", largeRequestSize)
	}
	x := &filters.Exchange{
		Writer: httptest.NewRecorder(), Request: httptest.NewRequest(method, "/order", http.NoBody), ID: id,
		Snapshot: &catalog.Snapshot{}, Service: testService, Path: "/order",
		Received: time.Now(), Work: catalog.Work{Repeatable: repeatable}, Body: []byte(body), Deadline: time.Now().Add(time.Minute),
	}
	// Requests with this header are those that net/http repeats by itself.
	x.Request.Header.Set(filters.IdempotencyHeader, id)
	if err := w.dispatcher.Handle(x); err != nil {
		return err.Outcome
	}
	return outcome.Served
}

func (w *wireTest) executions() map[string]int {
	count := make(map[string]int)
	for _, service := range w.services {
		for _, x := range service.Executions() {
			count[x.RequestID]++
		}
	}
	return count
}

// TestNotRunIsTrue compares outcomes with the services' own execution logs.
func TestNotRunIsTrue(t *testing.T) {
	told := make(map[outcome.Outcome]int)
	for seed := range uint64(faultSeeds) {
		w := newWireTest(t, seed)
		outcomes := make(map[string]outcome.Outcome)
		for i := range requestsPerSeed {
			repeatable := i%2 == 0
			id := fmt.Sprintf("%d-%t", i, repeatable)
			outcomes[id] = w.send(id, repeatable)
			told[outcomes[id]]++
		}
		count := w.executions()
		for id, o := range outcomes {
			comment := qt.Commentf("seed %d, request %s, %s, executed %d times", seed, id, o, count[id])
			qt.Assert(t, o == outcome.NotRun && count[id] > 0, qt.IsFalse, comment)
			qt.Assert(t, o == outcome.Served && count[id] == 0, qt.IsFalse, comment)
			qt.Assert(t, strings.HasSuffix(id, "false") && count[id] > 1, qt.IsFalse, comment)
		}
	}
	t.Logf("%d histories of %d requests: %v", faultSeeds, requestsPerSeed, told)
	qt.Assert(t, told[outcome.NotRun] > 0 && told[outcome.MayHaveRun] > 0, qt.IsTrue)
}

// staleConn fails the first request before a byte of it leaves.
type staleConn struct {
	*engines
	reused bool
	failed bool
}

// RoundTrip implements http.RoundTripper.
func (s *staleConn) RoundTrip(req *http.Request) (*http.Response, error) {
	if s.failed {
		return s.engines.RoundTrip(req)
	}
	s.failed = true
	if s.reused {
		httptrace.ContextClientTrace(req.Context()).GotConn(httptrace.GotConnInfo{Conn: &guardedConn{}, Reused: true})
	}
	return nil, errReset
}

// TestStaleConnectionEjectsNoServer has a server that closed an idle
// connection, and one that cannot be reached.
func TestStaleConnectionEjectsNoServer(t *testing.T) {
	for _, reused := range []bool{true, false} {
		inVirtualTime(t, 1, 3, func(c *qt.C, e *engines, all []*instance) {
			all[0].Transport = &staleConn{engines: e, reused: reused}
			_, err := all[0].send("question", once)
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
