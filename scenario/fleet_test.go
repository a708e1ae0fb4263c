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

// startTimeout bounds the start of a process.
const startTimeout = 20 * time.Second

// fleet is a set of processes: the stand-ins and the daemons of a test.
type fleet struct {
	tb       testing.TB
	mu       sync.Mutex
	procs    map[string]*proc
	storeURL string
	platURL  string
}

// proc is a process that announces its address on standard output.
type proc struct {
	cmd  *exec.Cmd
	addr string // host:port, or the URL of a daemon
	done chan struct{}
	log  *os.File
}

// newFleet starts the platform's stand-ins. Everything is killed at the end of
// the test.
func newFleet(tb testing.TB) *fleet {
	f := &fleet{tb: tb, procs: make(map[string]*proc)}
	tb.Cleanup(f.killAll)
	f.storeURL = "http://" + f.start("kv", "fuchsia-standin", "kv").addr
	f.platURL = "http://" + f.start("platform", "fuchsia-standin", "platform", "--lag", "100ms").addr
	return f
}

// start runs a program and waits until it has announced its address.
func (f *fleet) start(name, program string, args ...string) *proc {
	f.tb.Helper()
	p := &proc{cmd: exec.Command(program, args...), done: make(chan struct{})}
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
	f.procs[name] = p
	f.mu.Unlock()
	announced := make(chan string, 1)
	go p.follow(out, announced)
	select {
	case p.addr = <-announced:
	case <-time.After(startTimeout):
		f.tb.Fatalf("%s did not start; its log is %s", name, f.logOf(name))
	}
	return p
}

// follow copies the output to the log and reports the first address in it.
func (p *proc) follow(out io.Reader, announced chan<- string) {
	scanner := bufio.NewScanner(out)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		line := scanner.Text()
		fmt.Fprintln(p.log, line)
		if addr := announcement(line); addr != "" {
			select {
			case announced <- addr:
			default:
			}
		}
	}
	_ = p.cmd.Wait()
	close(p.done)
}

// announcement returns the address that a line announces, or "".
func announcement(line string) string {
	if addr, ok := strings.CutPrefix(line, "listening "); ok {
		return addr
	}
	var event struct{ Event, URL string }
	if json.Unmarshal([]byte(line), &event) == nil && event.Event == "started" {
		return event.URL
	}
	return ""
}

func (f *fleet) logOf(name string) string {
	text, _ := os.ReadFile(f.procs[name].log.Name())
	return string(text)
}

// daemon starts an entry instance and returns its URL.
func (f *fleet) daemon(name, region, zone string, args ...string) string {
	f.tb.Helper()
	all := append([]string{
		"--instance", name, "--region", region, "--zone", zone,
		"--listen", "127.0.0.1:0", "--peer-listen", "127.0.0.1:0", "--admin-listen", "127.0.0.1:0",
		"--control-listen", "127.0.0.1:0", "--peer-insecure",
		"--store-url", f.storeURL, "--platform-url", f.platURL,
		"--list-interval", "100ms", "--load-interval", "100ms", "--directory-ttl", "2s",
		"--digest-key", "secret of the scenarios", "--join-delay", "0s",
	}, args...)
	return f.start(name, "fuchsiad", all...).addr
}

// backend starts an engine ("engine") or a plain service ("plain") and returns
// its host:port.
func (f *fleet) backend(kind, name, service, region string, args ...string) string {
	f.tb.Helper()
	all := append([]string{
		kind, "--id", name, "--service", service, "--region", region, "--zone", region + "-a",
		"--platform-url", f.platURL,
	}, args...)
	return f.start(name, "fuchsia-standin", all...).addr
}

// ctl runs fuchsiactl and returns its output. Its exit status must be want.
func (f *fleet) ctl(want int, args ...string) string {
	f.tb.Helper()
	cmd := exec.Command("fuchsiactl", args...)
	cmd.Env = append(os.Environ(), "FUCHSIA_STORE_URL="+f.storeURL, "FUCHSIA_PLATFORM_URL="+f.platURL)
	out, _ := cmd.CombinedOutput()
	if got := cmd.ProcessState.ExitCode(); got != want {
		f.tb.Fatalf("fuchsiactl %s: exit status %d, want %d\n%s", strings.Join(args, " "), got, want, out)
	}
	return string(out)
}

// await polls condition until it holds or limit has passed.
func (f *fleet) await(limit time.Duration, what string, condition func() bool) {
	f.tb.Helper()
	for deadline := time.Now().Add(limit); !condition(); {
		if time.Now().After(deadline) {
			f.tb.Fatalf("after %v still not: %s\n%s", limit, what, f.logs())
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// getJSON decodes the answer of a GET and reports whether it was 200.
func getJSON(url string, into any) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(into) == nil
}

func (f *fleet) killAll() {
	for _, p := range f.procs {
		_ = p.cmd.Process.Kill()
		<-p.done
		_ = p.log.Close()
	}
}

// logs returns the end of every process's log.
func (f *fleet) logs() string {
	const tail = 2000
	var b strings.Builder
	for name := range f.procs {
		text := f.logOf(name)
		fmt.Fprintf(&b, "--- %s\n%s\n", name, text[max(0, len(text)-tail):])
	}
	return b.String()
}
