package front_test

import (
	"bufio"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/internal/wire/client"
	"fulmarwick/internal/wire/front"
	"fulmarwick/internal/wire/guard"
)

// Guards against refusals of requests that were not read whole that promise less than they may, or more: no
// upstream got the request, and its caller may come again.
func TestRequestsThatAreNotReadWhole(t *testing.T) {
	for name, test := range map[string]struct {
		announced, sent int
		status          int
		after           string
		runs            int32
	}{
		"whole body":   {10, 10, http.StatusOK, "", 1},
		"no memory":    {60 << 10, 60 << 10, http.StatusServiceUnavailable, "0.200", 0},
		"stalled body": {100, 10, http.StatusRequestTimeout, "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var runs atomic.Int32
				upstreams, callers := inmem.Listen(), inmem.Listen()
				upstream := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
					runs.Add(1)
					w.Header().Set("Seal", "s")
				})}
				go func() { _ = upstream.Serve(upstreams) }()
				defer func() { _ = upstream.Close() }()
				pool := &client.Pool{DialTimeout: time.Second, Dial: upstreams.Dial}
				defer pool.CloseUnused(nil)
				g := &guard.Guard{Account: guard.NewAccount(100<<10, 0), Limits: func() guard.Limits { return guard.Limits{} }}
				server := &http.Server{Handler: newServer(pool, "upstream")}
				guarded := g.Attach(server, callers)
				go func() { _ = server.Serve(guarded) }()
				defer func() { _ = server.Close() }()
				conn, err := callers.Dial(t.Context(), "", "")
				if err != nil {
					t.Fatal(err)
				}
				defer func() { _ = conn.Close() }()
				go func() {
					_, _ = fmt.Fprintf(conn, "POST /p/1 HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: %d\r\n\r\n%s", test.announced, strings.Repeat("x", test.sent))
				}()
				resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
				if err != nil {
					t.Fatal(err)
				}
				_ = resp.Body.Close()
				if got := resp.Header.Get("Retry-After"); resp.StatusCode != test.status || got != test.after || runs.Load() != test.runs {
					t.Errorf("got status %d, Retry-After %q and %d runs; want %d, %q and %d", resp.StatusCode, got, runs.Load(), test.status, test.after, test.runs)
				}
			})
		})
	}
}

// Guards against passed requests that take memory without limit, and a caller that is refused though another
// instance has memory.
func TestPassedRequestWithoutMemory(t *testing.T) {
	s := newServer(&client.Pool{}, "upstream")
	s.Account = guard.NewAccount(1<<10, 0)
	w := httptest.NewRecorder()
	s.ServePassed(t.Context(), w, front.Passed{Method: http.MethodPost, URI: "/p/1", Host: "127.0.0.1", Header: http.Header{"Id": {"r"}}, Body: make([]byte, 1<<10), Config: 1})
	resp := w.Result()
	defer func() { _ = resp.Body.Close() }()
	if !front.IsUnreached(resp) {
		t.Errorf("got status %d, want a refusal after which another instance is asked", resp.StatusCode)
	}
}
