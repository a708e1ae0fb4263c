// Package thinlink is a stand-in for the network link of an instance: all that
// it sends, over any connection, waits in one queue and leaves at the rate of the
// link. The end of a connection waits behind the bytes that were sent before it.
package thinlink

import (
	"io"
	"net"
	"sync"
	"time"
)

// windowBytes is the most of one connection that waits at once, as the window
// of its other end bounds it.
const windowBytes = 64 << 10

// Link is the sending half of a link.
type Link struct {
	rate float64 // bytes a second

	mu     sync.Mutex
	free   time.Time // when all that waits has left
	silent bool
	closed bool
	conns  map[net.Conn]bool
	lists  []net.Listener
	sent   int64
	worst  time.Duration

	group sync.WaitGroup
}

// New returns a link of some bytes a second.
func New(rate float64) *Link {
	return &Link{rate: rate, conns: make(map[net.Conn]bool)}
}

// Inbound returns an address whose connections are passed on to addr, the
// instance that the link belongs to: what addr answers takes the link.
func (l *Link) Inbound(addr string) (string, error) {
	return l.listen(addr, func(near, far net.Conn) { l.pass(near, far, false); l.pass(far, near, true) })
}

// Outbound returns an address whose connections are passed on to addr: what the
// instance sends there takes the link.
func (l *Link) Outbound(addr string) (string, error) {
	return l.listen(addr, func(near, far net.Conn) { l.pass(near, far, true); l.pass(far, near, false) })
}

// Silence loses all that is sent from now on, ends of connections too.
func (l *Link) Silence() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = true
}

// Sent returns the bytes that were given to the link.
func (l *Link) Sent() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// Longest returns the longest time that anything had to wait for the link since
// the last call.
func (l *Link) Longest() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	worst := l.worst
	l.worst = 0
	return worst
}

// Close ends all connections.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for _, list := range l.lists {
		list.Close()
	}
	for conn := range l.conns {
		conn.Close()
	}
	l.mu.Unlock()
	l.group.Wait()
}

func (l *Link) listen(addr string, start func(near, far net.Conn)) (string, error) {
	list, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	l.lists = append(l.lists, list)
	l.mu.Unlock()
	l.group.Go(func() {
		for {
			near, err := list.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", addr)
			if err != nil {
				near.Close()
				continue
			}
			if l.hold(near, far) {
				start(near, far)
			}
		}
	})
	return list.Addr().String(), nil
}

// hold registers connections, so that Close ends them.
func (l *Link) hold(conns ...net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, conn := range conns {
		if l.closed {
			conn.Close()
			continue
		}
		l.conns[conn] = true
	}
	return !l.closed
}

func (l *Link) drop(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	conn.Close()
}

// pass copies from one connection to the other, over the link if thin. The end of
// either ends the other one, once it has crossed the link.
func (l *Link) pass(from, to net.Conn, thin bool) {
	l.group.Go(func() {
		piece := make([]byte, windowBytes)
		for {
			n, err := from.Read(piece)
			if thin && !l.take(n) {
				_, _ = io.Copy(io.Discard, from)
				return
			}
			if n > 0 {
				if _, failure := to.Write(piece[:n]); failure != nil {
					err = failure
				}
			}
			if err != nil {
				l.drop(from)
				l.drop(to)
				return
			}
		}
	})
}

// take waits until n more bytes have left. It reports false if they are lost.
func (l *Link) take(n int) bool {
	l.mu.Lock()
	now := time.Now()
	if l.free.Before(now) {
		l.free = now
	}
	l.free = l.free.Add(time.Duration(float64(n) / l.rate * float64(time.Second)))
	l.sent += int64(n)
	wait, silent := l.free.Sub(now), l.silent
	l.worst = max(l.worst, wait)
	l.mu.Unlock()
	if silent {
		return false
	}
	time.Sleep(wait)
	return true
}
