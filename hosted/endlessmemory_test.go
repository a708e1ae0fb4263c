package hosted

import (
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/overload"
	"github.com/fuchsiastack/fuchsiastack/platform"
)

// slowCallers sends requests and reads no more of their responses than the first bytes.
type slowCallers struct {
	count   int
	mu      sync.Mutex
	arrived map[string]bool   // by id of the request: at the server
	answers map[string]string // by id: first bytes of the response
	log     logBuffer         // of the instance
}

// pacedChunkBytes and pacedInterval are the rate at which a server sends to each of many
// callers: 512 KB/s. One that sends as fast as it can leaves no processor time to connect.
const (
	pacedChunkBytes = 32 << 10
	pacedInterval   = 64 * time.Millisecond
)

// respondPaced is like respond at a limited rate.
func (b endlessBackend) respondPaced(conn net.Conn, req *http.Request) {
	data := []byte(b.headFor(req))
	chunks := []byte(strings.Repeat(b.chunk, max(1, pacedChunkBytes/len(b.chunk))))
	for {
		if _, err := conn.Write(data); err != nil {
			return
		}
		data = chunks
		time.Sleep(pacedInterval)
	}
}

// slowDeadline is the time that the requests have. It also bounds how long it takes
// until each has reached the server or has been answered.
const slowDeadline = time.Minute

func (s *slowCallers) recordArrival(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrived[id] = true
}

func (s *slowCallers) recordAnswer(id, start string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.answers[id] = start
}

// callerCounts is what has become of the requests of slowCallers.
type callerCounts struct {
	arrived int    // at the server
	shed    int    // refused for lack of memory before they got there
	waiting int    // neither at the server nor answered
	other   string // an answer to a request that did not get there for another reason, or ""
}

func (s *slowCallers) counts() callerCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := callerCounts{arrived: len(s.arrived), waiting: s.count - len(s.arrived)}
	for id, start := range s.answers {
		switch {
		case s.arrived[id]:
			continue
		case s.shedForMemory(id):
			n.shed++
		default:
			n.other = start
		}
		n.waiting--
	}
	return n
}

// shedForMemory reports whether the instance has refused the request for lack of memory.
func (s *slowCallers) shedForMemory(id string) bool {
	refusal := []string{`"event":"refused"`, fmt.Sprintf(`"request_id":%q`, id), `"filter":"overload"`}
	return s.log.lines(append(refusal, string(overload.ReasonBodyBytes))...)+s.log.lines(append(refusal, string(overload.ReasonHeapBytes))...) > 0
}

// start sends the requests to n on connections of their own.
func (s *slowCallers) start(n *testInstance) {
	for k := range s.count {
		conn, err := net.Dial("tcp", n.settings.CallerAddr)
		n.f.Assert(err, qt.IsNil)
		n.f.Cleanup(func() { conn.Close() })
		_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		id := fmt.Sprintf("slow-%d", k)
		_, err = fmt.Fprintf(conn, "POST /drafts/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: 1\r\n\r\nx", host, id, slowDeadline.Milliseconds())
		n.f.Assert(err, qt.IsNil)
		go func() {
			start := make([]byte, 1<<10)
			if size, err := conn.Read(start); err == nil {
				s.recordAnswer(id, string(start[:size]))
			}
		}()
	}
}

// TestEndlessResponsesShareMemory guards against an instance that runs out of memory,
// and ends with the requests of all its callers, because a faulty server sends bytes
// without end to many requests at once while their callers read slowly or not at all.
// Each request reaches the server or is shed for lack of memory, however slow the machine.
// It doesn't run beside other tests, as it measures the memory of the process.
func TestEndlessResponsesShareMemory(t *testing.T) {
	const callerCount, duration = 300, 3 * time.Second
	filler := strings.Repeat("x", 32<<10)
	for name, b := range map[string]endlessBackend{
		"body":      {responseHead + "Connection: close\r\n\r\n", filler},
		"header":    {responseHead + "X-Fill: ", filler},
		"one event": {responseHead + "Content-Type: text/event-stream\r\n\r\n", filler},
		"events":    {responseHead + "Content-Type: text/event-stream\r\n\r\n", "data: x" + filler[:1000] + "\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.heap = nil
			drafts, orders := newRoute("drafts", "safe", "drafts"), newRoute("orders", "unsafe", "orders")
			drafts.Timeout, drafts.Target = int(slowDeadline.Milliseconds()), int(slowDeadline.Milliseconds())
			orders.Timeout, orders.Target = drafts.Timeout, drafts.Target
			f.configure(1, drafts, orders)
			callers := &slowCallers{count: callerCount, arrived: map[string]bool{}, answers: map[string]string{}}
			server := f.startRawServer("drafts", "cairo-a", func(conn net.Conn, req *http.Request) {
				callers.recordArrival(req.Header.Get("Request-Id"))
				b.respondPaced(conn, req)
			})
			// All requests may run at once: no limit but those on memory holds them back.
			entry := strings.Replace(server.Entry("drafts", "cairo-a", "ready"), `"slots":8`, fmt.Sprintf(`"slots":%d`, 2*callerCount), 1)
			f.store.Put(platform.ServerPrefix+server.ID, entry)
			f.startServer("orders", "cairo-a", 0)
			settings := f.settings("cairo")
			n := f.startLogging(settings, settings.PeerAddr, &callers.log).waitForServers(2)
			f.eventually("slots of the server", func() bool {
				for s := range n.router.Healthy("drafts") {
					return s.SlotCount() == 2*callerCount
				}
				return false
			})
			callers.start(n)
			var peak uint64
			served := 0
			observe := func() {
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapInuse+stats.StackInuse)
				other := n.request("POST", "/orders/", fmt.Sprintf("other-%d", served), "x")
				other.Header.Set("Deadline-Ms", strconv.FormatInt(slowDeadline.Milliseconds(), 10))
				if n.send(other).status == http.StatusOK {
					served++
				}
				time.Sleep(20 * time.Millisecond)
			}
			for limit := time.Now().Add(slowDeadline + waitTimeout); callers.counts().waiting > 0 && time.Now().Before(limit); {
				observe()
			}
			for limit := time.Now().Add(duration); time.Now().Before(limit); {
				observe()
			}
			result := callers.counts()
			t.Logf("%d MB at the most, %d requests at the server, %d shed, %d other requests served", peak>>20, result.arrived, result.shed, served)
			f.Check(result.waiting, qt.Equals, 0)
			f.Check(result.other, qt.Equals, "")
			f.Check(peak < uint64(n.settings.MemoryBytes), qt.IsTrue, qt.Commentf("%d bytes, limit %d", peak, n.settings.MemoryBytes))
			f.Check(served > 0, qt.IsTrue)
		})
	}
}
