package scenario

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// startTimeout limits the wait for a process to start and for instances to
// discover each other.
const startTimeout = 20 * time.Second

// fleet is the set of processes of a test: the stand-ins and the daemons.
type fleet struct {
	tb          testing.TB
	mu          sync.Mutex
	processes   map[string]*process
	storeURL    string
	platformURL string
}

// process is a process that prints its address on standard output.
type process struct {
	cmd  *exec.Cmd
	addr string        // host:port, or the URL of a daemon
	done chan struct{} // closed after the process has ended
	log  *os.File
}

// newFleet starts the stand-ins of the store and the platform. All processes of
// the fleet are killed at the end of the test.
func newFleet(tb testing.TB) *fleet {
	f := &fleet{tb: tb, processes: make(map[string]*process)}
	tb.Cleanup(f.killAll)
	f.storeURL = "http://" + f.start("kv", "fuchsia-standin", "kv").addr
	f.platformURL = "http://" + f.start("platform", "fuchsia-standin", "platform", "--lag", "100ms").addr
	return f
}

// start runs a program and waits until it has printed its address.
func (f *fleet) start(name, program string, args ...string) *process {
	f.tb.Helper()
	p := &process{cmd: exec.Command(program, args...), done: make(chan struct{})}
	logFile, err := os.Create(filepath.Join(f.tb.TempDir(), name+".log"))
	if err != nil {
		f.tb.Fatal(err)
	}
	p.log = logFile
	p.cmd.Stderr = logFile
	out, err := p.cmd.StdoutPipe()
	if err != nil {
		f.tb.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		f.tb.Fatalf("start %s: %v", name, err)
	}
	f.mu.Lock()
	f.processes[name] = p
	f.mu.Unlock()
	announced := make(chan string, 1)
	go p.copyOutput(out, announced)
	select {
	case p.addr = <-announced:
	case <-time.After(startTimeout):
		f.tb.Fatalf("%s printed no address; log:\n%s", name, f.logText(name))
	}
	return p
}

// copyOutput copies the output to the log, sends the first address in it to
// announced and waits for the process to end.
func (p *process) copyOutput(out io.Reader, announced chan<- string) {
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		fmt.Fprintln(p.log, line)
		if addr := announcedAddr(line); addr != "" {
			select {
			case announced <- addr:
			default:
			}
		}
	}
	_ = p.cmd.Wait()
	close(p.done)
}

// announcedAddr returns the address in a line of output that says where a
// process listens, or "".
func announcedAddr(line string) string {
	if addr, ok := strings.CutPrefix(line, "listening "); ok {
		return addr
	}
	var event struct{ Event, URL string }
	if json.Unmarshal([]byte(line), &event) == nil && event.Event == "started" {
		return event.URL
	}
	return ""
}

func (f *fleet) logText(name string) string {
	text, _ := os.ReadFile(f.processes[name].log.Name())
	return string(text)
}

// daemon starts an entry instance and returns its URL.
func (f *fleet) daemon(name, region, zone string, args ...string) string {
	f.tb.Helper()
	all := append([]string{
		"--instance", name, "--region", region, "--zone", zone,
		"--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0",
		"--control-listen", "127.0.0.1:0", "--peer-insecure",
		"--store-url", f.storeURL, "--platform-url", f.platformURL,
		"--list-interval", "100ms", "--load-interval", "100ms", "--directory-ttl", "2s",
		"--digest-key", "secret of the scenarios", "--join-delay", "0s",
	}, args...)
	return f.start(name, "fuchsiad", all...).addr
}

// backend starts a backend server, an engine (kind "engine") or a plain service
// (kind "plain"), and returns its host:port.
func (f *fleet) backend(kind, name, service, region string, args ...string) string {
	f.tb.Helper()
	all := append([]string{
		kind, "--id", name, "--service", service, "--region", region, "--zone", region + "-a",
		"--platform-url", f.platformURL,
	}, args...)
	return f.start(name, "fuchsia-standin", all...).addr
}

// ctl runs fuchsiactl and returns its output. The exit status must be want.
func (f *fleet) ctl(want int, args ...string) string {
	f.tb.Helper()
	cmd := exec.Command("fuchsiactl", args...)
	cmd.Env = append(os.Environ(), "FUCHSIA_STORE_URL="+f.storeURL, "FUCHSIA_PLATFORM_URL="+f.platformURL)
	out, _ := cmd.CombinedOutput()
	if got := cmd.ProcessState.ExitCode(); got != want {
		f.tb.Fatalf("fuchsiactl %s: exit status %d, want %d\n%s", strings.Join(args, " "), got, want, out)
	}
	return string(out)
}

// await polls condition until it holds. It fails the test after limit.
func (f *fleet) await(limit time.Duration, what string, condition func() bool) {
	f.tb.Helper()
	for deadline := time.Now().Add(limit); !condition(); {
		if time.Now().After(deadline) {
			f.tb.Fatalf("timed out after %v waiting for %s\n%s", limit, what, f.logTails())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// getJSON decodes the response to a GET request and reports whether the status
// was 200 and the body was valid.
func getJSON(url string, target any) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(target) == nil
}

func (f *fleet) killAll() {
	for _, p := range f.processes {
		_ = p.cmd.Process.Kill()
		<-p.done
		_ = p.log.Close()
	}
}

// logTails returns the last bytes of the log of every process.
func (f *fleet) logTails() string {
	const tail = 2000
	var b strings.Builder
	for name := range f.processes {
		text := f.logText(name)
		fmt.Fprintf(&b, "--- %s\n%s\n", name, text[max(0, len(text)-tail):])
	}
	return b.String()
}
