// Package spans exports the trace spans of requests to a collector by OTLP over
// HTTP.
//
// It imports the OpenTelemetry SDK. The instance opens one Sender and passes
// its Provider to the components that start spans. No span contains a key or a
// body.
package spans

import (
	"context"
	"time"

	"github.com/go-faster/errors"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/sdk/resource"
	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

const (
	// tracesPath is the path at which collectors accept spans.
	tracesPath = "/v1/traces"
	// maxQueue is the maximum number of spans that wait for a slow collector.
	// Further spans are dropped, because no request may wait for its spans.
	maxQueue = 4096
	// closeTimeout bounds the time for sending the last spans in Close.
	closeTimeout = 5 * time.Second
)

// Sender exports spans to a collector. Set the exported fields before calling
// Open.
type Sender struct {
	// URL is the base URL of the collector, such as "http://10.0.0.9:4318". If
	// empty, tracing is off.
	URL string
	// SampleRatio is the fraction, from 0 to 1, of the traces that begin on this
	// instance and are exported. A trace begun by a caller is exported if the
	// caller sampled it.
	SampleRatio float64
	// Instance and DataCentre are attributes of every span.
	Instance   string
	DataCentre string

	provider *sdk.TracerProvider
}

// Open starts the export. Without a URL it does nothing.
func (s *Sender) Open(ctx context.Context) error {
	if s.URL == "" {
		return nil
	}
	exporter, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(s.URL+tracesPath))
	if err != nil {
		return errors.Wrap(err, "spans: open")
	}
	s.provider = sdk.NewTracerProvider(
		sdk.WithBatcher(exporter, sdk.WithMaxQueueSize(maxQueue)),
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(s.SampleRatio))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "fulmarwick"),
			attribute.String("service.instance.id", s.Instance),
			attribute.String("datacentre", s.DataCentre),
		)),
	)
	return nil
}

// Provider returns the provider that creates spans. If tracing is off, it is a
// no-op provider.
func (s *Sender) Provider() trace.TracerProvider {
	if s.provider == nil {
		return noop.NewTracerProvider()
	}
	return s.provider
}

// Close sends the queued spans and waits up to closeTimeout.
func (s *Sender) Close() error {
	if s.provider == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	if err := s.provider.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "spans: close")
	}
	return nil
}
