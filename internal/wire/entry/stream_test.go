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

// openStream serves s on a network in the process and posts ask to it.
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

// The caller stops reading a stream in the middle. The engine goes on making
// tokens until the bounded buffer is full; then the request ends and the
// connection is cut without an ending. The caller takes up what they had with
// the last whole event's id on another instance and sees every token once.
func TestSlowReaderIsCutAndCanResume(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		many := make([]string, 400)
		for i := range many {
			many[i] = strings.Repeat(string(rune('a'+i%26)), 50)
		}
		made := 0
		s := newServer(&fakeModels{words: many, beforeWord: func(i int) { made = i }})
		s.Limits.WriteTime = time.Minute
		resp := openStream(t, s)
		head := make([]byte, 3000)
		n, _ := resp.Body.Read(head)
		synctest.Wait()
		if made > 100 {
			t.Errorf("got %d tokens made for a caller that reads none, want them bounded", made)
		}
		time.Sleep(2 * time.Minute)
		synctest.Wait()
		var rest strings.Builder
		_, err := readUntilError(&rest, resp)
		if err == nil {
			t.Error("got a stream that ends as a whole one, want it cut")
		}
		had := parseEvents(string(head[:n]) + rest.String())
		if len(had) == 0 || strings.Contains(rest.String(), "[DONE]") {
			t.Fatalf("got %d events, want some and no [DONE]", len(had))
		}
		again := newServer(&fakeModels{words: many})
		again.Limits.Buffer = 1 << 20
		more := parseEvents(resumeChat(again, firstKey, had[len(had)-1].id, chatBody).Body.String())
		if got, want := eventText(had)+eventText(more), strings.Join(many, ""); got != want {
			t.Errorf("got %d bytes after the resume, want the %d of the answer", len(got), len(want))
		}
	})
}

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

// The caller's proxy closes connections that are silent for a minute. An
// answer whose next token takes ten minutes reaches the caller whole, since
// comments go out meanwhile; clients pass them over.
func TestCommentsKeepIdleStreamOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := &fakeModels{words: []string{"a", "b"}, beforeWord: func(i int) { time.Sleep(time.Duration(i) * 10 * time.Minute) }}
		s := newServer(m)
		s.Limits.Comment = 15 * time.Second
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

// The caller goes away in the middle of a stream. The work behind it must end,
// or engines would go on for nobody; no class is blamed for the caller's doing.
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
		seen := &fakeObserver{}
		s.Observer = seen
		resp := openStream(t, s)
		if _, err := resp.Body.Read(make([]byte, 10)); err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if err := <-ended; err == nil {
			t.Error("got no end of the work, want its context ended")
		}
		synctest.Wait()
		if seen.count() != 0 {
			t.Errorf("got %d observed ends, want 0", seen.count())
		}
	})
}

// The caller asks for a whole answer and reads none of it. The request ends
// after the write pause and gives its place back; an instance that stops would
// otherwise wait for that caller for ever.
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
			t.Errorf("got %d after the write pause, want 200", w.Code)
		}
	})
}

// The balancer keeps a connection. Long after a stream on it, when the
// stream's last write deadline has passed, the next question on it is
// answered, also by what sets no deadline of its own, such as /readyz.
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

// Each token takes no memory, however long the answer: encoder, resume token
// and buffer are reused. The counts are of whole streams of two lengths.
func TestMemoryDoesNotGrowWithTheAnswer(t *testing.T) {
	allocs := func(n int) float64 {
		many := make([]string, n)
		for i := range many {
			many[i] = "word "
		}
		s := newServer(&fakeModels{words: many})
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

// discardResponse is a response that takes everything and keeps nothing.
type discardResponse struct{ header http.Header }

func (d *discardResponse) Header() http.Header         { return d.header }
func (d *discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (d *discardResponse) WriteHeader(int)             {}
func (d *discardResponse) Flush()                      {}
