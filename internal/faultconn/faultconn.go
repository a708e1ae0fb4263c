// Package faultconn makes connections that fail at a chosen byte. It is for
// tests.
package faultconn

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
)

// Never is a byte count that is not reached.
const Never = 1 << 40

// Plan states how a connection fails.
type Plan struct {
	RefuseDial bool
	CutWrite   int64 // the connection is reset once so many bytes are written
	CutRead    int64 // the connection is reset once so many bytes are read
	LoseAnswer int64 // nothing is read after so many writes; the peer has received them
}

// Dialer opens connections that fail as planned.
type Dialer struct {
	// Next returns the plan of the next connection.
	Next func() Plan

	mu sync.Mutex
}

// DialContext opens a connection.
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
	c := &faulty{Conn: conn}
	c.toWrite.Store(plan.CutWrite)
	c.toRead.Store(plan.CutRead)
	c.writes.Store(plan.LoseAnswer)
	return c, nil
}

type faulty struct {
	net.Conn
	toWrite, toRead, writes atomic.Int64 // left until the failure
}

// Write implements net.Conn.
func (c *faulty) Write(p []byte) (int, error) {
	c.writes.Add(-1)
	left := c.toWrite.Add(-int64(len(p)))
	if left >= 0 {
		return c.Conn.Write(p)
	}
	n, _ := c.Conn.Write(p[:max(0, left+int64(len(p)))])
	_ = c.Close()
	return n, syscall.ECONNRESET
}

// Read implements net.Conn.
func (c *faulty) Read(p []byte) (int, error) {
	left := c.toRead.Load()
	if left <= 0 {
		_ = c.Close()
		return 0, syscall.ECONNRESET
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), left)])
	c.toRead.Add(-int64(n))
	if c.writes.Load() <= 0 {
		_ = c.Close()
		return 0, syscall.ECONNRESET
	}
	return n, err
}
