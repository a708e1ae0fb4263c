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
	// Answer, if set, may answer a request that has run in place of the replica. It
	// returns false to leave the answer to the replica.
	Answer func(w http.ResponseWriter, r *http.Request) bool

	deployment *Deployment
	addr       string
	born       int64
	running    atomic.Int64

	mu   sync.Mutex
	runs map[string][]Run // by request id
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
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	replica.deployment, replica.addr, replica.born = d, listener.Addr().String(), time.Now().UnixMilli()
	replica.runs = make(map[string][]Run)
	server := &http.Server{Handler: replica, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	d.onClose(func() { _ = server.Close() })
	replica.register(1)
	return replica, nil
}

// register writes the replica's entry.
func (p *Replica) register(sequence int) {
	p.deployment.Store.Put("servers/"+p.ID, map[string]any{
		"service": p.Service, "addr": p.addr, "zone": p.Zone, "version": "v1", "slots": replicaSlots, "state": "ready",
		"warmup-left-ms": 0, "seq": sequence, "born": p.born,
	})
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
