// Package endless is a stand-in for faulty servers whose responses do not end.
package endless

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Filler is text without a meaning.
var Filler = strings.Repeat("x", 32<<10)

// MaxHeaderRead is how much of a response a client may read that stops after 64 KB of its
// header, with what is read ahead.
const MaxHeaderRead = 128 << 10

// Heads are responses, by name, whose header does not end: what is sent first, and what
// follows again and again.
var Heads = map[string][2]string{
	"junk":    {Filler, Filler},
	"header":  {"HTTP/1.1 200 OK\r\nX-Fill: ", Filler},
	"headers": {"HTTP/1.1 200 OK\r\n", "X-Fill: " + Filler[:100] + "\r\n"},
	"interim": {"", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100)},
}

// StartServer starts a server that responds to each request with head, and then with
// chunk again and again until its client closes the connection. It returns its host:port.
func StartServer(tb testing.TB, head, chunk string) (addr string) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatalf("endless: %v", err)
	}
	tb.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go respond(conn, head, chunk)
		}
	}()
	return listener.Addr().String()
}

func respond(conn net.Conn, head, chunk string) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	for text := head; ; text = chunk {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
	}
}

// CheckHeads checks for each of Heads that a client's call fails and that the client reads
// at most MaxHeaderRead. newClient returns the call of a new client to the server at addr,
// and the transport of the client.
func CheckHeads(t *testing.T, newClient func(addr string) (call func() error, transport *http.Transport)) {
	for name, response := range Heads {
		t.Run(name, func(t *testing.T) {
			call, transport := newClient(StartServer(t, response[0], response[1]))
			defer transport.CloseIdleConnections()
			read := CountReads(transport)
			if err := call(); err == nil {
				t.Error("the call has not failed")
			}
			if read.Load() > MaxHeaderRead {
				t.Errorf("read %d bytes, want at most %d", read.Load(), MaxHeaderRead)
			}
		})
	}
}

// CountReads counts the bytes that are read from the connections which transport opens
// from now on.
func CountReads(transport *http.Transport) *atomic.Int64 {
	var read atomic.Int64
	dial := transport.DialContext
	transport.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, &read}, nil
	}
	return &read
}

// countingConn counts the bytes read from a connection.
type countingConn struct {
	net.Conn
	read *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.read.Add(int64(n))
	return n, err
}
