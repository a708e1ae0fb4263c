package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/gob"
	"net"
	"net/rpc"
	"reflect"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/fuchsiastack/fuchsiastack/listing"
)

// Client calls other instances over one connection to each.
type Client struct {
	self    Identity
	creds   *Credentials // nil in development without TLS
	traffic *Traffic

	mu     sync.Mutex
	conns  map[connKey]*clientConn
	closed bool
}

// connKey tells an instance from another one under the same address.
type connKey struct {
	to   Identity
	addr string
}

// NewClient returns a client of the instance self.
func NewClient(self Identity, creds *Credentials, traffic *Traffic) *Client {
	return &Client{self: self, creds: creds, traffic: traffic, conns: make(map[connKey]*clientConn)}
}

// Call calls method ("Name.Method") of an instance and stores the answer in
// reply, a pointer. It ends with ctx, or after DefaultTimeout if ctx has no
// deadline. An instance without ID is whoever answers at its ControlAddr.
func (c *Client) Call(ctx context.Context, instance listing.Instance, method string, args, reply any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, DefaultTimeout)
		defer cancel()
	}
	conn, err := c.acquire(instance)
	if err != nil {
		return err
	}
	if err := conn.await(ctx); err != nil {
		conn.release()
		return errors.Wrapf(err, "dial %s", instance.ID)
	}
	c.traffic.calls.Add(1)
	if err := conn.call(ctx, method, args, reply); err != nil {
		return errors.Wrapf(err, "call %s of %s", method, instance.ID)
	}
	return nil
}

// Close ends all connections and fails their pending calls.
func (c *Client) Close() {
	c.mu.Lock()
	c.closed = true
	conns := c.conns
	c.conns = make(map[connKey]*clientConn)
	c.mu.Unlock()
	for _, conn := range conns {
		conn.close()
	}
}

// acquire returns the connection to an instance with one more pending call,
// and dials it if there is none.
func (c *Client) acquire(instance listing.Instance) (*clientConn, error) {
	key := connKey{to: Identity{ID: instance.ID, Region: instance.Region}, addr: instance.ControlAddr}
	if instance.ID == "" {
		key.to = Identity{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, ErrClosed
	}
	conn := c.conns[key]
	if conn != nil {
		switch err := conn.reserve(); {
		case err == nil:
			return conn, nil
		case errors.Is(err, ErrBusy):
			return nil, err
		}
	}
	conn = newClientConn(c, key)
	c.conns[key] = conn
	go conn.dial()
	return conn, nil
}

// drop forgets a connection that ended.
func (c *Client) drop(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.key] == conn {
		delete(c.conns, conn.key)
	}
}

// clientConn is a connection to one instance.
type clientConn struct {
	client *Client
	key    connKey
	born   time.Time
	idle   *time.Timer
	dialed chan struct{} // closed once rpc or err is set
	rpc    *rpc.Client
	err    error

	mu      sync.Mutex
	pending int
	closed  bool
}

// newClientConn returns a connection with one pending call.
func newClientConn(c *Client, key connKey) *clientConn {
	conn := &clientConn{client: c, key: key, born: time.Now(), dialed: make(chan struct{}), pending: 1}
	conn.idle = time.AfterFunc(clientIdleTimeout, conn.closeIdle)
	return conn
}

// reserve counts one more pending call.
func (c *clientConn) reserve() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && time.Since(c.born) > maxConnAge {
		c.closed = true
		go c.close()
	}
	switch {
	case c.closed:
		return ErrClosed
	case c.pending >= maxPending:
		return ErrBusy
	}
	c.pending++
	return nil
}

// release ends one pending call.
func (c *clientConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if !c.closed {
		c.idle.Reset(clientIdleTimeout)
	}
}

func (c *clientConn) closeIdle() {
	c.mu.Lock()
	busy := c.pending > 0
	c.mu.Unlock()
	if !busy {
		c.close()
	}
}

// close makes the connection unusable for further calls at once, and then
// fails its pending calls. Closing a TLS connection may wait for the network.
func (c *clientConn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.idle.Stop()
	c.client.drop(c)
	go func() {
		<-c.dialed
		if c.rpc != nil {
			_ = c.rpc.Close()
		}
	}()
}

func (c *clientConn) dial() {
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	c.client.traffic.dials.Add(1)
	conn, err := c.open(ctx)
	if err != nil {
		c.err = err
		close(c.dialed)
		c.close()
		return
	}
	c.rpc = rpc.NewClient(conn)
	close(c.dialed)
}

// open connects, does the handshake and sends the greeting.
func (c *clientConn) open(ctx context.Context) (net.Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", c.key.addr)
	if err != nil {
		return nil, err
	}
	var conn net.Conn = countedConn{raw, c.client.traffic}
	if creds := c.client.creds; creds != nil {
		secure := tls.Client(conn, creds.ClientConfig(c.key.to))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		conn = secure
	}
	if err := greet(conn, hello{From: c.client.self, To: c.key.to}); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// greet sends a hello that a decoder of the stream after it can read first.
func greet(conn net.Conn, h hello) error {
	buf := bufio.NewWriterSize(conn, bufferBytes)
	if err := gob.NewEncoder(buf).Encode(h); err != nil {
		return err
	}
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	if err := buf.Flush(); err != nil {
		return err
	}
	return conn.SetWriteDeadline(time.Time{})
}

// await waits for the dial.
func (c *clientConn) await(ctx context.Context) error {
	select {
	case <-c.dialed:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call does one call and releases its place among the pending ones. net/rpc
// can neither time out nor cancel: a lost deadline closes the connection, and
// a canceled call keeps its place until it is answered or loses its deadline.
func (c *clientConn) call(ctx context.Context, method string, args, reply any) error {
	deadline, _ := ctx.Deadline()
	expiry := time.AfterFunc(time.Until(deadline), c.close)
	// The answer goes to a value of its own: net/rpc may still write it after
	// this call was given up.
	answer := reflect.New(reflect.TypeOf(reply).Elem())
	pending := c.rpc.Go(method, args, answer.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		expired := !expiry.Stop()
		c.release()
		err := c.finish(ctx, pending, reply, answer)
		if err != nil && expired {
			// The expiry may run before ctx ends by the same deadline.
			return context.DeadlineExceeded
		}
		return err
	case <-ctx.Done():
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			c.close()
		}
		go func() {
			<-pending.Done
			expiry.Stop()
			c.release()
		}()
		return ctx.Err()
	}
}

// finish takes over the answer, and gives the connection up if it is broken.
func (c *clientConn) finish(ctx context.Context, call *rpc.Call, reply any, answer reflect.Value) error {
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(answer.Elem())
		return nil
	}
	var remote rpc.ServerError
	if errors.As(call.Error, &remote) {
		return call.Error
	}
	c.close()
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return call.Error
}
