package hosting

import (
	"net"
	"sync"
	"time"
)

// restartListener is a listener that a crash closes, together with all of its
// connections, and that listens on the same address again some time later.
type restartListener struct {
	addr net.Addr

	mu       sync.Mutex
	changed  *sync.Cond
	inner    net.Listener // nil while the server is down
	closed   bool
	accepted map[net.Conn]bool
}

func newRestartListener(inner net.Listener) *restartListener {
	l := &restartListener{addr: inner.Addr(), inner: inner, accepted: make(map[net.Conn]bool)}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// Addr implements net.Listener.
func (l *restartListener) Addr() net.Addr { return l.addr }

// Accept implements net.Listener. It waits while the server is down.
func (l *restartListener) Accept() (net.Conn, error) {
	for {
		inner := l.current()
		if inner == nil {
			return nil, net.ErrClosed
		}
		conn, err := inner.Accept()
		if err != nil {
			l.forget(inner)
			continue
		}
		if tracked := l.track(inner, conn); tracked != nil {
			return tracked, nil
		}
	}
}

// current waits for a listener; nil means that l is closed.
func (l *restartListener) current() net.Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.inner == nil && !l.closed {
		l.changed.Wait()
	}
	if l.closed {
		return nil
	}
	return l.inner
}

func (l *restartListener) forget(inner net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner == inner {
		l.inner = nil
	}
}

// track returns conn in a form that crash closes, or nil if inner has crashed since.
func (l *restartListener) track(inner net.Listener, conn net.Conn) net.Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner != inner {
		conn.Close()
		return nil
	}
	l.accepted[conn] = true
	return &trackedConn{Conn: conn, listener: l}
}

// Close implements net.Listener.
func (l *restartListener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	l.changed.Broadcast()
	if l.inner == nil {
		return nil
	}
	return l.inner.Close()
}

// crash closes the listener and its connections, and listens again after downtime.
func (l *restartListener) crash(downtime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.inner == nil || l.closed {
		return
	}
	l.inner.Close()
	l.inner = nil
	for conn := range l.accepted {
		conn.Close()
	}
	clear(l.accepted)
	time.AfterFunc(downtime, l.restart)
}

func (l *restartListener) restart() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return
	}
	inner, err := net.Listen("tcp", l.addr.String())
	if err != nil {
		time.AfterFunc(10*time.Millisecond, l.restart)
		return
	}
	l.inner = inner
	l.changed.Broadcast()
}

// trackedConn is a connection of a restartListener.
type trackedConn struct {
	net.Conn
	listener *restartListener
}

// Close implements net.Conn.
func (c *trackedConn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.accepted, c.Conn)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
