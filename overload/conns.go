package overload

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// Connections bounds the open connections of an HTTP server. When all are in
// use, the one that was idle longest is closed for a new one; without an idle
// one the new connection is closed at once, so that its caller can turn to
// another instance instead of waiting for a timeout.
type Connections struct {
	limit int

	mu     sync.Mutex
	open   int
	idle   *list.List // of net.Conn, longest idle first
	places map[net.Conn]*list.Element
	shed   int64
}

// NewConnections returns a bound of limit connections.
func NewConnections(limit int) *Connections {
	return &Connections{limit: limit, idle: list.New(), places: make(map[net.Conn]*list.Element)}
}

// Listener wraps a listener. The server must report the states of its
// connections to State.
func (c *Connections) Listener(l net.Listener) net.Listener {
	return &boundListener{Listener: l, conns: c}
}

type boundListener struct {
	net.Listener
	conns *Connections
}

// Accept implements net.Listener.
func (l *boundListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.conns.admit() {
			return &countedConn{Conn: conn, release: sync.OnceFunc(l.conns.release)}, nil
		}
		_ = conn.Close()
	}
}

// countedConn gives its place back when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// admit takes a place for a new connection.
func (c *Connections) admit() bool {
	c.mu.Lock()
	if c.open < c.limit {
		c.open++
		c.mu.Unlock()
		return true
	}
	oldest := c.idle.Front()
	if oldest == nil {
		c.shed++
		c.mu.Unlock()
		return false
	}
	conn := c.idle.Remove(oldest).(net.Conn)
	delete(c.places, conn)
	c.open++
	c.mu.Unlock()
	_ = conn.Close()
	return true
}

func (c *Connections) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// State follows the connections; it is for http.Server.ConnState.
func (c *Connections) State(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if place, ok := c.places[conn]; ok {
		c.idle.Remove(place)
		delete(c.places, conn)
	}
	if state == http.StateIdle {
		c.places[conn] = c.idle.PushBack(conn)
	}
}

// Open returns the number of open connections.
func (c *Connections) Open() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// Shed returns the number of connections closed because none was idle.
func (c *Connections) Shed() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed
}
