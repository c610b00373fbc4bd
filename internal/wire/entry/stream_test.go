package entry_test

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/entry"
)

// openStream serves s on an in-memory network and posts chatBody to it.
func openStream(t *testing.T, s *entry.Server) *http.Response {
	t.Helper()
	l := inmem.Listen()
	server := s.HTTP(s.Handler(), nil)
	go func() { _ = server.Serve(l) }()
	client := l.Client()
	t.Cleanup(func() {
		client.CloseIdleConnections()
		_ = server.Close()
	})
	req, err := http.NewRequest(http.MethodPost, "http://in/v1/chat/completions", strings.NewReader(chatBody))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+firstKey)
	resp, err := client.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// The caller stops reading in the middle of a stream. The engine produces tokens
// until the bounded buffer is full. Then the request must end and the connection
// must be aborted without [DONE]. The caller resumes on another instance with the
// id of the last complete event and must get every token exactly once.
func TestSlowReaderIsCutAndCanResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tokens := make([]string, 400)
		for i := range tokens {
			tokens[i] = strings.Repeat(string(rune('a'+i%26)), 50)
		}
		made := 0
		s := newServer(&fakeModels{words: tokens, beforeWord: func(i int) { made = i }})
		s.Limits.WriteTime = time.Minute
		resp := openStream(t, s)
		head := make([]byte, 3000)
		n, _ := resp.Body.Read(head)
		synctest.Wait()
		if made > 100 {
			t.Errorf("got %d tokens produced for a caller that reads none, want at most 100", made)
		}
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		var rest strings.Builder
		_, err := readUntilError(&rest, resp)
		if err == nil {
			t.Error("got a stream that ends normally, want it aborted")
		}
		received := parseEvents(string(head[:n]) + rest.String())
		if len(received) == 0 || strings.Contains(rest.String(), "[DONE]") {
			t.Fatalf("got %d events, want some and no [DONE]", len(received))
		}
		second := newServer(&fakeModels{words: tokens})
		second.Limits.Buffer = 1 << 20
		resumed := parseEvents(resumeChat(second, firstKey, received[len(received)-1].id, chatBody).Body.String())
		if got, want := eventText(received)+eventText(resumed), strings.Join(tokens, ""); got != want {
			t.Errorf("got %d bytes after the resume, want the %d of the answer", len(got), len(want))
		}
	})
}

// readUntilError copies the body of resp to b. It returns nil at its end.
func readUntilError(b *strings.Builder, resp *http.Response) (int, error) {
	buf := make([]byte, 1024)
	total := 0
	for {
		n, err := resp.Body.Read(buf)
		b.Write(buf[:n])
		total += n
		if err != nil {
			if err.Error() == "EOF" {
				err = nil
			}
			return total, err
		}
	}
}

// The caller's proxy closes connections that are idle for a minute. If the next
// token takes ten minutes, comments sent every 15 s must keep the connection open.
// Clients ignore comments.
func TestCommentsKeepIdleStreamOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeModels{words: []string{"a", "b"}, beforeWord: func(i int) { time.Sleep(time.Duration(i) * 10 * time.Minute) }}
		s := newServer(m)
		s.Limits.CommentInterval = 15 * time.Second
		resp := openStream(t, s)
		got := readAll(t, resp.Body)
		if n := strings.Count(got, ": wait\n\n"); n < 38 || n > 40 {
			t.Errorf("got %d comments in ten minutes, want one in 15 s", n)
		}
		if eventText(parseEvents(got)) != "ab" || !strings.HasSuffix(got, "data: [DONE]\n\n") {
			t.Errorf("got %q, want both tokens and [DONE]", got)
		}
	})
}

// The caller disconnects in the middle of a stream. The request must be canceled,
// or engines would continue without a reader. The Observer must not be notified,
// because the class is not at fault.
func TestCallerDisconnects(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan error, 1)
		s := newServer(nil)
		s.Models = runFunc(func(ctx context.Context, _ chain.Job, sink chain.Sink) (chain.Result, error) {
			_ = sink(chain.Token{Text: "a"})
			<-ctx.Done()
			ended <- ctx.Err()
			return chain.Result{}, ctx.Err()
		})
		observer := &fakeObserver{}
		s.Observer = observer
		resp := openStream(t, s)
		if _, err := resp.Body.Read(make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if err := <-ended; err == nil {
			t.Error("got a request that was not canceled, want it canceled")
		}
		synctest.Wait()
		if observer.count() != 0 {
			t.Errorf("got %d observed ends, want 0", observer.count())
		}
	})
}

// The caller requests an answer that is not streamed and reads none of it. The
// request must end after the write timeout and free its slot. Otherwise the
// shutdown of the instance would wait for that caller forever.
func TestUnreadAnswerTimesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(&fakeModels{words: []string{strings.Repeat("x", 1<<20)}})
		s.Limits.WriteTime = time.Minute
		s.Limits.Streams = 1
		whole := strings.Replace(chatBody, "true", "false", 1)
		sendRaw(t, s, "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer "+firstKey+
			"\r\nContent-Length: "+strconv.Itoa(len(whole))+"\r\n\r\n"+whole, false)
		synctest.Wait()
		wantFault(t, postChat(s, chatBody), http.StatusServiceUnavailable, "busy")
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		if w := postChat(s, chatBody); w.Code != http.StatusOK {
			t.Errorf("got %d after the write timeout, want 200", w.Code)
		}
	})
}

// A load balancer reuses a connection long after a stream on it, when the write
// deadline of the stream has passed. The next request on it must be answered, also
// by handlers that set no deadline, such as /readyz.
func TestConnectionReusedAfterStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(&fakeModels{words: []string{"a"}})
		s.Limits.WriteTime = 30 * time.Second
		mux := http.NewServeMux()
		mux.Handle("/v1/", s.Handler())
		mux.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ready")) })
		l := inmem.Listen()
		server := s.HTTP(mux, nil)
		go func() { _ = server.Serve(l) }()
		dials := 0
		transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			dials++
			return l.Dial(ctx, network, address)
		}}
		client := &http.Client{Transport: transport}
		for _, path := range []string{"/v1/chat/completions", "/readyz", "/v1/chat/completions"} {
			req, err := http.NewRequest(http.MethodPost, "http://in"+path, strings.NewReader(chatBody))
			if err != nil {
				t.Fatal(err)
			}
			req.Header.Set("Authorization", "Bearer "+firstKey)
			resp, err := client.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			if got := readAll(t, resp.Body); resp.StatusCode != http.StatusOK || got == "" {
				t.Errorf("got %d %q from %s, want an answer", resp.StatusCode, got, path)
			}
			_ = resp.Body.Close()
			time.Sleep(time.Minute)
		}
		if dials != 1 {
			t.Errorf("got %d connections, want 1", dials)
		}
		transport.CloseIdleConnections()
		_ = server.Close()
	})
}

type runFunc func(ctx context.Context, job chain.Job, sink chain.Sink) (chain.Result, error)

func (f runFunc) Run(ctx context.Context, job chain.Job, sink chain.Sink) (chain.Result, error) {
	return f(ctx, job, sink)
}

// Streaming must not allocate per token, however long the answer: the encoder, the
// resume token and the buffer are reused. The test compares the allocations of
// streams of 10 and 2010 tokens.
func TestMemoryDoesNotGrowWithTheAnswer(t *testing.T) {
	allocs := func(n int) float64 {
		tokens := make([]string, n)
		for i := range tokens {
			tokens[i] = "word "
		}
		s := newServer(&fakeModels{words: tokens})
		s.Limits.Buffer = 1 << 20
		h := s.Handler()
		return testing.AllocsPerRun(20, func() {
			h.ServeHTTP(&discardResponse{header: http.Header{}}, request("/v1/chat/completions", chatBody))
		})
	}
	short, long := allocs(10), allocs(2010)
	if perToken := (long - short) / 2000; perToken > 0.05 {
		t.Errorf("got %.3f allocations per token (%.0f and %.0f in all), want none", perToken, short, long)
	}
}

// discardResponse is a ResponseWriter that discards all data.
type discardResponse struct{ header http.Header }

func (d *discardResponse) Header() http.Header         { return d.header }
func (d *discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardResponse) WriteHeader(int)             {}
func (d *discardResponse) Flush()                      {}
