package halt_test

import (
	"context"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/app/halt"
	"fulmarwick/internal/fakes/inmem"

	"go.uber.org/zap"
)

const grace = 10 * time.Second

// testServer is a server that ends under a Halt. Requests to /slow write a piece,
// wait for the gate and write another.
type testServer struct {
	drainer   *halt.Drainer
	release   chan struct{}
	listener  *inmem.Listener
	runResult chan error
	client    *http.Client
}

func startServer(t *testing.T) *testServer {
	t.Helper()
	s := &testServer{
		drainer: &halt.Drainer{Grace: grace, Log: zap.NewNop()}, release: make(chan struct{}),
		listener: inmem.Listen(), runResult: make(chan error, 1),
	}
	s.client = s.listener.Client()
	mux := http.NewServeMux()
	mux.HandleFunc("/fast", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fast") })
	mux.HandleFunc("/slow", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		<-s.release
		_, _ = io.WriteString(w, "last")
	})
	server := &http.Server{Handler: s.drainer.Handler(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(s.listener) }()
	go func() { s.runResult <- s.drainer.Run(context.Background(), server) }()
	return s
}

// The balancer has no other instance and goes on sending. The listener closes
// after the most time all the same; who comes on a kept connection after that
// is told to go elsewhere, and the answer in progress ends whole.
func TestListenerClosesAfterMaxAcceptDespiteRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t)
		s.drainer.MaxAccept = 15 * time.Second
		s.drainer.AfterClose = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		slow := make(chan string)
		go func() {
			text, _ := s.get("/slow")
			slow <- text
		}()
		s.drainer.Begin()
		for range 14 {
			time.Sleep(time.Second)
			if text, ok := s.get("/fast"); !ok {
				t.Errorf("got %q before the most time, want an answer", text)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		if text, ok := s.get("/fast"); ok && text == "fast" {
			t.Errorf("got %q after the most time, want none", text)
		}
		close(s.release)
		if text := <-slow; text != "first last" {
			t.Errorf("got %q, want the whole slow answer", text)
		}
		if err := <-s.runResult; err != nil {
			t.Errorf("got %v, want a clean end", err)
		}
	})
}

// get returns the answer's text, or the error.
func (s *testServer) get(path string) (string, bool) {
	resp, err := s.client.Get("http://in" + path)
	if err != nil {
		return err.Error(), false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err == nil
}

// hasEnded reports whether Run returned, which it must do without an error.
func (s *testServer) hasEnded(t *testing.T) bool {
	t.Helper()
	synctest.Wait()
	select {
	case err := <-s.runResult:
		if err != nil {
			t.Errorf("got %v from Run, want nil", err)
		}
		return true
	default:
		return false
	}
}

// The caller's answer takes ten hours, and the instance is told to stop in its
// first minute, twice. The caller sees the whole answer; the instance ends
// only then.
func TestShutdownNeverCutsARunningRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t)
		answer := make(chan string, 1)
		go func() {
			text, _ := s.get("/slow")
			answer <- text
		}()
		synctest.Wait()
		s.drainer.Begin()
		time.Sleep(time.Minute)
		s.drainer.CloseListeners()
		s.drainer.CloseListeners()
		time.Sleep(10 * time.Hour)
		if s.hasEnded(t) {
			t.Fatal("got the end while a request was in progress")
		}
		close(s.release)
		if got, want := <-answer, "first last"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		// The server looks for ended requests now and then.
		time.Sleep(time.Minute)
		if !s.hasEnded(t) {
			t.Error("got no end after the last request, want it")
		}
	})
}

// The balancer has not noticed yet that the instance stops and still sends
// requests. Their callers see answers; the listener closes only once none has
// come for the grace, and each answer asks its connection to go elsewhere.
func TestAcceptsRequestsUntilGraceWithoutOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t)
		s.drainer.Begin()
		for range 20 {
			time.Sleep(grace - time.Second)
			if got, ok := s.get("/fast"); !ok || got != "fast" {
				t.Fatalf("got %q while stopping, want the answer", got)
			}
		}
		if s.hasEnded(t) {
			t.Fatal("got the end while requests still came")
		}
		time.Sleep(grace + time.Minute)
		if !s.hasEnded(t) {
			t.Fatal("got no end after the grace, want it")
		}
		if got, ok := s.get("/fast"); ok {
			t.Errorf("got %q after the end, want the connection refused", got)
		}
	})
}

// A second signal closes the listener although the balancer still sends.
func TestCloseListenersSkipsTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t)
		s.drainer.CloseListeners()
		time.Sleep(time.Second)
		if !s.hasEnded(t) || !s.drainer.Stopping() || s.drainer.Running() != 0 {
			t.Error("got no end a second after the signal, want it")
		}
	})
}

func TestAnswersAskConnectionsToClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t)
		for _, want := range []bool{false, true} {
			resp, err := s.client.Get("http://in/fast")
			if err != nil {
				t.Fatal(err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			_ = resp.Body.Close()
			if resp.Close != want {
				t.Errorf("got Connection: close %v, want %v", resp.Close, want)
			}
			s.drainer.Begin()
		}
		s.drainer.CloseListeners()
		time.Sleep(time.Minute)
		s.client.CloseIdleConnections()
		if !s.hasEnded(t) {
			t.Error("got no end, want it")
		}
	})
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	h := &halt.Drainer{Log: zap.NewNop()}
	if err := h.Run(ctx); err == nil {
		t.Error("got nil, want the context's error")
	}
}
