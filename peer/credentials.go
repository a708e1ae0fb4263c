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

// Credentials are the key and certificate of an instance and the certificate
// authorities (CAs) that it trusts. They are reloaded when their files change, so
// that keys can be rotated without a restart.
type Credentials struct {
	self                      Identity
	certFile, keyFile, caFile string

	mu        sync.Mutex
	versions  [3]fileVersion
	cert      *tls.Certificate
	roots     *x509.CertPool
	reloadErr error
}

// fileVersion is compared to detect a change of a file.
type fileVersion struct {
	modified time.Time
	size     int64
}

// LoadCredentials reads the PEM files of the instance self. The certificate must
// name self.
func LoadCredentials(self Identity, certFile, keyFile, caFile string) (*Credentials, error) {
	c := &Credentials{self: self, certFile: certFile, keyFile: keyFile, caFile: caFile}
	c.mu.Lock()
	defer c.mu.Unlock()
	if err := c.reload(); err != nil {
		return nil, err
	}
	return c, nil
}

// Err returns why the files on disk cannot be used, or nil if they are in use. It
// reloads them if they changed.
func (c *Credentials) Err() error {
	_, _ = c.current()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reloadErr
}

// current returns the newest usable certificate and CAs. If the files cannot be
// used, such as a certificate whose key is not yet written, the previous ones
// stay in use.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reloadErr = c.reload()
	return c.cert, c.roots
}

// reload reads the files if they changed. c.mu must be held.
func (c *Credentials) reload() error {
	versions, err := c.statFiles()
	if err != nil || versions == c.versions {
		return err
	}
	cert, err := tls.LoadX509KeyPair(c.certFile, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "load peer certificate %s and key %s", c.certFile, c.keyFile)
	}
	if cert.Leaf, err = x509.ParseCertificate(cert.Certificate[0]); err != nil {
		return errors.Wrapf(err, "parse peer certificate %s", c.certFile)
	}
	if id, err := certIdentity(cert.Leaf); err != nil || id != c.self {
		return errors.Wrapf(ErrIdentity, "peer certificate %s does not name this instance, %s", c.certFile, c.self.URI())
	}
	pem, err := os.ReadFile(c.caFile)
	if err != nil {
		return errors.Wrap(err, "read peer CA certificates")
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return errors.Errorf("load peer CA certificates: no valid PEM certificate in %s", c.caFile)
	}
	c.cert, c.roots, c.versions = &cert, roots, versions
	return nil
}

func (c *Credentials) statFiles() (versions [3]fileVersion, err error) {
	for i, name := range []string{c.certFile, c.keyFile, c.caFile} {
		info, err := os.Stat(name)
		if err != nil {
			return versions, errors.Wrap(err, "check peer credential file for changes")
		}
		versions[i] = fileVersion{info.ModTime(), info.Size()}
	}
	return versions, nil
}

// ServerConfig returns the TLS configuration of a server that accepts only
// instances with a certificate of the current CAs.
func (c *Credentials) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:             tls.VersionTLS13,
		SessionTicketsDisabled: true, // a resumed session would stay valid after its key is revoked
		ClientAuth:             tls.RequireAnyClientCert,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			cert, _ := c.current()
			return cert, nil
		},
		// The chain is verified here, against the CAs at the time of the handshake.
		VerifyConnection: func(state tls.ConnectionState) error {
			_, err := c.verify(&state, x509.ExtKeyUsageClientAuth)
			return err
		},
	}
}

// ClientConfig returns the TLS configuration of a connection to the instance
// expect, or to any instance with a valid certificate if expect is zero.
func (c *Credentials) ClientConfig(expect Identity) *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Certificates name instances, not addresses. VerifyConnection verifies
		// the chain and the instance name instead of the default verification.
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
				return errors.Wrapf(ErrIdentity, "server certificate names %s, expected %s", id.URI(), expect.URI())
			}
			return nil
		},
	}
}

// DialFunc opens a connection, as net.Dialer.DialContext does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// DialTLS returns a function for http.Transport.DialTLSContext. expect returns the
// instance at an address, or false if none is known; such an address is not
// dialed.
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

// verify verifies the certificate chain of the remote side against the current
// CAs and returns the instance that the certificate names.
func (c *Credentials) verify(state *tls.ConnectionState, usage x509.ExtKeyUsage) (Identity, error) {
	if len(state.PeerCertificates) == 0 {
		return Identity{}, errors.Wrap(ErrIdentity, "remote side sent no certificate")
	}
	_, roots := c.current()
	intermediates := x509.NewCertPool()
	for _, cert := range state.PeerCertificates[1:] {
		intermediates.AddCert(cert)
	}
	options := x509.VerifyOptions{Roots: roots, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{usage}}
	if _, err := state.PeerCertificates[0].Verify(options); err != nil {
		return Identity{}, errors.Wrap(err, "verify certificate chain of remote instance")
	}
	return certIdentity(state.PeerCertificates[0])
}

// IdentityOf returns the instance that the certificate of the remote side names.
// It does not verify the chain, which is done during the handshake.
func IdentityOf(state *tls.ConnectionState) (Identity, error) {
	if state == nil || len(state.PeerCertificates) == 0 {
		return Identity{}, errors.Wrap(ErrIdentity, "remote side sent no certificate")
	}
	return certIdentity(state.PeerCertificates[0])
}

func certIdentity(cert *x509.Certificate) (Identity, error) {
	for _, uri := range cert.URIs {
		if id, ok := parseURI(uri); ok {
			return id, nil
		}
	}
	return Identity{}, errors.Wrap(ErrIdentity, "certificate has no URI that names an instance")
}
