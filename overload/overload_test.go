package overload

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/fuchsiastack/fuchsiastack/catalog"
)

func TestBatchIsShedBeforeUrgent(t *testing.T) {
	c := qt.New(t)
	g := NewGuard(Limits{InFlight: 10, BodyBytes: 100, HeapBytes: 1000})
	for range 8 {
		c.Assert(g.StartRequest(), qt.Equals, Reason(""))
		c.Check(g.Check(catalog.Batch), qt.Equals, Reason(""))
	}
	c.Assert(g.StartRequest(), qt.Equals, Reason(""))
	c.Check(g.Check(catalog.Batch), qt.Equals, ReasonInFlight)
	c.Check(g.Check(catalog.Urgent), qt.Equals, Reason(""))
	c.Assert(g.StartRequest(), qt.Equals, Reason(""))
	c.Check(g.StartRequest(), qt.Equals, ReasonInFlight)
	c.Check(g.Usage().InFlight, qt.Equals, int64(10))
	g.EndRequest()
	g.SetHeap(1000)
	c.Check(g.StartRequest(), qt.Equals, ReasonHeapBytes)
}

func TestBodyMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	g := NewGuard(Limits{BodyBytes: 1000})
	var group sync.WaitGroup
	for range 100 {
		group.Go(func() {
			for range 1000 {
				if g.Reserve(300) {
					if held := g.Usage().BodyBytes; held > 1000+100*300 {
						t.Errorf("%d bytes of bodies reserved at a limit of 1000", held)
					}
					g.Release(300)
				}
			}
		})
	}
	group.Wait()
	c.Check(g.Usage(), qt.Equals, Limits{})
	c.Check(g.Reserve(1001), qt.IsFalse)
	c.Check(g.Reserve(1000), qt.IsTrue)
}

// startServer starts a server with at most limit connections. Requests to /hold
// block until the returned function is called.
func startServer(t *testing.T, limit int) (*ConnectionLimiter, string, func()) {
	conns := NewConnectionLimiter(limit)
	hold := make(chan struct{})
	handler := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/hold" {
			<-hold
		}
	})
	s := httptest.NewUnstartedServer(handler)
	s.Listener = conns.Listener(s.Listener)
	s.Config.ConnState = conns.ConnState
	s.Start()
	release := sync.OnceFunc(func() { close(hold) })
	t.Cleanup(func() { release(); s.Close() })
	return conns, s.Listener.Addr().String(), release
}

// get sends one request on a new connection and leaves the connection open. It
// does not wait for the response of /hold.
func get(t *testing.T, addr, path string) (net.Conn, error) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: test\r\n\r\n", path)
	if path == "/hold" {
		return conn, nil
	}
	return conn, readResponse(conn)
}

func readResponse(conn net.Conn) error {
	_ = conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	_, err := conn.Read(make([]byte, 1024))
	return err
}

// awaitIdle waits until the server has reported count connections idle, which
// it does after it has sent the response.
func (c *ConnectionLimiter) awaitIdle(count int) {
	for {
		c.mu.Lock()
		idle := c.idle.Len()
		c.mu.Unlock()
		if idle == count {
			return
		}
		time.Sleep(time.Millisecond)
	}
}

// TestNewConnectionClosesLongestIdle guards against a new connection that closes
// another one than the longest idle. The server reports a connection idle after it
// has sent the response, so the second is opened only when the first is idle.
func TestNewConnectionClosesLongestIdle(t *testing.T) {
	c := qt.New(t)
	conns, addr, _ := startServer(t, 2)
	first, err := get(t, addr, "/")
	c.Assert(err, qt.IsNil)
	conns.awaitIdle(1)
	second, err := get(t, addr, "/")
	c.Assert(err, qt.IsNil)
	conns.awaitIdle(2)
	_, err = get(t, addr, "/")
	c.Assert(err, qt.IsNil)
	c.Check(readResponse(first), qt.Equals, io.EOF)
	fmt.Fprintf(second, "GET / HTTP/1.1\r\nHost: test\r\n\r\n")
	c.Check(readResponse(second), qt.IsNil)
	c.Check(conns.OpenCount() <= 2, qt.IsTrue)
	c.Check(conns.ShedCount(), qt.Equals, int64(0))
}

func TestNewConnectionIsClosedWhenAllAreInUse(t *testing.T) {
	c := qt.New(t)
	conns, addr, release := startServer(t, 2)
	first, _ := get(t, addr, "/hold")
	_, _ = get(t, addr, "/hold")
	// Connections are accepted in order, so both are accepted before the third.
	_, err := get(t, addr, "/")
	c.Check(err, qt.IsNotNil)
	c.Check(conns.ShedCount(), qt.Equals, int64(1))
	release()
	c.Check(readResponse(first), qt.IsNil)
}

func BenchmarkStartRequest(b *testing.B) {
	g := NewGuard(Limits{InFlight: 1 << 20, BodyBytes: 1 << 40, HeapBytes: 1 << 40})
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if g.StartRequest() == "" && g.Check(catalog.Batch) == "" && g.Reserve(4096) {
				g.Release(4096)
			}
			g.EndRequest()
		}
	})
}

func BenchmarkReadHeap(b *testing.B) {
	for b.Loop() {
		ReadHeap()
	}
}
