package hosted

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

// endlessBackend is a backend server whose responses do not end.
type endlessBackend struct {
	head  string // sent first; REQUEST stands for the id of the request
	chunk string // sent repeatedly until the connection is closed
}

// headFor returns the head of the response to a request.
func (b endlessBackend) headFor(req *http.Request) string {
	return strings.ReplaceAll(b.head, "REQUEST", req.Header.Get("Request-Id"))
}

func (b endlessBackend) respond(conn net.Conn, req *http.Request) {
	data := []byte(b.headFor(req))
	for {
		if _, err := conn.Write(data); err != nil {
			return
		}
		data = []byte(b.chunk)
	}
}

const responseHead = "HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nSignature: signed\r\n"

// TestEndlessResponse guards against instances that read a response for as long as
// a faulty server sends it. The head and the body are bounded, the connection is
// closed, and the caller does not receive the response as complete.
func TestEndlessResponse(t *testing.T) {
	t.Parallel()
	filler := strings.Repeat("x", 32<<10)
	const maxHead, maxBody = 128 << 10, 20 << 20 // including data that is read ahead
	const chunkedAnswer = responseHead + "Transfer-Encoding: chunked\r\n\r\n"
	for name, test := range map[string]struct {
		service string
		backend endlessBackend
		maxRead int64 // in bytes
	}{
		"junk":          {"orders", endlessBackend{filler, filler}, maxHead},
		"header":        {"orders", endlessBackend{responseHead + "X-Fill: ", filler}, maxHead},
		"headers":       {"orders", endlessBackend{responseHead, "X-Fill: " + filler[:100] + "\r\n"}, maxHead},
		"interim":       {"orders", endlessBackend{"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)}, maxHead},
		"no length":     {"orders", endlessBackend{responseHead + "Connection: close\r\n\r\n", filler}, maxBody},
		"length":        {"orders", endlessBackend{responseHead + "Content-Length: 1000000000000000\r\n\r\n", filler}, maxBody},
		"chunks":        {"orders", endlessBackend{responseHead + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + filler + "\r\n"}, maxBody},
		"trailer":       {"orders", endlessBackend{responseHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: " + filler[:100] + "\r\n"}, maxHead},
		"failure":       {"orders", endlessBackend{strings.Replace(responseHead, "200 OK", "500 Failed", 1) + "\r\n", filler}, maxBody},
		"one event":     {"drafts", endlessBackend{responseHead + "Content-Type: text/event-stream\r\n\r\n", filler}, maxBody},
		"comments":      {"drafts", endlessBackend{responseHead + "Content-Type: text/event-stream\r\n\r\n", ": \n" + filler[:100] + "\n"}, maxBody},
		"events":        {"drafts", endlessBackend{responseHead + "Content-Type: text/event-stream\r\n\r\n", "data: x" + filler[:1000] + "\n\n"}, maxBody},
		"same event":    {"drafts", endlessBackend{responseHead + "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: " + filler[:1000] + "\n\n"}, maxBody},
		"after the end": {"orders", endlessBackend{responseHead + "Content-Length: 2\r\n\r\nok", filler}, maxHead},
		"chunk size":    {"orders", endlessBackend{chunkedAnswer, strings.Repeat("0", 4096)}, maxHead},
		"extension":     {"orders", endlessBackend{chunkedAnswer + "5;", filler}, maxHead},
		"extensions":    {"orders", endlessBackend{chunkedAnswer, "1;" + filler[:4000] + "\r\nx\r\n"}, maxBody},
		"event chunks":  {"drafts", endlessBackend{strings.Replace(chunkedAnswer, "Transfer", "Content-Type: text/event-stream\r\nTransfer", 1), "8000\r\n" + filler + "\r\n"}, maxBody},
	} {
		for where, zone := range map[string]string{name: "cairo-a", name + ", over a hop": "alex-a"} {
			t.Run(where, func(t *testing.T) {
				t.Parallel()
				testEndlessResponse(newFleet(t), test.service, zone, test.backend, test.maxRead, name == "after the end")
			})
		}
	}
}

// testEndlessResponse sends a request that a backend server in a zone responds to
// without end. complete reports whether the response itself is complete.
func testEndlessResponse(f *fleet, service, zone string, b endlessBackend, maxRead int64, complete bool) {
	plain, stream := newRoute("orders", "unsafe", "orders"), newRoute("drafts", "stream", "drafts")
	plain.Timeout, stream.Timeout = 60000, 60000
	f.configure(1, plain, stream)
	f.startRawServer(service, zone, b.respond)
	instances := f.startFor(zone, 1)
	n := instances[0]
	req := n.request("POST", "/"+service+"/", "id-1", "x")
	req.Header.Set("Deadline-Ms", "60000")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	got := n.send(req.WithContext(ctx))
	f.Assert(ctx.Err(), qt.IsNil, qt.Commentf("the request has not ended"))
	if complete {
		f.Assert(got.status, qt.Equals, http.StatusOK)
		f.Assert(got.body, qt.Equals, "ok")
	} else {
		f.Assert(got.err != nil || got.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("complete response of %d bytes", len(got.body)))
	}
	for _, instance := range instances {
		// Nothing more is read once the request has ended.
		var read int64
		f.eventually("no more bytes are read", func() bool {
			before := read
			read = instance.traffic.ReceivedBytes(telemetry.PurposeServers)
			time.Sleep(50 * time.Millisecond)
			return read == before
		})
		f.Assert(read <= maxRead, qt.IsTrue, qt.Commentf("read %d bytes, want at most %d", read, maxRead))
	}
}

// TestHeadRequestKeepsContentLength guards against a response to a HEAD request that
// is rejected because its Content-Length exceeds the limit for bodies.
func TestHeadRequestKeepsContentLength(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("stock", "safe", "orders"))
	server := f.startServer("orders", "cairo-a", 0)
	n := f.start(f.settings("cairo")).waitForServers(1)
	server.SetOverride(func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Content-Length", "1000000000")
		return true
	})
	got := n.send(n.request("HEAD", "/stock/", "id-1", ""))
	f.Assert(got.status, qt.Equals, http.StatusOK)
	f.Assert(got.header.Get("Content-Length"), qt.Equals, "1000000000")
}
