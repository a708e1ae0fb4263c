package orders_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"
	"github.com/phuslu/log"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/lease"
	"github.com/fuchsiastack/fuchsiastack/orders"
	"github.com/fuchsiastack/fuchsiastack/standin/engine"
	"github.com/fuchsiastack/fuchsiastack/standin/kv"
	"github.com/fuchsiastack/fuchsiastack/store/consul"
)

const (
	service      = "desk"
	orderTimeout = 2 * time.Second
	loadTime     = 5 * time.Second
	maxLoading   = 2
)

// engineFleet simulates a set of engines and records the orders that they accept.
type engineFleet struct {
	fenced             bool
	mu                 sync.Mutex
	states             map[string]orders.Report
	fences             map[string][]uint64 // fencing numbers of the accepted orders, by engine
	maxConcurrentLoads int                 // maximum number of engines that loaded at the same time
}

func newEngineFleet(fenced bool, engines int) *engineFleet {
	f := &engineFleet{fenced: fenced, states: make(map[string]orders.Report), fences: make(map[string][]uint64)}
	for i := range engines {
		f.states[fmt.Sprint("engine-", i)] = orders.Report{}
	}
	return f
}

func (f *engineFleet) servers(string) []backend.Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []backend.Info
	for id := range f.states {
		list = append(list, backend.Info{ID: id, State: backend.StateLive, Fenced: f.fenced})
	}
	return list
}

func (f *engineFleet) deliver(server string, order orders.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	accepted := f.fences[server]
	if f.fenced && len(accepted) > 0 && order.Fence < slices.Max(accepted) {
		return orders.ErrStaleFence
	}
	f.fences[server] = append(accepted, order.Fence)
	f.states[server] = orders.Report{State: f.states[server].State, Loading: true}
	loading := 0
	for _, report := range f.states {
		if report.Loading {
			loading++
		}
	}
	f.maxConcurrentLoads = max(f.maxConcurrentLoads, loading)
	time.AfterFunc(loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.states[server] = orders.Report{State: order.State}
	})
	return nil
}

// instanceClient is the orders.EngineClient of one instance. It can pause the
// sending of one order, immediately before or after the check of the lease. From
// then on the instance cannot reach the store.
type instanceClient struct {
	*engineFleet
	storeUnreachable atomic.Bool // requests to the store fail
	pausePoint       string
	pause            time.Duration
	paused           atomic.Bool
}

func (h *instanceClient) pauseAt(point string) {
	if h.pausePoint == point && h.paused.CompareAndSwap(false, true) {
		h.storeUnreachable.Store(true)
		time.Sleep(h.pause)
	}
}

// Report implements orders.EngineClient.
func (h *instanceClient) Report(_ context.Context, server backend.Info) (orders.Report, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.states[server.ID], nil
}

// Send implements orders.EngineClient.
func (h *instanceClient) Send(_ context.Context, server backend.Info, order orders.Order, valid func() bool) error {
	h.pauseAt("before the check")
	if !valid() {
		return orders.ErrLeaseLost
	}
	h.pauseAt("after the check")
	return h.deliver(server.ID, order)
}

// roundTripper returns a transport to the store that fails while
// storeUnreachable is set.
func (h *instanceClient) roundTripper(server *kv.Server) http.RoundTripper {
	return roundTripper(func(req *http.Request) (*http.Response, error) {
		if h.storeUnreachable.Load() {
			return nil, errors.New("store unreachable")
		}
		return server.Transport().RoundTrip(req)
	})
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// run starts an instance whose configuration requires version of the model.
func (h *instanceClient) run(ctx context.Context, server *kv.Server, version string) {
	keeper := lease.NewKeeper(consul.NewWithTransport("http://kv", h.roundTripper(server)), lease.DefaultConfig)
	c := &orders.Controller{
		Region: "cairo", Keeper: keeper, Engines: h, Servers: h.servers,
		Services: func() map[string]*catalog.Service {
			return map[string]*catalog.Service{service: {Name: service, Engine: &catalog.EngineState{Model: "m", Version: version}}}
		},
		Candidate: func(string) bool { return true },
		Interval:  time.Second, OrderTimeout: orderTimeout, LeaseTTL: lease.DefaultConfig.TTL, MaxLoading: maxLoading,
		Logger: &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}},
	}
	go keeper.Run(ctx)
	go c.Run(ctx)
}

// Guards against a lease holder that is paused while it sends an order, loses its
// lease and then sends the outdated order. The engines must end up in the state
// that the new holder requires. A pause before the lease check prevents the order
// from being sent. After a pause following the check, an engine with fencing refuses
// the late order, and an engine without fencing receives it before the first order
// of the new holder if no order is in transit for longer than the order timeout.
func TestPausedLeaseHolder(t *testing.T) {
	const longPause = time.Minute
	for _, test := range []struct {
		point   string
		pause   time.Duration
		fenced  bool
		inOrder bool // each engine accepts no order of the old holder after one of the new holder
	}{
		{"before the check", longPause, true, true},
		{"before the check", longPause, false, true},
		{"after the check", longPause, true, true},
		{"after the check", longPause, false, false}, // an engine without fencing accepts an order that is in transit for too long
		{"after the check", lease.DefaultConfig.TTL + orderTimeout, false, true},
	} {
		t.Run(fmt.Sprintf("%s for %v, fenced %v", test.point, test.pause, test.fenced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				server, f := kv.New(), newEngineFleet(test.fenced, 3)
				old := &instanceClient{engineFleet: f, pausePoint: test.point, pause: test.pause}
				old.run(ctx, server, "1")
				for !old.paused.Load() {
					time.Sleep(100 * time.Millisecond)
				}
				(&instanceClient{engineFleet: f}).run(ctx, server, "2")
				time.Sleep(5 * time.Minute)
				f.mu.Lock()
				defer f.mu.Unlock()
				for id, report := range f.states {
					c.Check(report.State.Version, qt.Equals, "2", qt.Commentf("%s", id))
					if test.inOrder {
						c.Check(slices.IsSorted(f.fences[id]), qt.IsTrue, qt.Commentf("%s: %v", id, f.fences[id]))
					}
				}
			})
		})
	}
}

// Guards against overloading the store of model weights when many engines restart:
// at most maxLoading of them load at the same time.
func TestMassRestartRespectsLoadLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		f := newEngineFleet(true, 20)
		(&instanceClient{engineFleet: f}).run(ctx, kv.New(), "1")
		time.Sleep(5 * time.Minute)
		f.mu.Lock()
		defer f.mu.Unlock()
		for id, report := range f.states {
			qt.Check(t, report.State.Version, qt.Equals, "1", qt.Commentf("%s", id))
		}
		qt.Check(t, f.maxConcurrentLoads, qt.Equals, maxLoading)
	})
}

// Checks that an order over HTTP does not reach the engine once the lease is lost,
// and that an order with an outdated fencing number returns ErrStaleFence.
func TestOrdersOverHTTP(t *testing.T) {
	c := qt.New(t)
	e := engine.New(engine.Config{Slots: 1, Fenced: true})
	server := httptest.NewServer(e)
	defer server.Close()
	to := backend.Info{ID: "e", Addr: server.Listener.Addr().String(), State: backend.StateLive}
	engines := orders.HTTPEngineClient{Client: server.Client()}
	ctx := context.Background()
	valid := func() bool { return true }
	want := catalog.EngineState{Model: "m", Version: "1"}
	c.Assert(engines.Send(ctx, to, orders.Order{Fence: 7, State: want}, valid), qt.IsNil)
	c.Assert(engines.Send(ctx, to, orders.Order{Fence: 6, State: want}, valid), qt.ErrorIs, orders.ErrStaleFence)
	lost := func() bool { return false }
	c.Assert(engines.Send(ctx, to, orders.Order{Fence: 8, State: want}, lost), qt.ErrorIs, orders.ErrLeaseLost)
	c.Assert(e.Orders(), qt.HasLen, 1)
}
