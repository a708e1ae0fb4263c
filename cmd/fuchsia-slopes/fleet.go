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
	startTimeout       = 30 * time.Second
	joinTimeout        = time.Minute
	instancesPerRegion = 5 // unless that gives fewer than minRegions
	minRegions         = 3
	enginesPerRegion   = 2 // model engines in each region
	anyPort            = "127.0.0.1:0"
	stopGrace          = 5 * time.Second
)

// fleet is a set of fuchsiad processes and the stand-ins that they use.
type fleet struct {
	dir         string
	size        int
	regions     int
	storeURL    string
	platformURL string
	processes   []*exec.Cmd
	instances   []*instance
	publishes   int
}

// instance is a fuchsiad process.
type instance struct {
	pid       int
	statusURL string // URL of the status page
}

func startFleet(ctx context.Context, size int) (*fleet, error) {
	f := &fleet{size: size, regions: max(minRegions, size/instancesPerRegion)}
	var err error
	if f.dir, err = os.MkdirTemp("", "fuchsia-slopes"); err != nil {
		return f, err
	}
	if f.storeURL, err = f.startStandin("kv"); err != nil {
		return f, err
	}
	if f.platformURL, err = f.startStandin("platform"); err != nil {
		return f, err
	}
	if err := f.publish(ctx); err != nil {
		return f, err
	}
	for r := range f.regions {
		for e := range enginesPerRegion {
			if _, err := f.startStandin("engine", "--id", fmt.Sprintf("engine-%d-%d", r, e), "--service", "desk",
				"--region", regionName(r), "--zone", regionName(r)+"-a", "--platform-url", f.platformURL); err != nil {
				return f, err
			}
		}
	}
	return f, f.startInstances()
}

func regionName(r int) string { return fmt.Sprintf("region-%d", r) }

func (f *fleet) startStandin(args ...string) (string, error) {
	line, _, err := f.startProcess("listening ", "fuchsia-standin", args...)
	return "http://" + line, err
}

func (f *fleet) startInstances() error {
	ca, err := testca.New()
	if err != nil {
		return err
	}
	for n := range f.size {
		if err := f.startInstance(ca, n); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) startInstance(ca *testca.CA, n int) error {
	name, region := fmt.Sprintf("entry-%d", n), regionName(n%f.regions)
	dir := filepath.Join(f.dir, name)
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	files, err := ca.Issue(dir, peer.Identity{ID: name, Region: region}.URI())
	if err != nil {
		return err
	}
	admin, err := freeAddr()
	if err != nil {
		return err
	}
	_, pid, err := f.startProcess(`"event":"started"`, "fuchsiad", "--instance", name, "--region", region, "--zone", region+"-a",
		"--listen", anyPort, "--peer-listen", anyPort, "--control-listen", anyPort, "--admin-listen", admin,
		"--store-url", f.storeURL, "--platform-url", f.platformURL, "--production",
		"--peer-cert", files.Cert, "--peer-key", files.Key, "--peer-ca", files.CA)
	f.instances = append(f.instances, &instance{pid: pid, statusURL: "http://" + admin + "/status"})
	return err
}

// startProcess starts a process and waits until it prints a line that contains
// marker. It returns the rest of that line after marker, and the process ID.
func (f *fleet) startProcess(marker, program string, args ...string) (string, int, error) {
	cmd := exec.Command(program, args...)
	out, err := cmd.StdoutPipe()
	if err != nil {
		return "", 0, err
	}
	if err := cmd.Start(); err != nil {
		return "", 0, errors.Wrap(err, "start "+program)
	}
	f.processes = append(f.processes, cmd)
	found := make(chan string, 1)
	go func() {
		scanner := bufio.NewScanner(out)
		for scanner.Scan() {
			if _, after, ok := strings.Cut(scanner.Text(), marker); ok && len(found) == 0 {
				found <- after
			}
		}
		_, _ = io.Copy(io.Discard, out)
	}()
	select {
	case after := <-found:
		return after, cmd.Process.Pid, nil
	case <-time.After(startTimeout):
		return "", 0, errors.Errorf("%s printed no line with %q within %v", program, marker, startTimeout)
	}
}

func (f *fleet) stop() {
	for _, cmd := range f.processes {
		_ = cmd.Process.Kill()
	}
	for _, cmd := range f.processes {
		_ = cmd.Wait()
	}
	_ = os.RemoveAll(f.dir)
}

// publish publishes a configuration that differs from the previous one in the
// deadline of its urgent rank.
func (f *fleet) publish(ctx context.Context) error {
	f.publishes++
	files := map[string]string{
		"fuchsia-callers.yaml": "callers:\n  - {name: measure, key_sha256: 12297c50d075128edd1532e358432a26b0022daa89fe1df248d3ca05ba2f8004}\n",
		"desk/fuchsia.yaml": fmt.Sprintf("service: desk\nkind: model\nranks:\n  urgent: {target: 2s, deadline: %ds, min_share: 0.5}\n"+
			"  batch: {target: 10s, deadline: 60s, min_share: 0.1}\nwork:\n  ask: {rank: urgent, repeatable: true}\ndefault: ask\n", 10+f.publishes%20),
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
	const pending = 2 // exit status: published, not yet in force on every instance
	cmd := exec.CommandContext(ctx, "fuchsiactl", "publish", "--bootstrap", "--wait", "0s",
		"--store-url", f.storeURL, "--platform-url", f.platformURL, tree)
	out, err := cmd.CombinedOutput()
	if code := cmd.ProcessState.ExitCode(); code != 0 && code != pending {
		return errors.Errorf("fuchsiactl publish: %v: %s", err, out)
	}
	return nil
}

func (f *fleet) publishEverySecond(ctx context.Context, d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, time.Second) {
		if err := f.publish(ctx); err != nil {
			fmt.Fprintln(os.Stderr, err)
		}
	}
}

// failStore makes the store refuse every call for d.
func (f *fleet) failStore(ctx context.Context, d time.Duration) {
	f.setStoreFaults(kv.Faults{Down: true})
	sleep(ctx, d)
	f.setStoreFaults(kv.Faults{})
}

func (f *fleet) setStoreFaults(faults kv.Faults) {
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

// awaitMembership waits until every instance has the whole fleet in its
// membership view.
func (f *fleet) awaitMembership(ctx context.Context) error {
	started := time.Now()
	for _, d := range f.instances {
		for d.fetchStatus().Members != f.size {
			if time.Since(started) > joinTimeout || ctx.Err() != nil {
				return errors.Errorf("membership of %s: %d of %d instances after %v", d.statusURL, d.fetchStatus().Members, f.size, time.Since(started))
			}
			sleep(ctx, 100*time.Millisecond)
		}
	}
	return nil
}

func (d *instance) fetchStatus() (status daemon.Status) {
	_ = getJSON(d.statusURL, &status)
	return status
}

func getJSON(url string, target any) error {
	resp, err := http.Get(url)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(target)
}
