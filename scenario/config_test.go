package scenario

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsiastack/fuchsiastack/entry"
)

// configCommands are the commands of scenarios about the configuration.
func (s *script) configCommands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"ctl": s.runCtl, "change": s.change, "race": s.race, "monotonic": s.monotonic, "inforce": s.inForce,
		"join": s.join, "served": s.served,
	}
}

// ctl STATUS TEXT COMMAND... runs fuchsiactl: its exit status must be STATUS,
// and its output must contain TEXT.
func (s *script) runCtl(ts *testscript.TestScript, _ bool, args []string) {
	out := s.ctl(number(ts, args[0]), args[2:]...)
	if !strings.Contains(out, args[1]) {
		ts.Fatalf("fuchsiactl %s: output lacks %q:\n%s", strings.Join(args[2:], " "), args[1], out)
	}
}

// writeConfig writes the tree with its n-th change into a directory.
func writeConfig(ts *testscript.TestScript, dir string, n int) {
	ts.Check(os.RemoveAll(dir))
	ts.Check(os.CopyFS(dir, os.DirFS(ts.MkAbs("config"))))
	file := filepath.Join(dir, "drafting-desk", "fuchsia.yaml")
	text, err := os.ReadFile(file)
	ts.Check(err)
	text = fmt.Appendf(text, "limits: {in_flight: %d}\n", 10000+n)
	ts.Check(os.WriteFile(file, text, 0o600))
}

// change N STATUS [FLAG...] publishes the n-th change of the tree.
func (s *script) change(ts *testscript.TestScript, _ bool, args []string) {
	dir := ts.MkAbs("changed")
	writeConfig(ts, dir, number(ts, args[0]))
	flags := append([]string{"publish", "--bootstrap"}, args[2:]...)
	s.ctl(number(ts, args[1]), append(flags, dir)...)
}

// race N BASE lets N operators publish different changes of revision BASE at
// once. Exactly one must succeed; the others must be told of the conflict.
func (s *script) race(ts *testscript.TestScript, _ bool, args []string) {
	n := number(ts, args[0])
	outputs := make([]string, n)
	var operators sync.WaitGroup
	for i := range n {
		dir := ts.MkAbs(fmt.Sprint("operator-", i))
		writeConfig(ts, dir, 1000*number(ts, args[1])+i) // a change that no race before made
		operators.Go(func() {
			cmd := exec.Command("fuchsiactl", "publish", "--bootstrap", "--wait", "0s", "--base", args[1], dir)
			cmd.Env = append(os.Environ(), "FUCHSIA_STORE_URL="+s.storeURL, "FUCHSIA_PLATFORM_URL="+s.platURL)
			out, _ := cmd.CombinedOutput()
			outputs[i] = string(out)
		})
	}
	operators.Wait()
	told := 0
	for _, out := range outputs {
		if strings.Contains(out, "another revision was published") {
			told++
		}
	}
	if told != n-1 {
		ts.Fatalf("%d of %d operators were told of the conflict, want %d: %q", told, n, n-1, outputs)
	}
}

// revisions returns the revisions that an instance has put in force, in order.
func (s *script) revisions(name string) []uint64 {
	var revisions []uint64
	for line := range strings.Lines(s.logOf(name)) {
		var event struct {
			Event    string
			Revision uint64
		}
		if json.Unmarshal([]byte(line), &event) == nil && event.Event == "config" {
			revisions = append(revisions, event.Revision)
		}
	}
	return revisions
}

// monotonic NAME... fails if an instance ever went back.
func (s *script) monotonic(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		history := s.revisions(name)
		for i := 1; i < len(history); i++ {
			if history[i] <= history[i-1] {
				ts.Fatalf("%s went back: %v", name, history)
			}
		}
		ts.Logf("%s: %v", name, history)
	}
}

// inforce REVISION LIMIT NAME... waits until instances have a revision in force.
func (s *script) inForce(ts *testscript.TestScript, _ bool, args []string) {
	want := uint64(number(ts, args[0]))
	for _, name := range args[2:] {
		s.await(interval(ts, args[1]), fmt.Sprintf("revision %d in force at %s", want, name), func() bool {
			history := s.revisions(name)
			return len(history) > 0 && history[len(history)-1] >= want
		})
	}
}

// join NAME REGION SEED starts an instance that knows no more than another one.
func (s *script) join(_ *testscript.TestScript, _ bool, args []string) {
	s.args[args[0]] = args[:2]
	s.regions.Store(args[0], args[1])
	s.daemon(args[0], args[1], args[1]+"-a", "--drain-notice", "500ms", "--seeds", s.controlOf(args[2]))
}

// controlOf returns the address for control messages that an instance logged.
func (s *script) controlOf(name string) string {
	for line := range strings.Lines(s.logOf(name)) {
		var event struct{ Event, Control string }
		if json.Unmarshal([]byte(line), &event) == nil && event.Event == "started" {
			return event.Control
		}
	}
	return ""
}

// served NAME LIMIT waits until callers that enter at an instance are served.
func (s *script) served(ts *testscript.TestScript, _ bool, args []string) {
	region, _ := s.regions.Load(args[0])
	caller := &entry.Client{Bootstrap: []string{s.procs[args[0]].addr}, Region: region.(string)}
	const question, tokens = "is this region served?", 12
	s.await(interval(ts, args[1]), "served by "+args[0], func() bool {
		text, err := streamText(caller, question, tokens)
		return err == nil && text == wantAnswer(question)
	})
}
