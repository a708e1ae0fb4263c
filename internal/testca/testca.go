// Package testca issues instance certificates for tests, measurements and local
// development.
package testca

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/go-faster/errors"
)

// validity is how long before and after its issue a certificate is valid.
const validity = 24 * time.Hour

// CA is a certificate authority that keeps its key in memory. It is not safe for
// concurrent use.
type CA struct {
	key        *ecdsa.PrivateKey
	cert       *x509.Certificate
	lastSerial int64
}

// Files holds the paths of the PEM files of an instance.
type Files struct{ Cert, Key, CA string }

// New returns an authority with a new key and a self-signed certificate.
func New() (*CA, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fuchsia test authority"},
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	return &CA{key: key, cert: cert, lastSerial: 1}, err
}

// Issue writes a new private key, a certificate with uri as its subject
// alternative name, and the CA certificate to dir. Existing files are replaced.
func (ca *CA) Issue(dir string, uri *url.URL) (Files, error) {
	files := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, err
	}
	ca.lastSerial++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(ca.lastSerial), URIs: []*url.URL{uri},
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
		KeyUsage:    x509.KeyUsageDigitalSignature,
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, ca.cert, &key.PublicKey, ca.key)
	if err != nil {
		return files, err
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return files, err
	}
	return files, errors.Join(
		writePEM(files.Key, "EC PRIVATE KEY", keyDER),
		writePEM(files.Cert, "CERTIFICATE", der),
		writePEM(files.CA, "CERTIFICATE", ca.cert.Raw),
	)
}

// writePEM replaces a PEM file atomically.
func writePEM(name, blockType string, der []byte) error {
	temporary := name + ".new"
	if err := os.WriteFile(temporary, pem.EncodeToMemory(&pem.Block{Type: blockType, Bytes: der}), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}
