// Package certs gives the TLS settings of an endpoint from files that are read
// again when they are replaced.
//
// It imports the standard library and the log library. The daemon makes one
// Source per endpoint; package peer dials with the one of peers.
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

// ErrBad means that the files of an endpoint hold no usable certificates.
var ErrBad = errors.New("certs: bad files")

// checkInterval is the least time between two looks at the files.
const checkInterval = time.Second

// Source reads the files of one endpoint. Set the exported fields before Open.
type Source struct {
	// Cert and Key are PEM files. CA is too, and may be empty: then the other
	// side's certificate is not asked for.
	Cert string
	Key  string
	CA   string
	Log  *zap.Logger

	mu        sync.Mutex
	lastCheck time.Time
	stamps    [3]fileStamp
	loaded    material
}

// fileStamp tells whether a file was replaced.
type fileStamp struct {
	size int64
	time time.Time
}

// material is what one reading of the files gave.
type material struct {
	cert *tls.Certificate
	pool *x509.CertPool
}

// Open reads the files for the first time; ErrBad if they are not usable.
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

// Server returns the settings of a listener. With a CA, callers must show a
// certificate that it signed. Each handshake uses the files of its time.
func (s *Source) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return s.serverConfig(), nil
		},
		// net/http wants a certificate here before it listens.
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

// Client returns the settings for a connection to another endpoint of the
// kind: both sides show certificates of the CA. The name in the certificate is
// checked against server, which is the other's address or name.
func (s *Source) Client(server string) *tls.Config {
	m := s.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS12, ServerName: server, RootCAs: m.pool,
		Certificates: []tls.Certificate{*m.cert},
	}
}

// current is the newest usable material. Files are replaced one by one, so a
// reading between two replacements fails; the old material stays in use then,
// and the files are read again at the next look.
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
			s.Log.Info("certs: read again", zap.String("file", s.Cert))
		}
	}
	if err != nil {
		s.Log.Warn("certs: replacement unusable, the old one stays", zap.String("file", s.Cert), zap.Error(err))
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
		return material{}, errors.Wrap(ErrBad, s.CA+" holds no certificate")
	}
	return m, nil
}
