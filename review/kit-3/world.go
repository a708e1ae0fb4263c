package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

func check(err error) {
	if err != nil {
		panic(err)
	}
}

// record is the log of a case: what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(path string) *record {
	file, err := os.Create(path)
	check(err)
	return &record{file: file, start: time.Now()}
}

// discard is a record that keeps nothing.
var discard *record

func (r *record) printf(format string, args ...any) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.printf(format, args...)
	fmt.Printf(format+"\n", args...)
}

// world is a small deployment: a store, replicas, and instances of fuchsiad as processes.
type world struct {
	rec      *record
	dir      string
	base     string // the first three numbers of the addresses
	next     int
	store    *store
	machines []*machine
	zones    map[string]string
	bounds   map[string]any
}

// newWorld returns a deployment with a store.
func newWorld(rec *record) *world {
	dir, err := os.MkdirTemp("", "review-3-")
	check(err)
	w := &world{
		rec: rec, dir: dir, base: fmt.Sprintf("127.%d.%d", 64+os.Getpid()%128, 1+os.Getpid()/128%250), next: 1,
		zones: map[string]string{"cairo-a": "cairo", "alex-a": "alex"},
		bounds: map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 6000, "ack-ms": 8000, "catch-up-s": 4, "drain-ms": 4000, "grace-s": 8,
			"loss-slack-ms": 200, "config-ms": 4000, "downgrade-ms": 250, "max-skew-ms": 10000, "retry-ratio": 0.2, "retry-window-s": 10,
			"retry-burst": 52, "warmup-overload": 1.5, "warmup-margin": 3, "evac-ms": 5000, "recover-s": 12, "pass-ms": 800,
			"reuse-window-s": 10, "ttl_max_s": 5,
		},
	}
	w.store = newStore(w.addr())
	return w
}

// addr returns a free address.
func (w *world) addr() string {
	ip := w.ip()
	listener, err := net.Listen("tcp", ip+":0")
	check(err)
	defer listener.Close()
	return listener.Addr().String()
}

func (w *world) ip() string {
	w.next++
	return fmt.Sprintf("%s.%d", w.base, w.next)
}

// machine is a machine with an instance of fuchsiad.
type machine struct {
	w            *world
	name, zone   string
	ip           string
	front, ready string
	control, dir string
	settings     string
	cmd          *exec.Cmd
	done         chan struct{}
}

func (w *world) newMachine(name, zone string) *machine {
	m := &machine{w: w, name: name, zone: zone, ip: w.ip()}
	ports := make([]string, 4)
	for i := range ports {
		listener, err := net.Listen("tcp", m.ip+":0")
		check(err)
		defer listener.Close()
		ports[i] = listener.Addr().String()
	}
	m.front, m.ready, m.control, m.dir = ports[0], ports[1], ports[2], ports[3]
	w.machines = append(w.machines, m)
	return m
}

// start starts fuchsiad with the command of the deploy file.
func (m *machine) start() {
	var seeds []string
	for _, other := range m.w.machines[:min(len(m.w.machines), 3)] {
		seeds = append(seeds, other.control)
	}
	settings := map[string]any{
		"node": m.name, "role": "entry", "class": "edge", "serves": []string{"edge", "control", "registry"}, "ip": m.ip,
		"zone": m.zone, "region": m.w.zones[m.zone], "zones": m.w.zones,
		"listen":         map[string]string{"front": m.front, "ready": m.ready, "control": m.control, "directory": m.dir},
		"internal-ports": []int{7660, 7675}, "seeds": seeds, "bootstrap": true, "counts-as-loss": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "registry", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 1}, "bounds": m.w.bounds,
		"platform": map[string]any{"addr": m.w.store.addr, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	text, err := json.Marshal(settings)
	check(err)
	m.settings = filepath.Join(m.w.dir, m.name+".json")
	check(os.WriteFile(m.settings, text, 0o600))
	log, err := os.OpenFile(filepath.Join(m.w.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	check(err)
	m.cmd = exec.Command("target/fuchsiad", "hosted", "--metrics-port", "9464")
	m.cmd.Env = append(os.Environ(), "FUCHSIASTACK_BOOT="+m.settings)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	check(m.cmd.Start())
	m.done = make(chan struct{})
	cmd, done := m.cmd, m.done
	go func() {
		err := cmd.Wait()
		m.w.rec.printf("machine %s: process ended: %v", m.name, err)
		close(done)
	}()
	m.w.rec.printf("machine %s: started, front %s", m.name, m.front)
}

func (m *machine) signal(s syscall.Signal) {
	m.w.rec.printf("machine %s: signal %v", m.name, s)
	_ = m.cmd.Process.Signal(s)
}

// awaitReady waits until the readiness check succeeds.
func (m *machine) awaitReady() {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		resp, err := http.Get("http://" + m.ready + "/v1/readyz")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				m.w.rec.printf("machine %s: ready", m.name)
				return
			}
		}
	}
	panic("machine " + m.name + " is not ready")
}

// close ends all processes.
func (w *world) close() {
	for _, m := range w.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Signal(syscall.SIGCONT)
			_ = m.cmd.Process.Kill()
			<-m.done
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(w.dir)
	} else {
		fmt.Println(w.dir)
	}
}

// answerTo is what a client has received.
type answerTo struct {
	id     string
	status int
	header http.Header
	body   []byte
	err    error // the answer is missing or incomplete
	took   time.Duration
}

func (a *answerTo) String() string {
	if a.err != nil {
		return fmt.Sprintf("request %s: status %d, %d bytes, then: %v (%.3f s)", a.id, a.status, len(a.body), a.err, a.took.Seconds())
	}
	return fmt.Sprintf("request %s: status %d, complete, %d bytes (%.3f s)", a.id, a.status, len(a.body), a.took.Seconds())
}

// client has one kept connection to a front.
type client struct {
	rec    *record
	addr   string
	conn   net.Conn
	reader *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

type call struct {
	method, target, host, id string
	header                   map[string]string
	body                     string
	patience                 time.Duration
	onHead                   func()
}

// do sends a request, on the kept connection if there is one, and reads the answer.
func (c *client) do(q call) *answerTo {
	a := &answerTo{id: q.id}
	began := time.Now()
	defer func() {
		a.took = time.Since(began)
		c.rec.printf("client: %v", a)
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.addr, time.Second)
		if err != nil {
			a.err = err
			return a
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	if q.patience == 0 {
		q.patience = 10 * time.Second
	}
	_ = c.conn.SetDeadline(time.Now().Add(q.patience))
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\n", q.method, q.target, q.host, q.id)
	for name, value := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", name, value)
	}
	if q.body != "" || q.method == http.MethodPost {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	c.rec.printf("client: sends request %s %s %s to %s", q.id, q.method, q.target, c.addr)
	if _, err := io.WriteString(c.conn, b.String()); err != nil {
		a.err = err
		c.close()
		return a
	}
	resp, err := http.ReadResponse(c.reader, &http.Request{Method: q.method})
	if err != nil {
		a.err = err
		c.close()
		return a
	}
	a.status, a.header = resp.StatusCode, resp.Header
	if q.onHead != nil {
		q.onHead()
	}
	a.body, a.err = io.ReadAll(resp.Body)
	if a.err != nil || resp.Close {
		c.close()
	}
	return a
}
