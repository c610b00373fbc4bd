package front_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/least"
	"fulmarwick/internal/wire/front"
	"fulmarwick/internal/wire/relay"
	"fulmarwick/internal/wire/send"
)

// dialect is headers with names of its own.
type dialect struct{}

func (dialect) Ask(h http.Header) (site.Ask, error) { return site.Ask{ID: h.Get("Id")}, nil }
func (dialect) Forward(http.Header, site.Forward)   {}
func (dialect) Answer(_ int, h http.Header) site.Answer {
	return site.Answer{Request: h.Get("Id"), Sealed: h.Get("Seal") != ""}
}

// rules is one route of each kind.
type rules struct{ config *site.Config }

func (r rules) Config() *site.Config               { return r.config }
func (r rules) Await(context.Context) *site.Config { return r.config }

// lateRules are known after a while.
type lateRules struct {
	rules
	after time.Duration
}

func (r lateRules) Config() *site.Config { return nil }

func (r lateRules) Await(ctx context.Context) *site.Config {
	select {
	case <-time.After(r.after):
		return r.config
	case <-ctx.Done():
		return nil
	}
}

func newRules() rules {
	c := &site.Config{
		Limits:  site.Limits{Header: 8 << 10},
		Version: 1,
		Routes: []site.Route{
			{Name: "s", Host: "127.0.0.1", Prefix: "/s/", Kind: site.KindStream, Resume: true, Attempts: 2, Split: []site.Share{{Service: "m", Weight: 1}}},
			{Name: "p", Host: "127.0.0.1", Prefix: "/p/", Kind: site.KindSafe, Attempts: 2, Split: []site.Share{{Service: "d", Weight: 1}}},
		},
		Services: []site.Service{{Name: "m", Model: &site.Model{}}, {Name: "d"}},
	}
	c.Index()
	return rules{c}
}

// one is a single upstream that is always chosen.
type one struct{ address string }

func (o one) up() site.Upstream { return site.Upstream{ID: "u", Service: "d", Address: o.address} }

func (o one) Pick(string, []spec.UpstreamID) (site.Upstream, bool)     { return o.up(), true }
func (o one) Done(site.Upstream, uint64, time.Duration, least.End)     {}
func (o one) Rest(site.Upstream)                                       {}
func (o one) Load(site.Upstream, site.Load)                            {}
func (o one) Usual(site.Upstream) time.Duration                        { return time.Second }
func (o one) First(string)                                             {}
func (o one) Again(string) bool                                        { return true }
func (o one) Guilty(uint64) bool                                       { return false }
func (o one) Innocent(uint64)                                          {}
func (o one) Wrote(*relay.Flight)                                      {}
func (o one) End(*relay.Flight, bool)                                  {}
func (o one) Doubt(string, spec.UpstreamID)                            {}
func (o one) Refused(*relay.Flight, string) spec.UpstreamID            { return "u" }
func (o one) Down(string, spec.UpstreamID) bool                        { return false }
func (o one) Gone(context.Context, string, spec.UpstreamID, bool) bool { return false }
func (o one) Back(*relay.Call) time.Duration                           { return time.Second }
func (o one) Enter(context.Context, *relay.Call, relay.Entry, []spec.UpstreamID) (*relay.Flight, error) {
	chain := spec.Chain{spec.NewStage("u", spec.NewLayers(0, 1))}
	return relay.NewFlight(chain, []site.Hop{{Address: o.address}}), nil
}

// open serves callers in front of an upstream.
func open(t testing.TB, upstream http.HandlerFunc) string {
	t.Helper()
	back := httptest.NewServer(upstream)
	t.Cleanup(back.Close)
	o := one{address: back.Listener.Addr().String()}
	pool := &send.Pool{Timeout: time.Second}
	s := &front.Server{
		Dialect: dialect{}, Rules: newRules(),
		Plain:  &relay.Plain{Dialect: dialect{}, Pool: pool, Upstreams: o, Budget: o, Suspects: o},
		Models: &relay.Models{Dialect: dialect{}, Pool: pool, Paths: o, Budget: o, Suspects: o},
	}
	ends := httptest.NewServer(s)
	t.Cleanup(ends.Close)
	return ends.URL
}

func events(w http.ResponseWriter, n int) {
	control := http.NewResponseController(w)
	for k := 1; k <= n; k++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: 1c.11.1.7b0c35a8dbc0f03e.wlfoxikdxhbrkwqiodwnulmtlutlxcgbetijfk\n\n", k)
		_ = control.Flush()
	}
}

func ask(t testing.TB, method, url string, body io.Reader) (*http.Response, []byte) {
	t.Helper()
	req, err := http.NewRequestWithContext(context.Background(), method, url, body)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", "r")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, data
}

// A caller resumes after the last event of an answer: nothing is left to send.
// It still gets the engine's head, not one of ours.
func TestAnswerWithoutEventsKeepsItsHead(t *testing.T) {
	url := open(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "r")
		w.Header().Set("Seal", "engine")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	})
	resp, body := ask(t, http.MethodPost, url+"/s/1", bytes.NewReader([]byte("x")))
	if got := resp.Header.Get("Seal"); resp.StatusCode != http.StatusOK || got != "engine" || len(body) != 0 {
		t.Errorf("got %d with seal %q and %d bytes, want the engine's head alone", resp.StatusCode, got, len(body))
	}
}

// All instances died and are back, and so are their callers, before the slow
// store has told of the configuration. A caller who comes then is served once it
// has; refused, it would have no other try left. One who would be late is told
// to come back.
func TestFirstConfigurationIsWaitedFor(t *testing.T) {
	tests := []struct {
		after time.Duration
		want  int
	}{{100 * time.Millisecond, http.StatusNotFound}, {time.Hour, http.StatusServiceUnavailable}}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := &front.Server{Dialect: dialect{}, Rules: lateRules{newRules(), test.after}}
			w := httptest.NewRecorder()
			start := time.Now()
			s.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "http://127.0.0.1/none/", nil))
			if took := time.Since(start); w.Code != test.want || took > 400*time.Millisecond {
				t.Errorf("got %d after %s, want %d within 400 ms", w.Code, took, test.want)
			}
			if after := w.Header().Get("Retry-After"); (after != "") != (test.want == http.StatusServiceUnavailable) {
				t.Errorf("got Retry-After %q with %d", after, w.Code)
			}
		})
	}
}

func TestOwnAnswers(t *testing.T) {
	url := open(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	if resp, _ := ask(t, http.MethodGet, url+"/none/", nil); resp.StatusCode != http.StatusNotFound {
		t.Errorf("got %d for no route, want 404", resp.StatusCode)
	}
	if resp, _ := ask(t, http.MethodPost, url+"/p/1", bytes.NewReader(make([]byte, 5<<20))); resp.StatusCode != http.StatusRequestEntityTooLarge {
		t.Errorf("got %d for a large body, want 413", resp.StatusCode)
	}
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url+"/p/1", nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Long", strings.Repeat("x", 9<<10))
	if resp, err := http.DefaultClient.Do(req); err != nil || resp.StatusCode != http.StatusRequestHeaderFieldsTooLarge {
		t.Errorf("got %v and %v for large headers, want 431", resp, err)
	}
	if resp, _ := ask(t, http.MethodGet, url+"/p/1", nil); resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Retry-After") != "" {
		t.Errorf("got %d for an answer without a seal, want 502 and no promise", resp.StatusCode)
	}
}

// An event that is passed on, with the upstream and the caller in the same
// process; the time is that of all three.
func BenchmarkEvent(b *testing.B) {
	url := open(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "r")
		w.Header().Set("Seal", "s")
		events(w, b.N)
	})
	b.ReportAllocs()
	b.ResetTimer()
	ask(b, http.MethodPost, url+"/s/1", bytes.NewReader(make([]byte, 800)))
}

// A plain request and its answer, the same way.
func BenchmarkRequest(b *testing.B) {
	url := open(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "r")
		w.Header().Set("Seal", "s")
		_, _ = w.Write(make([]byte, 800))
	})
	b.ReportAllocs()
	for b.Loop() {
		ask(b, http.MethodGet, url+"/p/1", nil)
	}
}
