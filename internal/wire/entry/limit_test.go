package entry_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/entry"

	sdk "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
	"go.opentelemetry.io/otel/trace"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// fakeObserver counts what an Observer is told.
type fakeObserver struct {
	mu   sync.Mutex
	ends []string
}

func (s *fakeObserver) Served(class spec.Class, _, _, _ time.Duration, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ends = append(s.ends, fmt.Sprint(class.Name(), ok))
}

func (s *fakeObserver) count() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.ends)
}

func TestObserverGetsEveryEnd(t *testing.T) {
	s := newServer(&fakeModels{words: []string{"a"}})
	seen := &fakeObserver{}
	s.Observer = seen
	postChat(s, chatBody)
	s.Models = &fakeModels{err: &chain.RefusedError{}}
	postChat(s, chatBody)
	if got, want := fmt.Sprint(seen.ends), "[answertrue answerfalse]"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
	var b bytes.Buffer
	s.Meters.WritePrometheus(&b)
	for _, want := range []string{`fulmarwick_requests_total{class="answer",code="ok"} 1`, `fulmarwick_tokens_total{class="answer"} 1`, "fulmarwick_requests_running 0"} {
		if !strings.Contains(b.String(), want) {
			t.Errorf("got metrics %s, want %s in them", b.String(), want)
		}
	}
}

func TestBodyOverLimit(t *testing.T) {
	w := postChat(newServer(&fakeModels{}), chatBody+strings.Repeat(" ", 5000))
	wantFault(t, w, http.StatusRequestEntityTooLarge, "body-size")
}

// sendRaw sends bytes to a server in the bubble and returns what comes back, if
// the other end reads.
func sendRaw(t *testing.T, s *entry.Server, send string, reads bool) *syncBuffer {
	t.Helper()
	l := inmem.Listen()
	server := s.HTTP(s.Handler(), nil)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	conn, err := l.Dial(t.Context(), "", "")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	go func() { _, _ = io.WriteString(conn, send) }()
	got := &syncBuffer{}
	if reads {
		go func() { _, _ = io.Copy(got, conn) }()
	}
	return got
}

// syncBuffer is a buffer that one goroutine fills while another looks.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *syncBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(b)
}

func (l *syncBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// The caller's network stalls in the middle of a body. The instance tells so
// after the pause allowed and holds the connection no longer; a body that
// moves, however slowly, is read to its end.
func TestStalledBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(&fakeModels{})
		s.Limits.BodyTime = 10 * time.Second
		head := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + firstKey + "\r\nContent-Length: 100\r\n\r\n{"
		got := sendRaw(t, s, head, true)
		time.Sleep(9 * time.Second)
		synctest.Wait()
		if got.String() != "" {
			t.Errorf("got %q before the pause ended, want nothing", got)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if !strings.Contains(got.String(), "408") || !strings.Contains(got.String(), "body-slow") {
			t.Errorf("got %q, want 408 and body-slow", got)
		}
	})
}

// sendSlowly sends body in pieces of the size given, one every nine seconds, to a
// server that allows pauses of ten.
func sendSlowly(t *testing.T, body string, size int) string {
	t.Helper()
	s := newServer(&fakeModels{words: []string{"a"}})
	s.Limits.BodyTime = 10 * time.Second
	l := inmem.Listen()
	server := s.HTTP(s.Handler(), nil)
	go func() { _ = server.Serve(l) }()
	out, into := io.Pipe()
	var sender sync.WaitGroup
	sender.Go(func() {
		for len(body) > 0 {
			time.Sleep(9 * time.Second)
			n, err := into.Write([]byte(body[:min(size, len(body))]))
			body = body[n:]
			if err != nil {
				return
			}
		}
		_ = into.Close()
	})
	req, _ := http.NewRequest(http.MethodPost, "http://in/v1/chat/completions", out)
	req.Header.Set("Authorization", "Bearer "+firstKey)
	client := l.Client()
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	got := readAll(t, resp.Body)
	_ = resp.Body.Close()
	_ = out.Close()
	sender.Wait()
	client.CloseIdleConnections()
	_ = server.Close()
	return got
}

// The caller's link is slow, but its body moves. It is read to its end.
func TestSlowBodyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := chatBody + strings.Repeat(" ", 4000-len(chatBody))
		if got := sendSlowly(t, body, 1100); !strings.Contains(got, "[DONE]") {
			t.Errorf("got %q, want the whole answer", got)
		}
	})
}

// A hostile caller sends a byte just often enough that no pause is too long.
// It loses its place all the same.
func TestTrickledBodyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if got := sendSlowly(t, chatBody, 1); !strings.Contains(got, "body-slow") {
			t.Errorf("got %q, want body-slow", got)
		}
		if took := time.Since(began); took > 20*time.Second {
			t.Errorf("got it cut after %s, want within two pauses", took)
		}
	})
}

// The caller sends headers without end, or none at all; the connection ends
// and nothing was kept.
func TestHeadersAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(&fakeModels{})
		s.Limits.HeaderTime = 5 * time.Second
		large := sendRaw(t, s, "GET /v1/models HTTP/1.1\r\nHost: a\r\nX-A: "+strings.Repeat("a", 20000)+"\r\n\r\n", true)
		idle := sendRaw(t, s, "GET /v1/models HTTP/1.1\r\nHost:", true)
		time.Sleep(6 * time.Second)
		synctest.Wait()
		if !strings.Contains(large.String(), "431") {
			t.Errorf("got %q for large headers, want 431", large)
		}
		if strings.Contains(idle.String(), "200") {
			t.Errorf("got %q for cut headers, want no answer", idle)
		}
	})
}

// blockedModel is a model that answers only once its gate opens.
type blockedModel struct {
	mu      sync.Mutex
	started int
	unblock chan struct{}
}

func (g *blockedModel) Run(ctx context.Context, _ chain.Job, sink chain.Sink) (chain.Result, error) {
	g.mu.Lock()
	g.started++
	g.mu.Unlock()
	select {
	case <-g.unblock:
	case <-ctx.Done():
		return chain.Result{}, ctx.Err()
	}
	return chain.Result{Tokens: 1}, sink(chain.Token{Text: "a"})
}

func (g *blockedModel) count() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.started
}

// A team that opens more streams than it may sees 429 for the next one, at
// once, while another team is served; above the limit of the instance anyone
// sees 503. Both are told when to come back, and nothing of theirs ran.
func TestStreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &blockedModel{unblock: make(chan struct{})}
		s := newServer(g)
		s.Limits.Team, s.Limits.Streams = 2, 3
		for _, bearer := range []string{firstKey, firstKey, secondKey} {
			go resumeChat(s, bearer, "", chatBody)
		}
		synctest.Wait()
		full := resumeChat(s, secondKey, "", chatBody)
		wantFault(t, full, http.StatusServiceUnavailable, "busy")
		if full.Header().Get("Retry-After") != "1" || g.count() != 3 {
			t.Errorf("got Retry-After %q and %d running, want 1 and 3", full.Header().Get("Retry-After"), g.count())
		}
		s.Limits.Streams = 0
		close(g.unblock)
		synctest.Wait()
		if w := postChat(s, chatBody); w.Code != http.StatusOK {
			t.Errorf("got %d after the others ended, want 200", w.Code)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		g := &blockedModel{unblock: make(chan struct{})}
		s := newServer(g)
		s.Limits.Team, s.Limits.Streams = 2, 10
		go postChat(s, chatBody)
		go postChat(s, chatBody)
		synctest.Wait()
		wantFault(t, postChat(s, chatBody), http.StatusTooManyRequests, "team-streams")
		close(g.unblock)
	})
}

// One HTTP/2 connection carries at most the streams set: a third waits at the
// client until one of two ends, so that a single connection cannot take the
// whole instance.
func TestStreamsOfAConnectionAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := &blockedModel{unblock: make(chan struct{})}
		s := newServer(g)
		s.Limits.Connection = 2
		l := inmem.Listen()
		server := s.HTTP(s.Handler(), nil)
		go func() { _ = server.Serve(l) }()
		protocols := &http.Protocols{}
		protocols.SetUnencryptedHTTP2(true)
		transport := &http.Transport{
			DialContext: l.Dial, Protocols: protocols,
			HTTP2: &http.HTTP2Config{StrictMaxConcurrentRequests: true},
		}
		client := &http.Client{Transport: transport}
		var all sync.WaitGroup
		for range 3 {
			all.Go(func() {
				req := request("http://in/v1/chat/completions", chatBody)
				req.RequestURI = ""
				resp, err := client.Do(req)
				if err != nil {
					t.Errorf("got %v, want an answer", err)
					return
				}
				_ = readAll(t, resp.Body)
				_ = resp.Body.Close()
			})
			synctest.Wait()
		}
		if got := g.count(); got != 2 {
			t.Errorf("got %d running, want 2", got)
		}
		close(g.unblock)
		all.Wait()
		if got := g.count(); got != 3 {
			t.Errorf("got %d run in the end, want 3", got)
		}
		transport.CloseIdleConnections()
		_ = server.Close()
	})
}

func TestTLSServesHTTP2(t *testing.T) {
	s := newServer(&fakeModels{})
	server := s.HTTP(s.Handler(), &tls.Config{MinVersion: tls.VersionTLS13})
	if !server.Protocols.HTTP2() || server.Protocols.UnencryptedHTTP2() {
		t.Errorf("got protocols %s, want HTTP/2 with TLS only", server.Protocols)
	}
}

// The trace of the caller goes on to the layers below, whether or not spans
// are kept here, and no span or log line holds the team's key.
func TestTracePropagatesAndKeysAreNotLogged(t *testing.T) {
	const parent = "4bf92f3577b34da6a3ce929d0e0e4736"
	recorder := tracetest.NewSpanRecorder()
	for _, provider := range []trace.TracerProvider{nil, sdk.NewTracerProvider(sdk.WithSpanProcessor(recorder))} {
		var got string
		m := &fakeModels{words: []string{"a"}, err: &chain.RefusedError{}, onJob: func(ctx context.Context, _ chain.Job) {
			got = trace.SpanContextFromContext(ctx).TraceID().String()
		}}
		var lines bytes.Buffer
		s := newServer(m)
		s.Spans = provider
		s.Log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&lines), zap.DebugLevel))
		req := request("/v1/chat/completions", chatBody)
		req.Header.Set("Traceparent", "00-"+parent+"-00f067aa0ba902b7-01")
		serve(s, req)
		if got != parent {
			t.Errorf("got trace %s below, want %s", got, parent)
		}
		if lines.Len() == 0 || strings.Contains(lines.String(), firstKey) {
			t.Errorf("got log %q, want a line without the key", lines.String())
		}
	}
	if len(recorder.Ended()) != 1 {
		t.Fatalf("got %d spans, want 1", len(recorder.Ended()))
	}
	span := recorder.Ended()[0]
	if got := fmt.Sprint(span.Name(), span.Attributes()); strings.Contains(got, firstKey) || !strings.Contains(got, "answer") {
		t.Errorf("got span %s, want the class and no key", got)
	}
}
