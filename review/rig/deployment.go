package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Ports of every instance; each has a loopback address of its own.
const (
	frontPort, readyPort, controlPort, directoryPort = 8144, 8140, 8146, 8143
	metricsPort                                      = 9464 // as in the deploy file
)

// program is the daemon as the deploy file's build leaves it.
const program = "target/fuchsiad"

// zones maps the availability zones to their regions.
var zones = map[string]string{"cairo-a": "cairo", "alex-a": "alex", "delta-a": "delta"}

// Deployment is a store and some instances on loopback addresses.
type Deployment struct {
	Store     *Store
	StoreAddr string
	Record    *Record
	dir       string

	mu        sync.Mutex
	instances []*Instance
	closers   []func()
}

// Instance is a process of the daemon.
type Instance struct {
	Node, Zone, IP string
	Command        *exec.Cmd
	Ended          chan struct{}
}

// Front returns the address for callers.
func (i *Instance) Front() string { return fmt.Sprintf("%s:%d", i.IP, frontPort) }

// Record is the record of a case: what was sent, answered and run.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
}

// NewRecord creates a record file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// Line writes a line with the time since the start.
func (r *Record) Line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes the record out.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}

// NewDeployment starts a store. The configuration must be put before instances start.
func NewDeployment(record *Record) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &Deployment{Store: NewStore(), Record: record, dir: dir}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	server := &http.Server{Handler: d.Store, ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(listener) }()
	d.StoreAddr = listener.Addr().String()
	d.onClose(func() { _ = server.Close() })
	return d, nil
}

func (d *Deployment) onClose(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closers = append(d.closers, f)
}

// Close ends everything that the deployment has started.
func (d *Deployment) Close() {
	for _, i := range d.instances {
		_ = i.Command.Process.Signal(syscall.SIGCONT)
		_ = i.Command.Process.Kill()
		<-i.Ended
	}
	for _, f := range d.closers {
		f()
	}
	_ = os.RemoveAll(d.dir)
}

// freeIP returns a loopback address on which all ports of an instance are free.
func freeIP() (string, error) {
	for range 200 {
		ip := fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))
		if portsFree(ip) {
			return ip, nil
		}
	}
	return "", errors.New("no loopback address with free ports")
}

func portsFree(ip string) bool {
	for _, port := range []int{frontPort, readyPort, controlPort, directoryPort, metricsPort} {
		listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}

// Start starts an instance of each of the given zones and waits until all are ready.
func (d *Deployment) Start(inZones ...string) error {
	var started []*Instance
	var seeds []string
	for n, zone := range inZones {
		ip, err := freeIP()
		if err != nil {
			return err
		}
		started = append(started, &Instance{Node: fmt.Sprintf("edge-%s-%d", zone, n+1), Zone: zone, IP: ip})
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%s:%d", ip, controlPort))
		}
	}
	for _, i := range started {
		if err := d.run(i, seeds); err != nil {
			return err
		}
	}
	for _, i := range started {
		if err := i.awaitReady(20 * time.Second); err != nil {
			return err
		}
	}
	return nil
}

func (d *Deployment) run(i *Instance, seeds []string) error {
	addr := func(port int) string { return fmt.Sprintf("%s:%d", i.IP, port) }
	settings := map[string]any{
		"node": i.Node, "role": "entry", "class": "edge", "serves": []string{"edge", "control", "registry"},
		"ip": i.IP, "zone": i.Zone, "region": zones[i.Zone], "zones": zones,
		"listen":         map[string]string{"front": addr(frontPort), "ready": addr(readyPort), "control": addr(controlPort), "directory": addr(directoryPort)},
		"internal-ports": []int{7660, 7675}, "seeds": seeds, "bootstrap": true, "counts-as-loss": false,
		"limits":   map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir": nil, "discovery": "platform", "entry": "registry", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 1},
		"bounds": map[string]any{
			"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 6000, "ack-ms": 8000, "catch-up-s": 4, "drain-ms": 4000, "grace-s": 8,
			"loss-slack-ms": 200, "config-ms": 4000, "downgrade-ms": 250, "max-skew-ms": 10000, "retry-ratio": 0.2, "retry-window-s": 10,
			"retry-burst": 52, "warmup-overload": 1.5, "warmup-margin": 3, "evac-ms": 5000, "recover-s": 12, "pass-ms": 800,
			"reuse-window-s": 10, "ttl_max_s": 5,
		},
		"platform": map[string]any{"addr": d.StoreAddr, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	text, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	path := filepath.Join(d.dir, i.Node+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(d.dir, i.Node+".log"))
	if err != nil {
		return err
	}
	defer output.Close()
	i.Command = exec.Command(program, "hosted", "--metrics-port", "9464")
	i.Command.Env = append(os.Environ(), "FUCHSIASTACK_BOOT="+path)
	i.Command.Stdout, i.Command.Stderr = output, output
	if err := i.Command.Start(); err != nil {
		return err
	}
	i.Ended = make(chan struct{})
	go func() {
		_ = i.Command.Wait()
		close(i.Ended)
	}()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.instances = append(d.instances, i)
	d.Record.Line("instance %s in %s started, front %s", i.Node, i.Zone, i.Front())
	return nil
}

// Logs returns the log file of an instance.
func (d *Deployment) Logs(i *Instance) string { return filepath.Join(d.dir, i.Node+".log") }

func (i *Instance) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/v1/readyz", i.IP, readyPort))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("instance %s is not ready after %v", i.Node, limit)
}
