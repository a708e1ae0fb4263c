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

// admissionConfig defines one model service. It limits the caller dojo-two to
// one request in flight.
const admissionConfig = `
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

// startOneEngine starts one instance and one engine in one region. The engine
// has 4 slots and takes 20 ms per token. It returns once a request is served.
func startOneEngine(t *testing.T, args ...string) (f *fleet, url, engineAddr string) {
	f = newFleet(t)
	configDir := t.TempDir()
	callersFile, err := os.ReadFile("../examples/rank-registry/fuchsia-callers.yaml")
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string][]byte{"fuchsia.yaml": []byte(admissionConfig), "fuchsia-callers.yaml": callersFile} {
		if err := os.WriteFile(filepath.Join(configDir, name), text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	f.ctl(ctlPending, "publish", "--bootstrap", "--wait", "0s", configDir)
	engineAddr = f.backend("engine", "engine-erie", "sensei-model", "erie", "--slots", "4", "--decode", "20ms")
	url = f.daemon("entry-erie", "erie", "erie-a", args...)
	f.awaitInstances(url, 1)
	f.await(startTimeout, "the first served request", func() bool {
		status, _ := sendChat(url, "dojo-one-key", "exam-history", 1)
		return status == http.StatusOK
	})
	return f, url, engineAddr
}

// postChat sends a chat request and returns the response as soon as its headers
// arrive.
func postChat(url, key, work string, tokens int, stream bool) (*http.Response, error) {
	body := fmt.Sprintf(`{"model":"sensei-model/%s","max_tokens":%d,"stream":%t,"messages":[{"role":"user","content":"belt"}]}`, work, tokens, stream)
	req, err := http.NewRequest(http.MethodPost, url+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+key)
	return http.DefaultClient.Do(req)
}

// sendChat sends a chat request and returns the status code and the outcome of
// the response, or 0 and "" if there was no response.
func sendChat(url, key, work string, tokens int) (int, string) {
	resp, err := postChat(url, key, work, tokens, false)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, resp.Header.Get(outcome.Header)
}

// TestBatchFloodDoesNotBlockUrgent checks that a flood of batch requests is
// queued in the gateway and not at the engine, that urgent requests are served
// meanwhile, and that no refused request was executed.
func TestBatchFloodDoesNotBlockUrgent(t *testing.T) {
	c := qt.New(t)
	_, url, engineAddr := startOneEngine(t)
	var before []engine.Execution
	c.Assert(getJSON("http://"+engineAddr+"/standin/executions", &before), qt.IsTrue)
	var flood sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for range 40 {
		flood.Go(func() {
			status, result := sendChat(url, "dojo-one-key", "certificate-draft", 20)
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
		status, _ := sendChat(url, "dojo-one-key", "exam-history", 2)
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
	f, url, _ := startOneEngine(t)
	first, err := postChat(url, "dojo-two-key", "exam-history", 200, true)
	c.Assert(err, qt.IsNil)
	defer first.Body.Close()
	_, err = first.Body.Read(make([]byte, 1))
	c.Assert(err, qt.IsNil)
	second, err := postChat(url, "dojo-two-key", "exam-history", 1, false)
	c.Assert(err, qt.IsNil)
	defer second.Body.Close()
	c.Check(second.StatusCode, qt.Equals, http.StatusTooManyRequests)
	c.Check(second.Header.Get(outcome.Header), qt.Equals, outcome.NotRun.String())
	c.Check(second.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	_, err = io.Copy(io.Discard, first.Body)
	c.Assert(err, qt.IsNil)
	f.await(startTimeout, "a served request after the first one has ended", func() bool {
		status, _ := sendChat(url, "dojo-two-key", "exam-history", 1)
		return status == http.StatusOK
	})
}

// TestEntryListServedUnderOverload checks that an instance with the maximum
// number of requests in flight sheds new requests, but still serves the list of
// instances that callers may use.
func TestEntryListServedUnderOverload(t *testing.T) {
	c := qt.New(t)
	const bound = 16
	f, url, _ := startOneEngine(t, "--max-in-flight", fmt.Sprint(bound))
	// holdRequest keeps a request in flight by leaving its body incomplete.
	holdRequest := func() {
		conn, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		c.Assert(err, qt.IsNil)
		t.Cleanup(func() { _ = conn.Close() })
		fmt.Fprint(conn, "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\n"+
			"Authorization: Bearer dojo-one-key\r\nContent-Length: 100\r\n\r\n{")
	}
	for range bound - 1 {
		holdRequest()
	}
	f.await(startTimeout, "a shed request", func() bool {
		// The probe of the previous round may have been admitted in place of a
		// held request, so each round adds another one.
		holdRequest()
		status, result := sendChat(url, "dojo-one-key", "exam-history", 1)
		return status == http.StatusServiceUnavailable && result == outcome.NotRun.String()
	})
	resp, err := http.Get(url + entry.Path)
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	c.Check(resp.StatusCode, qt.Equals, http.StatusOK)
}
