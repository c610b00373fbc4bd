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

// testServer is an HTTP server that a Drainer shuts down. The handler of /slow writes
// one part of its answer, waits until release is closed and writes the other.
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

// Guards against a shutdown that never ends because the balancer has no other instance
// and keeps sending. The listener must close after MaxAccept all the same. Later
// requests on keep-alive connections get the answer of AfterClose, and the answer in
// progress must be complete.
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
				t.Errorf("got %q before MaxAccept was over, want an answer", text)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		if text, ok := s.get("/fast"); ok && text == "fast" {
			t.Errorf("got %q after MaxAccept, want no such answer", text)
		}
		close(s.release)
		if text := <-slow; text != "first last" {
			t.Errorf("got %q, want the complete slow answer", text)
		}
		if err := <-s.runResult; err != nil {
			t.Errorf("got %v from Run, want nil", err)
		}
	})
}

// get returns the body of the answer and true, or an error's text or partial body and
// false.
func (s *testServer) get(path string) (string, bool) {
	resp, err := s.client.Get("http://in" + path)
	if err != nil {
		return err.Error(), false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err == nil
}

// hasEnded reports whether Run has returned. An error from Run fails the test.
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

// Guards against a shutdown that cuts a running request. An answer takes ten hours, and
// the instance gets a stop signal at its start and twice more a minute later. The caller
// must receive the complete answer, and Run must return only after it.
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
			t.Fatal("got a return of Run while a request was in progress")
		}
		close(s.release)
		if got, want := <-answer, "first last"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		// Server.Shutdown polls for idle connections.
		time.Sleep(time.Minute)
		if !s.hasEnded(t) {
			t.Error("got no return of Run after the last request, want it")
		}
	})
}

// Guards against rejected requests while the balancer has not yet noticed that the
// instance is stopping and still sends. Each request must be answered, with a request to
// close its connection, and the listener may close only once none has arrived for the
// grace period.
func TestAcceptsRequestsUntilGraceWithoutOne(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t)
		s.drainer.Begin()
		for range 20 {
			time.Sleep(grace - time.Second)
			if got, ok := s.get("/fast"); !ok || got != "fast" {
				t.Fatalf("got %q while stopping, want the answer of /fast", got)
			}
		}
		if s.hasEnded(t) {
			t.Fatal("got a return of Run while requests still arrived")
		}
		time.Sleep(grace + time.Minute)
		if !s.hasEnded(t) {
			t.Fatal("got no return of Run after the grace period, want it")
		}
		if got, ok := s.get("/fast"); ok {
			t.Errorf("got %q after Run returned, want the connection refused", got)
		}
	})
}

// Guards against a second signal that waits for the grace period: CloseListeners must
// close the listeners at once, although the balancer may still send.
func TestCloseListenersSkipsTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := startServer(t)
		s.drainer.CloseListeners()
		time.Sleep(time.Second)
		if !s.hasEnded(t) || !s.drainer.Stopping() || s.drainer.Running() != 0 {
			t.Error("got no return of Run 1s after CloseListeners, want it, stopping and with no running request")
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
			t.Error("got no return of Run, want it")
		}
	})
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	d := &halt.Drainer{Log: zap.NewNop()}
	if err := d.Run(ctx); err == nil {
		t.Error("got nil, want the context's error")
	}
}
