package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/entry"
	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// fleet is a set of HTTP servers that simulate instances.
type fleet struct {
	urls     []string
	received []*atomic.Int32 // requests received by each instance, except queries for instances
}

// newFleet starts a server for each handler. Each server responds to a query
// for instances with all servers, in this order.
func newFleet(tb testing.TB, handlers ...http.HandlerFunc) *fleet {
	f := &fleet{}
	for _, handler := range handlers {
		received := &atomic.Int32{}
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == entry.Path {
				f.serveInstances(w)
				return
			}
			received.Add(1)
			handler(w, r)
		}))
		tb.Cleanup(server.Close)
		f.urls, f.received = append(f.urls, server.URL), append(f.received, received)
	}
	return f
}

func (f *fleet) serveInstances(w http.ResponseWriter) {
	response := entry.Response{TTLSeconds: 20}
	for _, url := range f.urls {
		response.Instances = append(response.Instances, entry.Instance{ID: url, URL: url})
	}
	_ = json.NewEncoder(w).Encode(response)
}

func (f *fleet) client() *http.Client {
	return &http.Client{Transport: &entry.Client{Bootstrap: []string{f.urls[len(f.urls)-1]}}}
}

// post sends "question" and returns the status and the body.
func (f *fleet) post(path string) (int, string, error) {
	resp, err := f.client().Post("http://entry.invalid"+path, "text/plain", strings.NewReader("question"))
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(body), err
}

func serve(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	_, _ = fmt.Fprintf(w, "answer to %s", body)
}

func refuse(status int, o outcome.Outcome) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(outcome.Header, o.String())
		w.WriteHeader(status)
	}
}

func abort(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func TestResendOnlyIfNotRun(t *testing.T) {
	for _, test := range []struct {
		name   string
		first  http.HandlerFunc
		second int32 // requests that reach the second instance
	}{
		{"not run", refuse(http.StatusServiceUnavailable, outcome.NotRun), 1},
		{"may have run", refuse(http.StatusServiceUnavailable, outcome.MayHaveRun), 0},
		{"not retryable status", refuse(http.StatusBadRequest, outcome.NotRun), 0},
		{"no outcome", refuse(http.StatusServiceUnavailable, outcome.Unknown), 0},
		{"connection aborted", abort, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			f := newFleet(t, test.first, serve)
			_, body, _ := f.post("/v1/chat")
			c.Assert(f.received[0].Load(), qt.Equals, int32(1))
			c.Assert(f.received[1].Load(), qt.Equals, test.second)
			c.Assert(body == "answer to question", qt.Equals, test.second == 1)
		})
	}
}

func TestUnreachableInstanceIsSkipped(t *testing.T) {
	c := qt.New(t)
	f := newFleet(t, serve, serve)
	dead := httptest.NewServer(nil)
	dead.Close()
	f.urls = append([]string{dead.URL}, f.urls...)
	_, body, err := f.post("/v1/chat")
	c.Assert(err, qt.IsNil)
	c.Assert(body, qt.Equals, "answer to question")
}

// TestMisdirectedRequestIsResentToHome has an instance respond with 421 and the
// URL of another instance. The request is resent there only if the first
// instance did not read the body.
func TestMisdirectedRequestIsResentToHome(t *testing.T) {
	for _, readsBody := range []bool{false, true} {
		c := qt.New(t)
		var f *fleet
		f = newFleet(t, func(w http.ResponseWriter, r *http.Request) {
			if readsBody {
				_, _ = io.ReadAll(r.Body)
			}
			w.Header().Set("Location", f.urls[1])
			refuse(http.StatusMisdirectedRequest, outcome.NotRun)(w, r)
		}, serve)
		status, _, err := f.post("/services/orders-desk/stock/")
		c.Assert(err, qt.IsNil)
		c.Assert(status == http.StatusOK, qt.Equals, !readsBody)
	}
}

// events streams numbered events up to count, starting after Last-Event-ID, and
// aborts the connection before event abortAt.
func events(count, abortAt int, requests *[]string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		last := r.Header.Get("Last-Event-ID")
		body, _ := io.ReadAll(r.Body)
		*requests = append(*requests, last+" "+string(body))
		first := 0
		if n, err := strconv.Atoi(last); err == nil {
			first = n + 1
		}
		id := r.Header.Get(outcome.RequestIDHeader)
		if id == "" {
			id = "request-1"
		}
		w.Header().Set(outcome.RequestIDHeader, id)
		w.Header().Set("Content-Type", "text/event-stream")
		for i := first; i < count; i++ {
			if i == abortAt {
				abort(w, r)
			}
			_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", i, id, i)
			_ = http.NewResponseController(w).Flush()
		}
		_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	}
}

func TestBrokenStreamIsResumed(t *testing.T) {
	c := qt.New(t)
	var requests []string
	f := newFleet(t, events(9, 4, &requests), events(9, 7, &requests), events(9, -1, &requests))
	_, body, err := f.post("/v1/chat")
	c.Assert(err, qt.IsNil)
	var want strings.Builder
	for i := range 9 {
		fmt.Fprintf(&want, "id: %d\ndata: request-1 %d\n\n", i, i)
	}
	c.Assert(body, qt.Equals, want.String()+"data: [DONE]\n\n")
	c.Assert(requests, qt.DeepEquals, []string{" question", "3 question", "6 question"})
}

func TestUnresumableStreamReturnsError(t *testing.T) {
	restart := func(w http.ResponseWriter, r *http.Request) {
		var ignored []string
		r.Header.Del("Last-Event-ID")
		events(9, -1, &ignored)(w, r)
	}
	other := func(w http.ResponseWriter, r *http.Request) {
		var ignored []string
		r.Header.Set(outcome.RequestIDHeader, "request-2")
		events(9, -1, &ignored)(w, r)
	}
	unnumbered := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = fmt.Fprint(w, "data: 0\n\n")
	}
	var requests []string
	for name, handlers := range map[string][]http.HandlerFunc{
		"restarts at first event": {events(9, 4, &requests), restart},
		"other request":           {events(9, 4, &requests), other},
		"refused":                 {events(9, 4, &requests), refuse(http.StatusConflict, outcome.Duplicate)},
		"no ids":                  {unnumbered, unnumbered},
	} {
		t.Run(name, func(t *testing.T) {
			_, body, err := newFleet(t, handlers...).post("/v1/chat")
			var broken *entry.StreamError
			qt.Assert(t, errors.As(err, &broken), qt.IsTrue)
			qt.Assert(t, strings.Count(body, "data:") <= 4, qt.IsTrue)
		})
	}
}

// unavailableTransport simulates two instances that refuse requests until a
// given time.
type unavailableTransport struct {
	until    time.Time
	attempts int
}

// RoundTrip implements http.RoundTripper.
func (b *unavailableTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	if req.URL.Path == entry.Path {
		(&fleet{urls: []string{"http://a", "http://b"}}).serveInstances(w)
		return w.Result(), nil
	}
	b.attempts++
	if time.Now().Before(b.until) {
		w.Header().Set("Retry-After", "3")
		refuse(http.StatusServiceUnavailable, outcome.NotRun)(w, req)
	}
	return w.Result(), nil
}

func TestRetryAfterWithinDeadline(t *testing.T) {
	for _, test := range []struct {
		deadline, busy   time.Duration
		status, attempts int
	}{
		{10 * time.Second, 3 * time.Second, http.StatusOK, 3},
		{2 * time.Second, 3 * time.Second, http.StatusServiceUnavailable, 2},
		{time.Minute, time.Hour, http.StatusServiceUnavailable, 4},
	} {
		synctest.Test(t, func(t *testing.T) {
			c := qt.New(t)
			transport := &unavailableTransport{until: time.Now().Add(test.busy)}
			client := &http.Client{Timeout: test.deadline, Transport: &entry.Client{Bootstrap: []string{"http://a"}, Transport: transport}}
			resp, err := client.Get("http://entry.invalid/v1/models")
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
			c.Assert(resp.StatusCode, qt.Equals, test.status)
			c.Assert(transport.attempts, qt.Equals, test.attempts)
		})
	}
}

// unreachableTransport simulates two instances of which http://a refuses
// connections for requests.
type unreachableTransport struct {
	unavailableTransport
	dialsToA int
}

// RoundTrip implements http.RoundTripper.
func (r *unreachableTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.URL.Host == "a" && req.URL.Path != entry.Path {
		r.dialsToA++
		return nil, &net.OpError{Op: "dial", Err: errors.New("connection refused")}
	}
	return r.unavailableTransport.RoundTrip(req)
}

func TestFailedInstanceIsEjectedTemporarily(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		transport := &unreachableTransport{}
		client := &http.Client{Transport: &entry.Client{Bootstrap: []string{"http://a"}, Transport: transport}}
		for _, want := range []int{1, 1, 1, 2, 2} {
			resp, err := client.Get("http://entry.invalid/v1/models")
			c.Assert(err, qt.IsNil)
			_ = resp.Body.Close()
			c.Assert(transport.dialsToA, qt.Equals, want)
			time.Sleep(4 * time.Second)
		}
	})
}

// slowTransport simulates two instances that respond after ten seconds.
type slowTransport struct {
	unavailableTransport
	hosts []string // that received requests
}

// RoundTrip implements http.RoundTripper.
func (s *slowTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	if req.URL.Path != entry.Path {
		s.hosts = append(s.hosts, req.URL.Host)
		select {
		case <-req.Context().Done():
			return nil, req.Context().Err()
		case <-time.After(10 * time.Second):
		}
	}
	return s.unavailableTransport.RoundTrip(req)
}

// TestCanceledRequestDoesNotEjectInstance guards against callers that leave healthy
// instances, one after another, because they cancel requests. A request whose deadline
// passes still ejects its instance, which may hang.
func TestCanceledRequestDoesNotEjectInstance(t *testing.T) {
	for _, test := range []struct {
		name  string
		start func(context.Context) (context.Context, context.CancelFunc)
		next  string
	}{
		{"canceled", func(ctx context.Context) (context.Context, context.CancelFunc) {
			ctx, cancel := context.WithCancel(ctx)
			time.AfterFunc(time.Second, cancel)
			return ctx, cancel
		}, "a"},
		{"deadline passed", func(ctx context.Context) (context.Context, context.CancelFunc) {
			return context.WithTimeout(ctx, time.Second)
		}, "b"},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := qt.New(t)
				transport := &slowTransport{}
				client := &http.Client{Transport: &entry.Client{Bootstrap: []string{"http://a"}, Transport: transport}}
				ctx, cancel := test.start(t.Context())
				defer cancel()
				req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://entry.invalid/v1/models", http.NoBody)
				c.Assert(err, qt.IsNil)
				_, err = client.Do(req)
				c.Assert(err, qt.IsNotNil)
				resp, err := client.Get("http://entry.invalid/v1/models")
				c.Assert(err, qt.IsNil)
				_ = resp.Body.Close()
				c.Assert(transport.hosts, qt.DeepEquals, []string{"a", test.next})
			})
		})
	}
}
