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

// A request of a caller that keeps a trace has a span there, with a span below
// it for each send.
func TestSpanPerSend(t *testing.T) {
	back := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Seal", "s")
		w.WriteHeader(http.StatusOK)
	}))
	defer back.Close()
	kept := tracetest.NewSpanRecorder()
	o := singleUpstream{address: back.Listener.Addr().String()}
	server := httptest.NewServer(&front.Server{
		Dialect: dialect{}, ConfigSource: newStaticConfig(), TracerProvider: sdk.NewTracerProvider(sdk.WithSpanProcessor(kept)),
		PlainRunner: &relay.PlainRunner{Dialect: dialect{}, Pool: &client.Pool{DialTimeout: time.Second}, Upstreams: o, RetryBudget: o, CrashTracker: o},
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
	// The server writes its answer before its span ends.
	server.Close()
	spans := kept.Ended()
	if len(spans) != 2 || spans[0].Name() != "relay.send" || spans[1].Name() != "front.request" {
		t.Fatalf("got %d spans %v, want one of the send and one of the request", len(spans), spans)
	}
	if spans[0].Parent().SpanID() != spans[1].SpanContext().SpanID() || spans[1].SpanContext().TraceID().String() != trace {
		t.Errorf("got a send under %s in trace %s, want it under the request in %s", spans[0].Parent().SpanID(), spans[1].SpanContext().TraceID(), trace)
	}
}
