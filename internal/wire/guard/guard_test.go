package guard_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/wire/guard"
)

// client is a claim whose eviction closes it, as the end of a request does.
type client struct {
	*guard.Claim
	evicted bool
}

func open(a *guard.Account) *client {
	c := &client{}
	c.Claim = a.Open(false, func() {
		c.evicted = true
		go c.Close()
	})
	return c
}

// Guards against stalled callers that keep the room of an account from others.
func TestStalledCallerGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := guard.NewAccount(100<<10, 0)
		running, moving, stalled, small := open(a), open(a), open(a), open(a)
		for _, c := range []*client{running, moving, stalled, small} {
			c.StartWait(guard.WaitBody)
		}
		if !running.Grow(20<<10) || !moving.Grow(25<<10) || !stalled.Grow(25<<10) || !small.Grow(1<<10) {
			t.Fatal("got no room in an empty account")
		}
		running.StartWait(guard.WaitNone)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			moving.Received(16 << 10)
			small.Received(1)
		}
		last := open(a)
		if !last.Grow(20<<10) || running.evicted || moving.evicted || small.evicted || !stalled.evicted {
			t.Errorf("got evictions of %v %v %v %v, want that of the stalled caller alone", running.evicted, moving.evicted, small.evicted, stalled.evicted)
		}
	})
}

// Guards against a caller that sends a byte now and then to stay.
func TestTricklingCallerGoes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := guard.NewAccount(100<<10, 0)
		trickling := open(a)
		trickling.StartWait(guard.WaitBody)
		trickling.Grow(50 << 10)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			trickling.Received(1)
		}
		if !open(a).Grow(40<<10) || !trickling.evicted {
			t.Error("got no room beside a caller that sends a byte in each 100 ms")
		}
	})
}

// Guards against large requests that leave no room for small ones, and against room that is given out before
// it is free.
func TestLargeRequestsLeaveRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := guard.NewAccount(100<<10, 0)
		large := open(a)
		if large.Grow(60 << 10) {
			t.Error("got room for a request of more than half, want none")
		}
		for range 10 {
			open(a).Grow(20 << 10)
		}
		if !open(a).Grow(5 << 10) {
			t.Error("got no room for a small request beside large ones")
		}
		leaving := guard.NewAccount(100<<10, 0)
		slow := leaving.Open(false, func() {})
		slow.Grow(50 << 10)
		slow.StartWait(guard.WaitBody)
		time.Sleep(time.Second)
		start := time.Now()
		time.AfterFunc(300*time.Millisecond, slow.Close)
		if !open(leaving).Grow(40<<10) || time.Since(start) != 300*time.Millisecond {
			t.Errorf("got room after %s, want it once the evicted caller has given it back", time.Since(start))
		}
	})
}

// Guards against connections in use that are closed for new ones, and new ones that find no room beside idle
// ones.
func TestConnectionsOfIdleCallersGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := guard.NewAccount(0, 3)
		var gone []string
		conn := func(name string) *guard.Claim { return a.OpenConn(1<<10, func() { gone = append(gone, name) }) }
		running, idle, silent := conn("running"), conn("idle"), conn("silent")
		running.StartWait(guard.WaitNone)
		idle.StartWait(guard.WaitIdle)
		silent.StartWait(guard.WaitHead)
		time.Sleep(time.Second)
		for range 2 {
			conn("new").StartWait(guard.WaitNone)
		}
		if got, want := fmt.Sprint(gone), "[silent idle]"; got != want {
			t.Errorf("got connections %s closed, want %s", got, want)
		}
		if conn("last") != nil {
			t.Error("got room for a connection while all others are in use, want none")
		}
	})
}

// Guards against silent connections that stay for good since they came while others were being closed.
func TestConnectionsOfACrowdGo(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := guard.NewAccount(100<<10, 0)
		for range 20 {
			var c *guard.Claim
			c = a.OpenConn(30<<10, func() { time.AfterFunc(10*time.Millisecond, c.Close) })
			c.StartWait(guard.WaitHead)
			time.Sleep(time.Millisecond)
		}
		time.Sleep(time.Second)
		if !open(a).Grow(40 << 10) {
			t.Error("got no room beside silent connections, want some of them closed")
		}
	})
}

// serve serves a guarded address and returns it.
func serve(t *testing.T, g *guard.Guard, h http.HandlerFunc) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute, Protocols: protocols}
	guarded := g.Attach(server, l)
	go func() { _ = server.Serve(guarded) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// exchange sends text on a new connection and returns the status of the answer.
func exchange(t *testing.T, address, text string) string {
	t.Helper()
	conn, err := new(net.Dialer).DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	go func() { _, _ = io.WriteString(conn, text) }()
	line, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil {
		return err.Error()
	}
	return strings.Fields(line)[1]
}

// Guards against heads that are refused though they are inside the limit, refusals that are lost because
// their callers still send, and limits that OPTIONS * escapes.
func TestHeadsAndBodiesAtTheirLimits(t *testing.T) {
	g := &guard.Guard{Account: guard.NewAccount(64<<20, 0), Limits: func() guard.Limits { return guard.Limits{HeadBytes: 16 << 10} }}
	address := serve(t, g, func(w http.ResponseWriter, r *http.Request) {
		if _, err := (guard.Body{MaxBytes: 1 << 20, MaxPause: time.Second}).Read(w, r); err != nil {
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		}
	})
	head := func(n int) string {
		const start, end = "POST / HTTP/1.1\r\nHost: a\r\nX: ", "\r\nContent-Length: 5000\r\n\r\n"
		return start + strings.Repeat("x", n-len(start)-len(end)) + end + strings.Repeat("y", 5000)
	}
	options := "OPTIONS * HTTP/1.1\r\nHost: a\r\n\r\n"
	for name, test := range map[string]struct{ text, want string }{
		"head at its limit":       {head(16 << 10), "200"},
		"head without end":        {"POST / HTTP/1.1\r\nX: " + strings.Repeat("x", 4<<20), "431"},
		"body at its limit":       {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat("y", 1<<20), "200"},
		"body over its limit":     {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4194304\r\n\r\n" + strings.Repeat("y", 4<<20), "413"},
		"body that stops":         {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\ny", "413"},
		"request for the server":  {options, "200"},
		"head without end, again": {strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 3) + options, "200"},
	} {
		t.Run(name, func(t *testing.T) {
			if got := exchange(t, address, test.text); got != test.want {
				t.Errorf("got %s, want status %s", got, test.want)
			}
		})
	}
}

// Guards against refusals of requests whose bodies are not read that wait for those bodies.
func TestRefusalDoesNotWaitForBody(t *testing.T) {
	g := &guard.Guard{Limits: func() guard.Limits { return guard.Limits{} }}
	address := serve(t, g, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusUnauthorized) })
	if got := exchange(t, address, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n"); got != "401" {
		t.Errorf("got %s, want status 401", got)
	}
}

// Guards against a refusal on an HTTP/2 stream that waits for a window, and against one that announces a body
// and has none.
func TestRefusalOnStreamIsAHead(t *testing.T) {
	answer := func(status int) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "4")
			w.WriteHeader(status)
			_, _ = io.WriteString(w, "text")
		}
	}
	// There is room for a connection and one stream.
	g := &guard.Guard{
		Account: guard.NewAccount(66<<10, 0), Limits: func() guard.Limits { return guard.Limits{} },
		Refuse: answer(http.StatusServiceUnavailable),
	}
	running, end := make(chan struct{}), make(chan struct{})
	address := serve(t, g, func(w http.ResponseWriter, r *http.Request) {
		close(running)
		<-end
		answer(http.StatusOK)(w, r)
	})
	protocols := &http.Protocols{}
	protocols.SetUnencryptedHTTP2(true)
	transport := &http.Transport{Protocols: protocols}
	defer transport.CloseIdleConnections()
	get := func() string {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+address+"/", nil)
		if err != nil {
			return err.Error()
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return err.Error()
		}
		defer func() { _ = resp.Body.Close() }()
		body, err := io.ReadAll(resp.Body)
		return fmt.Sprintf("%d %q %v", resp.StatusCode, body, err)
	}
	first := make(chan string, 1)
	go func() { first <- get() }()
	select {
	case <-running:
	case got := <-first:
		t.Fatalf("got %s from a stream that there is room for, want it to run", got)
	}
	if got, want := get(), `503 "" <nil>`; got != want {
		t.Errorf("got %s beside a stream that runs, want %s", got, want)
	}
	close(end)
	if got, want := <-first, `200 "text" <nil>`; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}
