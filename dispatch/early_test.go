package dispatch

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/outcome"
)

// startEarlyServer starts a server that accepts one connection, responds to the first
// request and sends one more response when early is closed. It returns its address and
// a channel with the number of bytes received after the first request, once the
// connection is closed.
func startEarlyServer(c *qt.C, early <-chan struct{}) (addr string, received <-chan int64) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = listener.Close() })
	count := make(chan int64, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		const response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
		_, _ = io.WriteString(conn, response)
		<-early
		_, _ = io.WriteString(conn, response)
		n, _ := io.Copy(io.Discard, reader)
		count <- n
	}()
	return listener.Addr().String(), count
}

// TestResponseBeforeRequestIsRejected guards against an attempt that takes the response
// to an earlier request on its connection for its own before a byte of it was sent:
// after a refusal that a server repeats, its true response follows on the connection,
// and the caller of the next request was told that the request may have run.
func TestResponseBeforeRequestIsRejected(t *testing.T) {
	c := qt.New(t)
	early, released := make(chan struct{}), make(chan struct{})
	addr, received := startEarlyServer(c, early)
	transport := &http.Transport{DialContext: GuardDial(tcpDial)}
	defer transport.CloseIdleConnections()
	d := &Dispatcher{Transport: transport}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	send := func(ctx context.Context) (*http.Response, *outcome.Error) {
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+"/", strings.NewReader("x"))
		c.Assert(err, qt.IsNil)
		req.GetBody = nil
		return d.send(req, newGate(ctx, nil))
	}

	resp, failure := send(ctx)
	c.Assert(failure == nil, qt.IsTrue)
	c.Assert(resp.Body.Close(), qt.IsNil)

	// The hook is called when the transport has the connection and nothing is sent.
	_, failure = send(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteHeaders: func() {
		close(early)
		<-released
	}}))
	close(released)
	c.Assert(failure != nil, qt.IsTrue, qt.Commentf("the response to another request was accepted"))
	c.Check(failure.Outcome, qt.Equals, outcome.NotRun)
	c.Check(failure.Cause, qt.ErrorIs, errRetiredConn)
	c.Check(<-received, qt.Equals, int64(1), qt.Commentf("bytes after the header of the first request"))
}
