// Package entry serves callers: chat completions and calls of plain services.
//
// It imports base/spec, state/config, state/ledger and wire/chain. The daemon
// serves its HTTP. Sizes and names from outside are checked here and nowhere
// later.
//
// An answer that is streamed is made in the goroutine of its request and
// written by a goroutine of its own, with a bounded buffer between them, so
// that a caller who reads slowly never holds up an engine.
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

// Models runs model requests.
type Models interface {
	Run(ctx context.Context, job chain.Job, sink chain.Sink) (chain.Result, error)
}

// Calls runs calls of plain services at most once.
type Calls interface {
	Do(ctx context.Context, c ledger.Call) (ledger.Outcome, error)
	Lookup(ctx context.Context, team spec.TeamID, class spec.ClassName, key string) (ledger.Outcome, error)
}

// Book gives the classes and teams in force. Team takes the key itself and
// looks up its SHA-256, so that how long it takes tells nothing about the keys
// of others.
type Book interface {
	Snapshot() *config.Snapshot
	Class(name spec.ClassName) (spec.Class, bool)
	DefaultClass(model spec.ModelName) (spec.Class, bool)
	TeamByKey(key string) (spec.Team, bool)
}

// Observer learns how each request of a class ended. Times that do not apply
// are zero; gap is the longest between two tokens.
type Observer interface {
	Served(class spec.Class, first, gap, whole time.Duration, ok bool)
}

// Limits bound what callers may use. A limit of zero is none, but for Body,
// Tokens and Buffer, which must be set.
type Limits struct {
	// Body and Header are in bytes.
	Body   int64
	Header int64
	// Tokens is the most tokens of one answer.
	Tokens int
	// Streams is how many requests run at once, Team how many of one team,
	// Connection how many on one HTTP/2 connection.
	Streams    int
	Team       int
	Connection int
	// Buffer is the most bytes kept for a caller that reads slower than its
	// answer is made; above it the stream is cut.
	Buffer int64
	// HeaderTime bounds the wait for headers, BodyTime a pause inside the
	// body, WriteTime a pause of a caller that takes nothing, IdleTime an
	// unused connection.
	HeaderTime time.Duration
	BodyTime   time.Duration
	WriteTime  time.Duration
	IdleTime   time.Duration
	// Comment is how long a stream is silent before a comment goes out.
	Comment time.Duration
}

// Server serves callers. Set the exported fields before Handler.
type Server struct {
	Models Models
	Calls  Calls
	Book   Book
	Limits Limits
	Log    *zap.Logger
	// Meters takes the metrics; nil makes a private set.
	Meters *metrics.Set
	// Spans makes spans; nil makes none.
	Spans trace.TracerProvider
	// Observer learns how requests ended; nil tells nobody.
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

// Handler serves the callers' endpoints.
func (s *Server) Handler() http.Handler {
	s.init()
	// Keys of calls may hold a slash, which stands escaped in the path.
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
