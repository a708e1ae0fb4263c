package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"time"
)

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// serverCodec is the gob codec of net/rpc with bounds on time and on requests
// in progress. It passes the identity of the caller to the arguments.
type serverCodec struct {
	conn    net.Conn
	in      *bufio.Reader
	buf     *bufio.Writer
	dec     *gob.Decoder
	enc     *gob.Encoder
	caller  Identity
	running chan struct{} // holds one element for each request in progress
}

func newServerCodec(conn net.Conn) *serverCodec {
	in := bufio.NewReaderSize(conn, bufferBytes)
	buf := bufio.NewWriterSize(conn, bufferBytes)
	return &serverCodec{
		conn:    conn,
		in:      in,
		buf:     buf,
		dec:     gob.NewDecoder(in),
		enc:     gob.NewEncoder(buf),
		running: make(chan struct{}, maxPending),
	}
}

// readHello reads the greeting. It is a gob stream of its own, since net/rpc
// begins a new one on the caller's side.
func (c *serverCodec) readHello() (h hello, err error) {
	err = gob.NewDecoder(c.in).Decode(&h)
	return h, err
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.running <- struct{}{}
	if err := c.conn.SetReadDeadline(time.Now().Add(serverIdleTimeout)); err != nil {
		return err
	}
	return c.dec.Decode(r)
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error {
	if err := c.dec.Decode(body); err != nil {
		return err
	}
	if setter, ok := body.(CallerSetter); ok {
		setter.SetCaller(c.caller)
	}
	return nil
}

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	defer func() { <-c.running }()
	err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = c.enc.Encode(r)
	}
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.buf.Flush()
	}
	if err != nil {
		// A half-written answer would garble the answers after it.
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }
