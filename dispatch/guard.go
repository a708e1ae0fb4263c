package dispatch

import (
	"context"
	"net"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a write that a gate refuses.
var (
	errResent = errors.New("dispatch: request must not be sent on a second connection")
	errLate   = errors.New("dispatch: deadline passed before the request was sent")
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// GuardDial returns a DialFunc for the transport of a Dispatcher. Its
// connections tell whether any byte of a request may have left, which the
// transport does not: it retries some requests by itself, and reports a failed
// write and a lost answer alike.
func GuardDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}

// guardedConn passes writes through the gate of the attempt that uses the
// connection. HTTP/1.1 has one request at a time on a connection.
type guardedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return c.Conn.Write(p) // TLS handshake
	}
	if err := g.enter(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	g.wrote(c, n)
	return n, err
}

// gate lets the bytes of one attempt leave on at most one connection, and
// none after it was closed.
type gate struct {
	deadline time.Time
	owner    atomic.Pointer[guardedConn] // the connection that may have sent bytes
	sent     atomic.Bool
}

// closedGate is the owner of a gate that lets nothing through.
var closedGate = &guardedConn{}

func (g *gate) attach(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: g.gotConn})
}

func (g *gate) gotConn(info httptrace.GotConnInfo) {
	conn := info.Conn
	if secure, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = secure.NetConn()
	}
	guarded, ok := conn.(*guardedConn)
	if !ok {
		g.sent.Store(true) // nothing is known of this connection
		return
	}
	guarded.gate.Store(g)
}

// enter reports whether c may send bytes of the attempt.
func (g *gate) enter(c *guardedConn) error {
	if g.owner.Load() == c {
		return nil
	}
	// An instance that was frozen must not send what its caller gave up.
	if time.Now().After(g.deadline) {
		return errLate
	}
	if !g.owner.CompareAndSwap(nil, c) {
		return errResent
	}
	return nil
}

// wrote records the end of a write. While nothing has left, another connection
// may be used.
func (g *gate) wrote(c *guardedConn, n int) {
	if n > 0 {
		g.sent.Store(true)
	}
	if !g.sent.Load() {
		g.owner.CompareAndSwap(c, nil)
	}
}

// close reports whether no byte has left. If so, none will.
func (g *gate) close() bool {
	return g.owner.CompareAndSwap(nil, closedGate) && !g.sent.Load()
}
