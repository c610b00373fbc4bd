package relay

import (
	"context"

	"fulmarwick/internal/base/spec"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/codes"
	"go.opentelemetry.io/otel/trace"
)

// tracerName names the spans of this package.
const tracerName = "fulmarwick/relay"

// startSendSpan starts the span of one send to an upstream as a child of the request's
// span. If the request's span is not recorded, it returns a no-op span.
func startSendSpan(ctx context.Context, upstream spec.UpstreamID) trace.Span {
	parent := trace.SpanFromContext(ctx)
	if !parent.IsRecording() {
		return trace.SpanFromContext(context.Background())
	}
	_, span := parent.TracerProvider().Tracer(tracerName).Start(ctx, "relay.send",
		trace.WithSpanKind(trace.SpanKindClient), trace.WithAttributes(attribute.String("upstream", string(upstream))))
	return span
}

// endSendSpan ends the span of a send.
func endSendSpan(span trace.Span, err error) {
	if err != nil {
		span.SetStatus(codes.Error, err.Error())
	}
	span.End()
}
