package front

import (
	"net/http"

	"fulmarwick/internal/wire/relay"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/trace"
)

// tracerName names the spans of this package.
const tracerName = "fulmarwick/front"

// startSpan starts the span of a request as part of the caller's trace. endSpan records
// the result and ends the span. Without a provider there is no span.
func (s *Server) startSpan(r *http.Request, c *relay.Call) (req *http.Request, endSpan func(relay.Reply, int)) {
	if s.TracerProvider == nil {
		return r, func(relay.Reply, int) {}
	}
	ctx := propagation.TraceContext{}.Extract(r.Context(), propagation.HeaderCarrier(c.Header))
	ctx, span := s.TracerProvider.Tracer(tracerName).Start(ctx, "front.request", trace.WithSpanKind(trace.SpanKindServer))
	span.SetAttributes(attribute.String("request", c.ParsedHeader.ID), attribute.String("route", c.Route.Name))
	return r.WithContext(ctx), func(reply relay.Reply, status int) {
		span.SetAttributes(attribute.Int("status", status), attribute.Int("sent", reply.SendCount))
		if reply.Reason != relay.ReasonNone {
			span.SetStatus(codes.Error, reply.Reason.String())
		}
		span.End()
	}
}
