package dispatch

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/relay"
	"github.com/fuchsiastack/fuchsiastack/standin/engine"
	"github.com/fuchsiastack/fuchsiastack/stream"
)

const (
	streamCount          = 2000
	streamTokens         = 20
	maxStreamMemoryBytes = 32 << 10 // limit of what the gateway adds for an open stream
)

// lockedRand is a seeded random source that the goroutines of a test share.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

// draw returns true with a probability of perMille in a thousand.
func (s *lockedRand) draw(perMille int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(1000) < perMille
}

// streamFaults are the rates of faults, per thousand. swap, duplicate and truncate
// are per event; mismatch is the rate of responses that belong to another attempt.
type streamFaults struct{ swap, duplicate, truncate, mismatch int }

// faultyWriter injects faults into a stream. The engine writes one event at a time.
type faultyWriter struct {
	http.ResponseWriter
	faults streamFaults
	random *lockedRand
	held   []byte
}

func (w *faultyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *faultyWriter) Write(event []byte) (int, error) {
	draw := w.random.draw
	if draw(w.faults.truncate) {
		panic(http.ErrAbortHandler)
	}
	if w.held == nil && strings.HasPrefix(string(event), "id:") && draw(w.faults.swap) {
		w.held = append([]byte(nil), event...)
		return len(event), nil
	}
	_, err := w.ResponseWriter.Write(event)
	if draw(w.faults.duplicate) {
		_, err = w.ResponseWriter.Write(event)
	}
	if w.held != nil {
		_, err = w.ResponseWriter.Write(w.held)
		w.held = nil
	}
	return len(event), err
}

// newStreamDispatcher returns a dispatcher with engines whose streams have faults. An
// engine that does not resume streams restarts them with another response.
func newStreamDispatcher(tb testing.TB, faults streamFaults, resumes bool, decode time.Duration) *Dispatcher {
	random := &lockedRand{random: rand.New(rand.NewPCG(1, 4))}
	var handlers []http.Handler
	for range 4 {
		e := engine.New(engine.Config{Slots: 2 * streamCount, DecodePerToken: decode})
		handlers = append(handlers, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			other := chatBody("another question", streamTokens)
			if !resumes && r.Header.Get("Last-Event-ID") != "" {
				r.Header.Del("Last-Event-ID")
				r.Body = io.NopCloser(bytes.NewReader(other)) // a restarted stream is sampled again
			}
			if random.draw(faults.mismatch) {
				r.Header.Set(relay.AttemptHeader, "of an attempt before")
				r.Body = io.NopCloser(bytes.NewReader(other))
			}
			e.ServeHTTP(&faultyWriter{ResponseWriter: w, faults: faults, random: random}, r)
		}))
	}
	return newServerDispatcher(tb, handlers...)
}

func chatBody(prompt string, tokens int) []byte {
	body, _ := json.Marshal(map[string]any{
		"model": "desk", "stream": true, "max_tokens": tokens, "messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	return body
}

func newExchange(w http.ResponseWriter, r *http.Request, body []byte) *filters.Exchange {
	return &filters.Exchange{
		Writer: w, Request: r, ID: "same id for all",
		Snapshot: &catalog.Snapshot{}, Service: &catalog.Service{Name: "desk", Kind: catalog.Model}, Path: "/v1/chat/completions",
		Work: catalog.Work{Repeatable: true}, Body: body, Stream: true, Received: time.Now(), Deadline: time.Now().Add(time.Minute),
	}
}

// sendStreamed sends one streamed request and returns the text of the response,
// whether it was marked as complete, and whether it was marked as failed.
func sendStreamed(d *Dispatcher, prompt string, tokens int) (text string, complete, failed bool) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", http.NoBody)
	x := newExchange(recorder, request, chatBody(prompt, tokens))
	err := d.Handle(x)
	if !x.Started {
		return "", false, err != nil
	}
	decoder := stream.NewChatDecoder(recorder.Body)
	defer decoder.Close()
	for {
		event, readErr := decoder.Next()
		if readErr != nil {
			return text, complete, failed
		}
		complete, failed = complete || event.Done, failed || event.Failed
		text += chunkContent(event.Raw)
	}
}

func chunkContent(raw []byte) string {
	_, data, _ := strings.Cut(string(raw), "data: ")
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(strings.TrimSpace(data)), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// TestConcurrentStreamIntegrity checks each of many concurrent responses against its
// own request.
func TestConcurrentStreamIntegrity(t *testing.T) {
	for _, test := range []struct {
		name        string
		faults      streamFaults
		resumes     bool
		minComplete int // of streamCount
	}{
		{"no faults", streamFaults{}, true, streamCount},
		{"reordered and duplicated", streamFaults{swap: 200, duplicate: 200}, true, streamCount},
		{"truncated", streamFaults{truncate: 10}, true, streamCount * 95 / 100},
		{"all faults", streamFaults{swap: 100, duplicate: 100, truncate: 10, mismatch: 50}, true, streamCount * 95 / 100},
		{"truncated and not resumable", streamFaults{truncate: 10}, false, streamCount * 70 / 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newStreamDispatcher(t, test.faults, test.resumes, 0)
			var group sync.WaitGroup
			var mu sync.Mutex
			complete := 0
			for i := range streamCount {
				group.Go(func() {
					prompt := fmt.Sprint("question ", i)
					want := strings.Join(engine.Completion(engine.Prompt("user", prompt), streamTokens), "")
					text, ok, failed := sendStreamed(d, prompt, streamTokens)
					qt.Check(t, ok, qt.Not(qt.Equals), failed, qt.Commentf("want either complete or failed: %q", text))
					qt.Check(t, strings.HasPrefix(want, text), qt.IsTrue, qt.Commentf("got %q, want %q", text, want))
					qt.Check(t, ok && text != want, qt.IsFalse, qt.Commentf("got %q, want %q", text, want))
					mu.Lock()
					defer mu.Unlock()
					if ok {
						complete++
					}
				})
			}
			group.Wait()
			t.Logf("%d of %d responses complete, the others ended with an error", complete, streamCount)
			qt.Assert(t, complete >= test.minComplete, qt.IsTrue)
		})
	}
}

// TestStreamMemory measures the memory of an open stream at the engine, at a minimal
// proxy that uses the same net/http server and client, and at the gateway. It limits
// what the gateway adds to the memory of that proxy.
func TestStreamMemory(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector uses additional memory")
	}
	d := newStreamDispatcher(t, streamFaults{}, true, 200*time.Millisecond)
	engine := d.Router.Registry.Servers("desk")[0].Addr
	copier := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		req, _ := http.NewRequestWithContext(r.Context(), r.Method, "http://"+engine+r.URL.Path, r.Body)
		resp, err := d.Transport.RoundTrip(req)
		if err != nil {
			return
		}
		defer resp.Body.Close()
		buffer := make([]byte, 1<<10)
		for n := 1; n > 0; {
			n, _ = resp.Body.Read(buffer)
			_, _ = w.Write(buffer[:n])
			_ = http.NewResponseController(w).Flush()
		}
	}))
	t.Cleanup(copier.Close)
	gateway := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_ = d.Handle(newExchange(w, r, body))
	}))
	t.Cleanup(gateway.Close)
	atEngine := openStreams(t, engine)
	atCopier := openStreams(t, copier.Listener.Addr().String()) - atEngine
	atGateway := openStreams(t, gateway.Listener.Addr().String()) - atEngine
	t.Logf("memory of an open stream: engine %d bytes, minimal proxy %d bytes, gateway %d bytes", atEngine, atCopier, atGateway)
	qt.Assert(t, atGateway-atCopier < maxStreamMemoryBytes, qt.IsTrue)
}

// openStreams opens streams and returns the memory that this process uses for each.
// The callers are plain TCP connections.
func openStreams(tb testing.TB, addr string) int {
	body := chatBody("question", streamTokens)
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	before := memoryInUse()
	conns := make([]net.Conn, streamCount)
	for i := range conns {
		conn, err := net.Dial("tcp", addr)
		qt.Assert(tb, err, qt.IsNil)
		defer conn.Close()
		_, err = conn.Write([]byte(request))
		qt.Assert(tb, err, qt.IsNil)
		conns[i] = conn
	}
	first := make([]byte, 1)
	for _, conn := range conns {
		_, err := conn.Read(first) // the stream has started
		qt.Assert(tb, err, qt.IsNil)
	}
	return (memoryInUse() - before) / streamCount
}

func memoryInUse() int {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // the second collection empties the pools
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc + m.StackInuse)
}
