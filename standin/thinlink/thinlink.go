// Package thinlink simulates an instance's network link with a limited upload
// rate. The bytes of all connections share one send queue, which drains at the
// rate of the link. The close of a connection waits behind the bytes that were
// queued before it.
package thinlink

import (
	"io"
	"net"
	"sync"
	"time"
)

// windowBytes bounds the bytes of one connection that are queued at the same
// time. It models the receive window of the remote end.
const windowBytes = 64 << 10

// Link is the sending direction of an instance's network link.
type Link struct {
	bytesPerSecond float64

	mu        sync.Mutex
	idleAt    time.Time // when the send queue is empty
	dropping  bool      // all bytes sent are lost
	closed    bool
	conns     map[net.Conn]bool
	listeners []net.Listener
	sentBytes int64
	maxDelay  time.Duration // since the last call of TakeMaxDelay

	goroutines sync.WaitGroup
}

// New returns a link that sends at most bytesPerSecond.
func New(bytesPerSecond float64) *Link {
	return &Link{bytesPerSecond: bytesPerSecond, conns: make(map[net.Conn]bool)}
}

// Inbound starts a proxy to addr, a listener of the instance that the link
// belongs to, and returns the proxy's address. The bytes that addr sends back
// pass through the link.
func (l *Link) Inbound(addr string) (string, error) {
	return l.listen(addr, func(accepted, dialed net.Conn) { l.forward(accepted, dialed, false); l.forward(dialed, accepted, true) })
}

// Outbound starts a proxy to addr, to which the instance connects over the link,
// and returns the proxy's address. The bytes sent to addr pass through the link.
func (l *Link) Outbound(addr string) (string, error) {
	return l.listen(addr, func(accepted, dialed net.Conn) { l.forward(accepted, dialed, true); l.forward(dialed, accepted, false) })
}

// DropAll makes the link drop everything that is sent from now on, including
// the close of a connection.
func (l *Link) DropAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropping = true
}

// SentBytes returns the number of bytes queued for sending so far, including
// bytes that are dropped.
func (l *Link) SentBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sentBytes
}

// TakeMaxDelay returns the longest time from queueing bytes to their departure
// since the previous call, and resets it.
func (l *Link) TakeMaxDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	maxDelay := l.maxDelay
	l.maxDelay = 0
	return maxDelay
}

// Close closes all proxies and their connections, and waits until forwarding has
// stopped.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	for _, listener := range l.listeners {
		listener.Close()
	}
	for conn := range l.conns {
		conn.Close()
	}
	l.mu.Unlock()
	l.goroutines.Wait()
}

func (l *Link) listen(addr string, start func(accepted, dialed net.Conn)) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	l.listeners = append(l.listeners, listener)
	l.mu.Unlock()
	l.goroutines.Go(func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			dialed, err := net.Dial("tcp", addr)
			if err != nil {
				accepted.Close()
				continue
			}
			if l.track(accepted, dialed) {
				start(accepted, dialed)
			}
		}
	})
	return listener.Addr().String(), nil
}

// track registers connections, so that Close closes them. If the link is already
// closed, it closes them and returns false.
func (l *Link) track(conns ...net.Conn) bool {
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

func (l *Link) closeConn(conn net.Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, conn)
	conn.Close()
}

// forward copies bytes from one connection to the other in the background,
// through the link if limited is set. When either fails or ends, it closes both;
// if limited is set, only after the bytes queued before have been sent. If the
// link drops bytes, it discards the rest and closes neither.
func (l *Link) forward(from, to net.Conn, limited bool) {
	l.goroutines.Go(func() {
		buffer := make([]byte, windowBytes)
		for {
			n, err := from.Read(buffer)
			if limited && !l.transmit(n) {
				_, _ = io.Copy(io.Discard, from)
				return
			}
			if n > 0 {
				if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
					err = writeErr
				}
			}
			if err != nil {
				l.closeConn(from)
				l.closeConn(to)
				return
			}
		}
	})
}

// transmit queues n bytes and waits until they have been sent. It returns false
// without waiting if the link drops them.
func (l *Link) transmit(n int) bool {
	l.mu.Lock()
	now := time.Now()
	if l.idleAt.Before(now) {
		l.idleAt = now
	}
	l.idleAt = l.idleAt.Add(time.Duration(float64(n) / l.bytesPerSecond * float64(time.Second)))
	l.sentBytes += int64(n)
	delay, dropping := l.idleAt.Sub(now), l.dropping
	l.maxDelay = max(l.maxDelay, delay)
	l.mu.Unlock()
	if dropping {
		return false
	}
	time.Sleep(delay)
	return true
}
