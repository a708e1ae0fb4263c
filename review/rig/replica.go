package main

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// Replica is a stand-in of a backend server that keeps to the users' pages.
type Replica struct {
	ID, Service, Zone string
	Work              time.Duration // time that a request takes
	// Begin, if set, is called when the replica begins to run a request.
	Begin func(body string)
	// Answer, if set, may answer a request that has run in place of the replica. It
	// returns false to leave the answer to the replica.
	Answer func(w http.ResponseWriter, r *http.Request) bool

	deployment *Deployment
	addr       string
	running    atomic.Int64

	mu     sync.Mutex
	server *http.Server
	closed bool
	runs   map[string][]Run // by request id
}

// Run is one execution of a request.
type Run struct {
	Replica    string
	Host, Path string // as the replica reads them
	Body       string
}

const replicaSlots = 6

// NewReplica starts a replica and registers it in the store.
func (d *Deployment) NewReplica(replica *Replica) (*Replica, error) {
	replica.deployment, replica.runs = d, make(map[string][]Run)
	d.onClose(replica.close)
	return replica, replica.boot("127.0.0.1:0")
}

// boot lets the replica listen on an address and writes its entry.
func (p *Replica) boot(addr string) error {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return listener.Close()
	}
	server := &http.Server{Handler: p, ReadHeaderTimeout: 10 * time.Second}
	p.addr, p.server = listener.Addr().String(), server
	go func() { _ = server.Serve(listener) }()
	p.deployment.Store.Put("servers/"+p.ID, map[string]any{
		"service": p.Service, "addr": p.addr, "zone": p.Zone, "version": "v1", "slots": replicaSlots, "state": "ready",
		"warmup-left-ms": 0, "seq": 1, "born": time.Now().UnixMilli(),
	})
	return nil
}

// Crash closes the listener and all connections, with the requests that run, and boots
// the replica again after downtime.
func (p *Replica) Crash(downtime time.Duration) {
	p.mu.Lock()
	server, addr := p.server, p.addr
	p.server = nil
	p.mu.Unlock()
	if server == nil {
		return // it is down already
	}
	p.deployment.Record.Line("replica %s crashes", p.ID)
	_ = server.Close()
	time.AfterFunc(downtime, func() {
		for p.boot(addr) != nil {
			time.Sleep(20 * time.Millisecond)
		}
	})
}

func (p *Replica) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	if p.server != nil {
		_ = p.server.Close()
	}
}

// Runs returns the executions of a request.
func (p *Replica) Runs(id string) []Run {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runs[id]
}

// ServeHTTP implements http.Handler.
func (p *Replica) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	id, header := r.Header.Get("Request-Id"), w.Header()
	header.Set("Request-Id", id)
	header.Set("Load", fmt.Sprintf("%d,0,%d", p.running.Load(), replicaSlots))
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != p.ID {
		header.Set("Instance", p.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		header.Set("Instance", p.ID)
		return
	}
	if p.running.Add(1) > replicaSlots {
		p.running.Add(-1)
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer p.running.Add(-1)
	p.mu.Lock()
	p.runs[id] = append(p.runs[id], Run{p.ID, r.Host, r.URL.EscapedPath(), string(body)})
	p.mu.Unlock()
	p.deployment.Record.Line("run %s at %s: %s %s (path %s of host %s), body %q", id, p.ID, r.Method, r.RequestURI, r.URL.EscapedPath(), r.Host, body)
	if p.Begin != nil {
		p.Begin(string(body))
	}
	time.Sleep(p.Work)
	if p.Answer != nil && p.Answer(w, r) {
		return
	}
	text := fmt.Sprintf("%s has run %s: %s", p.ID, id, body)
	header.Set("Signature", sign(text))
	header.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text)
}

// sign returns a MAC of a body.
func sign(text string) string {
	sum := sha256.Sum256([]byte("key " + text))
	return hex.EncodeToString(sum[:8])
}
