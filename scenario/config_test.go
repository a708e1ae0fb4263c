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

// configCommands returns the script commands that concern the configuration.
func (s *script) configCommands() map[string]func(*testscript.TestScript, bool, []string) {
	return map[string]func(*testscript.TestScript, bool, []string){
		"ctl": s.runCtl, "publish-change": s.publishChange, "race-publish": s.racePublish, "check-monotonic": s.checkMonotonic,
		"await-revision": s.awaitRevision, "join": s.join, "await-served": s.awaitServed,
	}
}

// runCtl implements "ctl STATUS TEXT ARG...": it runs fuchsiactl, whose exit
// status must be STATUS and whose output must contain TEXT.
func (s *script) runCtl(ts *testscript.TestScript, _ bool, args []string) {
	out := s.ctl(parseInt(ts, args[0]), args[2:]...)
	if !strings.Contains(out, args[1]) {
		ts.Fatalf("fuchsiactl %s: output does not contain %q:\n%s", strings.Join(args[2:], " "), args[1], out)
	}
}

// writeChangedConfig writes a copy of the configuration into dir. Its limit of
// requests in flight depends on n, so that each n gives another change.
func writeChangedConfig(ts *testscript.TestScript, dir string, n int) {
	ts.Check(os.RemoveAll(dir))
	ts.Check(os.CopyFS(dir, os.DirFS(ts.MkAbs("config"))))
	file := filepath.Join(dir, "drafting-desk", "fuchsia.yaml")
	text, err := os.ReadFile(file)
	ts.Check(err)
	text = fmt.Appendf(text, "limits: {in_flight: %d}\n", 10000+n)
	ts.Check(os.WriteFile(file, text, 0o600))
}

// publishChange implements "publish-change N STATUS [FLAG...]": it publishes
// change N of the configuration. fuchsiactl must exit with STATUS.
func (s *script) publishChange(ts *testscript.TestScript, _ bool, args []string) {
	dir := ts.MkAbs("changed")
	writeChangedConfig(ts, dir, parseInt(ts, args[0]))
	flags := append([]string{"publish", "--bootstrap"}, args[2:]...)
	s.ctl(parseInt(ts, args[1]), append(flags, dir)...)
}

// racePublish implements "race-publish N BASE": N operators concurrently publish
// different changes based on revision BASE. All but one of them must get the
// conflict error.
func (s *script) racePublish(ts *testscript.TestScript, _ bool, args []string) {
	n := parseInt(ts, args[0])
	outputs := make([]string, n)
	var operators sync.WaitGroup
	for i := range n {
		dir := ts.MkAbs(fmt.Sprint("operator-", i))
		writeChangedConfig(ts, dir, 1000*parseInt(ts, args[1])+i) // unique over all races of a script
		operators.Go(func() {
			cmd := exec.Command("fuchsiactl", "publish", "--bootstrap", "--wait", "0s", "--base", args[1], dir)
			cmd.Env = append(os.Environ(), "FUCHSIA_STORE_URL="+s.storeURL, "FUCHSIA_PLATFORM_URL="+s.platformURL)
			out, _ := cmd.CombinedOutput()
			outputs[i] = string(out)
		})
	}
	operators.Wait()
	conflicts := 0
	for _, out := range outputs {
		if strings.Contains(out, "another revision was published") {
			conflicts++
		}
	}
	if conflicts != n-1 {
		ts.Fatalf("%d of %d operators got the conflict error, want %d: %q", conflicts, n, n-1, outputs)
	}
}

// revisions returns the revisions that an instance has logged as in force, in
// the order of its log.
func (s *script) revisions(name string) []uint64 {
	var revisions []uint64
	for line := range strings.Lines(s.logText(name)) {
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

// checkMonotonic implements "check-monotonic NAME...": it fails if an instance
// ever put the same or an older revision in force after another one.
func (s *script) checkMonotonic(ts *testscript.TestScript, _ bool, args []string) {
	for _, name := range args {
		history := s.revisions(name)
		for i := 1; i < len(history); i++ {
			if history[i] <= history[i-1] {
				ts.Fatalf("revisions in force at %s do not increase: %v", name, history)
			}
		}
		ts.Logf("revisions in force at %s: %v", name, history)
	}
}

// awaitRevision implements "await-revision REVISION TIMEOUT NAME...": it waits
// until each instance has REVISION or a newer one in force.
func (s *script) awaitRevision(ts *testscript.TestScript, _ bool, args []string) {
	want := uint64(parseInt(ts, args[0]))
	for _, name := range args[2:] {
		s.await(parseDuration(ts, args[1]), fmt.Sprintf("revision %d in force at %s", want, name), func() bool {
			history := s.revisions(name)
			return len(history) > 0 && history[len(history)-1] >= want
		})
	}
}

// join implements "join NAME REGION SEED": it starts an instance whose only seed
// is the instance SEED. It does not wait until other instances list it.
func (s *script) join(_ *testscript.TestScript, _ bool, args []string) {
	s.args[args[0]] = args[:2]
	s.regions.Store(args[0], args[1])
	s.daemon(args[0], args[1], args[1]+"-a", "--drain-notice", "500ms", "--seeds", s.controlAddr(args[2]))
}

// controlAddr returns the address of the control listener that an instance
// logged at its start, or "".
func (s *script) controlAddr(name string) string {
	for line := range strings.Lines(s.logText(name)) {
		var event struct{ Event, Control string }
		if json.Unmarshal([]byte(line), &event) == nil && event.Event == "started" {
			return event.Control
		}
	}
	return ""
}

// awaitServed implements "await-served NAME TIMEOUT": it waits until a caller
// whose bootstrap list is the instance NAME is served.
func (s *script) awaitServed(ts *testscript.TestScript, _ bool, args []string) {
	region, _ := s.regions.Load(args[0])
	caller := &entry.Client{Bootstrap: []string{s.processes[args[0]].addr}, Region: region.(string)}
	const prompt, tokens = "is this region served?", 12
	s.await(parseDuration(ts, args[1]), "a request served through "+args[0], func() bool {
		text, err := streamText(caller, prompt, tokens)
		return err == nil && text == wantText(prompt)
	})
}
