package dispatch

import (
	"context"
	"net"
	"net/http/httptrace"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/backend"
)

// Errors of a write that a gate rejects.
var (
	errResent         = errors.New("dispatch: request must not be sent on a second connection")
	errDeadlinePassed = errors.New("dispatch: deadline passed before the request was sent")
	errRetiredConn    = errors.New("dispatch: connection must not carry this request")
	errServerWithdrew = errors.New("dispatch: backend server withdrew before the request was sent")
)

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// GuardDial returns a DialFunc for the transport of a Dispatcher. Its connections
// record whether any byte of a request may have been sent. The transport does not
// report that: it retries some requests by itself, and does not distinguish a
// failed write from a lost response.
func GuardDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &guardedConn{Conn: conn}, nil
	}
}

// guardedConn checks each write with the gate of the attempt that uses the
// connection. HTTP/1.1 carries one request at a time on a connection.
type guardedConn struct {
	net.Conn
	gate     atomic.Pointer[gate]
	attempts atomic.Int64 // that were sent on the connection
	retired  atomic.Bool  // no further attempt may be sent
}

// retire keeps further attempts off the connection, and closes it unless one has
// obtained it already. The transport pools a connection as soon as it has read a
// response without a body, before the response is interpreted.
func (c *guardedConn) retire(g *gate) {
	c.retired.Store(true)
	if c.gate.Load() == g {
		_ = c.Close()
	}
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return c.Conn.Write(p) // TLS handshake
	}
	if err := g.acquire(c); err != nil {
		return 0, err
	}
	n, err := c.Conn.Write(p)
	g.recordWrite(c, n)
	return n, err
}

// gate allows the bytes of one attempt to be sent on at most one connection, and
// none to be sent once it is closed.
type gate struct {
	deadline time.Time
	server   *backend.Server             // must accept requests when the first byte is sent; nil for none
	avoid    []*guardedConn              // connections on which an earlier attempt of the request was refused
	owner    atomic.Pointer[guardedConn] // the connection that may have sent bytes
	sent     atomic.Bool
	first    atomic.Bool                 // the attempt is the first one on the owner
	obtained atomic.Pointer[guardedConn] // the connection that the transport obtained last
	write    requestWrite
}

// closedGate is the owner of a gate that rejects all writes.
var closedGate = &guardedConn{}

// newGate returns the gate of an attempt that ends at the deadline of ctx and must
// not be sent on the connections in avoid.
func newGate(ctx context.Context, avoid []*guardedConn) *gate {
	deadline, _ := ctx.Deadline()
	return &gate{deadline: deadline, avoid: avoid}
}

func (g *gate) withTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: g.gotConn, WroteRequest: g.write.end})
}

func (g *gate) gotConn(info httptrace.GotConnInfo) {
	g.write.begin()
	conn := info.Conn
	if tlsConn, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = tlsConn.NetConn()
	}
	guarded, ok := conn.(*guardedConn)
	if !ok {
		g.sent.Store(true) // the connection does not report its writes
		return
	}
	guarded.gate.Store(g)
	g.obtained.Store(guarded)
}

// acquire returns nil if c may send bytes of the attempt.
func (g *gate) acquire(c *guardedConn) error {
	if g.owner.Load() == c {
		return nil
	}
	// A process that was suspended must not send a request after its deadline,
	// when the caller no longer waits for the response.
	now := time.Now()
	if now.After(g.deadline) {
		return errDeadlinePassed
	}
	if g.server != nil && !g.server.MayReceive(now) {
		return errServerWithdrew
	}
	if c.retired.Load() || slices.Contains(g.avoid, c) {
		return errRetiredConn
	}
	if !g.owner.CompareAndSwap(nil, c) {
		return errResent
	}
	g.first.Store(c.attempts.Add(1) == 1)
	return nil
}

// recordWrite records that a write of n bytes has ended. Until a byte has been
// sent, another connection may be used.
func (g *gate) recordWrite(c *guardedConn, n int) {
	if n > 0 {
		g.sent.Store(true)
	}
	if !g.sent.Load() {
		g.owner.CompareAndSwap(c, nil)
	}
}

// close reports whether no byte of the attempt has been sent. If so, none will be
// sent later.
func (g *gate) close() bool {
	closed := g.owner.CompareAndSwap(nil, closedGate) || g.owner.Load() == closedGate
	return closed && !g.sent.Load()
}

// rejectEarly reports whether a response was received before any byte of the
// attempt was sent. It then belongs to an earlier request on the connection, which
// is closed. The transport obtains a connection on which such a response has
// arrived if it has not read it yet.
func (g *gate) rejectEarly() bool {
	conn := g.obtained.Load()
	if conn == nil || !g.close() {
		return false
	}
	conn.retire(g)
	return true
}
