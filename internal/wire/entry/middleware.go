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

// tracerName is the name of the tracer of this package.
const tracerName = "fulmarwick/entry"

// requestIDHeader returns the request id to the caller, so that it can be found
// in the logs.
const requestIDHeader = "X-Request-Id"

// maxBearerBytes is the maximum length of a team's key in bytes.
const maxBearerBytes = 512

// requestIDKey is the context key of the request id.
type requestIDKey struct{}

// instrument wraps a handler: it assigns a request id and starts a span in the
// trace of the caller. The trace context of the caller is therefore passed on
// upstream whether or not spans are recorded here.
func (s *Server) instrument(name string, next http.HandlerFunc) http.HandlerFunc {
	provider := s.TracerProvider
	if provider == nil {
		provider = noop.NewTracerProvider()
	}
	tracer := provider.Tracer(tracerName)
	return func(w http.ResponseWriter, req *http.Request) {
		id := uuid.NewString()
		w.Header().Set(requestIDHeader, id)
		ctx := propagation.TraceContext{}.Extract(req.Context(), propagation.HeaderCarrier(req.Header))
		ctx, span := tracer.Start(ctx, "entry."+name, trace.WithSpanKind(trace.SpanKindServer))
		defer span.End()
		span.SetAttributes(attribute.String("request", id))
		next(w, req.WithContext(context.WithValue(ctx, requestIDKey{}, id)))
	}
}

// requestID returns the id that instrument assigned to the request.
func requestID(req *http.Request) string {
	id, _ := req.Context().Value(requestIDKey{}).(string)
	return id
}

// annotateSpan adds the class, the token count and the error of a request to its
// span.
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

// bearerKey returns the bearer key in the Authorization header. It returns false
// if there is none or if it is too long.
func bearerKey(req *http.Request) (string, bool) {
	scheme, key, ok := strings.Cut(req.Header.Get("Authorization"), " ")
	if !ok || !strings.EqualFold(scheme, "Bearer") || key == "" || len(key) > maxBearerBytes {
		return "", false
	}
	return key, true
}

// authenticate returns the team of a request. Before the first configuration is
// loaded no team is known; callers then get "not-ready" instead of an error about
// their key.
func (s *Server) authenticate(req *http.Request) (spec.Team, error) {
	if s.Config.Snapshot() == nil {
		f := newFault(http.StatusServiceUnavailable, "not-ready", "This instance has no configuration yet.", RanNo)
		f.RetryAfter = busyRetryAfter
		return spec.Team{}, f
	}
	key, ok := bearerKey(req)
	if !ok {
		return spec.Team{}, newFault(http.StatusUnauthorized, "no-key", "The Authorization header must carry the team's bearer key.", RanNo)
	}
	team, ok := s.Config.TeamByKey(key)
	if !ok {
		return spec.Team{}, newFault(http.StatusUnauthorized, "unknown-key", "The key belongs to no team.", RanNo)
	}
	return team, nil
}

// checkAccess returns a fault if the class is reserved for other teams.
func (s *Server) checkAccess(team spec.Team, class spec.Class) error {
	if s.Config.Snapshot().Allows(class.Name(), team.ID()) {
		return nil
	}
	return newFault(http.StatusForbidden, "closed-class", "The class is not open to the team.", RanNo)
}
