package entry

import (
	"crypto/tls"
	"net/http"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// HTTP returns the HTTP server for callers, with the limits on headers, timeouts
// and streams per connection. It serves handler, in which the daemon combines the
// result of Handler with its own paths. If tlsConfig is nil, it serves without
// TLS.
//
// There is no timeout for a whole request, because an answer may take hours.
// Instead each read of a body and each write of a response has a timeout.
func (s *Server) HTTP(handler http.Handler, tlsConfig *tls.Config) *http.Server {
	s.init()
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetHTTP2(tlsConfig != nil)
	protocols.SetUnencryptedHTTP2(tlsConfig == nil)
	server := &http.Server{
		Handler:           handler,
		TLSConfig:         tlsConfig,
		ReadHeaderTimeout: s.Limits.HeaderTime,
		IdleTimeout:       s.Limits.IdleTime,
		MaxHeaderBytes:    int(s.Limits.Header),
		Protocols:         protocols,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: s.Limits.ConnectionStreams},
	}
	// Errors such as failed handshakes are caused by callers and frequent, so
	// they are logged at debug level.
	if log, err := zap.NewStdLogAt(s.Log.Named("http"), zapcore.DebugLevel); err == nil {
		server.ErrorLog = log
	}
	return server
}
