// Package faultconn opens network connections that fail after a given number of
// bytes or writes. It is for tests.
package faultconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Never is a number of bytes or writes that no test reaches, for a failure that
// must not occur.
const Never = 1 << 40

// Plan defines when a connection fails. A limit of zero fails the first write
// (WriteLimit) or the first read (ReadLimit, DropResponseAfter); Never disables
// a limit.
type Plan struct {
	RefuseDial        bool
	WriteLimit        int64 // bytes written before the connection is reset
	ReadLimit         int64 // bytes read before the connection is reset
	DropResponseAfter int64 // writes that the peer receives, after which its response is discarded and the connection reset
}

// Dialer opens connections that fail according to a Plan. Next must be set.
type Dialer struct {
	// Next returns the plan of the next connection. Calls are serialized.
	Next func() Plan

	mu sync.Mutex
}

// DialContext opens a connection that fails according to the next plan.
func (d *Dialer) DialContext(ctx context.Context, network, addr string) (net.Conn, error) {
	d.mu.Lock()
	plan := d.Next()
	d.mu.Unlock()
	if plan.RefuseDial {
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	}
	conn, err := (&net.Dialer{}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	c := &faultyConn{Conn: conn}
	c.writableBytes.Store(plan.WriteLimit)
	c.readableBytes.Store(plan.ReadLimit)
	c.writesLeft.Store(plan.DropResponseAfter)
	return c, nil
}

type faultyConn struct {
	net.Conn
	writableBytes, readableBytes, writesLeft atomic.Int64 // bytes or writes left until the failure
}

// Write implements net.Conn.
func (c *faultyConn) Write(p []byte) (int, error) {
	c.writesLeft.Add(-1)
	left := c.writableBytes.Add(-int64(len(p)))
	if left >= 0 {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:max(0, left+int64(len(p)))])
	_ = c.Close()
	return n, syscall.ECONNRESET
}

// Read implements net.Conn.
func (c *faultyConn) Read(p []byte) (int, error) {
	left := c.readableBytes.Load()
	if left <= 0 {
		_ = c.Close()
		return 0, syscall.ECONNRESET
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	c.readableBytes.Add(-int64(n))
	if c.writesLeft.Load() <= 0 {
		_ = c.Close()
		return 0, syscall.ECONNRESET
	}
	return n, err
}
