// Package certs provides the TLS configuration of an endpoint from files that
// are reloaded when they are replaced.
//
// It imports the standard library and the log library. The daemon creates one
// Source per endpoint; package peer dials with the Source of the peers'
// endpoint.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// ErrBad means that the files of an endpoint contain no usable certificates.
var ErrBad = errors.New("certs: invalid files")

// checkInterval is the minimum time between two checks of the files.
const checkInterval = time.Second

// Source loads the files of one endpoint. Set the exported fields before
// calling Open.
type Source struct {
	// Cert, Key and CA are PEM files. CA may be empty; then no certificate is
	// requested from the other side.
	Cert string
	Key  string
	CA   string
	Log  *zap.Logger

	mu        sync.Mutex
	lastCheck time.Time
	stamps    [3]fileStamp
	loaded    material
}

// fileStamp is used to detect that a file was replaced.
type fileStamp struct {
	size int64
	time time.Time
}

// material is the content of the files from one read.
type material struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

// Open loads the files for the first time. It returns ErrBad if they are not
// usable.
func (s *Source) Open() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	stamps, err := s.stat()
	if err != nil {
		return errors.Wrap(ErrBad, err.Error())
	}
	m, err := s.read()
	if err != nil {
		return err
	}
	s.stamps, s.loaded, s.lastCheck = stamps, m, time.Now()
	return nil
}

// Server returns the TLS configuration of a listener. With a CA, clients must
// present a certificate signed by it. Each handshake uses the current files.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(), nil
		},
		// net/http requires a certificate here before it listens.
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return s.current().cert, nil
		},
	}
}

func (s *Source) serverConfig() *tls.Config {
	m := s.current()
	c := &tls.Config{
		MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{*m.cert},
		NextProtos: []string{"h2", "http/1.1"},
	}
	if m.pool != nil {
		c.ClientAuth = tls.RequireAndVerifyClientCert
		c.ClientCAs = m.pool
	}
	return c
}

// Client returns the TLS configuration for a connection to another endpoint of
// the same kind: both sides present certificates signed by the CA. The name in
// the certificate is verified against server, the address or name of the other
// endpoint.
func (s *Source) Client(server string) *tls.Config {
	m := s.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, ServerName: server, RootCAs: m.pool,
		Certificates: []tls.Certificate{*m.cert},
	}
}

// current returns the newest usable material. Files are replaced one by one, so
// a read between two replacements fails. The old material then remains in use
// and the files are read again at the next check.
func (s *Source) current() material {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if now.Sub(s.lastCheck) < checkInterval {
		return s.loaded
	}
	s.lastCheck = now
	stamps, err := s.stat()
	if err == nil && stamps == s.stamps {
		return s.loaded
	}
	if err == nil {
		var m material
		if m, err = s.read(); err == nil {
			s.loaded = m
			s.Log.Info("certs: reloaded", zap.String("file", s.Cert))
		}
	}
	if err != nil {
		s.Log.Warn("certs: reload failed, keeping the old certificate", zap.String("file", s.Cert), zap.Error(err))
		return s.loaded
	}
	s.stamps = stamps
	return s.loaded
}

func (s *Source) stat() ([3]fileStamp, error) {
	var out [3]fileStamp
	for i, name := range []string{s.Cert, s.Key, s.CA} {
		if name == "" {
			continue
		}
		info, err := os.Stat(name)
		if err != nil {
			return out, err
		}
		out[i] = fileStamp{size: info.Size(), time: info.ModTime()}
	}
	return out, nil
}

func (s *Source) read() (material, error) {
	cert, err := tls.LoadX509KeyPair(s.Cert, s.Key)
	if err != nil {
		return material{}, errors.Wrap(ErrBad, err.Error())
	}
	m := material{cert: &cert}
	if s.CA == "" {
		return m, nil
	}
	data, err := os.ReadFile(s.CA)
	if err != nil {
		return material{}, errors.Wrap(ErrBad, err.Error())
	}
	m.pool = x509.NewCertPool()
	if !m.pool.AppendCertsFromPEM(data) {
		return material{}, errors.Wrap(ErrBad, s.CA+" contains no certificate")
	}
	return m, nil
}
