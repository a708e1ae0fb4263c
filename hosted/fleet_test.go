package hosted

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/platform"
	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
	"github.com/fuchsiastack/fuchsiastack/standin/thinlink"
)

// patience bounds the wait for something that must come about.
const patience = 20 * time.Second

// fleet is a store and instances of the regions cairo and alex, each with one
// availability zone.
type fleet struct {
	*qt.C
	store *hosting.Store
	count int
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{C: qt.New(t), store: hosting.NewStore()}
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
	Pause     int      `json:"gap-slo-ms,omitempty"`
	Attempts  int      `json:"attempts"`
	Resumable bool     `json:"resumable"`
	Homes     []string `json:"home-regions"`
}

const host = "desk.example"

func newRoute(name, kind, service string) route {
	return route{
		Prefix: "/" + name + "/", Name: name, Host: host, Type: kind, Service: service, Timeout: 5000, Target: 1000, Attempts: 2,
	}
}

// configure writes a configuration.
func (f *fleet) configure(version int, routes ...route) {
	text, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "orders", "health-path": "/healthz"},
			map[string]any{"name": "drafts", "health-path": "/healthz", "engine": map[string]any{"kv-capacity": 100000}},
		},
		"limits": map[string]any{"max-body-bytes": 1 << 20},
	})
	f.Assert(err, qt.IsNil)
	f.store.Put(platform.ConfigKey, string(text))
}

// server starts a backend server and enters it into the store.
func (f *fleet) server(service, zone string, events int) *hosting.Server {
	f.count++
	s := hosting.NewServer(fmt.Sprintf("i-%d", f.count), events)
	f.Cleanup(s.Close)
	f.Cleanup(s.CloseClientConnections)
	f.enter(s, service, zone, "ready")
	return s
}

// serverBehind starts a backend server that instances reach over their link.
func (f *fleet) serverBehind(link *thinlink.Link, service, zone string, events int) *hosting.Server {
	f.count++
	s := hosting.NewServer(fmt.Sprintf("i-%d", f.count), events)
	f.Cleanup(s.Close)
	f.Cleanup(s.CloseClientConnections)
	addr, err := link.Outbound(s.Addr())
	f.Assert(err, qt.IsNil)
	f.store.Put(platform.ServerPrefix+s.ID, strings.Replace(s.Entry(service, zone, "ready"), s.Addr(), addr, 1))
	return s
}

func (f *fleet) enter(s *hosting.Server, service, zone, state string) {
	f.store.Put(platform.ServerPrefix+s.ID, s.Entry(service, zone, state))
}

// node is a running instance.
type node struct {
	*Instance
	f    *fleet
	stop func()
	done chan struct{}
}

// instances counts the instances of all tests.
var instances atomic.Int32

// settings returns those of a new instance. Each has a loopback address of its
// own, so that its ports are not taken by outgoing connections.
func (f *fleet) settings(region string) *platform.Settings {
	number := instances.Add(1)
	ip := fmt.Sprintf("127.0.1.%d", number)
	var held []net.Listener // until all ports are chosen, so that they differ
	defer func() {
		for _, l := range held {
			l.Close()
		}
	}()
	addr := func() string {
		l, err := net.Listen("tcp", ip+":0")
		f.Assert(err, qt.IsNil)
		held = append(held, l)
		return l.Addr().String()
	}
	return &platform.Settings{
		Instance: fmt.Sprintf("entry-%s-%d", region, number), Region: region, Zone: region + "-a",
		Regions:    map[string]string{"cairo-a": "cairo", "alex-a": "alex"},
		CallerAddr: addr(), ReadyAddr: addr(), PeerAddr: addr(), DirectoryAddr: addr(),
		StoreAddr: f.store.Addr(), MemoryBytes: 284 << 20, MaxFiles: 4100, LinkRate: 10e6 / 8,
		Bounds: platform.Bounds{
			DrainDelay: 4 * time.Second, StopTime: 8 * time.Second, RetryRatio: 0.2, RetryBurst: 50,
			WarmupFactor: 1.5, WarmupBurst: 3, MaxTTL: 5 * time.Second,
		},
	}
}

// start runs an instance and waits until it is ready.
func (f *fleet) start(settings *platform.Settings) *node {
	return f.startBehind(settings, settings.PeerAddr)
}

// startBehind runs an instance that others reach at peerAddr.
func (f *fleet) startBehind(settings *platform.Settings, peerAddr string) *node {
	instance, err := New(settings, Options{LogLevel: "info"}, io.Discard)
	f.Assert(err, qt.IsNil)
	instance.roster.Self.PeerAddr = peerAddr
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Instance: instance, f: f, stop: cancel, done: make(chan struct{})}
	go func() {
		defer close(n.done)
		if err := instance.Run(ctx); err != nil {
			f.Errorf("run: %v", err)
		}
	}()
	f.Cleanup(func() {
		cancel()
		<-n.done
	})
	f.eventually("ready", func() bool { return n.status(settings.ReadyAddr, "/v1/readyz") == http.StatusOK })
	return n
}

// knows waits until the instance has a number of backend servers.
func (n *node) knows(servers int) *node {
	n.f.eventually("backend servers", func() bool { return len(n.registry.All()) == servers })
	return n
}

func (f *fleet) eventually(what string, holds func() bool) {
	f.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.Fatalf("not within %v: %s", patience, what)
		}
	}
}

func (n *node) status(addr, path string) int {
	resp, err := http.Get("http://" + addr + path)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	return resp.StatusCode
}

// directory returns the answer of the instance's directory.
func (n *node) directory(region string) string {
	resp, err := http.Get("http://" + n.settings.DirectoryAddr + "/v1/resolve?name=" + host + "&region=" + region + "&zone=" + region + "-a")
	n.f.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	n.f.Assert(err, qt.IsNil)
	return string(text)
}

// answer is what a caller has received.
type answer struct {
	status int
	header http.Header
	body   string
	err    error // of the body
	closes bool  // the connection ends with it
}

// request returns a request to the instance with a target as it is.
func (n *node) request(method, target, id, body string) *http.Request {
	req, err := http.NewRequest(method, "http://"+n.settings.CallerAddr+"/", strings.NewReader(body))
	n.f.Assert(err, qt.IsNil)
	path, query, _ := strings.Cut(target, "?")
	req.URL.Opaque, req.URL.RawQuery = path, query
	req.Host = host
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "5000")
	return req
}

// maxTestBytes bounds what a caller reads of an answer.
const maxTestBytes = 64 << 20

// caller asks for no encoding of its own.
var caller = &http.Client{Transport: &http.Transport{DisableCompression: true}}

func (n *node) send(req *http.Request) answer {
	resp, err := caller.Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxTestBytes))
	return answer{status: resp.StatusCode, header: resp.Header, body: string(body), err: err, closes: resp.Close}
}
