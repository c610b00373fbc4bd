package spans_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"fulmarwick/internal/app/spans"
)

// The collector must have received the spans of the instance by the time Close
// returns.
func TestSpansReachTheCollector(t *testing.T) {
	got := make(chan string, 10)
	collector := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		data, _ := io.ReadAll(req.Body)
		got <- req.URL.Path + " " + string(data)
	}))
	defer collector.Close()
	s := &spans.Sender{URL: collector.URL, SampleRatio: 1, Instance: "klang-1"}
	if err := s.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	_, span := s.Provider().Tracer("test").Start(t.Context(), "hop-of-the-test")
	span.End()
	if err := s.Close(); err != nil {
		t.Fatal(err)
	}
	body := <-got
	for _, want := range []string{"/v1/traces ", "hop-of-the-test", "klang-1"} {
		if !strings.Contains(body, want) {
			t.Errorf("got %q, want %q in it", body, want)
		}
	}
}

func TestOffWithoutURL(t *testing.T) {
	s := &spans.Sender{SampleRatio: 1}
	if err := s.Open(t.Context()); err != nil {
		t.Fatal(err)
	}
	_, span := s.Provider().Tracer("test").Start(t.Context(), "x")
	if span.IsRecording() {
		t.Error("got a span that records, want none")
	}
	if err := s.Close(); err != nil {
		t.Errorf("got %v, want nil", err)
	}
}
