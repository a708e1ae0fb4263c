package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/daemon"
	"github.com/fuchsiastack/fuchsiastack/internal/testca"
	"github.com/fuchsiastack/fuchsiastack/peer"
	"github.com/fuchsiastack/fuchsiastack/standin/kv"
)

const (
	startTimeout     = 30 * time.Second
	joinTimeout      = time.Minute
	instancesRegion  = 5 // instances of a region, about
	least            = 3 // regions
	enginesPerRegion = 2 // model engines of each region
	anyPort          = "127.0.0.1:0"
	stopGrace        = 5 * time.Second
)

// fleet is a set of processes.
type fleet struct {
	dir      string
	size     int
	regions  int
	storeURL string
	platURL  string
	procs    []*exec.Cmd
	daemons  []*instance
	changes  int
}

// instance is a fuchsiad process.
type instance struct {
	pid    int
	status string // URL
}

func start(ctx context.Context, size int) (*fleet, error) {
	f := &fleet{size: size, regions: max(least, size/instancesRegion)}
	var err error
	if f.dir, err = os.MkdirTemp("", "fuchsia-slopes"); err != nil {
		return f, err
	}
	if f.storeURL, err = f.standin("kv"); err != nil {
		return f, err
	}
	if f.platURL, err = f.standin("platform"); err != nil {
		return f, err
	}
	if err := f.publish(ctx); err != nil {
		return f, err
	}
	for r := range f.regions {
		for e := range enginesPerRegion {
			if _, err := f.standin("engine", "--id", fmt.Sprintf("engine-%d-%d", r, e), "--service", "desk",
				"--region", region(r), "--zone", region(r)+"-a", "--platform-url", f.platURL); err != nil {
				return f, err
			}
		}
	}
	return f, f.startDaemons()
}

func region(r int) string { return fmt.Sprintf("region-%d", r) }

func (f *fleet) standin(args ...string) (string, error) {
	line, _, err := f.run("listening ", "fuchsia-standin", args...)
	return "http://" + line, err
}

func (f *fleet) startDaemons() error {
	ca, err := testca.New()
	if err != nil {
		return err
	}
	for n := range f.size {
		if err := f.startDaemon(ca, n); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startDaemon(ca *testca.CA, n int) error {
	name, where := fmt.Sprintf("entry-%d", n), region(n%f.regions)
	dir := filepath.Join(f.dir, name)
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	files, err := ca.Issue(dir, peer.Identity{ID: name, Region: where}.URI())
	if err != nil {
		return err
	}
	admin, err := freeAddr()
	if err != nil {
		return err
	}
	_, pid, err := f.run(`"event":"started"`, "fuchsiad", "--instance", name, "--region", where, "--zone", where+"-a",
		"--listen", anyPort, "--peer-listen", anyPort, "--control-listen", anyPort, "--admin-listen", admin,
		"--store-url", f.storeURL, "--platform-url", f.platURL, "--production",
		"--peer-cert", files.Cert, "--peer-key", files.Key, "--peer-ca", files.CA)
	f.daemons = append(f.daemons, &instance{pid: pid, status: "http://" + admin + "/status"})
	return err
}

// run starts a process and waits for a line with mark; it returns what
// follows the mark.
func (f *fleet) run(mark, program string, args ...string) (string, int, error) {
	cmd := exec.Command(program, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return "", 0, err
	}
	if err := cmd.Start(); err != nil {
		return "", 0, errors.Wrap(err, "start "+program)
	}
	f.procs = append(f.procs, cmd)
	found := make(chan string, 1)
	go func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			if _, after, ok := strings.Cut(scanner.Text(), mark); ok && len(found) == 0 {
				found <- after
			}
		}
		_, _ = io.Copy(io.Discard, out)
	}()
	select {
	case after := <-found:
		return after, cmd.Process.Pid, nil
	case <-time.After(startTimeout):
		return "", 0, errors.Errorf("%s did not start", program)
	}
}

func (f *fleet) stop() {
	for _, cmd := range f.procs {
		_ = cmd.Process.Kill()
	}
	for _, cmd := range f.procs {
		_ = cmd.Wait()
	}
	_ = os.RemoveAll(f.dir)
}

// publish publishes a configuration that differs from the last one.
func (f *fleet) publish(ctx context.Context) error {
	f.changes++
	files := map[string]string{
		"fuchsia-callers.yaml": "callers:\n  - {name: measure, key_sha256: 12297c50d075128edd1532e358432a26b0022daa89fe1df248d3ca05ba2f8004}\n",
		"desk/fuchsia.yaml": fmt.Sprintf("service: desk\nkind: model\nranks:\n  urgent: {target: 2s, deadline: %ds, min_share: 0.5}\n"+
			"  batch: {target: 10s, deadline: 60s, min_share: 0.1}\nwork:\n  ask: {rank: urgent, repeatable: true}\ndefault: ask\n", 10+f.changes%20),
	}
	tree := filepath.Join(f.dir, "config")
	for name, text := range files {
		path := filepath.Join(tree, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
	}
	const pending = 2 // exit status: written, not yet in force everywhere
	cmd := exec.CommandContext(ctx, "fuchsiactl", "publish", "--bootstrap", "--wait", "0s",
		"--store-url", f.storeURL, "--platform-url", f.platURL, tree)
	out, err := cmd.CombinedOutput()
	if code := cmd.ProcessState.ExitCode(); code != 0 && code != pending {
		return errors.Errorf("publish: %v: %s", err, out)
	}
	return nil
}

func (f *fleet) publishEachSecond(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, time.Second) {
		if err := f.publish(ctx); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

// storeDown lets the service fail for d.
func (f *fleet) storeDown(ctx context.Context, d time.Duration) {
	f.fault(kv.Faults{Down: true})
	sleep(ctx, d)
	f.fault(kv.Faults{})
}

func (f *fleet) fault(faults kv.Faults) {
	body, err := json.Marshal(faults)
	if err != nil {
		return
	}
	req, err := http.NewRequest(http.MethodPut, f.storeURL+"/standin/faults", bytes.NewReader(body))
	if err != nil {
		return
	}
	if resp, err := http.DefaultClient.Do(req); err == nil {
		_ = resp.Body.Close()
	}
}

// awaitMembers waits until every instance knows all others.
func (f *fleet) awaitMembers(ctx context.Context) error {
	begun := time.Now()
	for _, d := range f.daemons {
		for d.read().Members != f.size {
			if time.Since(begun) > joinTimeout || ctx.Err() != nil {
				return errors.Errorf("an instance knows %d of %d members", d.read().Members, f.size)
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
	return nil
}

func (d *instance) read() (status daemon.Status) {
	_ = getJSON(d.status, &status)
	return status
}

func getJSON(url string, into any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(into)
}
