package entry

import (
	"context"
	"net/http"
	"strings"

	"fulmarwick/internal/base/spec"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// tracerName names the spans of this package.
const tracerName = "fulmarwick/entry"

// requestIDHeader carries the request's id to its caller, for the logs.
const requestIDHeader = "X-Request-Id"

// maxBearerBytes bounds the key of a team in bytes.
const maxBearerBytes = 512

type requestIDKey struct{}

// instrument wraps a handler: it names the request, starts its span under the trace
// of the caller and counts the arrival. The trace headers of the caller so go
// on upstream, whether or not spans are kept here.
func (s *Server) instrument(name string, next http.HandlerFunc) http.HandlerFunc {
	provider := s.Spans
	if provider == nil {
		provider = noop.NewTracerProvider()
	}
	spans := provider.Tracer(tracerName)
	return func(w http.ResponseWriter, req *http.Request) {
		id := uuid.NewString()
		w.Header().Set(requestIDHeader, id)
		ctx := propagation.TraceContext{}.Extract(req.Context(), propagation.HeaderCarrier(req.Header))
		ctx, span := spans.Start(ctx, "entry."+name, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		span.SetAttributes(attribute.String("request", id))
		next(w, req.WithContext(context.WithValue(ctx, requestIDKey{}, id)))
	}
}

// requestID is the id that hop gave the request.
func requestID(req *http.Request) string {
	id, _ := req.Context().Value(requestIDKey{}).(string)
	return id
}

// annotateSpan puts the class and the end of a request on its span.
func annotateSpan(req *http.Request, class spec.ClassName, tokens int, err error) {
	span := trace.SpanFromContext(req.Context())
	if !span.IsRecording() {
		return
	}
	span.SetAttributes(attribute.String("class", string(class)), attribute.Int("tokens", tokens))
	if err != nil {
		span.SetStatus(codes.Error, toFault(err).Code)
	}
}

// bearerKey is the key in the Authorization header.
func bearerKey(req *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(req.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxBearerBytes {
		return "", false
	}
	return key, true
}

// authenticate finds the team of a request. Before the first configuration nobody is
// known, which must not look to callers as if their key were bad.
func (s *Server) authenticate(req *http.Request) (spec.Team, error) {
	if s.Book.Snapshot() == nil {
		f := newFault(http.StatusServiceUnavailable, "not-ready", "This instance has no configuration yet.", RanNo)
		f.After = busyRetryAfter
		return spec.Team{}, f
	}
	key, ok := bearerKey(req)
	if !ok {
		return spec.Team{}, newFault(http.StatusUnauthorized, "no-key", "The Authorization header must carry the team's bearer key.", RanNo)
	}
	team, ok := s.Book.TeamByKey(key)
	if !ok {
		return spec.Team{}, newFault(http.StatusUnauthorized, "unknown-key", "The key belongs to no team.", RanNo)
	}
	return team, nil
}

// checkAccess refuses a class that its operators keep for other teams.
func (s *Server) checkAccess(team spec.Team, class spec.Class) error {
	if s.Book.Snapshot().Allows(class.Name(), team.ID()) {
		return nil
	}
	return newFault(http.StatusForbidden, "closed-class", "The class is not open to the team.", RanNo)
}
