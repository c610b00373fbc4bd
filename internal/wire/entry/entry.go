// Package entry implements the HTTP API for callers: chat completions and calls
// of plain services.
//
// It imports base/spec, state/config, state/ledger and wire/chain. The daemon
// serves its handler. Sizes and names that callers send are validated here and
// not checked again by other packages.
//
// A streamed answer is produced in the goroutine of its request and written by a
// second goroutine, with a bounded buffer between them. A caller that reads
// slowly therefore never blocks an engine.
package entry

import (
	"context"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/config"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/wire/chain"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gorilla/mux"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
)

// Models runs requests for models and passes each token to the sink.
type Models interface {
	Run(ctx context.Context, job chain.Job, sink chain.Sink) (chain.Result, error)
}

// Calls runs calls of plain services at most once.
type Calls interface {
	Do(ctx context.Context, c ledger.Call) (ledger.Outcome, error)
	Lookup(ctx context.Context, team spec.TeamID, class spec.ClassName, key string) (ledger.Outcome, error)
}

// ActiveConfig returns the classes and teams of the active configuration.
// TeamByKey takes the key itself and looks up its SHA-256, so that the duration
// of the lookup reveals nothing about the keys of other teams.
type ActiveConfig interface {
	Snapshot() *config.Snapshot
	Class(name spec.ClassName) (spec.Class, bool)
	DefaultClass(model spec.ModelName) (spec.Class, bool)
	TeamByKey(key string) (spec.Team, bool)
}

// Observer is notified of how each request of a class ended. first is the time
// to the first token, gap the longest time between two tokens and whole the total
// time. Times that do not apply are zero.
type Observer interface {
	Served(class spec.Class, first, gap, whole time.Duration, ok bool)
}

// Limits bounds the resources that callers may use. Zero means no limit, except
// for Body, Tokens and Buffer, which must be set.
type Limits struct {
	// Body and Header are the maximum sizes of the body and the headers of a
	// request in bytes.
	Body   int64
	Header int64
	// Tokens is the maximum number of tokens of one answer.
	Tokens int
	// Streams is the maximum number of concurrent requests, TeamStreams
	// the maximum per team and ConnectionStreams the maximum per HTTP/2 connection.
	Streams           int
	TeamStreams       int
	ConnectionStreams int
	// Buffer is the maximum number of bytes buffered for a caller that reads
	// more slowly than its answer is produced. Above it the stream is aborted.
	Buffer int64
	// HeaderTime is the timeout for reading the headers and BodyTime for each
	// read of the body. WriteTime is how long a caller may accept no data.
	// IdleTime is the timeout of an unused connection.
	HeaderTime time.Duration
	BodyTime   time.Duration
	WriteTime  time.Duration
	IdleTime   time.Duration
	// CommentInterval is how long a stream may be idle before a comment is sent to keep
	// the connection open.
	CommentInterval time.Duration
}

// Server serves the API for callers. Set the exported fields before calling
// Handler or HTTP.
type Server struct {
	Models Models
	Calls  Calls
	Config ActiveConfig
	Limits Limits
	Log    *zap.Logger
	// Meters is the set in which metrics are registered; if nil, a private set
	// is used.
	Meters *metrics.Set
	// TracerProvider is the provider of trace spans; if nil, no spans are recorded.
	TracerProvider trace.TracerProvider
	// Observer is notified of the end of each request; it may be nil.
	Observer Observer

	once    sync.Once
	limiter limiter
	meter   meter
}

func (s *Server) init() {
	s.once.Do(func() {
		s.limiter.limits = s.Limits
		s.meter.register(s.Meters, &s.limiter)
	})
}

// Handler returns the handler of the API for callers.
func (s *Server) Handler() http.Handler {
	s.init()
	// Idempotency keys may contain a slash, which is escaped in the path.
	r := mux.NewRouter().UseEncodedPath()
	r.HandleFunc("/v1/chat/completions", s.instrument("chat", s.chat)).Methods(http.MethodPost)
	r.HandleFunc("/v1/models", s.instrument("models", s.models)).Methods(http.MethodGet)
	r.HandleFunc("/v1/calls/{class}", s.instrument("call", s.call)).Methods(http.MethodPost)
	r.HandleFunc("/v1/calls/{class}/{key}", s.instrument("outcome", s.outcome)).Methods(http.MethodGet)
	r.NotFoundHandler = http.HandlerFunc(s.notFound)
	r.MethodNotAllowedHandler = http.HandlerFunc(s.notAllowed)
	return r
}

func (s *Server) notFound(w http.ResponseWriter, _ *http.Request) {
	s.writeFault(w, newFault(http.StatusNotFound, "no-path", "Nothing is served under this path.", RanNo))
}

func (s *Server) notAllowed(w http.ResponseWriter, _ *http.Request) {
	s.writeFault(w, newFault(http.StatusMethodNotAllowed, "no-method", "The path is not served with this method.", RanNo))
}
