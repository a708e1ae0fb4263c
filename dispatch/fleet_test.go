package dispatch

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/quarantine"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/routing"
)

// errReset is a connection that broke.
var errReset = errors.New("connection reset")

// engines are the backend servers of a test, reached without a network.
type engines struct {
	mu      sync.Mutex
	up      map[string]bool          // by address
	running map[string]int           // by address
	crash   map[string]chan struct{} // closed when the server crashes
	crashes int
	ran     map[string]int // runs begun, by body
	beside  bool           // two runs of one body overlapped
	active  map[string]int // by body
	take    time.Duration  // time to the answer
	closes  bool           // closes idle connections when a request comes
	hang    map[string]bool
}

func newEngines(count int) *engines {
	e := &engines{
		up: make(map[string]bool), running: make(map[string]int), crash: make(map[string]chan struct{}),
		ran: make(map[string]int), active: make(map[string]int), hang: make(map[string]bool), take: time.Second,
	}
	for i := range count {
		addr := fmt.Sprintf("engine-%d:1", i)
		e.up[addr], e.crash[addr] = true, make(chan struct{})
	}
	return e
}

// RoundTrip implements http.RoundTripper. A body "poison" crashes its server
// after half of its run.
func (e *engines) RoundTrip(req *http.Request) (*http.Response, error) {
	addr := req.URL.Host
	content, _ := io.ReadAll(req.Body)
	body := string(content)
	e.mu.Lock()
	if !e.up[addr] {
		e.mu.Unlock()
		return nil, errors.New("connection refused")
	}
	crash := e.crash[addr]
	e.running[addr]++
	e.ran[body]++
	e.active[body]++
	e.beside = e.beside || e.active[body] > 1
	e.mu.Unlock()
	defer e.leave(addr, body)
	if trace := httptrace.ContextClientTrace(req.Context()); trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Reused: e.closes})
	}
	if e.closes && body != "poison" {
		return nil, io.EOF
	}
	return e.run(req.Context(), addr, body, crash)
}

func (e *engines) run(ctx context.Context, addr, body string, crash chan struct{}) (*http.Response, error) {
	take := e.take
	if e.hang[addr] {
		take = time.Hour
	}
	if body == "poison" {
		time.Sleep(take / 2)
		e.kill(addr)
	}
	select {
	case <-crash:
		return nil, errReset
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-time.After(take):
		return &http.Response{StatusCode: http.StatusOK, Header: make(http.Header), Body: io.NopCloser(strings.NewReader("answer to " + body))}, nil
	}
}

// dial implements Dispatcher.Dial.
func (e *engines) dial(_ context.Context, addr string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.up[addr] {
		return errReset
	}
	return nil
}

func (e *engines) leave(addr, body string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.running[addr]--
	e.active[body]--
}

func (e *engines) kill(addr string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.up[addr] {
		e.up[addr] = false
		e.crashes++
		close(e.crash[addr])
	}
}

// instance is a dispatcher with its own view of the servers.
type instance struct {
	*Dispatcher
	registry *backend.Registry
}

var testService = &catalog.Service{
	Name: "orders-desk", Kind: catalog.Plain,
	Ranks: [catalog.RankCount]catalog.RankPolicy{{Target: 2 * time.Second, Deadline: time.Minute}},
}

func newInstance(id string, e *engines) *instance {
	registry := backend.NewRegistry()
	var infos []backend.Info
	for i := range len(e.up) {
		name := fmt.Sprintf("engine-%d", i)
		infos = append(infos, backend.Info{ID: name, Addr: name + ":1", Region: "cairo", Service: testService.Name, State: backend.StateLive})
	}
	registry.Replace(infos)
	table := &quarantine.Table{Instance: id}
	return &instance{registry: registry, Dispatcher: &Dispatcher{
		Instance: id, Region: "cairo", Transport: e, PeerScheme: "http", Observer: silent{}, Dial: e.dial,
		Router: &routing.Router{
			Region: "cairo", Registry: registry, Scorer: routing.FirstTokenScorer{},
			Filters: []routing.Filter{routing.AcceptingFilter{}, routing.UntriedFilter{}, quarantine.Filter{Table: table}},
			Health:  []routing.Filter{routing.HealthyFilter{}},
		},
		Retry: &retry.Policy{Budget: &retry.Budget{}}, Ejector: &routing.Ejector{Registry: registry},
		Quarantine: table, DigestKey: quarantine.Key("the key of the deployment"),
	}}
}

// follow delivers load reports and the states of the quarantine until ctx ends.
func follow(ctx context.Context, e *engines, instances []*instance) {
	for sleep(ctx, 500*time.Millisecond) {
		for _, i := range instances {
			for _, s := range i.registry.All() {
				e.mu.Lock()
				load := backend.Load{Running: e.running[s.Addr], Slots: 8, At: time.Now()}
				if e.up[s.Addr] {
					s.SetLoad(load)
				}
				e.mu.Unlock()
			}
			state := i.Quarantine.OwnState(time.Now())
			for _, other := range instances {
				if other != i && state != nil {
					_ = other.Quarantine.Merge(time.Now(), i.Instance, state)
				}
			}
		}
	}
}

// send dispatches a request and returns the answer's body and the error.
func (i *instance) send(body string, change ...func(*filters.Exchange)) (string, *outcome.Error) {
	w := httptest.NewRecorder()
	x := &filters.Exchange{
		Writer: w, Request: httptest.NewRequest(http.MethodPost, "/stock", bytes.NewReader(nil)), ID: body,
		Received: time.Now(), Deadline: time.Now().Add(time.Minute), Snapshot: &catalog.Snapshot{Revision: 1},
		Service: testService, Work: catalog.Work{Name: "stock", Repeatable: true}, Path: "/stock", Body: []byte(body),
	}
	for _, f := range change {
		f(x)
	}
	err := i.Handle(x)
	return w.Body.String(), err
}

// silent is an Observer that does nothing.
type silent struct{}

func (silent) Decided(*filters.Exchange, int, routing.Decision)                           {}
func (silent) FirstByte(*filters.Exchange)                                                {}
func (silent) Attempted(*filters.Exchange, int, routing.Decision, outcome.Outcome, error) {}
func (silent) Retried(*filters.Exchange, int, retry.Verdict)                              {}
func (silent) Suspected(*filters.Exchange, quarantine.Digest, quarantine.State, string)   {}
func (silent) Ejected(routing.Ejection)                                                   {}
