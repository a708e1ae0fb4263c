package hosted

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
	"github.com/fuchsiastack/fuchsiastack/standin/thinlink"
)

// waitTimeout is how long tests wait for an expected condition.
const waitTimeout = 20 * time.Second

// retryRatio lets the first request of a test earn the whole retry burst, as earlier
// requests would.
const retryRatio = 50

// fleet is a store with instances and backend servers in the regions cairo and
// alex, each with one availability zone.
type fleet struct {
	*qt.C
	store *hosting.Store
	count int
	// heap is that of each instance. Those of all tests share a process, so that its heap
	// tells nothing of an instance; nil if the test has the process to itself.
	heap func() int64
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{C: qt.New(t), store: hosting.NewStore(), heap: func() int64 { return 0 }}
	t.Cleanup(f.store.CloseClientConnections)
	t.Cleanup(f.store.Close)
	return f
}

// route is a route of the configuration.
type route struct {
	Prefix    string   `json:"prefix"`
	Name      string   `json:"name"`
	Host      string   `json:"host"`
	Type      string   `json:"type"`
	Service   string   `json:"service"`
	Timeout   int      `json:"timeout-ms"`
	Target    int      `json:"slo-ms"`
	GapTarget int      `json:"gap-slo-ms,omitempty"`
	Attempts  int      `json:"attempts"`
	Resumable bool     `json:"resumable"`
	Homes     []string `json:"home-regions"`
	Priority  int      `json:"priority,omitempty"`
	Public    bool     `json:"public,omitempty"`
}

const host = "desk.example"

func newRoute(name, kind, service string) route {
	return route{
		Prefix: "/" + name + "/", Name: name, Host: host, Type: kind, Service: service, Timeout: 5000, Target: 1000, Attempts: 2,
	}
}

// configure writes a configuration to the store.
func (f *fleet) configure(version int, routes ...route) {
	f.configureTenants(version, nil, routes...)
}

// configureTenants writes a configuration with organizations to the store.
func (f *fleet) configureTenants(version int, tenants []tenant, routes ...route) {
	data, err := json.Marshal(map[string]any{
		"version": version, "routes": routes, "tenants": tenants,
		"services": []any{
			map[string]any{"name": "orders", "health-path": "/healthz"},
			map[string]any{"name": "drafts", "health-path": "/healthz", "engine": map[string]any{"kv-capacity": 100000}},
		},
		"limits": map[string]any{"max-body-bytes": 1 << 20},
	})
	f.Assert(err, qt.IsNil)
	f.store.Put(platform.ConfigKey, string(data))
}

// startServer starts a backend server and registers it in the store.
func (f *fleet) startServer(service, zone string, events int) *hosting.Server {
	f.count++
	s := hosting.NewServer(fmt.Sprintf("i-%d", f.count), events)
	f.Cleanup(s.Close)
	f.Cleanup(s.CloseClientConnections)
	f.register(s, service, zone, "ready")
	return s
}

// startServerBehind starts a backend server that instances reach over link.
func (f *fleet) startServerBehind(link *thinlink.Link, service, zone string, events int) *hosting.Server {
	f.count++
	s := hosting.NewServer(fmt.Sprintf("i-%d", f.count), events)
	f.Cleanup(s.Close)
	f.Cleanup(s.CloseClientConnections)
	addr, err := link.Outbound(s.Addr())
	f.Assert(err, qt.IsNil)
	f.store.Put(platform.ServerPrefix+s.ID, strings.Replace(s.Entry(service, zone, "ready"), s.Addr(), addr, 1))
	return s
}

// startRawServer starts a backend server and registers it in the store. It reads one
// request on each connection, calls respond and closes the connection.
func (f *fleet) startRawServer(service, zone string, respond func(conn net.Conn, req *http.Request)) *hosting.Server {
	return f.startConnServer(service, zone, func(conn net.Conn) {
		if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			respond(conn, req)
		}
	})
}

// startConnServer starts a backend server and registers it in the store. It calls serve
// for each connection and closes the connection after it.
func (f *fleet) startConnServer(service, zone string, serve func(conn net.Conn)) *hosting.Server {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				serve(conn)
			}()
		}
	}()
	f.count++
	s := &hosting.Server{Server: &httptest.Server{URL: "http://" + l.Addr().String()}, ID: fmt.Sprintf("i-%d", f.count)}
	f.register(s, service, zone, "ready")
	return s
}

func (f *fleet) register(s *hosting.Server, service, zone, state string) {
	f.store.Put(platform.ServerPrefix+s.ID, s.Entry(service, zone, state))
}

// testInstance is a running instance.
type testInstance struct {
	*Instance
	f    *fleet
	stop func()
	done chan struct{}
}

// instanceCount is the number of instances in all tests so far.
var instanceCount atomic.Int32

// settings returns the settings of a new instance. Each instance has its own
// loopback address, so that outgoing connections do not take its ports.
func (f *fleet) settings(region string) *platform.Settings {
	number := instanceCount.Add(1)
	ip := fmt.Sprintf("127.0.%d.%d", 1+number/250, 1+number%250)
	var listeners []net.Listener // open until all ports are chosen, so that they differ
	defer func() {
		for _, l := range listeners {
			l.Close()
		}
	}()
	addr := func() string {
		l, err := net.Listen("tcp", ip+":0")
		f.Assert(err, qt.IsNil)
		listeners = append(listeners, l)
		return l.Addr().String()
	}
	return &platform.Settings{
		Instance: fmt.Sprintf("entry-%s-%d", region, number), Region: region, Zone: region + "-a",
		Regions:    map[string]string{"cairo-a": "cairo", "alex-a": "alex"},
		CallerAddr: addr(), ReadyAddr: addr(), PeerAddr: addr(), DirectoryAddr: addr(),
		StoreAddr: f.store.Addr(), MemoryBytes: 284 << 20, MaxFiles: 4100, LinkRate: 10e6 / 8,
		Bounds: platform.Bounds{
			DrainDelay: 4 * time.Second, GracePeriod: 8 * time.Second, RetryRatio: retryRatio, RetryBurst: 50,
			WarmupFactor: 1.5, WarmupBurst: 3, MaxTTL: 5 * time.Second,
		},
	}
}

// start starts an instance and waits until it is ready.
func (f *fleet) start(settings *platform.Settings) *testInstance {
	return f.startBehind(settings, settings.PeerAddr)
}

// startBehind starts an instance that other instances reach at peerAddr, and waits
// until it is ready.
func (f *fleet) startBehind(settings *platform.Settings, peerAddr string) *testInstance {
	return f.startLogging(settings, peerAddr, io.Discard)
}

// startLogging is like startBehind, and writes the log lines of the instance to out.
func (f *fleet) startLogging(settings *platform.Settings, peerAddr string, out io.Writer) *testInstance {
	n := f.startUnready(settings, peerAddr, out)
	f.eventually("ready", func() bool { return n.status(settings.ReadyAddr, "/v1/readyz") == http.StatusOK })
	f.eventually("listed, unless the store is unavailable", func() bool { return n.listed.Load() || n.mirror.Outage() > 0 })
	return n
}

// startUnready is like startLogging, but does not wait until the instance is ready.
func (f *fleet) startUnready(settings *platform.Settings, peerAddr string, out io.Writer) *testInstance {
	instance, err := New(settings, Options{LogLevel: "info", Heap: f.heap}, out)
	f.Assert(err, qt.IsNil)
	instance.roster.Self.PeerAddr = peerAddr
	ctx, cancel := context.WithCancel(context.Background())
	n := &testInstance{Instance: instance, f: f, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		if err := instance.Run(ctx); err != nil {
			f.Errorf("run instance: %v", err)
		}
	}()
	f.Cleanup(func() {
		cancel()
		<-n.done
	})
	return n
}

// startFor starts an instance in cairo whose requests run on the given number of backend
// servers in zone. If that is in alex, it starts an instance there as well. The first
// one returned is that of cairo.
func (f *fleet) startFor(zone string, servers int) []*testInstance {
	n := f.start(f.settings("cairo"))
	if zone != "alex-a" {
		return []*testInstance{n.waitForServers(servers)}
	}
	other := f.start(f.settings("alex")).waitForServers(servers)
	f.eventually("live instance in alex", func() bool { return len(n.roster.InRegion("alex")) == 1 })
	return []*testInstance{n, other}
}

// startCases configures a route and two scripted servers in zone for each case, and
// starts the instances for them as startFor does.
func (f *fleet) startCases(cases []streamCase, zone string) *testInstance {
	f.configureServices(cases)
	for _, test := range cases {
		f.startScriptedServers(test.backend, test.service, zone)
	}
	return f.startFor(zone, 2*len(cases))[0]
}

// exchangeRaw sends the text of a request on a new connection and returns the response.
func (n *testInstance) exchangeRaw(text string) (*http.Response, error) {
	conn, err := net.Dial("tcp", n.settings.CallerAddr)
	n.f.Assert(err, qt.IsNil)
	n.f.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(waitTimeout))
	_, err = io.WriteString(conn, text)
	n.f.Assert(err, qt.IsNil)
	return http.ReadResponse(bufio.NewReader(conn), nil)
}

// waitForServers waits until the instance's registry has the given number of
// backend servers.
func (n *testInstance) waitForServers(servers int) *testInstance {
	n.f.eventually("backend servers", func() bool { return len(n.registry.All()) == servers })
	return n
}

func (f *fleet) eventually(condition string, holds func() bool) {
	f.Helper()
	for deadline := time.Now().Add(waitTimeout); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.Fatalf("condition not met within %v: %s", waitTimeout, condition)
		}
	}
}

func (n *testInstance) status(addr, path string) int {
	resp, err := http.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// directory returns the directory response of the instance for callers in a region.
func (n *testInstance) directory(region string) string {
	resp, err := http.Get("http://" + n.settings.DirectoryAddr + "/v1/resolve?name=" + host + "&region=" + region + "&zone=" + region + "-a")
	n.f.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	n.f.Assert(err, qt.IsNil)
	return string(body)
}

// response is what a caller has received.
type response struct {
	status int
	header http.Header
	body   string
	err    error // of the request or of reading the body
	closes bool  // the connection is closed after the response
}

// request returns a request to the instance with the request target unchanged.
func (n *testInstance) request(method, target, id, body string) *http.Request {
	req, err := http.NewRequest(method, "http://"+n.settings.CallerAddr+"/", strings.NewReader(body))
	n.f.Assert(err, qt.IsNil)
	path, query, _ := strings.Cut(target, "?")
	req.URL.Opaque, req.URL.RawQuery = path, query
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	return req
}

// maxTestResponseBytes limits how much of a response body a caller reads.
const maxTestResponseBytes = 64 << 20

// callerClient does not add an Accept-Encoding header.
var callerClient = &http.Client{Transport: &http.Transport{DisableCompression: true}}

func (n *testInstance) send(req *http.Request) response {
	resp, err := callerClient.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxTestResponseBytes))
	return response{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, closes: resp.Close}
}
