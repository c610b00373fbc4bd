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
	"fulmarwick/internal/route/ewma"
	"fulmarwick/internal/wire/client"
	"fulmarwick/internal/wire/front"
	"fulmarwick/internal/wire/relay"
)

// dialect is headers with names of its own.
type dialect struct{}

func (dialect) ParseRequest(h http.Header) (site.RequestHeader, error) {
	return site.RequestHeader{ID: h.Get("Id")}, nil
}
func (dialect) SetForwardHeaders(http.Header, site.ForwardHeader) {}
func (dialect) ParseResponse(_ int, h http.Header) site.ResponseHeader {
	return site.ResponseHeader{RequestID: h.Get("Id"), Sealed: h.Get("Seal") != ""}
}

// staticConfig is one route of each kind.
type staticConfig struct{ config *site.Config }

func (r staticConfig) Config() *site.Config                     { return r.config }
func (r staticConfig) AwaitConfig(context.Context) *site.Config { return r.config }

// delayedConfig are known after a while.
type delayedConfig struct {
	staticConfig
	delay time.Duration
}

func (r delayedConfig) Config() *site.Config { return nil }

func (r delayedConfig) AwaitConfig(ctx context.Context) *site.Config {
	select {
	case <-time.After(r.delay):
		return r.config
	case <-ctx.Done():
		return nil
	}
}

func newStaticConfig() staticConfig {
	c := &site.Config{
		Limits:  site.Limits{MaxHeaderBytes: 8 << 10},
		Version: 1,
		Routes: []site.Route{
			{Name: "s", Host: "127.0.0.1", Prefix: "/s/", Kind: site.KindStream, Resumable: true, MaxAttempts: 2, Split: []site.Share{{Service: "m", Weight: 1}}},
			{Name: "p", Host: "127.0.0.1", Prefix: "/p/", Kind: site.KindSafe, MaxAttempts: 2, Split: []site.Share{{Service: "d", Weight: 1}}},
		},
		Services: []site.Service{{Name: "m", Model: &site.Model{}}, {Name: "d"}},
	}
	c.Index()
	return staticConfig{c}
}

// singleUpstream is a single upstream that is always chosen.
type singleUpstream struct{ address string }

func (o singleUpstream) upstream() site.Upstream {
	return site.Upstream{ID: "u", Service: "d", Address: o.address}
}

func (o singleUpstream) Pick(string, []spec.UpstreamID) (site.Upstream, bool) {
	return o.upstream(), true
}
func (o singleUpstream) RecordOutcome(site.Upstream, uint64, time.Duration, ewma.Outcome) {}
func (o singleUpstream) StartCooldown(site.Upstream)                                      {}
func (o singleUpstream) ApplyReportedLoad(site.Upstream, site.Load)                       {}
func (o singleUpstream) ExpectedLatency(site.Upstream) time.Duration                      { return time.Second }
func (o singleUpstream) RecordRequest(string)                                             {}
func (o singleUpstream) AllowRetry(string) bool                                           { return true }

func (o singleUpstream) IsCulprit(uint64) bool                            { return false }
func (o singleUpstream) Clear(uint64)                                     {}
func (o singleUpstream) RecordFirstEvent(*relay.Run)                      {}
func (o singleUpstream) EndRun(*relay.Run, bool)                          {}
func (o singleUpstream) ReportConnFailure(string, spec.UpstreamID)        {}
func (o singleUpstream) RecordRefusal(*relay.Run, string) spec.UpstreamID { return "u" }
func (o singleUpstream) IsDead(string, spec.UpstreamID) bool              { return false }
func (o singleUpstream) ConfirmExited(context.Context, string, spec.UpstreamID, bool) bool {
	return false
}

func (o singleUpstream) RetryAfter(*relay.Call) time.Duration { return time.Second }

func (o singleUpstream) StartRun(context.Context, *relay.Call, relay.RunKind, []spec.UpstreamID) (*relay.Run, error) {
	chain := spec.Chain{spec.NewStage("u", spec.NewLayers(0, 1))}
	return relay.NewRun(chain, []site.Hop{{Address: o.address}}), nil
}

// startProxy serves callers in front of an upstream.
func startProxy(t testing.TB, upstream http.HandlerFunc) string {
	t.Helper()
	back := httptest.NewServer(upstream)
	t.Cleanup(back.Close)
	o := singleUpstream{address: back.Listener.Addr().String()}
	pool := &client.Pool{DialTimeout: time.Second}
	s := &front.Server{
		Dialect: dialect{}, ConfigSource: newStaticConfig(),
		PlainRunner: &relay.PlainRunner{Dialect: dialect{}, Pool: pool, Upstreams: o, RetryBudget: o, CrashTracker: o},
		ModelRunner: &relay.ModelRunner{Dialect: dialect{}, Pool: pool, Paths: o, RetryBudget: o, CrashTracker: o},
	}
	ends := httptest.NewServer(s)
	t.Cleanup(ends.Close)
	return ends.URL
}

func writeEvents(w http.ResponseWriter, n int) {
	control := http.NewResponseController(w)
	for k := 1; k <= n; k++ {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: 1c.11.1.7b0c35a8dbc0f03e.wlfoxikdxhbrkwqiodwnulmtlutlxcgbetijfk\n\n", k)
		_ = control.Flush()
	}
}

func doRequest(t testing.TB, method, url string, body io.Reader) (*http.Response, []byte) {
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
func TestResponseWithoutEventsKeepsUpstreamHeaders(t *testing.T) {
	url := startProxy(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "r")
		w.Header().Set("Seal", "engine")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	})
	resp, body := doRequest(t, http.MethodPost, url+"/s/1", bytes.NewReader([]byte("x")))
	if got := resp.Header.Get("Seal"); resp.StatusCode != http.StatusOK || got != "engine" || len(body) != 0 {
		t.Errorf("got %d with seal %q and %d bytes, want the engine's head alone", resp.StatusCode, got, len(body))
	}
}

// All instances died and are back, and so are their callers, before the slow
// store has told of the configuration. A caller who comes then is served once it
// has; refused, it would have no other try left. One who would be late is told
// to come back.
func TestRequestWaitsForFirstConfig(t *testing.T) {
	tests := []struct {
		after time.Duration
		want  int
	}{{100 * time.Millisecond, http.StatusNotFound}, {time.Hour, http.StatusServiceUnavailable}}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			s := &front.Server{Dialect: dialect{}, ConfigSource: delayedConfig{newStaticConfig(), test.after}}
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

func TestRouterErrorResponses(t *testing.T) {
	url := startProxy(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	if resp, _ := doRequest(t, http.MethodGet, url+"/none/", nil); resp.StatusCode != http.StatusNotFound {
		t.Errorf("got %d for no route, want 404", resp.StatusCode)
	}
	if resp, _ := doRequest(t, http.MethodPost, url+"/p/1", bytes.NewReader(make([]byte, 5<<20))); resp.StatusCode != http.StatusRequestEntityTooLarge {
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
	if resp, _ := doRequest(t, http.MethodGet, url+"/p/1", nil); resp.StatusCode != http.StatusBadGateway || resp.Header.Get("Retry-After") != "" {
		t.Errorf("got %d for an answer without a seal, want 502 and no promise", resp.StatusCode)
	}
}

// An event that is passed on, with the upstream and the caller in the same
// process; the time is that of all three.
func BenchmarkEvent(b *testing.B) {
	url := startProxy(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "r")
		w.Header().Set("Seal", "s")
		writeEvents(w, b.N)
	})
	b.ReportAllocs()
	b.ResetTimer()
	doRequest(b, http.MethodPost, url+"/s/1", bytes.NewReader(make([]byte, 800)))
}

// A plain request and its answer, the same way.
func BenchmarkRequest(b *testing.B) {
	url := startProxy(b, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "r")
		w.Header().Set("Seal", "s")
		_, _ = w.Write(make([]byte, 800))
	})
	b.ReportAllocs()
	for b.Loop() {
		doRequest(b, http.MethodGet, url+"/p/1", nil)
	}
}
