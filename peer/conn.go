package peer

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"
	"time"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.received.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.sent.Add(uint64(n))
	return n, err
}

// serverCodec is the gob codec of net/rpc with deadlines and a limit on requests
// in progress. It sets the identity of the calling instance in arguments that
// implement CallerSetter.
type serverCodec struct {
	conn       net.Conn
	in         *bufio.Reader
	out        *bufio.Writer
	dec        *gob.Decoder
	enc        *gob.Encoder
	caller     Identity
	inProgress chan struct{} // holds one element for each request in progress
}

func newServerCodec(conn net.Conn) *serverCodec {
	in := bufio.NewReaderSize(conn, bufferBytes)
	out := bufio.NewWriterSize(conn, bufferBytes)
	return &serverCodec{
		conn:       conn,
		in:         in,
		out:        out,
		dec:        gob.NewDecoder(in),
		enc:        gob.NewEncoder(out),
		inProgress: make(chan struct{}, maxPendingCalls),
	}
}

// readHello reads the hello. It is a gob stream of its own, since net/rpc starts a
// new stream on the calling side.
func (c *serverCodec) readHello() (h hello, err error) {
	err = gob.NewDecoder(c.in).Decode(&h)
	return h, err
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.inProgress <- struct{}{}
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
	defer func() { <-c.inProgress }()
	err := c.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if err == nil {
		err = c.enc.Encode(r)
	}
	if err == nil {
		err = c.enc.Encode(body)
	}
	if err == nil {
		err = c.out.Flush()
	}
	if err != nil {
		// A partly written response would corrupt the responses after it.
		_ = c.conn.Close()
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }
