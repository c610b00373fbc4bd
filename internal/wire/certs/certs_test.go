package certs_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/internal/fakes/trust"
	"fulmarwick/internal/wire/certs"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"
)

// identity is the name in each certificate. Replacements keep the file names.
const identity = "peer"

func newAuthority(t *testing.T) *trust.Authority {
	t.Helper()
	ca, err := trust.New()
	if err != nil {
		t.Fatal(err)
	}
	return ca
}

// source writes a certificate to dir and returns a Source for it.
func source(t *testing.T, ca *trust.Authority, dir string, at time.Time) *certs.Source {
	t.Helper()
	f, err := ca.Write(dir, identity, at)
	if err != nil {
		t.Fatal(err)
	}
	return &certs.Source{Cert: f.Cert, Key: f.Key, CA: f.CA, Log: zap.NewNop()}
}

// handshakeTimeout ends a handshake in which both sides write and neither
// reads, which happens if both refuse the other.
const handshakeTimeout = time.Second

// handshake connects a client to a server. It returns the certificate that the
// client received, or the errors of both sides. The server sends one byte once
// it trusts the client.
func handshake(server, client *tls.Config) ([]byte, error) {
	l := inmem.Listen()
	defer func() { _ = l.Close() }()
	refused := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
			_, err = tls.Server(c, server).Write([]byte{1})
			_ = c.Close()
		}
		refused <- err
	}()
	c, err := l.Dial(context.Background(), "", "")
	if err != nil {
		return nil, err
	}
	_ = c.SetDeadline(time.Now().Add(handshakeTimeout))
	dialled := tls.Client(c, client)
	_, err = dialled.Read(make([]byte, 1))
	_ = c.Close()
	if other := <-refused; err != nil || other != nil {
		return nil, fmt.Errorf("client: %w, server: %w", err, other)
	}
	return dialled.ConnectionState().PeerCertificates[0].Raw, nil
}

// An operator replaces the files of a running instance. Later connections must
// present the new certificate, without a restart and without losing a
// connection.
func TestReplacedFilesAreUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ca, dir, at := newAuthority(t), t.TempDir(), time.Now()
		s := source(t, ca, dir, at)
		if err := s.Open(); err != nil {
			t.Fatal(err)
		}
		server := s.Server()
		first, err := handshake(server, s.Client(identity))
		if err != nil {
			t.Fatal(err)
		}
		source(t, ca, dir, at.Add(time.Minute))
		time.Sleep(2 * time.Second)
		second, err := handshake(server, s.Client(identity))
		if err != nil || bytes.Equal(first, second) {
			t.Errorf("got the first certificate again (%v), want the second", err)
		}
	})
}

// An operator overwrites the certificate with a broken file. Connections must
// still work with the old certificate, and a warning must be logged. Once the
// files are repaired, they must be used.
func TestBadReplacementKeepsTheOld(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ca, dir, at := newAuthority(t), t.TempDir(), time.Now()
		s := source(t, ca, dir, at)
		core, lines := observer.New(zapcore.WarnLevel)
		s.Log = zap.New(core)
		if err := s.Open(); err != nil {
			t.Fatal(err)
		}
		server := s.Server()
		first, err := handshake(server, s.Client(identity))
		if err != nil {
			t.Fatal(err)
		}
		for _, damage := range []func() error{
			func() error { return os.WriteFile(s.Cert, []byte("none"), 0o600) },
			func() error { return os.Remove(s.Key) },
		} {
			if err := damage(); err != nil {
				t.Fatal(err)
			}
			time.Sleep(2 * time.Second)
			if got, err := handshake(server, s.Client(identity)); err != nil || !bytes.Equal(got, first) {
				t.Errorf("got another certificate or %v, want the first", err)
			}
		}
		if lines.Len() == 0 {
			t.Error("got no warning, want one")
		}
		source(t, ca, dir, at.Add(time.Minute))
		time.Sleep(2 * time.Second)
		if got, err := handshake(server, s.Client(identity)); err != nil || bytes.Equal(got, first) {
			t.Errorf("got the first certificate again (%v), want the repaired one", err)
		}
	})
}

// Both sides must refuse a peer whose certificate was signed by another CA.
func TestUntrustedPeersAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ours := source(t, newAuthority(t), t.TempDir(), time.Now())
		theirs := source(t, newAuthority(t), t.TempDir(), time.Now())
		for _, s := range []*certs.Source{ours, theirs} {
			if err := s.Open(); err != nil {
				t.Fatal(err)
			}
		}
		untrusted := theirs.Client(identity)
		untrusted.InsecureSkipVerify = true
		const want = "certificate signed by unknown authority"
		if _, err := handshake(ours.Server(), untrusted); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v for an untrusted client, want %q", err, want)
		}
		if _, err := handshake(theirs.Server(), ours.Client(identity)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("got %v for an untrusted server, want %q", err, want)
		}
	})
}

func TestFirstLoadMustSucceed(t *testing.T) {
	s := &certs.Source{Cert: "none.crt", Key: "none.key", Log: zap.NewNop()}
	if err := s.Open(); !errors.Is(err, certs.ErrBad) {
		t.Errorf("got %v, want ErrBad", err)
	}
}
