package front_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"fulmarwick/internal/wire/client"
	"fulmarwick/internal/wire/front"
	"fulmarwick/internal/wire/relay"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

// A request with a trace header must have a span in the caller's trace, with a child span
// for each send.
func TestSpanPerSend(t *testing.T) {
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		w.WriteHeader(http.StatusOK)
	}))
	defer upstream.Close()
	recorder := tracetest.NewSpanRecorder()
	single := singleUpstream{address: upstream.Listener.Addr().String()}
	server := httptest.NewServer(&front.Server{
		Dialect: dialect{}, ConfigSource: newStaticConfig(), TracerProvider: sdk.NewTracerProvider(sdk.WithSpanProcessor(recorder)),
		PlainRunner: &relay.PlainRunner{Dialect: dialect{}, Pool: &client.Pool{DialTimeout: time.Second}, Upstreams: single, RetryBudget: single, Notices: single, CrashTracker: single},
	})
	defer server.Close()
	req, err := http.NewRequestWithContext(context.Background(), http.MethodGet, server.URL+"/p/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	const trace = "0af7651916cd43dd8448eb211c80319c"
	req.Header.Set("Traceparent", "00-"+trace+"-b7ad6b7169203331-01")
	req.Header.Set("Id", "r")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	// The server writes the response before it ends the span.
	server.Close()
	spans := recorder.Ended()
	if len(spans) != 2 || spans[0].Name() != "relay.send" || spans[1].Name() != "front.request" {
		t.Fatalf("got %d spans %v, want one span of the send and one of the request", len(spans), spans)
	}
	if spans[0].Parent().SpanID() != spans[1].SpanContext().SpanID() || spans[1].SpanContext().TraceID().String() != trace {
		t.Errorf("got a send under %s in trace %s, want it under the request in %s", spans[0].Parent().SpanID(), spans[1].SpanContext().TraceID(), trace)
	}
}
