package dispatch

import (
	"math"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/internal/check"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// TestRetryAfterValues guards against a pause taken from a value that is none, and
// against a valid one that is missed. It lists what each value results in.
func TestRetryAfterValues(t *testing.T) {
	c := qt.New(t)
	const date = "Sat, 05 Dec 2026 06:00:00 GMT"
	for _, test := range []struct {
		values  []string
		pause   time.Duration
		ignored string // the ignored elements
	}{
		{nil, 0, ""},
		{[]string{"2"}, 2 * time.Second, ""},
		{[]string{"0.25"}, 250 * time.Millisecond, ""},
		{[]string{" 2 "}, 2 * time.Second, ""},
		{[]string{"0"}, 0, ""},
		{[]string{""}, 0, `""`},
		{[]string{"-1"}, 0, `"-1"`},
		{[]string{"+1"}, 0, `"+1"`},
		{[]string{"1e3"}, 0, `"1e3"`},
		{[]string{"0x10"}, 0, `"0x10"`},
		{[]string{"NaN"}, 0, `"NaN"`},
		{[]string{"inf"}, 0, `"inf"`},
		{[]string{"1.2.3"}, 0, `"1.2.3"`},
		{[]string{"."}, 0, `"."`},
		{[]string{"soon"}, 0, `"soon"`},
		{[]string{"99999999999999999999"}, math.MaxInt64, ""},
		{[]string{strings.Repeat("9", 400)}, math.MaxInt64, ""},
		{[]string{"10800"}, 3 * time.Hour, ""},
		{[]string{"2592000"}, 30 * 24 * time.Hour, ""},
		{[]string{"1796450407"}, 7 * time.Second, ""},
		{[]string{"1796450407000"}, 7 * time.Second, ""},
		{[]string{"1796450399"}, 0, ""},
		{[]string{"1", "3", "2"}, 3 * time.Second, ""},
		{[]string{"1, 3,2"}, 3 * time.Second, ""},
		{[]string{"1, soon"}, time.Second, `"soon"`},
		{[]string{"Sat, 05 Dec 2026 06:00:07 GMT"}, 7 * time.Second, ""},
		{[]string{"Sat, 05 Dec 2026 05:59:00 GMT"}, 0, ""},
		{[]string{"Sat, 35 Dec 2026 05:59:00 GMT"}, 0, `"Sat" "35 Dec 2026 05:59:00 GMT"`},
	} {
		resp := &http.Response{StatusCode: http.StatusServiceUnavailable, Header: http.Header{"Date": {date}, retryAfterHeader: test.values}}
		var info ResponseInfo
		info.ReadWithdrawal(resp, leavingHeader)
		c.Check(info.Pause, qt.Equals, test.pause, qt.Commentf("%q", test.values))
		c.Check(ignoredValues(info), qt.Equals, test.ignored, qt.Commentf("%q", test.values))
		resp.StatusCode = http.StatusTooManyRequests
		info = ResponseInfo{}
		info.ReadWithdrawal(resp, leavingHeader)
		c.Check(info, qt.DeepEquals, ResponseInfo{}, qt.Commentf("status 429, %q", test.values))
	}
}

// TestLeavingValues guards against a server that is lost because of a header that
// announces nothing, and against an announcement that is missed.
func TestLeavingValues(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		values  []string
		leaving bool
		ignored string
	}{
		{nil, false, ""},
		{[]string{"1"}, true, ""},
		{[]string{"0"}, false, ""},
		{[]string{""}, false, `""`},
		{[]string{"true"}, false, `"true"`},
		{[]string{"2"}, false, `"2"`},
		{[]string{"01"}, false, `"01"`},
		{[]string{"0", "1"}, true, ""},
		{[]string{"1, 0"}, true, ""},
		{[]string{"x", "1"}, true, `"x"`},
		{[]string{strings.Repeat("x,", 10000)}, false, strings.Repeat(`"x" `, maxElements-1) + `"x"`},
	} {
		for _, status := range []int{http.StatusOK, http.StatusInternalServerError, http.StatusServiceUnavailable} {
			var info ResponseInfo
			info.ReadWithdrawal(&http.Response{StatusCode: status, Header: http.Header{leavingHeader: test.values}}, leavingHeader)
			c.Check(info.Draining, qt.Equals, test.leaving, qt.Commentf("%d %.20q", status, test.values))
			c.Check(ignoredValues(info), qt.Equals, test.ignored, qt.Commentf("%d %.20q", status, test.values))
		}
	}
}

func ignoredValues(info ResponseInfo) string {
	var values []string
	for _, ignored := range info.Ignored {
		values = append(values, `"`+ignored.Value+`"`)
	}
	return strings.Join(values, " ")
}

// withdrawalObserver records withdrawals, ignored headers and ejections.
type withdrawalObserver struct {
	nopObserver
	mu          sync.Mutex
	withdrawals []Withdrawal
	ignored     []*check.FieldError
	ejections   int
}

func (o *withdrawalObserver) ServerWithdrew(_ *filters.Exchange, _ *backend.Server, w Withdrawal) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.withdrawals = append(o.withdrawals, w)
}

func (o *withdrawalObserver) HeaderIgnored(_ *filters.Exchange, _ *backend.Server, err *check.FieldError) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ignored = append(o.ignored, err)
}

func (o *withdrawalObserver) EjectionChanged(routing.Ejection) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ejections++
}

// newWithdrawalDispatcher returns a dispatcher with backend servers that may
// withdraw, and its observer.
func newWithdrawalDispatcher(t *testing.T, handlers ...http.HandlerFunc) (*testInstance, *withdrawalObserver) {
	var servers []http.Handler
	for _, handler := range handlers {
		servers = append(servers, handler)
	}
	d := newServerDispatcher(t, servers...)
	observer := &withdrawalObserver{}
	d.Observer = observer
	d.Ejector = &routing.Ejector{Registry: d.Router.Registry, Failures: 1}
	d.Router.Filters = append(d.Router.Filters, routing.AcceptingFilter{}, routing.PauseFilter{})
	return &testInstance{Dispatcher: d, registry: d.Router.Registry}, observer
}

// deskService is the service of newServerDispatcher.
func deskService(x *filters.Exchange) {
	service := *testService
	service.Name = "desk"
	x.Service = &service
}

// TestWithdrawnServerIsNotEjected guards against the ejection of a server that
// leaves or asks for a pause, and against a further request to it. The caller is
// told when the pause ends.
func TestWithdrawnServerIsNotEjected(t *testing.T) {
	c := qt.New(t)
	var arrivals atomic.Int32
	i, observer := newWithdrawalDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
		arrivals.Add(1)
		w.Header().Set("Fuchsia-Attempt", r.Header.Get("Fuchsia-Attempt"))
		w.Header().Set(refusedHeader, refusedBusy)
		w.Header().Set(retryAfterHeader, "7.5")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	for range 5 {
		_, err := i.send("order", deskService)
		c.Assert(err.Status, qt.Equals, http.StatusServiceUnavailable)
		c.Assert(err.Outcome, qt.Equals, outcome.NotRun)
		c.Assert(err.RetryAfter > 6*time.Second && err.RetryAfter <= 7500*time.Millisecond, qt.IsTrue, qt.Commentf("%v", err.RetryAfter))
	}
	c.Assert(arrivals.Load(), qt.Equals, int32(1))
	c.Assert(observer.ejections, qt.Equals, 0)
	c.Assert(observer.withdrawals, qt.HasLen, 1)
	w := observer.withdrawals[0]
	c.Assert(w.Cause, qt.Equals, CausePause)
	c.Assert(w.Asked, qt.Equals, 7500*time.Millisecond)
	c.Assert(w.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(w.Refused, qt.IsTrue)
	c.Assert(i.registry.Servers("desk")[0].Health().ConsecutiveFailures(), qt.Equals, 0)
}

// TestErrorResponseAnnouncesLeaving guards against an announcement that is missed in
// a failed response or in the head of a stream.
func TestErrorResponseAnnouncesLeaving(t *testing.T) {
	c := qt.New(t)
	for _, status := range []int{http.StatusOK, http.StatusBadRequest, http.StatusInternalServerError} {
		i, observer := newWithdrawalDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Fuchsia-Attempt", r.Header.Get("Fuchsia-Attempt"))
			w.Header().Set(leavingHeader, "1")
			w.Header().Set("Content-Type", "text/event-stream")
			w.WriteHeader(status)
			_, _ = w.Write([]byte("id: 0\ndata: [DONE]\n\n"))
		})
		_, _ = i.send("order", deskService, func(x *filters.Exchange) { x.Stream = true })
		c.Assert(i.registry.Servers("desk")[0].Accepts(), qt.IsFalse, qt.Commentf("status %d", status))
		c.Assert(observer.withdrawals, qt.HasLen, 1)
		c.Assert(observer.withdrawals[0].Cause, qt.Equals, CauseLeaving)
	}
}

// TestTooLargeResponseAnnouncesLeaving guards against an announcement that is missed
// because the response that carries it exceeds the size limit.
func TestTooLargeResponseAnnouncesLeaving(t *testing.T) {
	c := qt.New(t)
	i, observer := newWithdrawalDispatcher(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Fuchsia-Attempt", r.Header.Get("Fuchsia-Attempt"))
		w.Header().Set(leavingHeader, "1")
		_, _ = w.Write([]byte("too large"))
	})
	i.MaxResponseBytes = 1
	_, err := i.send("order", deskService)
	c.Assert(err, qt.IsNotNil)
	c.Assert(i.registry.Servers("desk")[0].Accepts(), qt.IsFalse)
	c.Assert(observer.withdrawals, qt.HasLen, 1)
}

// TestResponseToEarlierRequestWithdrawsNothing guards against a server that is lost,
// or paused again, because of a response that belongs to an earlier request.
func TestResponseToEarlierRequestWithdrawsNothing(t *testing.T) {
	c := qt.New(t)
	i, observer := newWithdrawalDispatcher(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Fuchsia-Attempt", "another")
		w.Header().Set(refusedHeader, refusedBusy)
		w.Header().Set(leavingHeader, "1")
		w.Header().Set(retryAfterHeader, "soon, 60")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	_, err := i.send("order", deskService)
	c.Assert(err, qt.IsNotNil)
	server := i.registry.Servers("desk")[0]
	c.Assert(server.MayReceive(time.Now()), qt.IsTrue)
	c.Assert(observer.withdrawals, qt.HasLen, 0)
	c.Assert(observer.ignored, qt.HasLen, 0)
}

// TestRequestIsNotSentAfterWithdrawal guards against a request that was decided on
// before its server withdrew, and is sent afterwards. It goes to another server.
func TestRequestIsNotSentAfterWithdrawal(t *testing.T) {
	c := qt.New(t)
	withdrawals := map[string]func(*backend.Server){
		"leaving": func(s *backend.Server) { s.SetDraining() },
		"pause":   func(s *backend.Server) { s.Pause(time.Now(), time.Minute) },
	}
	for name, withdraw := range withdrawals {
		var arrivals [2]atomic.Int32
		count := func(n int) http.HandlerFunc {
			return func(http.ResponseWriter, *http.Request) { arrivals[n].Add(1) }
		}
		i, observer := newWithdrawalDispatcher(t, count(0), count(1))
		picker := &withdrawingPicker{withdraw: withdraw}
		i.Router.Picker = picker
		_, err := i.send("order", deskService)
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%s: %v", name, err))
		c.Assert(picker.picks, qt.Equals, 2, qt.Commentf(name))
		c.Assert(arrivals[0].Load()+arrivals[1].Load(), qt.Equals, int32(1), qt.Commentf(name))
		c.Assert(observer.ejections, qt.Equals, 0, qt.Commentf(name))
	}
}

// withdrawingPicker picks the first candidate, and withdraws the first one that it
// has picked after the decision.
type withdrawingPicker struct {
	withdraw func(*backend.Server)
	picks    int
}

// Pick implements routing.Picker.
func (p *withdrawingPicker) Pick(_ *routing.Request, candidates []routing.Candidate, _ routing.Random) int {
	if p.picks++; p.picks == 1 {
		p.withdraw(candidates[0].Server)
	}
	return 0
}

// TestFaultyHeaderIsReported guards against a faulty header that leaves no trace or
// keeps requests from the server.
func TestFaultyHeaderIsReported(t *testing.T) {
	c := qt.New(t)
	i, observer := newWithdrawalDispatcher(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(leavingHeader, "maybe")
	})
	for range 3 {
		_, err := i.send("order", deskService)
		c.Assert(err == nil, qt.IsTrue, qt.Commentf("%v", err))
	}
	c.Assert(observer.ignored, qt.HasLen, 3)
	c.Assert(observer.ignored[0].Error(), qt.Equals, `field Fuchsia-Leaving: value "maybe": is neither 0 nor 1`)
}

// TestSuspectIsRefusedWhileServersPause guards against a request under examination that
// waits until its deadline although no server accepts requests.
func TestSuspectIsRefusedWhileServersPause(t *testing.T) {
	inVirtualTime(t, 1, 3, func(c *qt.C, e *fakeEngines, all []*testInstance) {
		_, _ = all[0].send("poison", nonRepeatable) // makes the request a suspect
		for _, server := range all[0].registry.All() {
			server.Pause(time.Now(), 10*time.Second)
		}
		start := time.Now()
		_, err := all[0].send("poison", nonRepeatable)
		c.Assert(err, qt.IsNotNil)
		c.Assert(err.Outcome, qt.Equals, outcome.NotRun)
		c.Assert(err.RetryAfter, qt.Equals, 10*time.Second)
		c.Assert(time.Since(start), qt.Equals, time.Duration(0))
		c.Assert(e.crashCount, qt.Equals, 1)
		time.Sleep(err.RetryAfter)
		_, _ = all[0].send("poison", nonRepeatable)
		c.Assert(e.crashCount, qt.Equals, 2)
	})
}
