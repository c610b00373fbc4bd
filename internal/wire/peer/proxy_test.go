package peer_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/wire/peer"

	"github.com/go-faster/errors"
)

// requestServer serves passed requests with a function.
type requestServer func(ctx context.Context, w http.ResponseWriter, r peer.Request)

func (s requestServer) ServePassed(ctx context.Context, w http.ResponseWriter, _ spec.InstanceID, r peer.Request) {
	s(ctx, w, r)
}

// passRequest passes a request from instance a to instance b, which serves it with a function.
func passRequest(t *testing.T, serve requestServer, check func(s *network, ctx context.Context, pass func() (*http.Response, error))) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t)
		defer s.close()
		s.add("a", nil, func(h *peer.Hub) { h.ReadTimeout = 1200 * time.Millisecond })
		s.add("b", nil, func(h *peer.Hub) { h.RequestServer, h.ReadTimeout = serve, 1200*time.Millisecond })
		s.announce()
		s.waitForMembers(1)
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		defer cancel()
		request := peer.Request{Method: http.MethodPost, URI: "/x?a=1", Host: "h.example", Header: http.Header{"Key": {"k"}}, Body: []byte("body"), LeftMs: 20000, LastEvent: 7}
		check(s, ctx, func() (*http.Response, error) { return s.hubs[0].hub.RoundTrip(ctx, node.Peer{ID: "b"}, request) })
	})
}

// A request must arrive as it was sent, and its response as it was written, piece by piece.
func TestPassedRequestAndResponseAreUnchanged(t *testing.T) {
	long := strings.Repeat("x", 200_000)
	passRequest(t, func(ctx context.Context, w http.ResponseWriter, r peer.Request) {
		if r.Method != http.MethodPost || r.URI != "/x?a=1" || r.Host != "h.example" || r.Header.Get("Key") != "k" || string(r.Body) != "body" || r.LastEvent != 7 {
			t.Errorf("got %+v, want the request as it was sent", r)
		}
		if deadline, ok := ctx.Deadline(); !ok || time.Until(deadline) > 20*time.Second {
			t.Errorf("got the deadline %v, want at most the time left", deadline)
		}
		w.Header().Set("Seal", "s")
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, "first")
		time.Sleep(5 * time.Second)
		_, _ = io.WriteString(w, long)
	}, func(_ *network, _ context.Context, pass func() (*http.Response, error)) {
		start := time.Now()
		resp, err := pass()
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		first := make([]byte, 5)
		if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != "first" || time.Since(start) > time.Second {
			t.Errorf("got %q (%v) after %s, want the first piece at once", first, err, time.Since(start))
		}
		rest, err := io.ReadAll(resp.Body)
		if err != nil || string(rest) != long || resp.StatusCode != http.StatusAccepted || resp.Header.Get("Seal") != "s" {
			t.Errorf("got status %d with %d more bytes (%v), want 202 with %d", resp.StatusCode, len(rest), err, len(long))
		}
	})
}

// A response that breaks off, by its handler or with the connection, must not look complete, and
// a request without a response may have run.
func TestBrokenPassedResponseIsNoEnd(t *testing.T) {
	for name, broken := range map[string]struct {
		serve requestServer
		sever bool
	}{
		"handler": {func(_ context.Context, w http.ResponseWriter, _ peer.Request) {
			_, _ = io.WriteString(w, "part")
			panic(http.ErrAbortHandler)
		}, false},
		"connection": {func(ctx context.Context, w http.ResponseWriter, _ peer.Request) {
			_, _ = io.WriteString(w, "part")
			<-ctx.Done()
		}, true},
		"no head": {func(context.Context, http.ResponseWriter, peer.Request) { panic(http.ErrAbortHandler) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			passRequest(t, broken.serve, func(s *network, _ context.Context, pass func() (*http.Response, error)) {
				resp, err := pass()
				if err == nil {
					defer func() { _ = resp.Body.Close() }()
					if broken.sever {
						s.sever("10.0.0.1:7000")
						s.sever("10.0.0.2:7000")
					}
					_, err = io.ReadAll(resp.Body)
				}
				if !errors.Is(err, peer.ErrBroken) {
					t.Errorf("got %v, want broken", err)
				}
			})
		})
	}
}

// A caller that leaves must end its request at the other instance.
func TestPassedRequestEndsWithItsCaller(t *testing.T) {
	stopped := make(chan time.Duration, 1)
	passRequest(t, func(ctx context.Context, w http.ResponseWriter, _ peer.Request) {
		start := time.Now()
		_, _ = io.WriteString(w, "part")
		<-ctx.Done()
		stopped <- time.Since(start)
	}, func(s *network, _ context.Context, pass func() (*http.Response, error)) {
		resp, err := pass()
		if err != nil {
			t.Fatal(err)
		}
		time.Sleep(2 * time.Second)
		_ = resp.Body.Close()
		if took := <-stopped; took > 3*time.Second {
			t.Errorf("got the request ended after %s, want it to end with its caller after 2s", took)
		}
		synctest.Wait()
		if got := s.hubs[1].hub.Jobs(); got != 0 {
			t.Errorf("got %d requests left, want none", got)
		}
	})
}

// An instance that serves no passed requests, or is not known, has not run one.
func TestPassedRequestIsRefused(t *testing.T) {
	passRequest(t, nil, func(s *network, ctx context.Context, pass func() (*http.Response, error)) {
		s.hubs[1].hub.RequestServer = nil
		if _, err := pass(); !errors.Is(err, peer.ErrRefused) {
			t.Errorf("got %v, want refused", err)
		}
		request := peer.Request{Method: http.MethodGet, URI: "/", LeftMs: 1000}
		if _, err := s.hubs[0].hub.RoundTrip(ctx, node.Peer{ID: "z"}, request); !errors.Is(err, peer.ErrRefused) {
			t.Errorf("got %v for an unknown instance, want refused", err)
		}
	})
}

// Guards against a cancellation that is dropped because the queue of the connection is full: the
// other instance then goes on with the request of a caller that has left.
func TestCancellationIsSentOnCongestedConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		h := &peer.Hub{Self: node.Peer{ID: "a"}, Logic: idleLogic{}}
		done := make(chan error, 1)
		go func() { done <- h.Run(ctx) }()
		queue := h.CancelOnFullQueue()
		<-queue
		synctest.Wait()
		if got := len(queue); got != 1 {
			t.Errorf("got %d frames after the one that filled the queue, want the cancellation", got)
		}
		cancel()
		if err := <-done; err != nil {
			t.Errorf("got %v at the end, want none", err)
		}
	})
}

// idleLogic is fleet logic that does nothing.
type idleLogic struct{}

func (idleLogic) Tick(time.Duration, []node.Event) []node.Command { return nil }
