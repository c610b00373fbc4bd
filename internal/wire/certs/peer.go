package certs

import "crypto/tls"

// Peer returns the TLS configuration for connections to other endpoints of the
// same kind. Each handshake presents the current certificate. The CA is the one
// loaded at the call, so a new CA requires a restart. The caller sets
// ServerName when it dials.
func (s *Source) Peer() *tls.Config {
	c := s.Client("")
	c.Certificates = nil
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return s.current().cert, nil
	}
	return c
}
