package main

import (
	"context"
	"encoding/json"
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

// Daemon is a fuchsiad process, run as deploy/system.toml does.
type Daemon struct {
	Name, Region, Zone               string
	Host                             string
	Front, Ready, Control, Directory string

	world *World
	cmd   *exec.Cmd
	done  chan struct{}
}

// World is a small deployment.
type World struct {
	Root, Temp string
	Net        string // first two numbers of all addresses
	Store      *Store
	Record     *Record
	Daemons    []*Daemon
	Zones      map[string]string
	Bounds     map[string]any
	hosts      int
}

var (
	allMu   sync.Mutex
	allRuns []*exec.Cmd
	tempDir string
)

func stopAll() {
	allMu.Lock()
	defer allMu.Unlock()
	for _, cmd := range allRuns {
		if cmd.Process != nil {
			_ = cmd.Process.Signal(syscall.SIGCONT)
			_ = cmd.Process.Kill()
		}
	}
	if tempDir != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(tempDir)
	}
}

// NewWorld makes a deployment with a store.
func NewWorld(root, record string, zones map[string]string) *World {
	temp, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		cannotRun("%v", err)
	}
	tempDir = temp
	w := &World{Root: root, Temp: temp, Net: fmt.Sprintf("127.%d.%d", 16+rand.IntN(200), 1+rand.IntN(250)), Record: NewRecord(record), Zones: zones}
	w.Store = NewStore(w.NewHost())
	w.Bounds = map[string]any{
		"seed-lag-s": 3, "reuse-after-s": 2, "contact-ms": 6000, "ack-ms": 8000, "catch-up-s": 4, "drain-ms": 4000, "grace-s": 8,
		"loss-slack-ms": 200, "config-ms": 4000, "downgrade-ms": 250, "max-skew-ms": 10000, "retry-ratio": 0.2, "retry-window-s": 10,
		"retry-burst": 52, "warmup-overload": 1.5, "warmup-margin": 3, "evac-ms": 5000, "recover-s": 12, "pass-ms": 800,
		"reuse-window-s": 10, "ttl_max_s": 5,
	}
	return w
}

// NewHost returns an unused loopback address.
func (w *World) NewHost() string {
	w.hosts++
	return fmt.Sprintf("%s.%d", w.Net, w.hosts)
}

// AddDaemon adds an instance, which Start starts.
func (w *World) AddDaemon(name, zone string) *Daemon {
	host := w.NewHost()
	d := &Daemon{Name: name, Region: w.Zones[zone], Zone: zone, Host: host, world: w}
	for i, addr := range []*string{&d.Front, &d.Ready, &d.Control, &d.Directory} {
		*addr = net.JoinHostPort(host, fmt.Sprint(8140+i))
	}
	w.Daemons = append(w.Daemons, d)
	return d
}

// Start starts the process.
func (d *Daemon) Start() {
	w := d.world
	seeds := []string{}
	for _, other := range w.Daemons[:min(3, len(w.Daemons))] {
		seeds = append(seeds, other.Control)
	}
	settings := map[string]any{
		"node": d.Name, "role": "entry", "class": "edge", "serves": []string{"edge", "control", "registry"}, "ip": d.Host,
		"zone": d.Zone, "region": d.Region, "zones": w.Zones,
		"listen":         map[string]string{"front": d.Front, "ready": d.Ready, "control": d.Control, "directory": d.Directory},
		"internal-ports": []int{7660, 7675}, "seeds": seeds, "bootstrap": true, "counts-as-loss": false,
		"limits":    map[string]any{"cpu-share": 0.4, "cores": 1, "memory-mb": 284, "max-fds": 4100, "link-mbps": 1000.0, "disk-mb": 0},
		"data-dir":  nil,
		"discovery": "platform", "entry": "registry", "heartbeat-ms": 1200,
		"contracts":       []string{"base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "places", "platform"},
		"fault-tolerance": map[string]int{"machines": 1, "zones": 1, "regions": 1},
		"bounds":          w.Bounds,
		"platform":        map[string]any{"addr": w.Store.addr, "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000},
	}
	text, _ := json.Marshal(settings)
	boot := filepath.Join(w.Temp, d.Name+".json")
	if err := os.WriteFile(boot, text, 0o600); err != nil {
		cannotRun("%v", err)
	}
	out, err := os.OpenFile(filepath.Join(w.Temp, d.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("%v", err)
	}
	d.cmd = exec.Command("target/fuchsiad", "hosted", "--metrics-port", "9464")
	d.cmd.Dir, d.cmd.Stdout, d.cmd.Stderr = w.Root, out, out
	d.cmd.Env = []string{"FUCHSIASTACK_BOOT=" + boot, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err := d.cmd.Start(); err != nil {
		cannotRun("start fuchsiad: %v", err)
	}
	allMu.Lock()
	allRuns = append(allRuns, d.cmd)
	allMu.Unlock()
	done := make(chan struct{})
	d.done = done
	cmd := d.cmd
	go func() {
		err := cmd.Wait()
		w.Record.Add("process of %s ended: %v", d.Name, err)
		_ = out.Close()
		close(done)
	}()
	w.Record.Add("process of %s started", d.Name)
}

// Signal sends a signal to the process.
func (d *Daemon) Signal(s syscall.Signal) {
	d.world.Record.Add("signal %v to %s", s, d.Name)
	_ = d.cmd.Process.Signal(s)
}

// AwaitReady waits until the instance says that it is ready.
func (d *Daemon) AwaitReady() {
	deadline := time.Now().Add(15 * time.Second)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.Ready+"/v1/readyz", http.NoBody)
		resp, err := http.DefaultClient.Do(req)
		cancel()
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	cannotRun("%s is not ready", d.Name)
}

// StartAll starts all instances and waits until they know each other.
func (w *World) StartAll() {
	for _, d := range w.Daemons {
		d.Start()
	}
	for _, d := range w.Daemons {
		d.AwaitReady()
	}
	time.Sleep(3 * time.Second)
	w.Record.Add("all instances are ready")
}

// Route returns a route of the configuration.
func Route(name, host, prefix, kind, service string, timeoutMS, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, "type": kind, "timeout-ms": timeoutMS, "slo-ms": 500, "priority": 1,
		"service": service, "attempts": attempts, "sticky": false, "resumable": false, "home-regions": []string{},
	}
}

// Config returns a desired state.
func Config(version int, routes []map[string]any, services ...string) map[string]any {
	list := []map[string]any{}
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "health-path": "/healthz", "max-conns": 96, "protocol": "h1", "tls": false, "warmup-s": 0.0, "warmup-per-s": 0.0})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
