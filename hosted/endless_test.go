package hosted

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/standin/hosting"
	"github.com/fuchsiastack/fuchsiastack/telemetry"
)

// endless is a backend server whose answers do not end.
type endless struct {
	begin string // REQUEST stands for the id of the request
	piece string // written again and again, until the connection is closed
}

// serve answers the requests of all connections of l.
func (e endless) serve(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go e.answer(conn)
	}
}

func (e endless) answer(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	text := []byte(strings.ReplaceAll(e.begin, "REQUEST", req.Header.Get("Request-Id")))
	for {
		if _, err := conn.Write(text); err != nil {
			return
		}
		text = []byte(e.piece)
	}
}

// endlessServer starts a backend server and enters it into the store.
func (f *fleet) endlessServer(e endless, service string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	f.Assert(err, qt.IsNil)
	f.Cleanup(func() { l.Close() })
	go e.serve(l)
	s := &hosting.Server{Server: &httptest.Server{URL: "http://" + l.Addr().String()}, ID: "i-endless"}
	f.enter(s, service, "cairo-a", "ready")
}

const answerHead = "HTTP/1.1 200 OK\r\nRequest-Id: REQUEST\r\nSignature: signed\r\n"

// TestAnswerWithoutEnd guards against instances that read an answer for as long
// as a faulty server sends it: the head and the body are bounded, the connection is
// closed, and the caller is not told of a whole answer.
func TestAnswerWithoutEnd(t *testing.T) {
	t.Parallel()
	letters := strings.Repeat("x", 32<<10)
	const maxHead, maxBody = 128 << 10, 20 << 20 // with what is read ahead
	for name, test := range map[string]struct {
		service string
		answer  endless
		most    int64 // bytes that may be read
	}{
		"junk":          {"orders", endless{letters, letters}, maxHead},
		"header":        {"orders", endless{answerHead + "X-Fill: ", letters}, maxHead},
		"headers":       {"orders", endless{answerHead, "X-Fill: " + letters[:100] + "\r\n"}, maxHead},
		"interim":       {"orders", endless{"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)}, maxHead},
		"no length":     {"orders", endless{answerHead + "Connection: close\r\n\r\n", letters}, maxBody},
		"length":        {"orders", endless{answerHead + "Content-Length: 1000000000000000\r\n\r\n", letters}, maxBody},
		"chunks":        {"orders", endless{answerHead + "Transfer-Encoding: chunked\r\n\r\n", "8000\r\n" + letters + "\r\n"}, maxBody},
		"trailer":       {"orders", endless{answerHead + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Fill: " + letters[:100] + "\r\n"}, maxHead},
		"failure":       {"orders", endless{strings.Replace(answerHead, "200 OK", "500 Failed", 1) + "\r\n", letters}, maxBody},
		"one event":     {"drafts", endless{answerHead + "Content-Type: text/event-stream\r\n\r\n", letters}, maxBody},
		"comments":      {"drafts", endless{answerHead + "Content-Type: text/event-stream\r\n\r\n", ": \n" + letters[:100] + "\n"}, maxBody},
		"events":        {"drafts", endless{answerHead + "Content-Type: text/event-stream\r\n\r\n", "data: x" + letters[:1000] + "\n\n"}, maxBody},
		"same event":    {"drafts", endless{answerHead + "Content-Type: text/event-stream\r\n\r\n", "id: 1\ndata: " + letters[:1000] + "\n\n"}, maxBody},
		"after the end": {"orders", endless{answerHead + "Content-Length: 2\r\n\r\nok", letters}, maxHead},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			plain, stream := newRoute("orders", "unsafe", "orders"), newRoute("drafts", "stream", "drafts")
			plain.Timeout, stream.Timeout = 60000, 60000
			f.configure(1, plain, stream)
			f.endlessServer(test.answer, test.service)
			n := f.start(f.settings("cairo")).knows(1)
			req := n.request("POST", "/"+test.service+"/", "id-1", "x")
			req.Header.Set("Deadline-Ms", "60000")
			ctx, cancel := context.WithTimeout(context.Background(), patience)
			defer cancel()
			got := n.send(req.WithContext(ctx))
			f.Assert(ctx.Err(), qt.IsNil, qt.Commentf("the request still runs"))
			if name != "after the end" {
				f.Assert(got.err != nil || got.status >= http.StatusInternalServerError, qt.IsTrue, qt.Commentf("a whole answer of %d bytes", len(got.body)))
			}
			// Nothing more is read once the request has ended.
			var read int64
			f.eventually("the end of reading", func() bool {
				before := read
				read = n.traffic.Received(telemetry.ForServers)
				time.Sleep(50 * time.Millisecond)
				return read == before
			})
			f.Assert(read <= test.most, qt.IsTrue, qt.Commentf("%d bytes were read, bound %d", read, test.most))
		})
	}
}

// TestHeadOfALargeAnswer guards against refusing the length that an answer without
// a body states.
func TestHeadOfALargeAnswer(t *testing.T) {
	t.Parallel()
	f := newFleet(t)
	f.configure(1, newRoute("stock", "safe", "orders"))
	server := f.server("orders", "cairo-a", 0)
	n := f.start(f.settings("cairo")).knows(1)
	server.SetAnswer(func(w http.ResponseWriter, _ *http.Request) bool {
		w.Header().Set("Content-Length", "1000000000")
		return true
	})
	got := n.send(n.request("HEAD", "/stock/", "id-1", ""))
	f.Assert(got.status, qt.Equals, http.StatusOK)
	f.Assert(got.header.Get("Content-Length"), qt.Equals, "1000000000")
}
