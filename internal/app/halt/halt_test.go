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

// site is a server that ends under a Halt. Requests to /slow write a piece,
// wait for the gate and write another.
type site struct {
	halt   *halt.Halt
	gate   chan struct{}
	listen *inmem.Listener
	ended  chan error
	client *http.Client
}

func start(t *testing.T) *site {
	t.Helper()
	s := &site{
		halt: &halt.Halt{Grace: grace, Log: zap.NewNop()}, gate: make(chan struct{}),
		listen: inmem.Listen(), ended: make(chan error, 1),
	}
	s.client = s.listen.Client()
	mux := http.NewServeMux()
	mux.HandleFunc("/fast", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "fast") })
	mux.HandleFunc("/slow", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "first ")
		_ = http.NewResponseController(w).Flush()
		<-s.gate
		_, _ = io.WriteString(w, "last")
	})
	server := &http.Server{Handler: s.halt.Handler(mux), ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(s.listen) }()
	go func() { s.ended <- s.halt.Run(context.Background(), server) }()
	return s
}

// The balancer has no other instance and goes on sending. The listener closes
// after the most time all the same; who comes on a kept connection after that
// is told to go elsewhere, and the answer in progress ends whole.
func TestListenerClosesThoughRequestsCome(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		s.halt.Most = 15 * time.Second
		s.halt.Late = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
		slow := make(chan string)
		go func() {
			text, _ := s.get("/slow")
			slow <- text
		}()
		s.halt.Begin()
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
		close(s.gate)
		if text := <-slow; text != "first last" {
			t.Errorf("got %q, want the whole slow answer", text)
		}
		if err := <-s.ended; err != nil {
			t.Errorf("got %v, want a clean end", err)
		}
	})
}

// get returns the answer's text, or the error.
func (s *site) get(path string) (string, bool) {
	resp, err := s.client.Get("http://in" + path)
	if err != nil {
		return err.Error(), false
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	return string(data), err == nil
}

// over reports whether Run returned, which it must do without an error.
func (s *site) over(t *testing.T) bool {
	t.Helper()
	synctest.Wait()
	select {
	case err := <-s.ended:
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
func TestNoTimerAndNoSignalCutsARequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		answer := make(chan string, 1)
		go func() {
			text, _ := s.get("/slow")
			answer <- text
		}()
		synctest.Wait()
		s.halt.Begin()
		time.Sleep(time.Minute)
		s.halt.Hurry()
		s.halt.Hurry()
		time.Sleep(10 * time.Hour)
		if s.over(t) {
			t.Fatal("got the end while a request was in progress")
		}
		close(s.gate)
		if got, want := <-answer, "first last"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
		// The server looks for ended requests now and then.
		time.Sleep(time.Minute)
		if !s.over(t) {
			t.Error("got no end after the last request, want it")
		}
	})
}

// The balancer has not noticed yet that the instance stops and still sends
// requests. Their callers see answers; the listener closes only once none has
// come for the grace, and each answer asks its connection to go elsewhere.
func TestAcceptsWhileTheBalancerSends(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		s.halt.Begin()
		for range 20 {
			time.Sleep(grace - time.Second)
			if got, ok := s.get("/fast"); !ok || got != "fast" {
				t.Fatalf("got %q while stopping, want the answer", got)
			}
		}
		if s.over(t) {
			t.Fatal("got the end while requests still came")
		}
		time.Sleep(grace + time.Minute)
		if !s.over(t) {
			t.Fatal("got no end after the grace, want it")
		}
		if got, ok := s.get("/fast"); ok {
			t.Errorf("got %q after the end, want the connection refused", got)
		}
	})
}

// A second signal closes the listener although the balancer still sends.
func TestHurryEndsTheWaitForTheBalancer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
		s.halt.Hurry()
		time.Sleep(time.Second)
		if !s.over(t) || !s.halt.Stopping() || s.halt.Running() != 0 {
			t.Error("got no end a second after the signal, want it")
		}
	})
}

func TestAnswersAskConnectionsToClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := start(t)
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
			s.halt.Begin()
		}
		s.halt.Hurry()
		time.Sleep(time.Minute)
		s.client.CloseIdleConnections()
		if !s.over(t) {
			t.Error("got no end, want it")
		}
	})
}

func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	h := &halt.Halt{Log: zap.NewNop()}
	if err := h.Run(ctx); err == nil {
		t.Error("got nil, want the context's error")
	}
}
