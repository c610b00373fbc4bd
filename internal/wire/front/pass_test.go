package front_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/internal/wire/client"
	"fulmarwick/internal/wire/front"
	"fulmarwick/internal/wire/relay"
)

// peers is a relay.Peers without other instances.
type peers struct{ lost bool }

func (p peers) LinksLost() bool { return p.lost }

func (p peers) Pass(context.Context, *relay.Call, relay.PassCause, int) (*http.Response, error) {
	return nil, relay.ErrNoPeer
}

// servePassed passes a request to a server in front of an upstream that answers with its body.
func servePassed(t *testing.T, lost bool, change func(*front.Passed)) *http.Response {
	t.Helper()
	upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Seal", "s")
		_, _ = io.Copy(w, r.Body)
	}))
	t.Cleanup(upstream.Close)
	s := newServer(&client.Pool{DialTimeout: time.Second}, upstream.Listener.Addr().String())
	s.PlainRunner.(*relay.PlainRunner).Peers = peers{lost: lost}
	p := front.Passed{Method: http.MethodPost, URI: "/p/1?a=1", Host: "127.0.0.1", Header: http.Header{"Id": {"r"}}, Body: []byte("body"), Config: 1}
	change(&p)
	w := httptest.NewRecorder()
	s.ServePassed(t.Context(), w, p)
	return w.Result()
}

// A passed request must be served like a caller's own. One that this instance can't serve must be
// refused so that another instance is asked, and one that no instance may serve so that none is.
func TestPassedRequestIsServedOrRefused(t *testing.T) {
	for name, test := range map[string]struct {
		lost      bool
		change    func(*front.Passed)
		status    int
		body      string
		unreached bool
	}{
		"served":              {false, func(*front.Passed) {}, http.StatusOK, "body", false},
		"links lost":          {true, func(*front.Passed) {}, http.StatusServiceUnavailable, "no upstream\n", true},
		"older configuration": {false, func(p *front.Passed) { p.Config = 2 }, http.StatusServiceUnavailable, "configuration is older\n", true},
		"malformed URI":       {false, func(p *front.Passed) { p.URI = "p" }, http.StatusBadRequest, "malformed URI\n", false},
		"unknown route":       {false, func(p *front.Passed) { p.URI = "/z/1" }, http.StatusNotFound, "no such route\n", false},
	} {
		t.Run(name, func(t *testing.T) {
			resp := servePassed(t, test.lost, test.change)
			defer func() { _ = resp.Body.Close() }()
			body, err := io.ReadAll(resp.Body)
			if err != nil || resp.StatusCode != test.status || string(body) != test.body || front.IsUnreached(resp) != test.unreached {
				t.Errorf("got status %d, body %q, unreached %t (%v), want %d, %q, %t", resp.StatusCode, body, front.IsUnreached(resp), err, test.status, test.body, test.unreached)
			}
		})
	}
}

// slowPaths selects the upstream after a delay, whether or not the caller has left.
type slowPaths struct {
	singleUpstream
	delay time.Duration
}

func (s slowPaths) StartRun(ctx context.Context, c *relay.Call, o relay.RunOptions) (*relay.Run, error) {
	time.Sleep(s.delay)
	return s.singleUpstream.StartRun(ctx, c, o)
}

// Guards against requests that an instance that is late, or that learns late that a caller has left,
// sends to an engine after the caller has stopped waiting for the first event.
func TestPassedRequestOfTimedOutCallerIsNotSent(t *testing.T) {
	for name, test := range map[string]struct {
		left, delay time.Duration
		sent        int32
	}{
		"caller waits":      {2 * time.Second, 1900 * time.Millisecond, 1},
		"caller has left":   {2 * time.Second, 2500 * time.Millisecond, 0},
		"little time left":  {300 * time.Millisecond, 600 * time.Millisecond, 0},
		"time left unknown": {0, 4 * time.Second, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var sent atomic.Int32
				listener := inmem.Listen()
				upstream := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					sent.Add(1)
					w.Header().Set("Id", r.Header.Get("Id"))
					w.Header().Set("Seal", "s")
					writeEvents(w, 1)
				})}
				go func() { _ = upstream.Serve(listener) }()
				defer func() { _ = upstream.Close() }()
				pool := &client.Pool{DialTimeout: time.Second, Dial: listener.Dial}
				s := newServer(pool, "upstream")
				s.ModelRunner.(*relay.ModelRunner).Paths = slowPaths{singleUpstream{address: "upstream"}, test.delay}
				ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
				defer cancel()
				w := httptest.NewRecorder()
				s.ServePassed(ctx, w, front.Passed{Method: http.MethodPost, URI: "/s/1", Host: "127.0.0.1", Header: http.Header{"Id": {"r"}}, Config: 1, EventTimeout: test.left})
				if got := sent.Load(); got != test.sent {
					t.Errorf("got %d requests at the engine, want %d", got, test.sent)
				}
				pool.CloseUnused(nil)
			})
		})
	}
}
