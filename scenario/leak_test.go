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

// marker is found in nothing but the requests of a scenario.
const marker = "Kx7marker"

// markedRequests is the number of requests that marked sends to each instance.
const markedRequests = 20

// marked HOME sends requests whose data must stay in region HOME to all
// instances, then looks for their words, their keys and their answers in the
// store and in the logs and metrics of all processes. The engines named ran
// nothing; they are those of the other regions.
func (s *script) marked(ts *testscript.TestScript, _ bool, args []string) {
	told := make(map[string]int)
	words := []string{marker}
	for name := range s.args {
		for i := range markedRequests {
			prompt := fmt.Sprintf("%s %s %d", marker, name, i)
			words = append(words, engine.Answer(engine.Prompt("user", prompt), 1)[0])
			told[s.sendMarked(name, prompt)]++
		}
	}
	ts.Logf("marked requests: %v", told)
	if told["served"]+told["not-run"]+told["may-have-run"] == 0 {
		ts.Fatalf("no marked request was answered")
	}
	for _, engine := range args[1:] {
		if list := get("http://" + s.procs[engine].addr + "/standin/executions"); strings.TrimSpace(list) != "[]" {
			ts.Fatalf("%s ran %s", engine, list)
		}
	}
	for place, text := range s.texts() {
		for _, word := range words {
			if strings.Contains(text, strings.TrimSpace(word)) {
				ts.Fatalf("%q of a request that must stay in %s is in %s", word, args[0], place)
			}
		}
		ts.Logf("%s: %d bytes, no mark", place, len(text))
	}
}

// sendMarked sends one chat request with a marked idempotency key.
func (s *script) sendMarked(name, prompt string) string {
	body := fmt.Sprintf(`{"model":"drafting-desk/ministry-draft","max_tokens":4,"messages":[{"role":"user","content":%q}]}`, prompt)
	req, err := http.NewRequest(http.MethodPost, s.procs[name].addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err.Error()
	}
	req.Header.Set("Authorization", "Bearer nile-press-key")
	req.Header.Set(filters.IdempotencyHeader, claim.NewKey(time.Now(), marker))
	// Without any engine left a draft waits for 48 s to be refused.
	req.Header.Set(filters.DeadlineHeader, "500")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "lost"
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get(outcome.Header)
}

// adminAddr finds the address of metrics in the log of an instance.
var adminAddr = regexp.MustCompile(`"admin":"([^"]+)"`)

// texts returns the store, and the logs and metrics of all processes.
func (s *script) texts() map[string]string {
	texts := map[string]string{"the store": get(s.storeURL + "/v1/kv/?recurse")}
	for name := range s.procs {
		texts["the log of "+name] = s.logOf(name)
	}
	for name := range s.args {
		if found := adminAddr.FindStringSubmatch(s.logOf(name)); found != nil {
			texts["the metrics of "+name] = get("http://" + found[1] + "/metrics")
		}
	}
	return texts
}

// looped INSTANCE sends headers of a forwarded request as a caller, and to the
// listener for instances one that claims to come from the instance's own region.
func (s *script) looped(ts *testscript.TestScript, _ bool, args []string) {
	for _, header := range []string{filters.HopOriginHeader, filters.HopRegionHeader, filters.HopServiceHeader} {
		req, err := http.NewRequest(http.MethodPost, s.procs[args[0]].addr+"/services/orders-desk/stock/x", strings.NewReader("x"))
		ts.Check(err)
		req.Header.Set("Authorization", "Bearer nile-press-key")
		req.Header.Set(header, "entry-2")
		s.wantRefusal(ts, req, http.StatusBadRequest)
	}
	var answer struct{ Instances []listing.Instance }
	getJSON(s.platURL+"/v1/directory?region="+args[1], &answer)
	for _, origin := range []string{args[0], "entry-of-the-same-region"} {
		req, err := http.NewRequest(http.MethodPost, "http://"+answer.Instances[0].PeerAddr+"/services/orders-desk/stock/x", strings.NewReader("x"))
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
		ts.Fatalf("got status %d and outcome %q, want %d and not-run", resp.StatusCode, o, status)
	}
}

func get(url string) string {
	resp, err := http.Get(url)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var text bytes.Buffer
	_, _ = io.Copy(&text, resp.Body)
	return text.String()
}
