package scenario

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsiastack/fuchsiastack/entry"
	"github.com/fuchsiastack/fuchsiastack/standin/engine"
)

// TestScripts runs each script of testdata as a subtest, one after another.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scripts in testdata: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			s := &script{fleet: newFleet(t), args: make(map[string][]string), loads: make(map[string]*load)}
			examples, _ := filepath.Abs("../examples")
			commands := map[string]func(*testscript.TestScript, bool, []string){
				"publish": s.publish, "daemon": s.startDaemon, "engine": s.startEngine, "plain": s.startPlain,
				"signal": s.signal, "await-exit": s.awaitExit, "restart": s.restart, "store-faults": s.setFaults, "set-state": s.setState,
				"leave": s.leave, "withdraw": s.withdraw, "withdrawn": s.checkWithdrawn, "start-load": s.startLoad, "end-load": s.endLoad, "sleep": s.sleep, "no-requests": s.checkNoRequests, "await-requests": s.awaitRequests,
				"start-orders": s.startOrders, "end-orders": s.endOrders, "check-residency": s.checkResidency, "check-hop-headers": s.checkHopHeaders,
			}
			maps.Copy(commands, s.configCommands())
			testscript.Run(t, testscript.Params{
				Files: []string{file},
				Setup: func(env *testscript.Env) error { env.Setenv("EXAMPLES", examples); return nil },
				Cmds:  commands,
			})
		})
	}
}

// script is the state of a running script.
type script struct {
	*fleet
	args    map[string][]string // arguments of each daemon, for restarts
	regions sync.Map            // region of each daemon
	loads   map[string]*load
	orders  *orders
}

func parseInt(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func parseDuration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

// limitsLine matches the line of a service file that sets the limits of callers.
var limitsLine = regexp.MustCompile(`(?m)^limits:.*$`)

// publish implements "publish EXAMPLE [limits]": it publishes an example
// configuration, without the limits of callers unless "limits" is given.
func (s *script) publish(ts *testscript.TestScript, _ bool, args []string) {
	dir := ts.MkAbs("config")
	ts.Check(os.CopyFS(dir, os.DirFS(filepath.Join(ts.Getenv("EXAMPLES"), args[0]))))
	files, err := filepath.Glob(filepath.Join(dir, "*", "fuchsia.yaml"))
	ts.Check(err)
	if len(args) > 1 {
		files = nil
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		ts.Check(err)
		ts.Check(os.WriteFile(file, limitsLine.ReplaceAll(text, nil), 0o600))
	}
	s.ctl(ctlPending, "publish", "--bootstrap", "--wait", "0s", dir)
}

// startDaemon implements "daemon NAME REGION [FLAG...]": it starts an instance
// and waits until all instances list it.
func (s *script) startDaemon(_ *testscript.TestScript, _ bool, args []string) {
	s.args[args[0]] = args
	s.regions.Store(args[0], args[1])
	s.daemon(args[0], args[1], args[1]+"-a", append([]string{"--drain-notice", "500ms"}, args[2:]...)...)
	for name := range s.args {
		s.awaitInstances(s.processes[name].addr, len(s.args))
	}
}

func (s *script) startEngine(_ *testscript.TestScript, _ bool, args []string) {
	s.backend("engine", args[0], "drafting-desk", args[1], args[2:]...)
}

func (s *script) startPlain(_ *testscript.TestScript, _ bool, args []string) {
	s.backend("plain", args[0], "orders-desk", args[1], args[2:]...)
}

// signal implements "signal NAME TERM|STOP|CONT|KILL".
func (s *script) signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL}
	ts.Check(s.processes[args[0]].cmd.Process.Signal(signals[args[1]]))
}

// awaitExit implements "await-exit NAME TIMEOUT": it waits for a process to end.
func (s *script) awaitExit(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case <-s.processes[args[0]].done:
	case <-time.After(parseDuration(ts, args[1])):
		ts.Fatalf("%s is still running after %s", args[0], args[1])
	}
}

// restart implements "restart NAME": it shuts an instance down gracefully and
// starts it again with the same arguments.
func (s *script) restart(ts *testscript.TestScript, _ bool, args []string) {
	s.signal(ts, false, []string{args[0], "TERM"})
	s.awaitExit(ts, false, []string{args[0], "60s"})
	s.startDaemon(ts, false, s.args[args[0]])
}

// sendJSON sends body and ignores the status of the response.
func sendJSON(ts *testscript.TestScript, method, url string, body []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	ts.Check(resp.Body.Close())
}

// setFaults implements "store-faults JSON": it replaces the faults that the
// stand-in of the store injects.
func (s *script) setFaults(ts *testscript.TestScript, _ bool, args []string) {
	sendJSON(ts, http.MethodPut, s.storeURL+"/standin/faults", []byte(args[0]))
}

// setState implements "set-state NAME STATE": it changes the state of a backend
// server in the list of the platform.
func (s *script) setState(ts *testscript.TestScript, _ bool, args []string) {
	var response struct{ Servers []map[string]any }
	getJSON(s.platformURL+"/v1/servers", &response)
	for _, server := range response.Servers {
		if server["id"] == args[0] {
			server["state"] = args[1]
			body, err := json.Marshal(server)
			ts.Check(err)
			sendJSON(ts, http.MethodPut, s.platformURL+"/v1/servers/"+args[0], body)
			return
		}
	}
	ts.Fatalf("%s is not in the list of the platform", args[0])
}

// leave implements "leave NAME": the engine refuses new requests from now on.
func (s *script) leave(ts *testscript.TestScript, _ bool, args []string) {
	sendJSON(ts, http.MethodPost, "http://"+s.processes[args[0]].addr+"/standin/leave", nil)
}

// withdraw implements "withdraw NAME ORDER": it sends an order to a backend server
// that makes it announce its leaving or pause.
func (s *script) withdraw(ts *testscript.TestScript, _ bool, args []string) {
	sendJSON(ts, http.MethodPost, "http://"+s.processes[args[0]].addr+"/standin/"+args[1], nil)
}

// checkWithdrawn implements "withdrawn NAME COUNT LIMIT": it fails if the backend
// server has received more than LIMIT requests after it had withdrawn. COUNT is
// since_announcement or refused.
func (s *script) checkWithdrawn(ts *testscript.TestScript, _ bool, args []string) {
	counts := make(map[string]int)
	if !getJSON("http://"+s.processes[args[0]].addr+"/standin/withdrawal", &counts) {
		ts.Fatalf("%s returned no counts", args[0])
	}
	ts.Logf("%s: %v", args[0], counts)
	if count, ok := counts[args[1]]; !ok || count == 0 || count > parseInt(ts, args[2]) {
		ts.Fatalf("%s counts %d requests as %s, want 1 to %s", args[0], count, args[1], args[2])
	}
}

// sleep implements "sleep DURATION".
func (s *script) sleep(ts *testscript.TestScript, _ bool, args []string) {
	time.Sleep(parseDuration(ts, args[0]))
}

// attemptsTo returns the number of attempts that the instances have logged as
// routed to a backend server.
func (s *script) attemptsTo(name string) int {
	count := 0
	for daemon := range s.args {
		for line := range strings.Lines(s.logText(daemon)) {
			if strings.Contains(line, `"event":"route"`) && strings.Contains(line, `"server":"`+name+`"`) {
				count++
			}
		}
	}
	return count
}

// checkNoRequests implements "no-requests NAME DURATION": it fails if the backend
// server is sent a request within DURATION, and when negated if it is sent none.
func (s *script) checkNoRequests(ts *testscript.TestScript, neg bool, args []string) {
	before := s.attemptsTo(args[0])
	time.Sleep(parseDuration(ts, args[1]))
	after := s.attemptsTo(args[0])
	ts.Logf("%s had been sent %d requests at the start and %d at the end", args[0], before, after)
	if (after != before) != neg {
		ts.Fatalf("%s was sent %d new requests in %s", args[0], after-before, args[1])
	}
}

// awaitRequests implements "await-requests NAME COUNT": it waits until the backend
// server has been sent COUNT more requests.
func (s *script) awaitRequests(ts *testscript.TestScript, _ bool, args []string) {
	want := s.attemptsTo(args[0]) + parseInt(ts, args[1])
	s.await(startTimeout, args[1]+" requests to "+args[0], func() bool { return s.attemptsTo(args[0]) >= want })
}

// load is a set of callers that each send one streamed request after another.
type load struct {
	stop    context.CancelFunc
	callers sync.WaitGroup
	mu      sync.Mutex
	served  int
	failed  []string
}

// startLoad implements "start-load NAME CALLERS TOKENS REGION": it starts CALLERS
// callers in REGION that ask for TOKENS tokens per response.
func (s *script) startLoad(ts *testscript.TestScript, _ bool, args []string) {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{stop: stop}
	s.loads[args[0]] = l
	var bootstrap []string
	for name := range s.args {
		bootstrap = append(bootstrap, s.processes[name].addr)
	}
	tokens := parseInt(ts, args[2])
	for i := range parseInt(ts, args[1]) {
		caller := &entry.Client{
			Bootstrap: bootstrap, Region: args[3], Zone: args[3] + "-a",
			Transport: &http.Transport{MaxIdleConnsPerHost: 4},
		}
		l.callers.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.send(caller, fmt.Sprintf("question %d of caller %d", n, i), tokens)
			}
		})
	}
	s.tb.Cleanup(stop)
}

// send sends one streamed request and checks the text of the response.
func (l *load) send(caller *entry.Client, prompt string, tokens int) {
	text, err := streamText(caller, prompt, tokens)
	want := strings.Join(engine.Completion(engine.Prompt("user", prompt), tokens), "")
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.failed = append(l.failed, time.Now().UTC().Format("05.000 ")+err.Error())
	case text != want:
		l.failed = append(l.failed, fmt.Sprintf("got %q, want %q", text, want))
	default:
		l.served++
	}
}

// endLoad implements "end-load NAME": it stops a load and fails if any of its
// requests failed, or when negated if none did.
func (s *script) endLoad(ts *testscript.TestScript, neg bool, args []string) {
	l := s.loads[args[0]]
	l.stop()
	l.callers.Wait()
	ts.Logf("%d requests served completely, %d failed", l.served, len(l.failed))
	if l.served == 0 {
		ts.Fatalf("no request of the load was served")
	}
	if (len(l.failed) > 0) != neg {
		ts.Fatalf("%d of %d requests failed: %.2000q\n%s", len(l.failed), len(l.failed)+l.served, l.failed, s.logTails())
	}
}
