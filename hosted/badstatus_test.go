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

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
)

// statusServer answers all requests with one text and keeps the connections open.
type statusServer struct{ conns, requests atomic.Int64 }

func (s *statusServer) serve(text string) func(conn net.Conn) {
	return func(conn net.Conn) {
		s.conns.Add(1)
		reader := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			s.requests.Add(1)
			_, _ = io.WriteString(conn, strings.ReplaceAll(text, "REQUEST", req.Header.Get("Request-Id")))
		}
	}
}

// TestBadStatusIsFailedAttempt guards against a response whose status is not 200 to 599:
// 000, 001 and 099 made the handler panic, so that the caller got no answer, and 101, 600
// and 999 reached the caller. The request is repeated only where its kind allows it, and
// the connection carries no further request.
func TestBadStatusIsFailedAttempt(t *testing.T) {
	t.Parallel()
	for _, status := range []string{"000", "001", "099", "101", "600", "999"} {
		for _, zone := range []string{"cairo-a", "alex-a"} {
			for _, body := range []string{"", "ok"} {
				t.Run(fmt.Sprintf("%s, %s, %d bytes", status, zone, len(body)), func(t *testing.T) {
					t.Parallel()
					f := newFleet(t)
					f.configure(1, newRoute("book", "unsafe", "orders"), newRoute("stock", "safe", "orders"))
					server := &statusServer{}
					text := fmt.Sprintf("HTTP/1.1 %s Odd\r\nRequest-Id: REQUEST\r\nSignature: s\r\nNot-Executed: 1\r\nContent-Length: %d\r\n\r\n%s", status, len(body), body)
					f.startConnServer("orders", zone, server.serve(text))
					n := f.startFor(zone, 1)[0]
					got := n.send(n.request("POST", "/book/", "id-1", "x"))
					f.Check(got.err, qt.IsNil)
					f.Check(got.status, qt.Equals, http.StatusBadGateway)
					f.Check(got.header.Get("Signature"), qt.Equals, "")
					f.Check(server.requests.Load(), qt.Equals, int64(1))
					f.Check(n.send(n.request("POST", "/book/", "id-2", "x")).status >= http.StatusInternalServerError, qt.IsTrue)
					f.Check(server.conns.Load(), qt.Equals, server.requests.Load())

					f.startServer("orders", zone, 0)
					f.eventually("the other server", func() bool {
						return n.send(n.request("GET", "/stock/", "id-3", "")).status == http.StatusOK
					})
					for k := range 8 {
						got := n.send(n.request("GET", "/stock/", fmt.Sprintf("safe-%d", k), ""))
						f.Check(got.status, qt.Equals, http.StatusOK, qt.Commentf("request %d: %v", k, got.err))
					}
				})
			}
		}
	}
}

// TestUnaskedInterimResponsesAreSkipped guards against informational responses of a
// server that take the place of the response.
func TestUnaskedInterimResponsesAreSkipped(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("book", "unsafe", "orders"))
	server := &statusServer{}
	var text strings.Builder
	for _, status := range []int{100, 102, 103, 150, 199, 100, 103, 103} {
		fmt.Fprintf(&text, "HTTP/1.1 %d Odd\r\nNot-Executed: 1\r\n\r\n", status)
	}
	text.WriteString("HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nContent-Length: 2\r\n\r\nok")
	f.startConnServer("orders", "cairo-a", server.serve(text.String()))
	n := f.startFor("cairo-a", 1)[0]
	for k := range 3 {
		got := n.send(n.request("POST", "/book/", fmt.Sprintf("id-%d", k), "x"))
		f.Check(got.err, qt.IsNil)
		f.Check(got.status, qt.Equals, http.StatusOK)
		f.Check(got.body, qt.Equals, "ok")
	}
	f.Check(server.conns.Load(), qt.Equals, int64(1))
}

// TestBadStatusDoesNotContinueStream guards against a stream that ends as complete because
// the server that is to continue it answers with an invalid status.
func TestBadStatusDoesNotContinueStream(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	route := newRoute("drafts", "stream", "drafts")
	route.Resumable = true
	f.configure(1, route)
	for range 2 {
		server := f.startServer("drafts", "cairo-a", 5)
		server.SetOverride(func(w http.ResponseWriter, r *http.Request) bool {
			if r.Header.Get("Last-Event-Id") != "" {
				return hosting.SendStatus("999")(w, r)
			}
			return hosting.TruncateAfter(2)(w, r)
		})
	}
	n := f.startFor("cairo-a", 2)[0]
	got := n.send(n.request("POST", "/drafts/", "id-1", "x"))
	f.Check(got.err, qt.IsNotNil)
	f.Check(got.status, qt.Equals, http.StatusOK)
	f.Check(got.body, qt.Equals, "id: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n")
}
