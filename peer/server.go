package peer

import (
	"crypto/tls"
	"net"
	"net/rpc"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Bounds of connections.
const (
	DefaultTimeout    = 2 * time.Second // of a call whose context has no deadline
	handshakeTimeout  = 2 * time.Second
	writeTimeout      = 2 * time.Second
	clientIdleTimeout = 3 * time.Minute
	serverIdleTimeout = 4 * time.Minute  // beyond the client's, so that the client closes first
	maxConnAge        = 30 * time.Minute // so that a revoked key loses its connections
	maxPending        = 64               // calls on one connection
	bufferBytes       = 1 << 10
)

// Server answers the calls of other instances.
type Server struct {
	self    Identity
	creds   *Credentials // nil in development without TLS
	traffic *Traffic
	rpc     *rpc.Server

	mu     sync.Mutex
	conns  map[net.Conn]bool
	closed bool
}

// NewServer returns a server of the instance self. Without credentials the
// identity of a caller is what it claims; that is for development only.
func NewServer(self Identity, creds *Credentials, traffic *Traffic) *Server {
	return &Server{self: self, creds: creds, traffic: traffic, rpc: rpc.NewServer(), conns: make(map[net.Conn]bool)}
}

// Register offers the methods of receiver under name, by the rules of
// net/rpc. It must be called before Serve.
func (s *Server) Register(name string, receiver any) error {
	if err := s.rpc.RegisterName(name, receiver); err != nil {
		return errors.Wrapf(err, "register %s", name)
	}
	return nil
}

// Serve accepts connections until Close. It closes the listener.
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

// Close ends all connections. The caller closes the listener of Serve after
// it.
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

// track records an open connection, unless the server is closed.
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
	conn, codec, err := s.accept(raw)
	if err != nil {
		return
	}
	defer conn.Close()
	s.rpc.ServeCodec(codec)
}

// accept does the handshake and learns who calls.
func (s *Server) accept(raw net.Conn) (net.Conn, *serverCodec, error) {
	if err := raw.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return nil, nil, err
	}
	var conn net.Conn = countedConn{raw, s.traffic}
	if s.creds != nil {
		conn = tls.Server(conn, s.creds.ServerConfig())
	}
	codec := newServerCodec(conn)
	h, err := codec.readHello()
	if err != nil {
		return nil, nil, err
	}
	if err := s.check(conn, h); err != nil {
		return nil, nil, err
	}
	codec.caller = h.From
	return conn, codec, raw.SetDeadline(time.Time{})
}

// check compares the greeting with the certificate and with this instance.
func (s *Server) check(conn net.Conn, h hello) error {
	if h.To != (Identity{}) && h.To != s.self {
		return errors.Wrapf(ErrIdentity, "call for %s reached %s", h.To.ID, s.self.ID)
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
		return errors.Wrapf(ErrIdentity, "%s claims to be %s", caller.ID, h.From.ID)
	}
	return nil
}
