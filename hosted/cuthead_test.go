package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// cutServer is a backend server that answers each request but the one under test whole,
// and cuts that answer after a number of bytes.
type cutServer struct {
	answer atomic.Pointer[answer] // to requests under test; REQUEST stands for the id
	conns  atomic.Int64           // that carried a request
}

// serve answers the requests of a connection until an answer is cut.
func (s *cutServer) serve(conn net.Conn) {
	reader := bufio.NewReader(conn)
	for first := true; ; first = false {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if first {
			s.conns.Add(1)
		}
		_, _ = io.Copy(io.Discard, req.Body)
		id := req.Header.Get("Request-Id")
		if !strings.HasPrefix(id, "cut-") {
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
			continue
		}
		a := s.answer.Load()
		_, _ = io.WriteString(conn, strings.ReplaceAll(a.text, "REQUEST", id))
		if a.reset {
			time.Sleep(2 * time.Millisecond) // the instance reads the text before the reset
			_ = conn.(*net.TCPConn).SetLinger(0)
		}
		return
	}
}

// TestCutHeadIsNoSuccess guards against callers that receive a 200 with an empty or short
// body, framed as whole, from a server that has stopped in the middle of the head of its
// answer and closed or reset the connection. The head is cut at every byte, on a new and on
// a kept connection, with each framing; the body, where it is framed, too.
func TestCutHeadIsNoSuccess(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("book", "unsafe", "orders"))
	server := &cutServer{}
	f.startConnServer("orders", "cairo-a", server.serve)
	n := f.start(f.settings("cairo")).waitForServers(1)
	heads := map[string]struct{ text, body string }{
		"length":         {"HTTP/1.1 200 OK\r\nSignature: s.1\r\nRequest-Id: REQUEST\r\nContent-Length: 12\r\n\r\n", "whole answer"},
		"chunked":        {"HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nTransfer-Encoding: chunked\r\n\r\n", "6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n"},
		"unframed":       {"HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nSignature: s.1\r\n\r\n", ""},
		"interim before": {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nContent-Length: 12\r\n\r\n", "whole answer"},
	}
	number, warm := 0, 0
	check := func(name, text string, reset, kept bool) {
		number++
		if kept {
			warm++
			got := n.send(n.request("POST", "/book/", fmt.Sprintf("warm-%d", number), "x"))
			f.Assert(got.status, qt.Equals, http.StatusOK)
		}
		server.answer.Store(&answer{text, reset})
		got := n.send(n.request("POST", "/book/", fmt.Sprintf("cut-%d", number), "x"))
		whole := got.err == nil && got.status < http.StatusMultipleChoices
		f.Check(whole, qt.IsFalse, qt.Commentf("%s, reset %v, kept %v, cut after %q: status %d, body %q", name, reset, kept, text, got.status, got.body))
		f.Check(got.status == http.StatusServiceUnavailable, qt.IsFalse, qt.Commentf("%s, cut after %q: said not to have run", name, text))
	}
	for name, head := range heads {
		whole := head.text + head.body
		for cut := range len(whole) {
			for _, reset := range []bool{false, true} {
				check(name, whole[:cut], reset, false)
				check(name, whole[:cut], reset, true)
			}
		}
	}
	// The connection of each whole answer carries the next request, too.
	f.Check(int(server.conns.Load()) <= number+warm/20, qt.IsTrue, qt.Commentf("%d connections for %d cut answers, %d of them after a whole one", server.conns.Load(), number, warm))
}
