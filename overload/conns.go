package overload

import (
	"container/list"
	"net"
	"net/http"
	"sync"
)

// ConnectionLimiter limits the open connections of an HTTP server. At the
// limit, a new connection replaces the one that has been idle longest. If none
// is idle, the new connection is closed at once, so that the caller can try
// another instance instead of waiting for a timeout.
type ConnectionLimiter struct {
	limit int

	mu           sync.Mutex
	open         int
	idle         *list.List // of net.Conn, longest idle first
	idleElements map[net.Conn]*list.Element
	shed         int64
}

// NewConnectionLimiter returns a ConnectionLimiter that permits at most limit
// open connections.
func NewConnectionLimiter(limit int) *ConnectionLimiter {
	return &ConnectionLimiter{limit: limit, idle: list.New(), idleElements: make(map[net.Conn]*list.Element)}
}

// Listener wraps l so that accepted connections count toward the limit. The
// server's ConnState hook must be c.ConnState; otherwise no connection counts
// as idle.
func (c *ConnectionLimiter) Listener(l net.Listener) net.Listener {
	return &limitedListener{Listener: l, conns: c}
}

type limitedListener struct {
	net.Listener
	conns *ConnectionLimiter
}

// Accept implements net.Listener.
func (l *limitedListener) Accept() (net.Conn, error) {
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

// countedConn reduces the number of open connections once when it is closed.
type countedConn struct {
	net.Conn
	release func()
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	c.release()
	return c.Conn.Close()
}

// admit reports whether a new connection may stay open, and counts it if so. It
// closes the connection that has been idle longest if the limit is reached.
func (c *ConnectionLimiter) admit() bool {
	c.mu.Lock()
	if c.open < c.limit {
		c.open++
		c.mu.Unlock()
		return true
	}
	longestIdle := c.idle.Front()
	if longestIdle == nil {
		c.shed++
		c.mu.Unlock()
		return false
	}
	conn := c.idle.Remove(longestIdle).(net.Conn)
	delete(c.idleElements, conn)
	c.open++
	c.mu.Unlock()
	_ = conn.Close()
	return true
}

func (c *ConnectionLimiter) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.open--
}

// ConnState tracks which connections are idle. It must be set as the ConnState
// of the http.Server.
func (c *ConnectionLimiter) ConnState(conn net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if element, ok := c.idleElements[conn]; ok {
		c.idle.Remove(element)
		delete(c.idleElements, conn)
	}
	if state == http.StateIdle {
		c.idleElements[conn] = c.idle.PushBack(conn)
	}
}

// OpenCount returns the number of open connections.
func (c *ConnectionLimiter) OpenCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open
}

// ShedCount returns the number of new connections that were closed because the
// limit was reached and none was idle.
func (c *ConnectionLimiter) ShedCount() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.shed
}
