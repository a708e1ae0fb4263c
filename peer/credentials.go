package peer

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

// Credentials are the key, the certificate and the authorities of an
// instance. They are read again when their files change, so that keys are
// rotated without a restart.
type Credentials struct {
	self                      Identity
	certFile, keyFile, caFile string

	mu      sync.Mutex
	stamp   [3]fileStamp
	cert    *tls.Certificate
	roots   *x509.CertPool
	lastErr error
}

// fileStamp tells versions of a file apart.
type fileStamp struct {
	modified time.Time
	size     int64
}

// LoadCredentials reads the PEM files of the instance self.
func LoadCredentials(self Identity, certFile, keyFile, caFile string) (*Credentials, error) {
	c := &Credentials{self: self, certFile: certFile, keyFile: keyFile, caFile: caFile}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Err returns why the files on disk are not in use, or nil.
func (c *Credentials) Err() error {
	_, _ = c.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastErr
}

// current returns the newest usable certificate and authorities. Files that
// cannot be used, such as a certificate whose key is not yet written, leave
// the old ones in force.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastErr = c.reload()
	return c.cert, c.roots
}

// reload reads the files if they changed. The caller holds the lock.
func (c *Credentials) reload() error {
	stamp, err := c.stat()
	if err != nil || stamp == c.stamp {
		return err
	}
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrap(err, "peer key pair")
	}
	if cert.Leaf, err = x509.ParseCertificate(cert.Certificate[0]); err != nil {
		return errors.Wrap(err, "peer certificate")
	}
	if id, err := certIdentity(cert.Leaf); err != nil || id != c.self {
		return errors.Wrapf(ErrIdentity, "own certificate, want %s", c.self.URI())
	}
	text, err := os.ReadFile(c.caFile)
	if err != nil {
		return errors.Wrap(err, "peer authorities")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(text) {
		return errors.Errorf("peer authorities: no certificate in %s", c.caFile)
	}
	c.cert, c.roots, c.stamp = &cert, roots, stamp
	return nil
}

func (c *Credentials) stat() (stamp [3]fileStamp, err error) {
	for i, name := range []string{c.certFile, c.keyFile, c.caFile} {
		info, err := os.Stat(name)
		if err != nil {
			return stamp, errors.Wrap(err, "peer files")
		}
		stamp[i] = fileStamp{info.ModTime(), info.Size()}
	}
	return stamp, nil
}

// ServerConfig returns the TLS configuration of a listener for peers.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true, // a resumed session would outlive a revoked key
		ClientAuth:             tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		// The chain is checked here against the authorities in force now.
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := c.verify(&state, x509.ExtKeyUsageClientAuth)
			return err
		},
	}
}

// ClientConfig returns the TLS configuration of a connection to the instance
// expect, or to any instance if expect is zero.
func (c *Credentials) ClientConfig(expect Identity) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Certificates name instances, not addresses: VerifyConnection checks
		// the chain and the name instead.
		InsecureSkipVerify: true,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		VerifyConnection: func(state tls.ConnectionState) error {
			id, err := c.verify(&state, x509.ExtKeyUsageServerAuth)
			if err != nil {
				return err
			}
			if expect != (Identity{}) && id != expect {
				return errors.Wrapf(ErrIdentity, "%s, want %s", id.URI(), expect.URI())
			}
			return nil
		},
	}
}

// DialFunc opens a connection.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// DialTLS returns a dial function for an http.Transport. expect returns the
// instance behind an address; an address without one is not dialed.
func (c *Credentials) DialTLS(dial DialFunc, expect func(addr string) (Identity, bool)) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		id, ok := expect(addr)
		if !ok {
			return nil, &net.OpError{Op: "dial", Net: network, Err: errors.Wrapf(ErrIdentity, "no instance known at %s", addr)}
		}
		raw, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		conn := tls.Client(raw, c.ClientConfig(id))
		if err := conn.HandshakeContext(ctx); err != nil {
			_ = raw.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Err: err}
		}
		return conn, nil
	}
}

// verify checks the chain of the other side and returns whom it names.
func (c *Credentials) verify(state *tls.ConnectionState, usage x509.ExtKeyUsage) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.Wrap(ErrIdentity, "no certificate")
	}
	_, roots := c.current()
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return Identity{}, errors.Wrap(err, "verify certificate")
	}
	return certIdentity(state.PeerCertificates[0])
}

// IdentityOf returns the instance that the certificate of the other side
// names. The chain was verified during the handshake.
func IdentityOf(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, errors.Wrap(ErrIdentity, "no certificate")
	}
	return certIdentity(state.PeerCertificates[0])
}

func certIdentity(cert *x509.Certificate) (Identity, error) {
	for _, uri := range cert.URIs {
		if id, ok := parseURI(uri); ok {
			return id, nil
		}
	}
	return Identity{}, errors.Wrap(ErrIdentity, "certificate names no instance")
}
