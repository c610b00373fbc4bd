package certs

import "crypto/tls"

// Peer returns the settings for connections to other endpoints of the kind.
// Each handshake shows the certificate of its time; the authority is that of
// the start, so a new authority needs a restart. Whoever dials sets ServerName.
func (s *Source) Peer() *tls.Config {
	c := s.Client("")
	c.Certificates = nil
	c.GetClientCertificate = func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
		return s.current().cert, nil
	}
	return c
}
