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

// Client calls methods of other instances over one connection to each. Its
// methods are safe for concurrent use.
type Client struct {
	self    Identity
	creds   *Credentials // nil in development without TLS
	traffic *Traffic

	mu     sync.Mutex
	conns  map[connKey]*clientConn
	closed bool
}

// connKey identifies a connection. Two instances that use the same address one
// after the other have different keys.
type connKey struct {
	to   Identity
	addr string
}

// NewClient returns a client that identifies itself as self and counts its calls
// and bytes in traffic. Without creds connections are not encrypted; that is for
// development only.
func NewClient(self Identity, creds *Credentials, traffic *Traffic) *Client {
	return &Client{self: self, creds: creds, traffic: traffic, conns: make(map[connKey]*clientConn)}
}

// Call calls method ("Name.Method") of an instance and stores the result in
// reply, a pointer. It returns when ctx ends, or after DefaultTimeout if ctx has
// no deadline. If instance.ID is empty, any instance may answer at its
// ControlAddr.
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
	if err := conn.waitDialed(ctx); err != nil {
		conn.release()
		return errors.Wrapf(err, "dial instance %q at %s", instance.ID, instance.ControlAddr)
	}
	c.traffic.calls.Add(1)
	if err := conn.call(ctx, method, args, reply); err != nil {
		return errors.Wrapf(err, "call method %s of instance %q at %s", method, instance.ID, instance.ControlAddr)
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

// acquire returns the connection to an instance and counts one more pending call
// on it. If there is none, it starts to dial a new one.
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

// remove deletes a closed connection, unless another one has replaced it.
func (c *Client) remove(conn *clientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conns[conn.key] == conn {
		delete(c.conns, conn.key)
	}
}

// clientConn is a connection to one instance.
type clientConn struct {
	client    *Client
	key       connKey
	createdAt time.Time
	idleTimer *time.Timer
	dialed    chan struct{} // closed once rpc or err is set
	rpc       *rpc.Client
	err       error

	mu      sync.Mutex
	pending int
	closed  bool
}

// newClientConn returns a connection that is not dialed and has one pending call.
func newClientConn(c *Client, key connKey) *clientConn {
	conn := &clientConn{client: c, key: key, createdAt: time.Now(), dialed: make(chan struct{}), pending: 1}
	conn.idleTimer = time.AfterFunc(clientIdleTimeout, conn.closeIdle)
	return conn
}

// reserve counts one more pending call. It returns ErrBusy if there are
// maxPendingCalls, and ErrClosed if the connection is closed. It closes the
// connection if it is older than maxConnAge and has no pending calls.
func (c *clientConn) reserve() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending == 0 && time.Since(c.createdAt) > maxConnAge {
		c.closed = true
		go c.close()
	}
	switch {
	case c.closed:
		return ErrClosed
	case c.pending >= maxPendingCalls:
		return ErrBusy
	}
	c.pending++
	return nil
}

// release counts one pending call less and restarts the idle timer.
func (c *clientConn) release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending--
	if !c.closed {
		c.idleTimer.Reset(clientIdleTimeout)
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

// close refuses further calls on the connection at once. Its pending calls fail
// later, in a goroutine, since closing a TLS connection may block on the network.
func (c *clientConn) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.idleTimer.Stop()
	c.client.remove(c)
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
	conn, err := c.connect(ctx)
	if err != nil {
		c.err = err
		close(c.dialed)
		c.close()
		return
	}
	c.rpc = rpc.NewClient(conn)
	close(c.dialed)
}

// connect dials the instance, performs the TLS handshake and sends the hello.
func (c *clientConn) connect(ctx context.Context) (net.Conn, error) {
	var dialer net.Dialer
	raw, err := dialer.DialContext(ctx, "tcp", c.key.addr)
	if err != nil {
		return nil, err
	}
	var conn net.Conn = countingConn{raw, c.client.traffic}
	if creds := c.client.creds; creds != nil {
		secure := tls.Client(conn, creds.ClientConfig(c.key.to))
		if err := secure.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, err
		}
		conn = secure
	}
	if err := sendHello(conn, hello{From: c.client.self, To: c.key.to}); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// sendHello sends a hello as a gob stream of its own, ahead of that of net/rpc.
func sendHello(conn net.Conn, h hello) error {
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

// waitDialed waits until the connection is dialed and returns the dial error.
func (c *clientConn) waitDialed(ctx context.Context) error {
	select {
	case <-c.dialed:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// call performs one call and releases its slot among the pending calls. net/rpc
// supports neither timeouts nor cancellation: an exceeded deadline closes the
// connection, and a canceled call keeps its slot until the response arrives or
// the deadline passes.
func (c *clientConn) call(ctx context.Context, method string, args, reply any) error {
	deadline, _ := ctx.Deadline()
	expiry := time.AfterFunc(time.Until(deadline), c.close)
	// The response is decoded into a separate value: net/rpc may still write to
	// it after this method has returned because ctx ended.
	response := reflect.New(reflect.TypeOf(reply).Elem())
	pending := c.rpc.Go(method, args, response.Interface(), make(chan *rpc.Call, 1))
	select {
	case <-pending.Done:
		expired := !expiry.Stop()
		c.release()
		err := c.storeReply(ctx, pending, reply, response)
		if err != nil && expired {
			// The timer may fire before ctx ends by the same deadline.
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

// storeReply copies the response of a completed call to reply. It closes the
// connection if the call failed with anything but an error of the remote method.
func (c *clientConn) storeReply(ctx context.Context, call *rpc.Call, reply any, response reflect.Value) error {
	if call.Error == nil {
		reflect.ValueOf(reply).Elem().Set(response.Elem())
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
