// Package trust creates a certificate authority and certificates for tests.
//
// It imports the standard library only. Tests of endpoints with TLS use it.
package trust

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"time"
)

// validity is how long before and after their creation certificates are valid.
const validity = time.Hour

// Authority signs certificates.
type Authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

// Files are the paths of the PEM files of one identity: its certificate, its key and
// the certificate of the authority.
type Files struct {
	Cert string
	Key  string
	CA   string
}

// New returns a new authority with a key and a certificate of its own.
func New() (*Authority, error) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return nil, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"},
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		return nil, err
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		return nil, err
	}
	return &Authority{cert: cert, key: key}, nil
}

// Write writes a certificate for name, its key and the certificate of the authority
// into dir. The certificate is valid for the host name name and for 127.0.0.1. The
// files get the modification time modTime.
func (a *Authority) Write(dir, name string, modTime time.Time) (Files, error) {
	out := Files{
		Cert: filepath.Join(dir, name+".crt"), Key: filepath.Join(dir, name+".key"), CA: filepath.Join(dir, "ca.crt"),
	}
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		return out, err
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name},
		DNSNames: []string{name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-validity), NotAfter: time.Now().Add(validity),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	cert, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		return out, err
	}
	private, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		return out, err
	}
	for _, f := range []struct {
		path, kind string
		data       []byte
	}{{out.Cert, "CERTIFICATE", cert}, {out.Key, "EC PRIVATE KEY", private}, {out.CA, "CERTIFICATE", a.cert.Raw}} {
		if err := writePEM(f.path, f.kind, f.data, modTime); err != nil {
			return out, err
		}
	}
	return out, nil
}

func writePEM(path, kind string, data []byte, modTime time.Time) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		return err
	}
	return os.Chtimes(path, modTime, modTime)
}
