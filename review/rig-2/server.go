package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Replica is a stand-in for a server of a service, on raw connections.
type Replica struct {
	ID, Service, Zone string
	Addr              string
	Born              int64
	Work              time.Duration
	Slots             int
	// Answer sends the answer to a request that the replica runs. Nil for a plain one.
	Answer func(x *Call)
	// Admit is called before a request runs. If it returns false, it has answered. Nil
	// admits all.
	Admit func(x *Call) bool

	store    *Store
	record   *Record
	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	sequence int
	down     bool
	leaving  atomic.Bool
}

// Call is one request at a replica.
type Call struct {
	*http.Request
	ID   string // its Request-Id
	Body []byte
	Conn net.Conn
	In   *bufio.Reader
	// Close closes the connection after the answer.
	Close bool

	replica *Replica
}

// NewReplica starts a replica on a free port of host. Register lists it.
func NewReplica(store *Store, record *Record, host, id, service, zone string) *Replica {
	p := &Replica{ID: id, Service: service, Zone: zone, Born: time.Now().UnixMilli(), Work: 30 * time.Millisecond, Slots: 6, store: store, record: record, conns: map[net.Conn]bool{}}
	p.listen(net.JoinHostPort(host, "0"))
	return p
}

func (p *Replica) listen(addr string) {
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		cannotRun("replica: %v", err)
	}
	p.mu.Lock()
	p.listener, p.Addr = listener, listener.Addr().String()
	p.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			p.mu.Lock()
			p.conns[conn] = true
			p.mu.Unlock()
			go p.serve(conn)
		}
	}()
}

// Register writes the entry of the replica with a state.
func (p *Replica) Register(state string) uint64 {
	p.mu.Lock()
	p.sequence++
	sequence := p.sequence
	p.mu.Unlock()
	return p.store.Put("servers/"+p.ID, map[string]any{
		"service": p.Service, "addr": p.Addr, "zone": p.Zone, "version": "v1", "slots": p.Slots, "state": state,
		"warmup-left-ms": 0, "seq": sequence, "born": p.Born,
	})
}

// Crash resets all connections and refuses new ones. It returns false if the replica is
// down already.
func (p *Replica) Crash() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return false
	}
	p.down = true
	_ = p.listener.Close()
	for conn := range p.conns {
		reset(conn)
	}
	clear(p.conns)
	p.record.Add("replica %s is down", p.ID)
	return true
}

// Restart serves again, as a new process under the same id.
func (p *Replica) Restart() {
	p.Born = time.Now().UnixMilli()
	p.listen(p.Addr)
	p.mu.Lock()
	p.down = false
	p.mu.Unlock()
	p.record.Add("replica %s is back", p.ID)
	p.Register("ready")
}

func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

func (p *Replica) serve(conn net.Conn) {
	defer func() {
		p.mu.Lock()
		delete(p.conns, conn)
		p.mu.Unlock()
		_ = conn.Close()
	}()
	in := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		x := &Call{Request: r, ID: r.Header.Get("Request-Id"), Body: body, Conn: conn, In: in, replica: p}
		if x.handle(); x.Close {
			return
		}
	}
}

func (x *Call) handle() {
	p := x.replica
	if expected := x.Header.Get("Expect-Instance"); expected != "" && expected != p.ID {
		x.Send(http.StatusMisdirectedRequest, "", nil)
		return
	}
	if x.ID == "" {
		x.Send(http.StatusBadRequest, "Not-Executed: 1\r\n", nil)
		return
	}
	if p.Admit != nil && !p.Admit(x) {
		return
	}
	p.record.Run(p, x)
	if p.Answer != nil {
		p.Answer(x)
		return
	}
	time.Sleep(p.Work)
	x.Send(http.StatusOK, "", []byte("answer of "+p.ID+" to "+x.ID))
}

// Head returns the header lines that each answer has.
func (x *Call) Head(status int) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\nInstance: %s\r\n", status, http.StatusText(status), x.ID, x.replica.ID)
	if status != http.StatusMisdirectedRequest {
		fmt.Fprintf(&b, "Signature: s.%s.%s\r\n", x.replica.ID, x.ID)
	}
	if x.replica.leaving.Load() {
		b.WriteString("Server-Leaving: 1\r\n")
	}
	return b.String()
}

// Send sends a whole answer with a length.
func (x *Call) Send(status int, lines string, body []byte) {
	_, _ = io.WriteString(x.Conn, x.Head(status)+lines+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+string(body))
}

func write(x *Call, text string) { _, _ = io.WriteString(x.Conn, text) }
