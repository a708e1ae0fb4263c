package hosted

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/platform"
)

// TestEndlessResponsesShareMemory guards against an instance that runs out of memory,
// and ends with the requests of all its callers, because a faulty server sends bytes
// without end to many requests at once while their callers read slowly or not at all.
// It doesn't run beside other tests, as it measures the memory of the process.
func TestEndlessResponsesShareMemory(t *testing.T) {
	const slowCallers, duration = 300, 3 * time.Second
	filler := strings.Repeat("x", 32<<10)
	for name, b := range map[string]endlessBackend{
		"body":      {responseHead + "Connection: close\r\n\r\n", filler},
		"header":    {responseHead + "X-Fill: ", filler},
		"one event": {responseHead + "Content-Type: text/event-stream\r\n\r\n", filler},
		"events":    {responseHead + "Content-Type: text/event-stream\r\n\r\n", "data: x" + filler[:1000] + "\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(t)
			f.configure(1, newRoute("drafts", "safe", "drafts"), newRoute("orders", "unsafe", "orders"))
			var arrived atomic.Int64
			server := f.startRawServer("drafts", "cairo-a", func(conn net.Conn, req *http.Request) {
				arrived.Add(1)
				b.respond(conn, req)
			})
			// All requests may run at once: no limit but those on memory holds them back.
			entry := strings.Replace(server.Entry("drafts", "cairo-a", "ready"), `"slots":8`, fmt.Sprintf(`"slots":%d`, 2*slowCallers), 1)
			f.store.Put(platform.ServerPrefix+server.ID, entry)
			f.startServer("orders", "cairo-a", 0)
			n := f.start(f.settings("cairo")).waitForServers(2)
			for k := range slowCallers {
				conn, err := net.Dial("tcp", n.settings.CallerAddr)
				f.Assert(err, qt.IsNil)
				t.Cleanup(func() { conn.Close() })
				_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
				_, err = io.WriteString(conn, fmt.Sprintf("POST /drafts/ HTTP/1.1\r\nHost: %s\r\nRequest-Id: slow-%d\r\nDeadline-Ms: 30000\r\nContent-Length: 1\r\n\r\nx", host, k))
				f.Assert(err, qt.IsNil)
			}
			var peak uint64
			served := 0
			observe := func() {
				var stats runtime.MemStats
				runtime.ReadMemStats(&stats)
				peak = max(peak, stats.HeapInuse+stats.StackInuse)
				if n.send(n.request("POST", "/orders/", fmt.Sprintf("other-%d", served), "x")).status == http.StatusOK {
					served++
				}
			}
			f.eventually("half of the requests at the server", func() bool {
				observe()
				return arrived.Load() >= slowCallers/2
			})
			for deadline := time.Now().Add(duration); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
				observe()
			}
			t.Logf("%d MB at the most, %d of %d requests at the server, %d other requests served", peak>>20, arrived.Load(), slowCallers, served)
			f.Check(peak < uint64(n.settings.MemoryBytes), qt.IsTrue, qt.Commentf("%d bytes, limit %d", peak, n.settings.MemoryBytes))
			f.Check(served > 0, qt.IsTrue)
		})
	}
}
