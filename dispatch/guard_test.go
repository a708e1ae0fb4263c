package dispatch

import (
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// countingConn counts the bytes that leave.
type countingConn struct {
	net.Conn
	sent int
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.sent += len(p)
	return len(p), nil
}

func use(g *gate) (*guardedConn, *countingConn) {
	inner := &countingConn{}
	conn := &guardedConn{Conn: inner}
	g.gotConn(httptrace.GotConnInfo{Conn: conn})
	return conn, inner
}

// TestGate covers what timing decides in a whole instance: one that was frozen
// until the deadline had passed, and a write after the attempt was given up.
func TestGate(t *testing.T) {
	c := qt.New(t)
	later := time.Now().Add(time.Hour)
	c.Run("late", func(c *qt.C) {
		g := &gate{deadline: time.Now().Add(-time.Second)}
		conn, inner := use(g)
		_, err := conn.Write([]byte("request"))
		c.Assert(err, qt.Equals, errLate)
		c.Assert(inner.sent, qt.Equals, 0)
		c.Assert(g.close(), qt.IsTrue)
	})
	c.Run("closed", func(c *qt.C) {
		g := &gate{deadline: later}
		conn, inner := use(g)
		c.Assert(g.close(), qt.IsTrue)
		_, err := conn.Write([]byte("request"))
		c.Assert(err, qt.Equals, errResent)
		c.Assert(inner.sent, qt.Equals, 0)
	})
	c.Run("second connection", func(c *qt.C) {
		g := &gate{deadline: later}
		first, _ := use(g)
		_, err := first.Write([]byte("request"))
		c.Assert(err, qt.IsNil)
		second, inner := use(g)
		_, err = second.Write([]byte("request"))
		c.Assert(err, qt.Equals, errResent)
		c.Assert(inner.sent, qt.Equals, 0)
		c.Assert(g.close(), qt.IsFalse)
	})
	c.Run("unguarded connection", func(c *qt.C) {
		g := &gate{deadline: later}
		g.gotConn(httptrace.GotConnInfo{Conn: &countingConn{}})
		c.Assert(g.close(), qt.IsFalse)
	})
}
