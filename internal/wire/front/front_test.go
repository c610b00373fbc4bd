package front_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/wire/client"
	"fulmarwick/internal/wire/front"
	"fulmarwick/internal/wire/relay"
)

// dialect uses header names that exist only in these tests.
type dialect struct{}

func (dialect) ParseRequest(h http.Header) (site.RequestHeader, error) {
	return site.RequestHeader{ID: h.Get("Id")}, nil
}
func (dialect) SetForwardHeaders(http.Header, site.ForwardHeader) {}
func (dialect) ParseResponse(_ int, h http.Header) site.ResponseHeader {
	return site.ResponseHeader{RequestID: h.Get("Id"), Sealed: h.Get("Seal") != "", NotExecuted: h.Get("Not-Run") != ""}
}

// staticConfig is a configuration with a model route and a plain route.
type staticConfig struct{ config *site.Config }

func (c staticConfig) Config() *site.Config                     { return c.config }
func (c staticConfig) AwaitConfig(context.Context) *site.Config { return c.config }

// delayedConfig becomes available after a delay.
type delayedConfig struct {
	staticConfig
	delay time.Duration
}

func (c delayedConfig) Config() *site.Config { return nil }

func (c delayedConfig) AwaitConfig(ctx context.Context) *site.Config {
	select {
	case <-time.After(c.delay):
		return c.config
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

func (u singleUpstream) upstream() site.Upstream {
	return site.Upstream{ID: "u", Service: "d", Address: u.address}
}

func (u singleUpstream) Pick(string, []crash.Key, []spec.UpstreamID) (site.Upstream, error) {
	return u.upstream(), nil
}
func (u singleUpstream) RecordOutcome(site.Upstream, relay.SentRequest) {}
func (u singleUpstream) StartCooldown(site.Upstream)                    {}
func (u singleUpstream) ApplyReportedLoad(site.Upstream, site.Load)     {}
func (u singleUpstream) ExpectedLatency(site.Upstream) time.Duration    { return time.Second }
func (u singleUpstream) RecordRequest(string)                           {}
func (u singleUpstream) AllowRetry(string) bool                         { return true }

func (u singleUpstream) RecordNotice(string, spec.UpstreamID, site.Notice) {}
func (u singleUpstream) RecordUnlimited(spec.UpstreamID, time.Time)        {}
func (u singleUpstream) AcceptsRequests(spec.UpstreamID) bool              { return true }
func (u singleUpstream) BackoffLeft(string) time.Duration                  { return 0 }

func (u singleUpstream) IsCulprit([]crash.Key) bool                       { return false }
func (u singleUpstream) CountRequest(string, []crash.Key)                 {}
func (u singleUpstream) Survive([]crash.Key, time.Time)                   {}
func (u singleUpstream) AllowSend(context.Context, []crash.Key) error     { return nil }
func (u singleUpstream) RecordFirstEvent(*relay.Run)                      {}
func (u singleUpstream) EndRequest(string, []spec.UpstreamID)             {}
func (u singleUpstream) EndRun(*relay.Run, relay.RunEnd, bool)            {}
func (u singleUpstream) ReportBrokenRun(*relay.Run)                       {}
func (u singleUpstream) ReportConnFailure(string, spec.UpstreamID)        {}
func (u singleUpstream) RecordRefusal(*relay.Run, string) spec.UpstreamID { return "u" }
func (u singleUpstream) IsDead(string, spec.UpstreamID) bool              { return false }
func (u singleUpstream) ConfirmExited(context.Context, *relay.Call, crash.Process) bool {
	return false
}

func (u singleUpstream) RetryAfter(*relay.Call) time.Duration { return time.Second }

func (u singleUpstream) StartRun(context.Context, *relay.Call, relay.RunOptions) (*relay.Run, error) {
	chain := spec.Chain{spec.NewStage("u", spec.NewLayers(0, 1))}
	return relay.NewRun(chain, []site.Hop{{Address: u.address}}), nil
}

// newServer returns a Server in front of the upstream at an address.
func newServer(pool *client.Pool, address string) *front.Server {
	single := singleUpstream{address: address}
	return &front.Server{
		Dialect: dialect{}, ConfigSource: newStaticConfig(),
		PlainRunner: &relay.PlainRunner{Dialect: dialect{}, Pool: pool, Upstreams: single, RetryBudget: single, Notices: single, CrashTracker: single},
		ModelRunner: &relay.ModelRunner{Dialect: dialect{}, Pool: pool, Paths: single, RetryBudget: single, Notices: single, CrashTracker: single},
	}
}

// startProxy starts a Server in front of an upstream and returns its URL.
func startProxy(t testing.TB, upstream http.HandlerFunc) string {
	t.Helper()
	upstreamServer := httptest.NewServer(upstream)
	t.Cleanup(upstreamServer.Close)
	server := httptest.NewServer(newServer(&client.Pool{DialTimeout: time.Second}, upstreamServer.Listener.Addr().String()))
	t.Cleanup(server.Close)
	return server.URL
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

// A caller resumes after the last event of an answer, so no event is left to send. It must
// still get the engine's status and headers, not those of the router.
func TestResponseWithoutEventsKeepsUpstreamHeaders(t *testing.T) {
	url := startProxy(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "r")
		w.Header().Set("Seal", "engine")
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush()
	})
	resp, body := doRequest(t, http.MethodPost, url+"/s/1", bytes.NewReader([]byte("x")))
	if got := resp.Header.Get("Seal"); resp.StatusCode != http.StatusOK || got != "engine" || len(body) != 0 {
		t.Errorf("got %d with seal %q and %d bytes, want only the engine's headers", resp.StatusCode, got, len(body))
	}
}

// All instances crashed and restarted, and callers return before the slow store has sent
// the configuration. A request must wait up to 400 ms for the configuration, since a
// rejected caller would have no retry left. If no configuration arrives in time, the
// response must contain Retry-After.
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

// panickingRunner panics instead of running a call.
type panickingRunner struct{}

func (panickingRunner) Do(context.Context, *relay.Call) relay.Reply { panic("bug") }

// Guards against cutting a begun stream because engines refused its request before one of
// them began: refusals use up no attempt.
func TestRefusalsDoNotCutBegunStream(t *testing.T) {
	const refusals = 7
	var requests atomic.Int32
	url := startProxy(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "r")
		switch n := requests.Add(1); {
		case n <= refusals:
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		case n == refusals+1:
			w.Header().Set("Seal", "s")
			writeEvents(w, 1)
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set("Seal", "s")
			_, _ = io.WriteString(w, "id: 2\ndata: x\n\n")
		}
	})
	_, body := doRequest(t, http.MethodPost, url+"/s/1", bytes.NewReader([]byte("x")))
	if got := strings.Count(string(body), "id: "); got != 2 {
		t.Errorf("got %d events, want 2", got)
	}
}

// Guards against events that the router keeps to itself while a stream waits to be
// continued: the engine stops in the middle of the second event, and no engine takes the
// stream for a while. Its caller must get the first event at once. Without it the caller has
// neither an answer nor a refusal, and gets none if the wait ends at the deadline.
func TestEventBeforeBrokenOneIsForwardedAtOnce(t *testing.T) {
	first := make(chan struct{}, 1)
	first <- struct{}{}
	url := startProxy(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Id", "r")
		select {
		case <-first:
			w.Header().Set("Seal", "s")
			_, _ = io.WriteString(w, "id: 1\ndata: x\n\nid: 2\nda")
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		default:
			w.Header().Set("Not-Run", "1")
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/s/1", bytes.NewReader([]byte("x")))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Id", "r")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatalf("got %v within 2s, want the status and the first event", err)
	}
	defer func() { _ = resp.Body.Close() }()
	if line, err := bufio.NewReader(resp.Body).ReadString('\n'); line != "id: 1\n" {
		t.Errorf("got %q (%v) within 2s, want the first event", line, err)
	}
}

// Guards against cutting the end of an answer whose engine was silent before it for longer
// than a caller may read nothing.
func TestLateEndOfAnswerIsWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		network := &inmem.Net{}
		upstream, err := network.Listen(t.Context(), "engine")
		if err != nil {
			t.Fatal(err)
		}
		engine := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			w.Header().Set("Id", "r")
			w.Header().Set("Seal", "s")
			writeEvents(w, 1)
			time.Sleep(11 * time.Second)
		})}
		go func() { _ = engine.Serve(upstream) }()
		callers := inmem.Listen()
		server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: newServer(&client.Pool{DialTimeout: time.Second, Dial: network.Dial}, "engine")}
		go func() { _ = server.Serve(callers) }()
		defer func() { _, _ = server.Close(), engine.Close() }()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://127.0.0.1/s/1", strings.NewReader("x"))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Id", "r")
		resp, err := callers.Client().Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		if body, err := io.ReadAll(resp.Body); err != nil || !bytes.HasPrefix(body, []byte("id: 1")) {
			t.Errorf("got %q and %v, want the whole answer", body, err)
		}
	})
}

// Guards against requests that end without an answer and without a trace, because the
// handler panicked.
func TestPanicIsReported(t *testing.T) {
	var reported []any
	s := &front.Server{
		Dialect: dialect{}, ConfigSource: newStaticConfig(), PlainRunner: panickingRunner{},
		OnPanic: func(_ *http.Request, value any) { reported = append(reported, value) },
	}
	defer func() {
		if value := recover(); value != "bug" || len(reported) != 1 || reported[0] != "bug" {
			t.Errorf("got panic %v with %v reported, want the panic reported once and continued", value, reported)
		}
	}()
	s.ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "http://127.0.0.1/p/1", nil))
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
		t.Errorf("got %d for a response without a seal, want 502 without Retry-After", resp.StatusCode)
	}
}

// BenchmarkEvent forwards one event. The upstream and the caller run in the same process,
// so the time includes all three.
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

// BenchmarkRequest forwards one plain request and its response in the same setup.
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
