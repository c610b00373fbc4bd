package certs_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"fmt"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/internal/wire/certs"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// authority signs certificates for tests.
type authority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "ca"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return &authority{cert: cert, key: key}
}

// write puts a certificate for name, its key and the CA into dir.
func (a *authority) write(t *testing.T, dir, name string, at time.Time) *certs.Source {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, DNSNames: []string{"peer"},
		NotBefore: time.Now().Add(-time.Minute), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		t.Fatal(err)
	}
	put(t, filepath.Join(dir, "a.crt"), "CERTIFICATE", der, at)
	put(t, filepath.Join(dir, "a.key"), "EC PRIVATE KEY", keyDER, at)
	put(t, filepath.Join(dir, "ca.crt"), "CERTIFICATE", a.cert.Raw, at)
	return &certs.Source{
		Cert: filepath.Join(dir, "a.crt"), Key: filepath.Join(dir, "a.key"), CA: filepath.Join(dir, "ca.crt"),
		Log: zap.NewNop(),
	}
}

func put(t *testing.T, path, kind string, data []byte, at time.Time) {
	t.Helper()
	if err := os.WriteFile(path, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data}), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Chtimes(path, at, at); err != nil {
		t.Fatal(err)
	}
}

// meetTime ends a meeting in which both sides write and neither reads, as two
// that refuse each other do.
const meetTime = time.Second

// meet connects a client to a server and returns the name that the client saw,
// or what either side had against the other. The server sends a byte once it
// trusts the client.
func meet(server, client *tls.Config) (string, error) {
	l := inmem.Listen()
	defer func() { _ = l.Close() }()
	refused := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_ = c.SetDeadline(time.Now().Add(meetTime))
			_, err = tls.Server(c, server).Write([]byte{1})
			_ = c.Close()
		}
		refused <- err
	}()
	c, err := l.Dial(context.Background(), "", "")
	if err != nil {
		return "", err
	}
	_ = c.SetDeadline(time.Now().Add(meetTime))
	dialled := tls.Client(c, client)
	_, err = dialled.Read(make([]byte, 1))
	_ = c.Close()
	if other := <-refused; err != nil || other != nil {
		return "", fmt.Errorf("client: %w, server: %w", err, other)
	}
	return dialled.ConnectionState().PeerCertificates[0].Subject.CommonName, nil
}

// An operator replaces the files of a running instance. Connections made later
// show the new certificate, with no restart and no connection lost.
func TestReplacedFilesAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ca, dir, at := newAuthority(t), t.TempDir(), time.Now()
		s := ca.write(t, dir, "first", at)
		if err := s.Open(); err != nil {
			t.Fatal(err)
		}
		server := s.Server()
		if got, err := meet(server, s.Client("peer")); got != "first" || err != nil {
			t.Fatalf("got %q, %v, want first", got, err)
		}
		ca.write(t, dir, "second", at.Add(time.Minute))
		time.Sleep(2 * time.Second)
		if got, err := meet(server, s.Client("peer")); got != "second" || err != nil {
			t.Errorf("got %q, %v, want second", got, err)
		}
	})
}

// An operator copies a broken file over the certificate. Connections go on
// with the old one and the log says so; once the file is mended it is used.
func TestBadReplacementKeepsTheOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ca, dir, at := newAuthority(t), t.TempDir(), time.Now()
		s := ca.write(t, dir, "first", at)
		core, lines := observer.New(zapcore.WarnLevel)
		s.Log = zap.New(core)
		if err := s.Open(); err != nil {
			t.Fatal(err)
		}
		server := s.Server()
		for _, damage := range []func() error{
			func() error { return os.WriteFile(s.Cert, []byte("none"), 0o600) },
			func() error { return os.Remove(s.Key) },
		} {
			if err := damage(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			if got, err := meet(server, s.Client("peer")); got != "first" || err != nil {
				t.Errorf("got %q, %v, want first", got, err)
			}
		}
		if lines.Len() == 0 {
			t.Error("got no warning, want one")
		}
		ca.write(t, dir, "mended", at.Add(time.Minute))
		time.Sleep(2 * time.Second)
		if got, err := meet(server, s.Client("peer")); got != "mended" || err != nil {
			t.Errorf("got %q, %v, want mended", got, err)
		}
	})
}

// A stranger whose certificate another CA signed is refused by both sides.
func TestStrangersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours := newAuthority(t).write(t, t.TempDir(), "ours", time.Now())
		theirs := newAuthority(t).write(t, t.TempDir(), "theirs", time.Now())
		for _, s := range []*certs.Source{ours, theirs} {
			if err := s.Open(); err != nil {
				t.Fatal(err)
			}
		}
		stranger := theirs.Client("peer")
		stranger.InsecureSkipVerify = true
		const want = "certificate signed by unknown authority"
		if _, err := meet(ours.Server(), stranger); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v for a stranger that calls, want %q", err, want)
		}
		if _, err := meet(theirs.Server(), ours.Client("peer")); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v for a stranger that is called, want %q", err, want)
		}
	})
}

func TestFirstReadingMustSucceed(t *testing.T) {
	s := &certs.Source{Cert: "none.crt", Key: "none.key", Log: zap.NewNop()}
	if err := s.Open(); !errors.Is(err, certs.ErrBad) {
		t.Errorf("got %v, want ErrBad", err)
	}
}
