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
	"time"
)

// arrival is a request that reached a replica.
type arrival struct {
	at      time.Time
	replica string
	id      string
	method  string
	target  string
	header  http.Header
	body    []byte
	ran     bool
	conn    *replicaConn
}

// replica is a stand-in of a replica of a service. It speaks HTTP/1.1 on plain sockets, so
// that it can crash or send any bytes.
type replica struct {
	id, service, zone, addr string
	born                    int64
	slots                   int
	state                   string
	seq                     uint64
	warmupLeft              float64
	store                   *store
	rec                     *record

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	dark     chan struct{} // closed when a dark replica restarts; nil if it is not dark
	running  int
	arrivals []arrival
	// handle answers a request and reports whether the connection may be used again. Nil for
	// the usual answer.
	handle func(a *arrival) bool
	// work is how long a plain request takes.
	work   time.Duration
	header map[string]string // additional headers of all answers
}

type replicaConn struct {
	net.Conn
	r *replica
}

func newReplica(rec *record, s *store, id, service, zone, addr string) *replica {
	r := &replica{id: id, service: service, zone: zone, addr: addr, slots: 6, state: "ready", store: s, rec: rec, work: 20 * time.Millisecond, header: map[string]string{}}
	return r
}

// start listens, and writes the entry of the replica to the store.
func (r *replica) start() {
	r.listen()
	r.write()
}

func (r *replica) listen() {
	listener, err := net.Listen("tcp", r.addr)
	check(err)
	r.mu.Lock()
	r.listener, r.conns, r.born, r.seq = listener, map[net.Conn]bool{}, time.Now().UnixMilli(), 0
	r.mu.Unlock()
	go r.accept(listener)
}

// write writes the entry to the store.
func (r *replica) write() {
	r.mu.Lock()
	r.seq++
	entry := map[string]any{
		"service": r.service, "addr": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots, "state": r.state,
		"warmup-left-ms": r.warmupLeft, "seq": r.seq, "born": r.born,
	}
	r.mu.Unlock()
	r.store.put("servers/"+r.id, entry)
}

func (r *replica) accept(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		r.awaitRestart()
		r.mu.Lock()
		r.conns[conn] = true
		r.mu.Unlock()
		go r.serve(&replicaConn{conn, r})
	}
}

// crash closes the listener and resets all connections, as the end of a process with unread
// requests does. It reports false if the replica is down already.
func (r *replica) crash() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil {
		return false
	}
	r.listener.Close()
	r.listener = nil
	for conn := range r.conns {
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	}
	r.conns = map[net.Conn]bool{}
	return true
}

// goDark lets the replica fall silent as a machine does that has crashed: nothing more is sent,
// read or accepted on its channels until restart. It reports false if the replica is down already.
func (r *replica) goDark() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.listener == nil || r.dark != nil {
		return false
	}
	r.dark = make(chan struct{})
	return true
}

// restart starts a replica that has crashed. What was sent to the machine before is reset.
func (r *replica) restart() {
	r.mu.Lock()
	dark := r.dark
	r.mu.Unlock()
	if dark != nil {
		r.crash()
		r.mu.Lock()
		r.dark = nil
		r.mu.Unlock()
		close(dark)
	}
	r.start()
}

// awaitRestart waits while the replica is dark.
func (r *replica) awaitRestart() {
	r.mu.Lock()
	dark := r.dark
	r.mu.Unlock()
	if dark != nil {
		<-dark
	}
}

// beat writes the entry of the replica regularly while it is up.
func (r *replica) beat() {
	for range time.Tick(heartbeat) {
		r.mu.Lock()
		up := r.listener != nil && r.dark == nil
		r.mu.Unlock()
		if up {
			r.write()
		}
	}
}

// heartbeat is the time between two writes of an entry.
const heartbeat = 1200 * time.Millisecond

func (r *replica) serve(conn *replicaConn) {
	defer func() {
		conn.Close()
		r.mu.Lock()
		delete(r.conns, conn.Conn)
		r.mu.Unlock()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		r.awaitRestart()
		a := arrival{
			at: time.Now(), replica: r.id, id: request.Header.Get("Request-Id"), method: request.Method, target: request.RequestURI,
			header: request.Header, body: body, conn: conn,
		}
		if !r.answer(&a) {
			return
		}
	}
}

// answer answers a request and reports whether the connection may be used again.
func (r *replica) answer(a *arrival) bool {
	expected := a.header.Get("Expect-Instance")
	r.mu.Lock()
	handle, full := r.handle, r.running >= r.slots
	if expected == "" || expected == r.id {
		a.ran = !full
	}
	r.mu.Unlock()
	switch {
	case a.method == http.MethodGet && a.target == "/healthz":
		return a.reply(200, map[string]string{"Instance": r.id}, "ok") == nil
	case expected != "" && expected != r.id:
		a.ran = false
		r.note(a, "421")
		return a.reply(421, map[string]string{"Instance": r.id}, "") == nil
	}
	r.note(a, "")
	if handle != nil {
		return handle(a)
	}
	if full {
		return a.reply(503, map[string]string{"Not-Executed": "1"}, "") == nil
	}
	r.mu.Lock()
	r.running++
	r.mu.Unlock()
	defer func() {
		r.mu.Lock()
		r.running--
		r.mu.Unlock()
	}()
	time.Sleep(r.work)
	return a.reply(200, map[string]string{"Signature": "sig-" + a.id}, answerBody(a.id)) == nil
}

// answerBody is the body of the usual answer to a request.
func answerBody(id string) string { return "answer to " + id + " " + strings.Repeat("x", 200) }

func (r *replica) note(a *arrival, text string) {
	r.mu.Lock()
	r.arrivals = append(r.arrivals, *a)
	r.mu.Unlock()
	r.rec.printf("replica %s: request %s %s %s arrives %s", r.id, a.id, a.method, a.target, text)
}

// seen returns the arrivals so far.
func (r *replica) seen() []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]arrival(nil), r.arrivals...)
}

// reply sends a complete answer with a length.
func (a *arrival) reply(status int, header map[string]string, body string) error {
	_, err := io.WriteString(a.conn, a.head(status, header, "Content-Length: "+strconv.Itoa(len(body)))+body)
	return err
}

// stream sends an answer of a number of events, with a pause before each, and reports whether the
// connection may be used again.
func (a *arrival) stream(events int, pause time.Duration) bool {
	_, err := io.WriteString(a.conn, a.head(200, map[string]string{"Signature": "sig-" + a.id, "Content-Type": "text/event-stream"}, "Transfer-Encoding: chunked"))
	for n := 1; n <= events && err == nil; n++ {
		time.Sleep(pause)
		a.conn.r.awaitRestart()
		event := fmt.Sprintf("id: %d\ndata: event %d of %s\n\n", n, n, a.id)
		_, err = fmt.Fprintf(a.conn, "%x\r\n%s\r\n", len(event), event)
	}
	if err == nil {
		_, err = io.WriteString(a.conn, "0\r\n\r\n")
	}
	return err == nil
}

// head returns the head of an answer. framing is a header line that tells the length of the
// body, or "" for none.
func (a *arrival) head(status int, header map[string]string, framing string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n", status, http.StatusText(status), a.id)
	for name, value := range header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	r := a.conn.r
	r.mu.Lock()
	for name, value := range r.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	r.mu.Unlock()
	if framing != "" {
		b.WriteString(framing + "\r\n")
	}
	b.WriteString("\r\n")
	return b.String()
}
