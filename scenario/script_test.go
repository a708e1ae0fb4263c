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

// TestScripts runs the scenarios of testdata one after another.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatalf("no scenarios: %v", err)
	}
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".txt"), func(t *testing.T) {
			s := &script{fleet: newFleet(t), args: make(map[string][]string), loads: make(map[string]*load)}
			examples, _ := filepath.Abs("../examples")
			commands := map[string]func(*testscript.TestScript, bool, []string){
				"publish": s.publish, "daemon": s.startDaemon, "engine": s.startEngine, "plain": s.startPlain,
				"signal": s.signal, "ended": s.ended, "restart": s.restart, "faults": s.setFaults, "list": s.list,
				"leave": s.leave, "load": s.startLoad, "loaded": s.endLoad, "idle": s.idle, "nowork": s.noWork,
				"orders": s.startOrders, "ordered": s.endOrders, "marked": s.marked, "looped": s.looped,
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

// script is the state of one scenario.
type script struct {
	*fleet
	args    map[string][]string // of the daemons, for restarts
	regions sync.Map            // region of each daemon
	loads   map[string]*load
	orders  *orders
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func interval(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

// limitsLine is a line of a service file that bounds its callers.
var limitsLine = regexp.MustCompile(`(?m)^limits:.*$`)

// publish SETUP [limits] publishes the example files of a deployment, without
// limits of callers unless told otherwise.
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

// daemon NAME REGION [FLAG...] starts an instance that all others know before
// the scenario goes on.
func (s *script) startDaemon(_ *testscript.TestScript, _ bool, args []string) {
	s.args[args[0]] = args
	s.regions.Store(args[0], args[1])
	s.daemon(args[0], args[1], args[1]+"-a", append([]string{"--drain-notice", "500ms"}, args[2:]...)...)
	for name := range s.args {
		s.awaitInstances(s.procs[name].addr, len(s.args))
	}
}

func (s *script) startEngine(_ *testscript.TestScript, _ bool, args []string) {
	s.backend("engine", args[0], "drafting-desk", args[1], args[2:]...)
}

func (s *script) startPlain(_ *testscript.TestScript, _ bool, args []string) {
	s.backend("plain", args[0], "orders-desk", args[1], args[2:]...)
}

// signal NAME TERM|STOP|CONT|KILL.
func (s *script) signal(ts *testscript.TestScript, _ bool, args []string) {
	signals := map[string]syscall.Signal{"TERM": syscall.SIGTERM, "STOP": syscall.SIGSTOP, "CONT": syscall.SIGCONT, "KILL": syscall.SIGKILL}
	ts.Check(s.procs[args[0]].cmd.Process.Signal(signals[args[1]]))
}

// ended NAME LIMIT waits for the end of a process.
func (s *script) ended(ts *testscript.TestScript, _ bool, args []string) {
	select {
	case <-s.procs[args[0]].done:
	case <-time.After(interval(ts, args[1])):
		ts.Fatalf("%s still runs after %s", args[0], args[1])
	}
}

// restart NAME ends an instance gracefully and starts it anew.
func (s *script) restart(ts *testscript.TestScript, _ bool, args []string) {
	s.signal(ts, false, []string{args[0], "TERM"})
	s.ended(ts, false, []string{args[0], "60s"})
	s.startDaemon(ts, false, s.args[args[0]])
}

// put sends a JSON body.
func put(ts *testscript.TestScript, method, url string, body []byte) {
	req, err := http.NewRequest(method, url, bytes.NewReader(body))
	ts.Check(err)
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	ts.Check(resp.Body.Close())
}

// faults JSON sets the failures of the store.
func (s *script) setFaults(ts *testscript.TestScript, _ bool, args []string) {
	put(ts, http.MethodPut, s.storeURL+"/standin/faults", []byte(args[0]))
}

// list NAME STATE changes the state of a backend server in the platform's list.
func (s *script) list(ts *testscript.TestScript, _ bool, args []string) {
	var answer struct{ Servers []map[string]any }
	getJSON(s.platURL+"/v1/servers", &answer)
	for _, server := range answer.Servers {
		if server["id"] == args[0] {
			server["state"] = args[1]
			body, err := json.Marshal(server)
			ts.Check(err)
			put(ts, http.MethodPut, s.platURL+"/v1/servers/"+args[0], body)
			return
		}
	}
	ts.Fatalf("%s is not listed", args[0])
}

// leave NAME makes an engine refuse new work.
func (s *script) leave(ts *testscript.TestScript, _ bool, args []string) {
	put(ts, http.MethodPost, "http://"+s.procs[args[0]].addr+"/standin/leave", nil)
}

// idle DURATION lets time pass under load.
func (s *script) idle(ts *testscript.TestScript, _ bool, args []string) {
	time.Sleep(interval(ts, args[0]))
}

// sentTo counts the attempts that instances have sent to a backend server.
func (s *script) sentTo(name string) int {
	line := regexp.MustCompile(`"event":"route".*"server":"` + name + `"`)
	count := 0
	for daemon := range s.args {
		count += len(line.FindAllString(s.logOf(daemon), -1))
	}
	return count
}

// nowork NAME DURATION fails if a backend server is sent anything for a time.
func (s *script) noWork(ts *testscript.TestScript, neg bool, args []string) {
	before := s.sentTo(args[0])
	time.Sleep(interval(ts, args[1]))
	after := s.sentTo(args[0])
	ts.Logf("%s was sent %d requests before and %d after", args[0], before, after)
	if (after != before) != neg {
		ts.Fatalf("%s was sent %d new requests in %s", args[0], after-before, args[1])
	}
}

// load is a set of callers who stream answers one after another.
type load struct {
	stop   context.CancelFunc
	group  sync.WaitGroup
	mu     sync.Mutex
	served int
	failed []string
}

// load NAME CALLERS TOKENS REGION starts callers.
func (s *script) startLoad(ts *testscript.TestScript, _ bool, args []string) {
	ctx, stop := context.WithCancel(context.Background())
	l := &load{stop: stop}
	s.loads[args[0]] = l
	var bootstrap []string
	for name := range s.args {
		bootstrap = append(bootstrap, s.procs[name].addr)
	}
	tokens := number(ts, args[2])
	for i := range number(ts, args[1]) {
		caller := &entry.Client{
			Bootstrap: bootstrap, Region: args[3], Zone: args[3] + "-a",
			Transport: &http.Transport{MaxIdleConnsPerHost: 4},
		}
		l.group.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.ask(caller, fmt.Sprintf("question %d of caller %d", n, i), tokens)
			}
		})
	}
	s.tb.Cleanup(stop)
}

// ask sends one streamed request and checks the answer.
func (l *load) ask(caller *entry.Client, question string, tokens int) {
	text, err := streamText(caller, question, tokens)
	want := strings.Join(engine.Answer(engine.Prompt("user", question), tokens), "")
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

// loaded NAME ends a load. Any failed request fails the scenario.
func (s *script) endLoad(ts *testscript.TestScript, neg bool, args []string) {
	l := s.loads[args[0]]
	l.stop()
	l.group.Wait()
	ts.Logf("%d answers served whole, %d failed", l.served, len(l.failed))
	if l.served == 0 {
		ts.Fatalf("nothing was served")
	}
	if (len(l.failed) > 0) != neg {
		ts.Fatalf("%d of %d requests failed: %.2000q\n%s", len(l.failed), len(l.failed)+l.served, l.failed, s.logs())
	}
}
