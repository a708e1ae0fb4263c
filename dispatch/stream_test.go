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

	"github.com/fuchsiastack/fuchsiastack/backend"
	"github.com/fuchsiastack/fuchsiastack/catalog"
	"github.com/fuchsiastack/fuchsiastack/filters"
	"github.com/fuchsiastack/fuchsiastack/relay"
	"github.com/fuchsiastack/fuchsiastack/retry"
	"github.com/fuchsiastack/fuchsiastack/routing"
	"github.com/fuchsiastack/fuchsiastack/standin/engine"
	"github.com/fuchsiastack/fuchsiastack/stream"
)

const (
	streamCallers = 2000
	streamTokens  = 20
	streamMemory  = 32 << 10 // bytes that the gateway adds for an open stream
)

// shared is a seeded source for all goroutines of a test.
type shared struct {
	mu     sync.Mutex
	random *rand.Rand
}

// draw reports true for share parts of a thousand.
func (s *shared) draw(share int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(1000) < share
}

// streamFaults are shares of events, in parts of a thousand.
type streamFaults struct{ swap, double, cut, other int }

// faultyWriter disturbs a stream. The engine writes one event at a time.
type faultyWriter struct {
	http.ResponseWriter
	faults streamFaults
	random *shared
	held   []byte
}

func (w *faultyWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *faultyWriter) Write(event []byte) (int, error) {
	draw := w.random.draw
	if draw(w.faults.cut) {
		panic(http.ErrAbortHandler)
	}
	if w.held == nil && strings.HasPrefix(string(event), "id:") && draw(w.faults.swap) {
		w.held = append([]byte(nil), event...)
		return len(event), nil
	}
	_, err := w.ResponseWriter.Write(event)
	if draw(w.faults.double) {
		_, err = w.ResponseWriter.Write(event)
	}
	if w.held != nil {
		_, err = w.ResponseWriter.Write(w.held)
		w.held = nil
	}
	return len(event), err
}

// newStreamFleet returns a dispatcher before engines whose streams are
// disturbed. An engine that does not resume begins every stream anew.
func newStreamFleet(tb testing.TB, faults streamFaults, resumes bool, decode time.Duration) *Dispatcher {
	random := &shared{random: rand.New(rand.NewPCG(1, 4))}
	registry := backend.NewRegistry()
	var list []backend.Info
	for i := range 4 {
		e := engine.New(engine.Config{Slots: 2 * streamCallers, DecodePerToken: decode})
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			other := chatBody("another question", streamTokens)
			if !resumes && r.Header.Get("Last-Event-ID") != "" {
				r.Header.Del("Last-Event-ID")
				r.Body = io.NopCloser(bytes.NewReader(other)) // another sample
			}
			if random.draw(faults.other) {
				r.Header.Set(relay.AttemptHeader, "of an attempt before")
				r.Body = io.NopCloser(bytes.NewReader(other))
			}
			e.ServeHTTP(&faultyWriter{ResponseWriter: w, faults: faults, random: random}, r)
		}))
		tb.Cleanup(server.Close)
		list = append(list, backend.Info{
			ID: fmt.Sprint("engine-", i), Addr: server.Listener.Addr().String(), Region: "cairo", Service: "desk", State: backend.StateLive,
		})
	}
	registry.Replace(list)
	transport := &http.Transport{DialContext: GuardDial(tcpDial), MaxIdleConnsPerHost: streamCallers}
	tb.Cleanup(transport.CloseIdleConnections)
	return &Dispatcher{
		Instance: "entry", Region: "cairo", Peers: noRegions{}, Transport: transport, PeerScheme: "http", Observer: silent{},
		Router: &routing.Router{
			Region: "cairo", Registry: registry, Regions: noRegions{},
			Filters: []routing.Filter{routing.UntriedFilter{}}, Scorer: routing.FirstTokenScorer{},
		},
		Retry: &retry.Policy{},
	}
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

// ask sends one streamed request and returns the text of the answer, whether
// it was marked as whole, and whether it was marked as failed.
func ask(d *Dispatcher, prompt string, tokens int) (text string, whole, failed bool) {
	recorder := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", http.NoBody)
	x := newExchange(recorder, request, chatBody(prompt, tokens))
	err := d.Handle(x)
	if !x.Started {
		return "", false, err != nil
	}
	decoder := stream.NewDecoder(recorder.Body)
	defer decoder.Close()
	for {
		event, readErr := decoder.Next()
		if readErr != nil {
			return text, whole, failed
		}
		whole, failed = whole || event.Done, failed || event.Failed
		text += contentOf(event.Raw)
	}
}

func contentOf(raw []byte) string {
	_, data, _ := strings.Cut(string(raw), "data: ")
	var chunk struct {
		Choices []struct{ Delta struct{ Content string } }
	}
	if json.Unmarshal([]byte(strings.TrimSpace(data)), &chunk) != nil || len(chunk.Choices) == 0 {
		return ""
	}
	return chunk.Choices[0].Delta.Content
}

// TestWholeAnswers checks each of many concurrent answers against its own
// request.
func TestWholeAnswers(t *testing.T) {
	for _, test := range []struct {
		name     string
		faults   streamFaults
		resumes  bool
		minWhole int // of streamCallers
	}{
		{"undisturbed", streamFaults{}, true, streamCallers},
		{"late and doubled", streamFaults{swap: 200, double: 200}, true, streamCallers},
		{"cut", streamFaults{cut: 10}, true, streamCallers * 95 / 100},
		{"everything", streamFaults{swap: 100, double: 100, cut: 10, other: 50}, true, streamCallers * 95 / 100},
		{"cut and not resumable", streamFaults{cut: 10}, false, streamCallers * 70 / 100},
	} {
		t.Run(test.name, func(t *testing.T) {
			d := newStreamFleet(t, test.faults, test.resumes, 0)
			var group sync.WaitGroup
			var mu sync.Mutex
			whole := 0
			for i := range streamCallers {
				group.Go(func() {
					prompt := fmt.Sprint("question ", i)
					want := strings.Join(engine.Answer(engine.Prompt("user", prompt), streamTokens), "")
					text, ok, failed := ask(d, prompt, streamTokens)
					qt.Check(t, ok, qt.Not(qt.Equals), failed, qt.Commentf("neither whole nor failed: %q", text))
					qt.Check(t, strings.HasPrefix(want, text), qt.IsTrue, qt.Commentf("got %q, want %q", text, want))
					qt.Check(t, ok && text != want, qt.IsFalse, qt.Commentf("got %q, want %q", text, want))
					mu.Lock()
					defer mu.Unlock()
					if ok {
						whole++
					}
				})
			}
			group.Wait()
			t.Logf("%d of %d answers whole, the others ended with an error", whole, streamCallers)
			qt.Assert(t, whole >= test.minWhole, qt.IsTrue)
		})
	}
}

// TestStreamMemory measures the memory of an open stream: at the engine, at a
// bare copier made of the same server and client of net/http, and at the
// gateway. The bound is on what the gateway adds to net/http.
func TestStreamMemory(t *testing.T) {
	if raceEnabled {
		t.Skip("the race detector has memory of its own")
	}
	d := newStreamFleet(t, streamFaults{}, true, 200*time.Millisecond)
	engine := d.Router.Registry.Of("desk")[0].Addr
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
	copied := openStreams(t, copier.Listener.Addr().String()) - atEngine
	through := openStreams(t, gateway.Listener.Addr().String()) - atEngine
	t.Logf("memory of an open stream: engine %d bytes, bare copier %d bytes, gateway %d bytes", atEngine, copied, through)
	qt.Assert(t, through-copied < streamMemory, qt.IsTrue)
}

// openStreams opens streams and returns the memory of each in this process.
// The callers are bare connections.
func openStreams(tb testing.TB, addr string) int {
	body := chatBody("question", streamTokens)
	request := fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	before := memoryInUse()
	conns := make([]net.Conn, streamCallers)
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
		_, err := conn.Read(first) // the stream has begun
		qt.Assert(tb, err, qt.IsNil)
	}
	return (memoryInUse() - before) / streamCallers
}

func memoryInUse() int {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC() // empties pools of the last collection
	runtime.ReadMemStats(&m)
	return int(m.HeapAlloc + m.StackInuse)
}
