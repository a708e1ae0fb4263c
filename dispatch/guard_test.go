package dispatch

import (
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// countingConn counts the bytes that are sent.
type countingConn struct {
	net.Conn
	sent   int
	closed bool
}

func (c *countingConn) Close() error {
	c.closed = true
	return nil
}

func (c *countingConn) Write(p []byte) (int, error) {
	c.sent += len(p)
	return len(p), nil
}

func attachConn(g *gate) (*guardedConn, *countingConn) {
	inner := &countingConn{}
	conn := &guardedConn{Conn: inner}
	g.gotConn(httptrace.GotConnInfo{Conn: conn})
	return conn, inner
}

// TestGate covers cases that depend on timing in a complete instance, such as an
// instance that was suspended until the deadline had passed, and a write after the
// attempt was abandoned.
func TestGate(t *testing.T) {
	c := qt.New(t)
	future := time.Now().Add(time.Hour)
	c.Run("deadline passed", func(c *qt.C) {
		g := &gate{deadline: time.Now().Add(-time.Second)}
		conn, inner := attachConn(g)
		_, err := conn.Write([]byte("request"))
		c.Assert(err, qt.Equals, errDeadlinePassed)
		c.Assert(inner.sent, qt.Equals, 0)
		c.Assert(g.close(), qt.IsTrue)
	})
	c.Run("closed", func(c *qt.C) {
		g := &gate{deadline: future}
		conn, inner := attachConn(g)
		c.Assert(g.close(), qt.IsTrue)
		_, err := conn.Write([]byte("request"))
		c.Assert(err, qt.Equals, errResent)
		c.Assert(inner.sent, qt.Equals, 0)
	})
	c.Run("second connection", func(c *qt.C) {
		g := &gate{deadline: future}
		first, _ := attachConn(g)
		_, err := first.Write([]byte("request"))
		c.Assert(err, qt.IsNil)
		second, inner := attachConn(g)
		_, err = second.Write([]byte("request"))
		c.Assert(err, qt.Equals, errResent)
		c.Assert(inner.sent, qt.Equals, 0)
		c.Assert(g.close(), qt.IsFalse)
	})
	c.Run("retired connection", func(c *qt.C) {
		first := &gate{deadline: future}
		conn, inner := attachConn(first)
		_, err := conn.Write([]byte("request"))
		c.Assert(err, qt.IsNil)
		c.Assert(first.first.Load(), qt.IsTrue)
		next := &gate{deadline: future}
		next.gotConn(httptrace.GotConnInfo{Conn: conn})
		conn.retire(first)
		c.Assert(inner.closed, qt.IsFalse) // another attempt has obtained the connection
		sent := inner.sent
		_, err = conn.Write([]byte("request"))
		c.Assert(err, qt.Equals, errRetiredConn)
		c.Assert(inner.sent, qt.Equals, sent)
		c.Assert(next.close(), qt.IsTrue)
		conn.retire(next)
		c.Assert(inner.closed, qt.IsTrue)
	})
	c.Run("connection of an earlier attempt", func(c *qt.C) {
		conn, inner := attachConn(&gate{deadline: future})
		_, err := conn.Write([]byte("request"))
		c.Assert(err, qt.IsNil)
		sent := inner.sent
		again := &gate{deadline: future, avoid: []*guardedConn{conn}}
		again.gotConn(httptrace.GotConnInfo{Conn: conn})
		_, err = conn.Write([]byte("request"))
		c.Assert(err, qt.Equals, errRetiredConn)
		c.Assert(inner.sent, qt.Equals, sent)
		c.Assert(again.close(), qt.IsTrue)
		other := &gate{deadline: future}
		other.gotConn(httptrace.GotConnInfo{Conn: conn})
		_, err = conn.Write([]byte("request"))
		c.Assert(err, qt.IsNil)
		c.Assert(other.first.Load(), qt.IsFalse)
	})
	c.Run("unguarded connection", func(c *qt.C) {
		g := &gate{deadline: future}
		g.gotConn(httptrace.GotConnInfo{Conn: &countingConn{}})
		c.Assert(g.close(), qt.IsFalse)
	})
}
