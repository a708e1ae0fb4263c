package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

// cutServer is a backend server that answers each request but the one under test whole,
// and cuts that answer after a number of bytes.
type cutServer struct {
	answer atomic.Pointer[answer] // to requests under test; REQUEST stands for the id
	conns  atomic.Int64
}

// serve answers the requests of a connection until an answer is cut.
func (s *cutServer) serve(conn net.Conn) {
	defer conn.Close()
	s.conns.Add(1)
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
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

// startCutServer starts a cutServer and registers it.
func (f *fleet) startCutServer() *cutServer {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { l.Close() })
	s := &cutServer{}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	f.count++
	server := &hosting.Server{Server: &httptest.Server{URL: "http://" + l.Addr().String()}, ID: fmt.Sprintf("i-%d", f.count)}
	f.register(server, "orders", "cairo-a", "ready")
	return s
}

// TestCutHeadIsNoSuccess guards against callers that receive a 200 with an empty or short
// body, framed as whole, from a server that has stopped in the middle of the head of its
// answer and closed or reset the connection. The head is cut at every byte, on a new and on
// a kept connection, with each framing; the body, where it is framed, too.
func TestCutHeadIsNoSuccess(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("book", "unsafe", "orders"))
	server := f.startCutServer()
	n := f.start(f.settings("cairo")).waitForServers(1)
	heads := map[string]struct{ text, body string }{
		"length":         {"HTTP/1.1 200 OK\r\nSignature: s.1\r\nRequest-Id: REQUEST\r\nContent-Length: 12\r\n\r\n", "whole answer"},
		"chunked":        {"HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nTransfer-Encoding: chunked\r\n\r\n", "6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n"},
		"unframed":       {"HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nSignature: s.1\r\n\r\n", ""},
		"interim before": {"HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nContent-Length: 12\r\n\r\n", "whole answer"},
	}
	number := 0
	for name, head := range heads {
		for _, reset := range []bool{false, true} {
			for cut := range len(head.text) + len(head.body) {
				if head.body == "" && cut == len(head.text) {
					continue
				}
				kept := cut%2 == 0
				number++
				if kept {
					warm := n.send(n.request("POST", "/book/", fmt.Sprintf("warm-%d", number), "x"))
					f.Assert(warm.status, qt.Equals, http.StatusOK)
				}
				server.answer.Store(&answer{(head.text + head.body)[:cut], reset})
				got := n.send(n.request("POST", "/book/", fmt.Sprintf("cut-%d", number), "x"))
				whole := got.err == nil && got.status < http.StatusMultipleChoices
				f.Check(whole, qt.IsFalse, qt.Commentf("%s, reset %v, kept %v, cut after %q: status %d, body %q", name, reset, kept, (head.text + head.body)[:cut], got.status, got.body))
				f.Check(got.status == http.StatusServiceUnavailable, qt.IsFalse, qt.Commentf("%s, cut at %d: said not to have run", name, cut))
			}
		}
	}
	f.Check(server.conns.Load() > 1, qt.IsTrue)
}
