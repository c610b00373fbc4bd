package plain_test

import (
	"context"
	"net/http"
	"strings"
	"testing"

	"fulmarwick/internal/fakes/infra"
	"fulmarwick/internal/state/ledger"

	"go.opentelemetry.io/otel/propagation"
)

// The trace context of a caller must reach the service through the ledger,
// whether or not spans are recorded here.
func TestTraceReachesTheService(t *testing.T) {
	const parent = "4bf92f3577b34da6a3ce929d0e0e4736"
	got := make(chan string, 1)
	base := server(t, http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		got <- req.Header.Get("Traceparent")
	}))
	carrier := propagation.MapCarrier{"traceparent": "00-" + parent + "-00f067aa0ba902b7-01"}
	ctx := propagation.TraceContext{}.Extract(context.Background(), carrier)
	l := &ledger.Ledger{Table: &infra.Table{}, Sender: sender(base)}
	if _, err := l.Do(ctx, payment("k")); err != nil {
		t.Fatal(err)
	}
	if header := <-got; !strings.Contains(header, parent) {
		t.Errorf("got traceparent %q at the service, want trace %s", header, parent)
	}
}
