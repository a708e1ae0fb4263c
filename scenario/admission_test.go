package scenario

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/entry"
	"github.com/fuchsiastack/fuchsiastack/outcome"
	"github.com/fuchsiastack/fuchsiastack/standin/engine"
)

// admissionTree has one model service and two callers; dojo-two may have one
// request in flight.
const admissionTree = `
service: sensei-model
kind: model
ranks:
  urgent: {target: 5s, deadline: 30s, min_share: 0.2}
  batch: {target: 60s, deadline: 5m, min_share: 0.1}
work:
  exam-history: {rank: urgent}
  certificate-draft: {rank: batch}
default: exam-history
callers:
  dojo-two: {in_flight: 1}
`

// oneEngine starts a region with one engine of 4 slots and 20 ms a token.
func oneEngine(t *testing.T, args ...string) (f *fleet, url, engineAddr string) {
	f = newFleet(t)
	tree := t.TempDir()
	callers, err := os.ReadFile("../examples/rank-registry/fuchsia-callers.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"fuchsia.yaml": []byte(admissionTree), "fuchsia-callers.yaml": callers} {
		if err := os.WriteFile(filepath.Join(tree, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f.ctl(ctlPending, "publish", "--bootstrap", "--wait", "0s", tree)
	engineAddr = f.backend("engine", "engine-erie", "sensei-model", "erie", "--slots", "4", "--decode", "20ms")
	url = f.daemon("entry-erie", "erie", "erie-a", args...)
	f.awaitInstances(url, 1)
	f.await(startTimeout, "first answer", func() bool {
		status, _ := ask(url, "dojo-one-key", "exam-history", 1)
		return status == http.StatusOK
	})
	return f, url, engineAddr
}

// post sends a chat request and returns the response once its head arrives.
func post(url, key, work string, tokens int, stream bool) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"sensei-model/%s","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"belt"}]}`, work, tokens, stream)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	return http.DefaultClient.Do(req)
}

// ask returns the status and the outcome of a request.
func ask(url, key, work string, tokens int) (int, string) {
	resp, err := post(url, key, work, tokens, false)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(outcome.Header)
}

// A flood of drafts waits in the gateway, not at the engine; urgent work is
// served meanwhile, and nothing that was refused ran.
func TestDraftFloodLeavesUrgentWorkServed(t *testing.T) {
	c := qt.New(t)
	_, url, engineAddr := oneEngine(t)
	var before []engine.Execution
	c.Assert(getJSON("http://"+engineAddr+"/standin/executions", &before), qt.IsTrue)
	var flood sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for range 40 {
		flood.Go(func() {
			status, result := ask(url, "dojo-one-key", "certificate-draft", 20)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				served++
				return
			}
			c.Check(result, qt.Equals, outcome.NotRun.String())
		})
	}
	for range 10 {
		status, _ := ask(url, "dojo-one-key", "exam-history", 2)
		c.Check(status, qt.Equals, http.StatusOK)
		mu.Lock()
		served++
		mu.Unlock()
		var load engine.Load
		c.Assert(getJSON("http://"+engineAddr+"/load", &load), qt.IsTrue)
		c.Check(load.Waiting, qt.Equals, 0)
		c.Check(load.Running <= 4, qt.IsTrue)
	}
	flood.Wait()
	var after []engine.Execution
	c.Assert(getJSON("http://"+engineAddr+"/standin/executions", &after), qt.IsTrue)
	c.Check(len(after)-len(before), qt.Equals, served)
}

func TestLimitInFlight(t *testing.T) {
	c := qt.New(t)
	f, url, _ := oneEngine(t)
	first, err := post(url, "dojo-two-key", "exam-history", 200, true)
	c.Assert(err, qt.IsNil)
	defer first.Body.Close()
	_, err = first.Body.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	second, err := post(url, "dojo-two-key", "exam-history", 1, false)
	c.Assert(err, qt.IsNil)
	defer second.Body.Close()
	c.Check(second.StatusCode, qt.Equals, http.StatusTooManyRequests)
	c.Check(second.Header.Get(outcome.Header), qt.Equals, outcome.NotRun.String())
	c.Check(second.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	_, err = io.Copy(io.Discard, first.Body)
	c.Assert(err, qt.IsNil)
	f.await(startTimeout, "the place free again", func() bool {
		status, _ := ask(url, "dojo-two-key", "exam-history", 1)
		return status == http.StatusOK
	})
}

// At its bound of requests an instance sheds new ones and still tells callers
// which instances to use.
func TestEntryAnswerSurvivesOverload(t *testing.T) {
	c := qt.New(t)
	const bound = 16
	f, url, _ := oneEngine(t, "--max-in-flight", fmt.Sprint(bound))
	// A body that does not end holds its request in flight.
	hold := func() {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		fmt.Fprint(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"+
			"Authorization: Bearer dojo-one-key\r\nContent-Length: 100\r\n\r\n{")
	}
	for range bound - 1 {
		hold()
	}
	f.await(startTimeout, "a request is shed", func() bool {
		// The request asked for may take the last place from one held before.
		hold()
		status, result := ask(url, "dojo-one-key", "exam-history", 1)
		return status == http.StatusServiceUnavailable && result == outcome.NotRun.String()
	})
	resp, err := http.Get(url + entry.Path)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
}
