package scenario

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/fuchsiastack/fuchsiastack/claim"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/listing"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/standin/engine"
)

// marker is a string that occurs only in requests sent by checkResidency.
const marker = "Kx7marker"

// markedPerInstance is the number of marked requests sent to each instance.
const markedPerInstance = 20

// checkResidency implements "check-residency HOME ENGINE...": it sends requests
// whose data must stay in region HOME to all instances, then searches the store
// and the logs and metrics of all processes for their prompts, idempotency keys
// and responses. ENGINE... are the engines of other regions; they must not have
// executed any request.
func (s *script) checkResidency(ts *testscript.TestScript, _ bool, args []string) {
	outcomes := make(map[string]int)
	words := []string{marker}
	for name := range s.args {
		for i := range markedPerInstance {
			prompt := fmt.Sprintf("%s %s %d", marker, name, i)
			words = append(words, engine.Completion(engine.Prompt("user", prompt), 1)[0])
			outcomes[s.sendMarked(name, prompt)]++
		}
	}
	ts.Logf("outcomes of the marked requests: %v", outcomes)
	if outcomes["served"]+outcomes["not-run"]+outcomes["may-have-run"] == 0 {
		ts.Fatalf("no marked request had the outcome served, not-run or may-have-run")
	}
	for _, engineName := range args[1:] {
		if executions := getText("http://" + s.processes[engineName].addr + "/standin/executions"); strings.TrimSpace(executions) != "[]" {
			ts.Fatalf("engine %s of another region executed %s", engineName, executions)
		}
	}
	for source, text := range s.recordedTexts() {
		for _, word := range words {
			if strings.Contains(text, strings.TrimSpace(word)) {
				ts.Fatalf("%q of a request whose data must stay in %s was found in %s", word, args[0], source)
			}
		}
		ts.Logf("%s: %d bytes, no data of marked requests", source, len(text))
	}
}

// sendMarked sends one chat request whose idempotency key contains marker. It
// returns the outcome, or "lost" if there was no response.
func (s *script) sendMarked(name, prompt string) string {
	body := fmt.Sprintf(`{"model":"drafting-desk/ministry-draft","max_tokens":4,"messages":[{"role":"user","content":%q}]}`, prompt)
	req, err := http.NewRequest(http.MethodPost, s.processes[name].addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer nile-press-key")
	req.Header.Set(filters.IdempotencyHeader, claim.NewKey(time.Now(), marker))
	// With no engine left, a draft would wait 48 s before it is refused.
	req.Header.Set(filters.DeadlineHeader, "500")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "lost"
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get(outcome.Header)
}

// adminAddrPattern matches the admin address, which serves the metrics, in the
// log of an instance.
var adminAddrPattern = regexp.MustCompile(`"admin":"([^"]+)"`)

// recordedTexts returns the contents of the store, the logs of all processes and
// the metrics of all instances, each under a name for messages.
func (s *script) recordedTexts() map[string]string {
	texts := map[string]string{"the store": getText(s.storeURL + "/v1/kv/?recurse")}
	for name := range s.processes {
		texts["the log of "+name] = s.logText(name)
	}
	for name := range s.args {
		if found := adminAddrPattern.FindStringSubmatch(s.logText(name)); found != nil {
			texts["the metrics of "+name] = getText("http://" + found[1] + "/metrics")
		}
	}
	return texts
}

// checkHopHeaders implements "check-hop-headers INSTANCE REGION". Each header of
// a forwarded request must be refused from a caller. On the peer listener, a
// forwarded request must be refused if its origin is in the instance's own
// region.
func (s *script) checkHopHeaders(ts *testscript.TestScript, _ bool, args []string) {
	for _, header := range []string{filters.HopOriginHeader, filters.HopRegionHeader, filters.HopServiceHeader} {
		req, err := http.NewRequest(http.MethodPost, s.processes[args[0]].addr+"/services/orders-desk/stock/x", strings.NewReader("x"))
		ts.Check(err)
		req.Header.Set("Authorization", "Bearer nile-press-key")
		req.Header.Set(header, "entry-2")
		s.wantRefusal(ts, req, http.StatusBadRequest)
	}
	var directory struct{ Instances []listing.Instance }
	getJSON(s.platformURL+"/v1/directory?region="+args[1], &directory)
	for _, origin := range []string{args[0], "entry-of-the-same-region"} {
		req, err := http.NewRequest(http.MethodPost, "http://"+directory.Instances[0].PeerAddr+"/services/orders-desk/stock/x", strings.NewReader("x"))
		ts.Check(err)
		for name, value := range map[string]string{
			filters.HopOriginHeader: origin, filters.HopRegionHeader: args[1], filters.HopCallerHeader: "nile-press",
			filters.HopServiceHeader: "orders-desk", filters.HopWorkHeader: "stock", filters.HopDeadlineHeader: "5000",
		} {
			req.Header.Set(name, value)
		}
		s.wantRefusal(ts, req, http.StatusLoopDetected)
	}
}

func (s *script) wantRefusal(ts *testscript.TestScript, req *http.Request, status int) {
	resp, err := http.DefaultClient.Do(req)
	ts.Check(err)
	defer resp.Body.Close()
	if o := resp.Header.Get(outcome.Header); resp.StatusCode != status || o != "not-run" {
		ts.Fatalf("status %d and outcome %q, want %d and not-run", resp.StatusCode, o, status)
	}
}

func getText(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	_, _ = io.Copy(&text, resp.Body)
	return text.String()
}
