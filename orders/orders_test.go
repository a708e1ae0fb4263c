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

// fleet simulates a set of engines and records the orders that they accept.
type fleet struct {
	fenced bool
	mu     sync.Mutex
	states map[string]orders.Report
	fences map[string][]uint64 // fencing numbers of the accepted orders, by engine
	peak   int                 // maximum number of engines that loaded at the same time
}

func newFleet(fenced bool, engines int) *fleet {
	f := &fleet{fenced: fenced, states: make(map[string]orders.Report), fences: make(map[string][]uint64)}
	for i := range engines {
		f.states[fmt.Sprint("engine-", i)] = orders.Report{}
	}
	return f
}

func (f *fleet) servers(string) []backend.Info {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []backend.Info
	for id := range f.states {
		list = append(list, backend.Info{ID: id, State: backend.StateLive, Fenced: f.fenced})
	}
	return list
}

func (f *fleet) deliver(server string, order orders.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	obeyed := f.fences[server]
	if f.fenced && len(obeyed) > 0 && order.Fence < slices.Max(obeyed) {
		return orders.ErrRefused
	}
	f.fences[server] = append(obeyed, order.Fence)
	f.states[server] = orders.Report{State: f.states[server].State, Loading: true}
	loading := 0
	for _, report := range f.states {
		if report.Loading {
			loading++
		}
	}
	f.peak = max(f.peak, loading)
	time.AfterFunc(loadTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.states[server] = orders.Report{State: order.State}
	})
	return nil
}

// holder is the orders.Engines of one instance. It can pause the instance once,
// immediately before or after the check of the lease, and cut it off from the
// store at the same time.
type holder struct {
	*fleet
	cut    atomic.Bool // requests to the store fail
	point  string
	freeze time.Duration
	frozen atomic.Bool
}

func (h *holder) at(point string) {
	if h.point == point && h.frozen.CompareAndSwap(false, true) {
		h.cut.Store(true)
		time.Sleep(h.freeze)
	}
}

// Report implements orders.Engines.
func (h *holder) Report(_ context.Context, server backend.Info) (orders.Report, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.states[server.ID], nil
}

// Send implements orders.Engines.
func (h *holder) Send(_ context.Context, server backend.Info, order orders.Order, valid func() bool) error {
	h.at("before the check")
	if !valid() {
		return orders.ErrLeaseLost
	}
	h.at("after the check")
	return h.deliver(server.ID, order)
}

// roundTripper returns a transport to the store that fails while cut is set.
func (h *holder) roundTripper(server *kv.Server) http.RoundTripper {
	return roundTripper(func(req *http.Request) (*http.Response, error) {
		if h.cut.Load() {
			return nil, errors.New("cut off")
		}
		return server.Transport().RoundTrip(req)
	})
}

type roundTripper func(*http.Request) (*http.Response, error)

func (f roundTripper) RoundTrip(req *http.Request) (*http.Response, error) { return f(req) }

// run starts an instance whose configuration requires version of the model.
func (h *holder) run(ctx context.Context, server *kv.Server, version string) {
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
// from being sent. After a pause behind the check, an engine with fencing refuses
// the late order, and an engine without fencing receives it before the first order
// of the new holder if no order is in transit for longer than the order timeout.
func TestFrozenHolder(t *testing.T) {
	const longFreeze = time.Minute
	for _, test := range []struct {
		point   string
		freeze  time.Duration
		fenced  bool
		ordered bool // each engine accepts no order of the old holder after one of the new holder
	}{
		{"before the check", longFreeze, true, true},
		{"before the check", longFreeze, false, true},
		{"after the check", longFreeze, true, true},
		{"after the check", longFreeze, false, false}, // an engine without fencing accepts an order that is in transit for too long
		{"after the check", lease.DefaultConfig.TTL + orderTimeout, false, true},
	} {
		t.Run(fmt.Sprintf("%s for %v, fenced %v", test.point, test.freeze, test.fenced), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				defer synctest.Wait()
				defer cancel()
				server, f := kv.New(), newFleet(test.fenced, 3)
				old := &holder{fleet: f, point: test.point, freeze: test.freeze}
				old.run(ctx, server, "1")
				for !old.frozen.Load() {
					time.Sleep(100 * time.Millisecond)
				}
				(&holder{fleet: f}).run(ctx, server, "2")
				time.Sleep(5 * time.Minute)
				f.mu.Lock()
				defer f.mu.Unlock()
				for id, report := range f.states {
					c.Check(report.State.Version, qt.Equals, "2", qt.Commentf("%s", id))
					if test.ordered {
						c.Check(slices.IsSorted(f.fences[id]), qt.IsTrue, qt.Commentf("%s: %v", id, f.fences[id]))
					}
				}
			})
		})
	}
}

// Guards against overloading the store of model weights when many engines restart:
// at most maxLoading of them load at the same time.
func TestMassRestartStaysWithinTheWeightStoresLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer synctest.Wait()
		defer cancel()
		f := newFleet(true, 20)
		(&holder{fleet: f}).run(ctx, kv.New(), "1")
		time.Sleep(5 * time.Minute)
		f.mu.Lock()
		defer f.mu.Unlock()
		for id, report := range f.states {
			qt.Check(t, report.State.Version, qt.Equals, "1", qt.Commentf("%s", id))
		}
		qt.Check(t, f.peak, qt.Equals, maxLoading)
	})
}

// Checks that an order over HTTP does not reach the engine once the lease is lost,
// and that an order with an outdated fencing number returns ErrRefused.
func TestOrdersOverHTTP(t *testing.T) {
	c := qt.New(t)
	e := engine.New(engine.Config{Slots: 1, Fenced: true})
	server := httptest.NewServer(e)
	defer server.Close()
	to := backend.Info{ID: "e", Addr: server.Listener.Addr().String(), State: backend.StateLive}
	engines := orders.HTTPEngines{Client: server.Client()}
	ctx := context.Background()
	held := func() bool { return true }
	want := catalog.EngineState{Model: "m", Version: "1"}
	c.Assert(engines.Send(ctx, to, orders.Order{Fence: 7, State: want}, held), qt.IsNil)
	c.Assert(engines.Send(ctx, to, orders.Order{Fence: 6, State: want}, held), qt.ErrorIs, orders.ErrRefused)
	lost := func() bool { return false }
	c.Assert(engines.Send(ctx, to, orders.Order{Fence: 8, State: want}, lost), qt.ErrorIs, orders.ErrLeaseLost)
	c.Assert(e.Orders(), qt.HasLen, 1)
}
