package peer

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Timeouts and limits of connections.
const (
	DefaultTimeout    = 2 * time.Second // of a call whose context has no deadline
	handshakeTimeout  = 2 * time.Second
	writeTimeout      = 2 * time.Second
	clientIdleTimeout = 3 * time.Minute
	serverIdleTimeout = 4 * time.Minute  // longer than clientIdleTimeout, so that the client closes first
	maxConnAge        = 30 * time.Minute // a client replaces an older connection before a call, so that a revoked key does not stay in use
	maxPendingCalls   = 64               // calls on one connection
	bufferBytes       = 1 << 10
)

// Server serves calls of other instances.
type Server struct {
	self    Identity
	creds   *Credentials // nil in development without TLS
	traffic *Traffic
	rpc     *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a server of the instance self. Without creds the identity of a
// calling instance is not verified; that is for development only.
func NewServer(self Identity, creds *Credentials, traffic *Traffic) *Server {
	return &Server{self: self, creds: creds, traffic: traffic, rpc: rpc.NewServer(), conns: make(map[net.Conn]bool)}
}

// Register serves the methods of receiver under name, by the rules of
// net/rpc.Server.RegisterName. It must be called before Serve.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return errors.Wrapf(err, "register RPC service %s", name)
	}
	return nil
}

// Serve accepts connections until the server is closed and accepting fails. It
// closes the listener.
func (s *Server) Serve(listener net.Listener) error {
	defer listener.Close()
	for {
		conn, err := listener.Accept()
		if s.isClosed() {
			if err == nil {
				_ = conn.Close()
			}
			return nil
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		go s.serveConn(conn)
	}
}

// Close closes all connections and refuses new ones. It does not close the
// listener: close that afterwards, so that Serve returns nil.
func (s *Server) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for conn := range s.conns {
		_ = conn.Close()
	}
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// track records an open connection and returns true, or returns false if the
// server is closed.
func (s *Server) track(conn net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return false
	}
	s.conns[conn] = true
	return true
}

func (s *Server) untrack(conn net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}

func (s *Server) serveConn(raw net.Conn) {
	defer raw.Close()
	if !s.track(raw) {
		return
	}
	defer s.untrack(raw)
	conn, codec, err := s.handshake(raw)
	if err != nil {
		return
	}
	defer conn.Close()
	s.rpc.ServeCodec(codec)
}

// handshake performs the TLS handshake and reads and verifies the hello.
func (s *Server) handshake(raw net.Conn) (net.Conn, *serverCodec, error) {
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, nil, err
	}
	var conn net.Conn = countingConn{raw, s.traffic}
	if s.creds != nil {
		conn = tls.Server(conn, s.creds.ServerConfig())
	}
	codec := newServerCodec(conn)
	h, err := codec.readHello()
	if err != nil {
		return nil, nil, err
	}
	if err := s.verifyHello(conn, h); err != nil {
		return nil, nil, err
	}
	codec.caller = h.From
	return conn, codec, raw.SetDeadline(time.Time{})
}

// verifyHello checks that the hello is for this instance, and under TLS that its
// sender is the instance that the certificate names.
func (s *Server) verifyHello(conn net.Conn, h hello) error {
	if h.To != (Identity{}) && h.To != s.self {
		return errors.Wrapf(ErrIdentity, "connection for instance %s reached instance %s", h.To.ID, s.self.ID)
	}
	secure, ok := conn.(*tls.Conn)
	if !ok {
		return nil
	}
	state := secure.ConnectionState()
	caller, err := IdentityOf(&state)
	if err != nil {
		return err
	}
	if caller != h.From {
		return errors.Wrapf(ErrIdentity, "certificate names instance %s, but its hello names %s", caller.ID, h.From.ID)
	}
	return nil
}
