// Package spans sends the spans of requests to a collector by OTLP over HTTP.
//
// It imports the OpenTelemetry SDK. The daemon opens one Sender and hands its
// Provider to whatever starts a hop; no span carries a key or a body.
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
	// tracesPath is where collectors take spans.
	tracesPath = "/v1/traces"
	// maxQueue bounds the spans that wait for a slow collector; more are dropped,
	// since no request may wait for its spans.
	maxQueue = 4096
	// closeTimeout bounds the sending of the last spans at the end.
	closeTimeout = 5 * time.Second
)

// Sender sends spans. Set the exported fields before Open.
type Sender struct {
	// URL is the collector's, such as "http://10.0.0.9:4318"; "" is off.
	URL string
	// Part is the share of traces that begin here which are kept, 0 to 1. A
	// trace that a caller began is kept if the caller says so.
	Part float64
	// Instance and DataCentre go with every span.
	Instance   string
	DataCentre string

	provider *sdk.TracerProvider
}

// Open starts the sending; without a URL it does nothing.
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
		sdk.WithSampler(sdk.ParentBased(sdk.TraceIDRatioBased(s.Part))),
		sdk.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "fulmarwick"),
			attribute.String("service.instance.id", s.Instance),
			attribute.String("datacentre", s.DataCentre),
		)),
	)
	return nil
}

// Provider makes the spans; they cost nothing while sending is off.
func (s *Sender) Provider() trace.TracerProvider {
	if s.provider == nil {
		return noop.NewTracerProvider()
	}
	return s.provider
}

// Close sends what waits, for a short while.
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
