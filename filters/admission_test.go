package filters

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/admission"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/overload"
	"github.com/fuchsiastack/fuchsiastack/ratelimit"
	"github.com/fuchsiastack/fuchsiastack/share"
)

// recorder is an AdmissionObserver that records refusals.
type recorder struct {
	mu      sync.Mutex
	reasons []string
}

func (r *recorder) Queued(*Exchange, time.Duration) {}

func (r *recorder) Refused(_ *Exchange, filter, reason string, _ *outcome.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reasons = append(r.reasons, filter+":"+reason)
}

func (r *recorder) OverLimit(x *Exchange, exceeded *ratelimit.Refusal, refusal *outcome.Error) {
	r.Refused(x, Limit{}.Name(), string(exceeded.Limit), refusal)
}

func testService(limits catalog.Limits) *catalog.Service {
	s := &catalog.Service{Name: "drafting-desk", Kind: catalog.Model, Limits: limits}
	s.Ranks[catalog.Urgent] = catalog.RankPolicy{Target: 2 * time.Second, Deadline: 30 * time.Second, MinShare: 0.2}
	s.Ranks[catalog.Batch] = catalog.RankPolicy{Target: time.Minute, Deadline: time.Hour, MinShare: 0.1}
	return s
}

func testExchange(ctx context.Context, service *catalog.Service, rank catalog.Rank) *Exchange {
	request := httptest.NewRequestWithContext(ctx, http.MethodPost, "/v1/chat/completions", http.NoBody)
	now := time.Now()
	return &Exchange{
		Writer: httptest.NewRecorder(), Request: request, ID: "id", Received: now, Caller: "press",
		Service: service, Work: catalog.Work{Rank: rank}, Deadline: now.Add(service.Ranks[rank].Deadline),
	}
}

func respond(text string) Handler {
	return func(x *Exchange) *outcome.Error {
		_, _ = io.WriteString(x.Writer, text)
		return nil
	}
}

func TestLimitRefusesWithRetryAfter(t *testing.T) {
	c := qt.New(t)
	shares := share.NewTable(share.DefaultConfig("limits", "entry"))
	shares.SetMembers([]string{"entry"})
	observer := &recorder{}
	filter := Limit{Limiter: ratelimit.New(shares, 1), Observer: observer}
	service := testService(catalog.Limits{TokensPerSecond: 300})
	first := testExchange(t.Context(), service, catalog.Urgent)
	// A streamed response far longer than the estimate.
	c.Assert(filter.Handle(first, respond(strings.Repeat("data: {}\n\n", 3000))) == nil, qt.IsTrue)
	refusal := filter.Handle(testExchange(t.Context(), service, catalog.Urgent), respond(""))
	c.Assert(refusal, qt.IsNotNil)
	c.Check(refusal.Status, qt.Equals, http.StatusTooManyRequests)
	c.Check(refusal.Outcome, qt.Equals, outcome.NotRun)
	c.Check(refusal.RetryAfter >= 9*time.Second, qt.IsTrue)
	c.Check(observer.reasons, qt.DeepEquals, []string{"limit:tokens_per_second"})
}

// newOneSlotQueue returns a queue in which one request of service may run at a time.
func newOneSlotQueue(service *catalog.Service) *admission.Queue {
	queue := admission.NewQueue(admission.DefaultBounds(), 1)
	queue.SetCapacity(service, admission.Capacity{Slots: 1, Fraction: 1, Members: 1})
	return queue
}

// TestWaitingRequestsAreReleased guards against requests that wait for a slot until
// their latest start although no backend server accepts requests any more. Routing
// decides what becomes of them.
func TestWaitingRequestsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := testService(catalog.Limits{})
		queue := newOneSlotQueue(service)
		observer := &recorder{}
		filter := Admit{Queue: queue, Observer: observer, CanServeLocally: func(*Exchange) bool { return true }}
		start := time.Now()
		var group sync.WaitGroup
		for n := range 3 {
			group.Go(func() {
				wantWait := time.Duration(0)
				if n > 0 {
					time.Sleep(100 * time.Millisecond) // the first request holds the slot
					wantWait = 300 * time.Millisecond
				}
				err := filter.Handle(testExchange(t.Context(), service, catalog.Batch), func(*Exchange) *outcome.Error {
					c.Check(time.Since(start), qt.Equals, wantWait)
					time.Sleep(5 * time.Second)
					return nil
				})
				c.Check(err == nil, qt.IsTrue)
			})
		}
		time.Sleep(300 * time.Millisecond)
		queue.ReleaseWaiting(service)
		group.Wait()
		c.Check(observer.reasons, qt.HasLen, 0)
		stats := queue.StatsOf(service)
		c.Check(stats.Running, qt.Equals, 0)
		c.Check(stats.Waiting(), qt.Equals, 0)
	})
}

// TestStreamThatCannotEndGetsNoPrecedence guards against streams that pass others although
// they will be cut at their deadline all the same.
func TestStreamThatCannotEndGetsNoPrecedence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := testService(catalog.Limits{})
		queue := newOneSlotQueue(service)
		filter := Admit{
			Queue: queue, Observer: &recorder{}, CanServeLocally: func(*Exchange) bool { return true },
			StreamTime: func(x *Exchange) time.Duration { return time.Duration(x.OutputTokensHint) * time.Second },
		}
		var order []int
		var group sync.WaitGroup
		for _, hint := range []int{1, 2, 3, 20, 18, 5, 0} {
			group.Go(func() {
				x := testExchange(t.Context(), service, catalog.Batch)
				x.Stream, x.OutputTokensHint, x.Deadline = true, hint, time.Now().Add(5*time.Second)
				c.Check(filter.Handle(x, func(*Exchange) *outcome.Error {
					order = append(order, hint)
					time.Sleep(100 * time.Millisecond)
					return nil
				}) == nil, qt.IsTrue)
			})
			time.Sleep(10 * time.Millisecond)
		}
		group.Wait()
		c.Check(order, qt.DeepEquals, []int{1, 5, 3, 2, 20, 18, 0})
	})
}

func TestAdmitLimitsConcurrencyToSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		service := testService(catalog.Limits{})
		observer := &recorder{}
		queue := admission.NewQueue(admission.DefaultBounds(), 1)
		queue.SetCapacity(service, admission.Capacity{Slots: 2, Fraction: 1, Members: 1})
		filter := Admit{Queue: queue, Observer: observer, CanServeLocally: func(*Exchange) bool { return true }}
		var mu sync.Mutex
		running, maxRunning, served, refused := 0, 0, 0, 0
		slow := func(*Exchange) *outcome.Error {
			mu.Lock()
			running++
			maxRunning = max(maxRunning, running)
			mu.Unlock()
			time.Sleep(time.Second)
			mu.Lock()
			running--
			served++
			mu.Unlock()
			return nil
		}
		var group sync.WaitGroup
		for range 20 {
			group.Go(func() {
				if refusal := filter.Handle(testExchange(t.Context(), service, catalog.Urgent), slow); refusal != nil {
					mu.Lock()
					refused++
					mu.Unlock()
					c.Check(refusal.Outcome, qt.Equals, outcome.NotRun)
					c.Check(refusal.RetryAfter > 0, qt.IsTrue)
				}
			})
		}
		group.Wait()
		c.Check(maxRunning, qt.Equals, 2)
		c.Check(served, qt.Equals, 4) // two at once, and two more that start within 0.8 of the target
		c.Check(refused, qt.Equals, 16)
		c.Check(len(observer.reasons), qt.Equals, 16)
	})
}

func TestAdmitSpillsRequestWithoutSlot(t *testing.T) {
	c := qt.New(t)
	service := testService(catalog.Limits{})
	filter := Admit{
		Queue: admission.NewQueue(admission.Bounds{CallerEntries: 9, CallerBytes: 1 << 20}, 1), Observer: &recorder{},
		CanServeLocally: func(*Exchange) bool { return true }, CanSpill: func(*Exchange) bool { return true },
	}
	x := testExchange(t.Context(), service, catalog.Batch)
	c.Assert(filter.Handle(x, respond("")) == nil, qt.IsTrue)
	c.Check(x.NoLocalSlot, qt.IsTrue)
	forwarded := testExchange(t.Context(), service, catalog.Batch)
	forwarded.Hop = &Hop{Origin: "other"}
	c.Check(filter.Handle(forwarded, respond("")) == nil, qt.IsFalse)
}

// TestAdmitSpillsBeforeLocalWaitLimit has one slot, which is in use for longer
// than an urgent request waits before it may spill. A request that no other
// region may serve must go on waiting for the local slot.
func TestAdmitSpillsBeforeLocalWaitLimit(t *testing.T) {
	for _, canSpill := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			service := testService(catalog.Limits{})
			queue := newOneSlotQueue(service)
			filter := Admit{
				Queue: queue, Observer: &recorder{}, CanServeLocally: func(*Exchange) bool { return true },
				CanSpill: func(*Exchange) bool { return canSpill },
			}
			target := service.Ranks[catalog.Urgent].Target
			hold := func(*Exchange) *outcome.Error { time.Sleep(target * 6 / 10); return nil }
			var group sync.WaitGroup
			group.Go(func() {
				c.Check(filter.Handle(testExchange(t.Context(), service, catalog.Urgent), hold) == nil, qt.IsTrue)
			})
			synctest.Wait()
			start := time.Now()
			x := testExchange(t.Context(), service, catalog.Urgent)
			c.Check(filter.Handle(x, respond("")) == nil, qt.IsTrue)
			c.Check(x.NoLocalSlot, qt.Equals, canSpill)
			if canSpill {
				c.Check(time.Since(start) < target/2, qt.IsTrue)
			}
			group.Wait()
		})
	}
}

func TestTokenCounterPrefersReportedUsage(t *testing.T) {
	c := qt.New(t)
	x := testExchange(t.Context(), testService(catalog.Limits{}), catalog.Urgent)
	x.PromptTokens = 40
	counter := countTokens(x)
	c.Check(countTokens(x), qt.Equals, counter)
	_, _ = io.WriteString(x.Writer, `{"choices":[],"usage":{"total_tokens":52}}`)
	c.Check(counter.total(), qt.Equals, 52)
}

// overloadServer starts a server with a chain of the overload filter and last.
// The results channel receives the error of each request.
func overloadServer(t *testing.T, f Overload, last Handler) (addr string, results chan *outcome.Error) {
	results = make(chan *outcome.Error, 100)
	chain := Chain(last, f)
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &Exchange{Writer: w, Request: r, ID: "id", Received: time.Now()}
		err := chain(x)
		if err != nil && !x.Started {
			err.Write(w, x.ID)
		}
		results <- err
	}))
	t.Cleanup(s.Close)
	return s.Listener.Addr().String(), results
}

func readBody(x *Exchange) *outcome.Error {
	x.Service = &catalog.Service{Kind: catalog.Plain}
	return ReadBody{MaxBytes: 1 << 20}.Handle(x, func(*Exchange) *outcome.Error { return nil })
}

func TestSlowBodyTimesOut(t *testing.T) {
	c := qt.New(t)
	guard := overload.NewGuard(overload.Limits{})
	observer := &recorder{}
	f := Overload{Guard: guard, Observer: observer, BodyTimeout: 50 * time.Millisecond, WriteTimeout: time.Minute}
	addr, results := overloadServer(t, f, readBody)
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1000\r\n\r\nbegin")
	refusal := <-results
	c.Assert(refusal, qt.IsNotNil)
	c.Check(refusal.Status, qt.Equals, http.StatusRequestTimeout)
	c.Check(refusal.Outcome, qt.Equals, outcome.NotRun)
	c.Check(guard.Usage(), qt.Equals, overload.Limits{})
}

// TestShedResponseDoesNotWaitForBody checks that a caller whose request is shed
// receives the response although it has not sent the whole body.
func TestShedResponseDoesNotWaitForBody(t *testing.T) {
	c := qt.New(t)
	guard := overload.NewGuard(overload.Limits{InFlight: 1})
	c.Assert(guard.StartRequest(), qt.Equals, overload.Reason(""))
	f := Overload{Guard: guard, Observer: &recorder{}, BodyTimeout: time.Minute, WriteTimeout: time.Minute}
	addr, _ := overloadServer(t, f, readBody)
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprint(conn, "POST / HTTP/1.1\r\nHost: test\r\nContent-Length: 1000\r\n\r\nbegin")
	response, err := io.ReadAll(conn)
	c.Assert(err, qt.IsNil)
	c.Check(string(response), qt.Contains, "503 Service Unavailable")
}

func TestBodyTimeoutDoesNotApplyAfterBody(t *testing.T) {
	c := qt.New(t)
	f := Overload{Guard: overload.NewGuard(overload.Limits{}), Observer: &recorder{}, BodyTimeout: 100 * time.Millisecond, WriteTimeout: time.Minute}
	addr, results := overloadServer(t, f, func(x *Exchange) *outcome.Error {
		if err := readBody(x); err != nil {
			return err
		}
		// The request must go on after the read deadline of the body.
		select {
		case <-x.Request.Context().Done():
			return outcome.Fail(outcome.CodeCanceled, nil, "request canceled by the read deadline of the body")
		case <-time.After(3 * f.BodyTimeout):
			return nil
		}
	})
	resp, err := http.Post("http://"+addr, "text/plain", strings.NewReader("body"))
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Check(<-results == nil, qt.IsTrue)
}

func TestBodyBeyondMemoryLimitIsShed(t *testing.T) {
	c := qt.New(t)
	guard := overload.NewGuard(overload.Limits{BodyBytes: 1000})
	f := Overload{Guard: guard, Observer: &recorder{}, BodyTimeout: time.Minute, WriteTimeout: time.Minute}
	addr, results := overloadServer(t, f, readBody)
	resp, err := http.Post("http://"+addr, "text/plain", strings.NewReader(strings.Repeat("x", 2000)))
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Check(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	refusal := <-results
	c.Check(refusal.Code, qt.Equals, outcome.CodeOverloaded)
	c.Check(guard.Usage(), qt.Equals, overload.Limits{})
}

func TestWriteTimeoutEndsStalledResponse(t *testing.T) {
	c := qt.New(t)
	f := Overload{Guard: overload.NewGuard(overload.Limits{}), Observer: &recorder{}, BodyTimeout: time.Minute, WriteTimeout: 50 * time.Millisecond}
	addr, results := overloadServer(t, f, func(x *Exchange) *outcome.Error {
		x.Started = true
		piece := make([]byte, 1<<16)
		for {
			if _, err := x.Writer.Write(piece); err != nil {
				return outcome.Fail(outcome.CodeCanceled, err, "write to the caller failed")
			}
		}
	})
	conn, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	fmt.Fprint(conn, "GET / HTTP/1.1\r\nHost: test\r\n\r\n") // the client never reads the response
	c.Check(<-results, qt.ErrorMatches, ".*timeout.*")
}
