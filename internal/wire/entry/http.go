package entry

import (
	"crypto/tls"
	"net/http"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// HTTP returns the server of callers, with the limits on headers, time and
// streams per connection. Handler is what it serves; the daemon adds its own
// paths around that of Handler. A nil secure serves without TLS.
//
// It has no timeout on whole requests: an answer may take hours, and what is
// slow is bounded where it is slow, at the body's and the stream's next piece.
func (s *Server) HTTP(handler http.Handler, secure *tls.Config) *http.Server {
	s.init()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(secure != nil)
	protocols.SetUnencryptedHTTP2(secure == nil)
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         secure,
		ReadHeaderTimeout: s.Limits.HeaderTime,
		IdleTimeout:       s.Limits.IdleTime,
		MaxHeaderBytes:    int(s.Limits.Header),
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: s.Limits.Connection},
	}
	// Failed handshakes and the like are what callers did, and many.
	if log, err := zap.NewStdLogAt(s.Log.Named("http"), zapcore.DebugLevel); err == nil {
		server.ErrorLog = log
	}
	return server
}
