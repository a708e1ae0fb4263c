// Package testca issues certificates of instances for tests, measurements and
// local development.
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

// validity is the life of a certificate.
const validity = 24 * time.Hour

// CA is a certificate authority with a key in memory.
type CA struct {
	key  *ecdsa.PrivateKey
	cert *x509.Certificate
	next int64
}

// Files are the paths of the PEM files of an instance.
type Files struct{ Cert, Key, CA string }

// New returns an authority with a new key.
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
	return &CA{key: key, cert: cert, next: 1}, err
}

// Issue writes a key and a certificate that names uri into dir.
func (ca *CA) Issue(dir string, uri *url.URL) (Files, error) {
	files := Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return files, err
	}
	ca.next++
	template := &x509.Certificate{
		SerialNumber: big.NewInt(ca.next), URIs: []*url.URL{uri},
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
		write(files.Key, "EC PRIVATE KEY", keyDER),
		write(files.Cert, "CERTIFICATE", der),
		write(files.CA, "CERTIFICATE", ca.cert.Raw),
	)
}

// write replaces a PEM file at once.
func write(name, kind string, der []byte) error {
	temporary := name + ".new"
	if err := os.WriteFile(temporary, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		return err
	}
	return os.Rename(temporary, name)
}
