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

// fakeObserver records the calls of Served.
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
	observer := &fakeObserver{}
	s.Observer = observer
	postChat(s, chatBody)
	s.Models = &fakeModels{err: &chain.RefusedError{}}
	postChat(s, chatBody)
	if got, want := fmt.Sprint(observer.ends), "[answertrue answerfalse]"; got != want {
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

// sendRaw sends bytes to a server on an in-memory network. It returns a buffer that
// receives the response, if readReply is set.
func sendRaw(t *testing.T, s *entry.Server, send string, readReply bool) *syncBuffer {
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
	if readReply {
		go func() { _, _ = io.Copy(got, conn) }()
	}
	return got
}

// syncBuffer is a buffer that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// The caller's network stalls in the middle of a body. After the body timeout of
// 10 s the caller must get 408, and the connection is not kept open. Without the
// timeout it would stay open forever.
func TestStalledBody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(&fakeModels{})
		s.Limits.BodyTime = 10 * time.Second
		head := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + firstKey + "\r\nContent-Length: 100\r\n\r\n{"
		got := sendRaw(t, s, head, true)
		time.Sleep(9 * time.Second)
		synctest.Wait()
		if got.String() != "" {
			t.Errorf("got %q before the timeout, want nothing", got)
		}
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if !strings.Contains(got.String(), "408") || !strings.Contains(got.String(), "body-slow") {
			t.Errorf("got %q, want 408 and body-slow", got)
		}
		if !strings.Contains(got.String(), "Connection: close") {
			t.Errorf("got %q, want the connection to be closed", got)
		}
	})
}

// sendSlowly sends body in pieces of the given size, one every 9 s, to a server
// with a body timeout of 10 s. It returns the response.
func sendSlowly(t *testing.T, body string, size int) string {
	t.Helper()
	s := newServer(&fakeModels{words: []string{"a"}})
	s.Limits.BodyTime = 10 * time.Second
	l := inmem.Listen()
	server := s.HTTP(s.Handler(), nil)
	go func() { _ = server.Serve(l) }()
	reader, writer := io.Pipe()
	var sender sync.WaitGroup
	sender.Go(func() {
		for len(body) > 0 {
			time.Sleep(9 * time.Second)
			n, err := writer.Write([]byte(body[:min(size, len(body))]))
			body = body[n:]
			if err != nil {
				return
			}
		}
		_ = writer.Close()
	})
	req, _ := http.NewRequest(http.MethodPost, "http://in/v1/chat/completions", reader)
	req.Header.Set("Authorization", "Bearer "+firstKey)
	client := l.Client()
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	got := readAll(t, resp.Body)
	_ = resp.Body.Close()
	_ = reader.Close()
	sender.Wait()
	client.CloseIdleConnections()
	_ = server.Close()
	return got
}

// The caller's link is slow, but no piece of the body takes longer than the
// timeout. The body must be read to its end.
func TestSlowBodyIsRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		body := chatBody + strings.Repeat(" ", 4000-len(chatBody))
		if got := sendSlowly(t, body, 1100); !strings.Contains(got, "[DONE]") {
			t.Errorf("got %q, want the whole answer", got)
		}
	})
}

// A malicious caller sends single bytes just often enough that no read times out.
// Its request must be rejected within two timeouts, because it is below the
// minimum rate.
func TestTrickledBodyIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		if got := sendSlowly(t, chatBody, 1); !strings.Contains(got, "body-slow") {
			t.Errorf("got %q, want body-slow", got)
		}
		if took := time.Since(began); took > 20*time.Second {
			t.Errorf("got it rejected after %s, want within two timeouts", took)
		}
	})
}

// One caller sends headers of 20000 bytes with a limit of 8192 and must get 431.
// Another stops in the middle of its headers for longer than the header timeout of
// 5 s and must get no answer.
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
			t.Errorf("got %q for incomplete headers, want no answer", idle)
		}
	})
}

// blockedModel is a model that answers only after unblock is closed.
type blockedModel struct {
	mu      sync.Mutex
	started int
	unblock chan struct{}
}

func (m *blockedModel) Run(ctx context.Context, _ chain.Job, sink chain.Sink) (chain.Result, error) {
	m.mu.Lock()
	m.started++
	m.mu.Unlock()
	select {
	case <-m.unblock:
	case <-ctx.Done():
		return chain.Result{}, ctx.Err()
	}
	return chain.Result{Tokens: 1}, sink(chain.Token{Text: "a"})
}

func (m *blockedModel) count() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.started
}

// A request above the team's limit on concurrent streams must get 429 immediately.
// Above the limit of the instance a request of any team must get 503 with
// Retry-After. Rejected requests must not run.
func TestStreamsAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := &blockedModel{unblock: make(chan struct{})}
		s := newServer(model)
		s.Limits.TeamStreams, s.Limits.Streams = 2, 3
		for _, bearer := range []string{firstKey, firstKey, secondKey} {
			go resumeChat(s, bearer, "", chatBody)
		}
		synctest.Wait()
		rejected := resumeChat(s, secondKey, "", chatBody)
		wantFault(t, rejected, http.StatusServiceUnavailable, "busy")
		if rejected.Header().Get("Retry-After") != "1" || model.count() != 3 {
			t.Errorf("got Retry-After %q and %d running, want 1 and 3", rejected.Header().Get("Retry-After"), model.count())
		}
		s.Limits.Streams = 0
		close(model.unblock)
		synctest.Wait()
		if w := postChat(s, chatBody); w.Code != http.StatusOK {
			t.Errorf("got %d after the others ended, want 200", w.Code)
		}
	})
	synctest.Test(t, func(t *testing.T) {
		model := &blockedModel{unblock: make(chan struct{})}
		s := newServer(model)
		s.Limits.TeamStreams, s.Limits.Streams = 2, 10
		go postChat(s, chatBody)
		go postChat(s, chatBody)
		synctest.Wait()
		wantFault(t, postChat(s, chatBody), http.StatusTooManyRequests, "team-streams")
		close(model.unblock)
	})
}

// One HTTP/2 connection carries at most Limits.ConnectionStreams streams. With a
// limit of 2, a third request waits at the client until another ends. Otherwise a single
// connection could occupy the whole instance.
func TestStreamsOfAConnectionAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		model := &blockedModel{unblock: make(chan struct{})}
		s := newServer(model)
		s.Limits.ConnectionStreams = 2
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
		var requests sync.WaitGroup
		for range 3 {
			requests.Go(func() {
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
		if got := model.count(); got != 2 {
			t.Errorf("got %d running, want 2", got)
		}
		close(model.unblock)
		requests.Wait()
		if got := model.count(); got != 3 {
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

// The trace of the caller must be passed on to the models, whether or not spans
// are recorded here. No span or log line may contain the team's key.
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
		s.TracerProvider = provider
		s.Log = zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), zapcore.AddSync(&lines), zap.DebugLevel))
		req := request("/v1/chat/completions", chatBody)
		req.Header.Set("Traceparent", "00-"+parent+"-00f067aa0ba902b7-01")
		serve(s, req)
		if got != parent {
			t.Errorf("got trace %s in the model, want %s", got, parent)
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
