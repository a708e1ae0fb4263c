package hosted

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/platform"
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

// wholeAnswers are answers by their framing; REQUEST stands for the id of the request. The
// one without a body ends with its connection.
var wholeAnswers = map[string]string{
	"length":         "HTTP/1.1 200 OK\r\nSignature: s.1\r\nRequest-Id: REQUEST\r\nContent-Length: 12\r\n\r\nwhole answer",
	"chunked":        "HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nTransfer-Encoding: chunked\r\n\r\n6\r\nwhole \r\n6\r\nanswer\r\n0\r\n\r\n",
	"unframed":       "HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nSignature: s.1\r\n\r\n",
	"interim before": "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nContent-Length: 12\r\n\r\nwhole answer",
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
	for name, whole := range wholeAnswers {
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

// TestSilentServerIsNoSuccess guards against callers that receive a success, or wait beyond
// their deadline, because a server falls silent at any byte of its answer and keeps the
// connection open; and against connections to such a server that stay open.
func TestSilentServerIsNoSuccess(t *testing.T) {
	t.Parallel()
	const deadline = 2 * time.Second
	f := newFleet(t)
	f.configure(1, newRoute("book", "unsafe", "orders"))
	texts := make(map[string]string) // by id of the request
	for name, whole := range wholeAnswers {
		end := len(whole)
		if name == "unframed" {
			end++ // nothing but its connection ends the answer
		}
		for cut := range end {
			texts[fmt.Sprintf("%s-%d", strings.ReplaceAll(name, " ", "-"), cut)] = whole[:cut]
		}
	}
	var open atomic.Int64
	var arrived sync.Map // ids of requests
	server := f.startConnServer("orders", "cairo-a", func(conn net.Conn) {
		open.Add(1)
		defer open.Add(-1)
		req, err := http.ReadRequest(bufio.NewReader(conn))
		if err != nil {
			return
		}
		id := req.Header.Get("Request-Id")
		arrived.Store(id, true)
		_, _ = io.WriteString(conn, strings.ReplaceAll(texts[id], "REQUEST", id))
		_, _ = io.Copy(io.Discard, conn) // until the instance closes it
	})
	entry := strings.Replace(server.Entry("orders", "cairo-a", "ready"), `"slots":8`, fmt.Sprintf(`"slots":%d`, 2*len(texts)), 1)
	f.store.Put(platform.ServerPrefix+server.ID, entry)
	n := f.start(f.settings("cairo")).waitForServers(1)
	f.eventually("slots of the server", func() bool {
		for s := range n.router.Healthy("orders") {
			return s.SlotCount() == 2*len(texts)
		}
		return false
	})
	send := func(id string) {
		req := n.request("POST", "/book/", id, "x")
		req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
		ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
		defer cancel()
		got := n.send(req.WithContext(ctx))
		f.Check(ctx.Err(), qt.IsNil, qt.Commentf("%s: no answer", id))
		whole := got.err == nil && got.status < http.StatusMultipleChoices
		f.Check(whole, qt.IsFalse, qt.Commentf("%s: status %d, body %q", id, got.status, got.body))
	}
	// On a slow machine some do not reach the server before their deadline.
	f.eventually("all requests at the server", func() bool {
		var group sync.WaitGroup
		missing := 0
		for id := range texts {
			if _, ok := arrived.Load(id); !ok {
				missing++
				group.Go(func() { send(id) })
			}
		}
		group.Wait()
		return missing == 0
	})
	f.eventually("connections closed", func() bool { return open.Load() == 0 })
}
