package crowd_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"fulmarwick/internal/fakes/trial"
	"fulmarwick/platform/stand"
)

const (
	// bodyLimit and headLimit are the largest body and head that callers may send.
	bodyLimit = 1 << 20
	headLimit = 16 << 10
	// patience is how long an ordinary caller waits for an answer, with its retries: less than the
	// time after which the first of a crowd's silent connections are closed for their age.
	patience = 8 * time.Second
	// startTimeout limits the wait for a process to be ready.
	startTimeout = 30 * time.Second
)

// system is a process with the stand-ins that it needs.
type system struct {
	*process
	// callers, ready, metrics, mesh and operators are addresses of the process; it has not all of them.
	callers, ready, metrics, mesh, operators string
	// path and headers are those of a proper request with a body.
	path, headers string
	// release lets the upstream of edge answer requests to heldPath.
	release chan struct{}
	// held are the IDs of these requests.
	held sync.Map

	requests atomic.Int64
}

const (
	// heldPath is the path of requests that the upstream of edge answers after release.
	heldPath = "/book/held"
	// largePath is the path of requests to edge with an answer of largeAnswer bytes.
	largePath   = "/book/large"
	largeAnswer = 256 << 10
)

// onEach runs a test against a process of edge and one of serve.
func onEach(t *testing.T, test func(s *system)) {
	t.Helper()
	t.Run("edge", func(t *testing.T) { test(startEdge(t)) })
	t.Run("serve", func(t *testing.T) { test(startServe(t)) })
}

// startEdge starts an instance between a store and an upstream of a plain service.
func startEdge(t *testing.T) *system {
	t.Helper()
	s := &system{path: "/book/1", headers: "Host: site.example\r\nX-Api-Key: key-1\r\nDeadline-Ms: 20000\r\nRequest-Id: crowd\r\n", release: make(chan struct{})}
	site := stand.NewSite()
	t.Cleanup(site.Close)
	store := &stand.Store{}
	var config map[string]any
	if err := json.Unmarshal(site.Config(1), &config); err != nil {
		t.Fatal(err)
	}
	config["limits"] = map[string]any{"max-header-bytes": headLimit, "max-body-bytes": bodyLimit, "header-timeout-ms": 10000, "idle-timeout-ms": 15000}
	store.Put("op", "config", encode(t, config))
	store.Put("servers", "desk-1", encode(t, map[string]any{
		"service": site.PlainService, "address": serve(t, http.HandlerFunc(s.answer)), "zone": "a", "version": "v1", "slots": 600, "state": "ready", "sequence": 1, "born": 1,
	}))
	callers, ready, metrics, mesh := freePort(t), freePort(t), freePort(t), freePort(t)
	s.callers, s.ready, s.metrics, s.mesh = loopback(callers), loopback(ready), loopback(metrics), loopback(mesh)
	s.process = launch(t, []int{callers, ready, metrics, mesh}, "edge", "--settings", writeSettings(t, fmt.Sprintf(`[instance]
name = edge-1
datacentre = a
region = west
[listen]
callers = %s
ready = %s
metrics = %s
mesh = %s
[platform]
table = http://%s
[limits]
memory = %d
[times]
grace = 1s
kill = %s
`, s.callers, s.ready, s.metrics, s.mesh, serve(t, store), memoryLimit, killAfter)))
	s.awaitReady(t, "http://"+s.ready+"/")
	return s
}

// startServe starts an instance between the platform, engines and a plain service of a trial.
func startServe(t *testing.T) *system {
	t.Helper()
	s := &system{path: "/v1/calls/payment", headers: "Host: site.example\r\nAuthorization: Bearer " + trial.Key + "\r\nIdempotency-Key: crowd\r\n"}
	site := &trial.Site{LayerTime: 100 * time.Microsecond}
	if err := site.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(site.Close)
	callers, operators := freePort(t), freePort(t)
	s.callers, s.operators = loopback(callers), loopback(operators)
	s.process = launch(t, []int{callers, operators}, "serve", "--settings", writeSettings(t, fmt.Sprintf(`[instance]
name = serve-1
datacentre = %s
region = west
[listen]
callers = %s
operators = %s
[platform]
table = %s
[limits]
memory = %d
body = %d
header = %d
[times]
grace = 1s
`, trial.Centre, s.callers, s.operators, site.URL(), memoryLimit, bodyLimit, headLimit)))
	s.awaitReady(t, "http://"+s.operators+"/readyz")
	return s
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

func encode(t *testing.T, v any) []byte {
	t.Helper()
	data, err := json.Marshal(v)
	if err != nil {
		t.Fatal(err)
	}
	return data
}

func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "settings.ini")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// serve serves a stand-in and returns its address.
func serve(t *testing.T, h http.Handler) string {
	t.Helper()
	l, err := new(net.ListenConfig).Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(l) }()
	t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// answer answers a request as the upstream of edge.
func (s *system) answer(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, body := r.Header.Get("Request-Id"), "answer"
	switch r.URL.Path {
	case heldPath:
		s.held.Store(id, true)
		select {
		case <-s.release:
		case <-r.Context().Done():
		}
	case largePath:
		body = strings.Repeat("x", largeAnswer)
	}
	stand.Seal(w.Header(), r)
	_, _ = io.WriteString(w, body)
}

func (s *system) awaitReady(t *testing.T, url string) {
	t.Helper()
	for begin := time.Now(); time.Since(begin) < startTimeout; time.Sleep(20 * time.Millisecond) {
		if status, _ := get(t, url); status == http.StatusOK {
			return
		}
	}
	t.Fatalf("got no ready process after %s, want one", startTimeout)
}

func get(t *testing.T, url string) (int, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode, nil
}

// checkServed sends one ordinary request and fails the test if it is not served. Like the callers of the
// platform, it comes again after a refusal and after a connection that was closed before its request was
// read.
func (s *system) checkServed() {
	s.t.Helper()
	ctx, cancel := context.WithTimeout(s.t.Context(), patience)
	defer cancel()
	last := ""
	for ctx.Err() == nil {
		status, err := s.send(ctx, s.path, "ordinary")
		if status == http.StatusOK {
			return
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
		select {
		case <-ctx.Done():
		case <-time.After(200 * time.Millisecond):
		}
	}
	s.t.Errorf("got no answer to an ordinary request, at last %s; want one beside the crowd", last)
}

// send sends one request on a new connection and returns the status of its answer.
func (s *system) send(ctx context.Context, path, body string) (int, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, err
	}
	for line := range strings.SplitSeq(strings.TrimSpace(s.headers), "\r\n") {
		name, value, _ := strings.Cut(line, ": ")
		req.Header.Set(name, value)
	}
	req.Host = req.Header.Get("Host")
	id := fmt.Sprintf("r%d", s.requests.Add(1))
	for _, name := range []string{"Request-Id", "Idempotency-Key"} {
		if req.Header.Get(name) != "" {
			req.Header.Set(name, id)
		}
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, err
	}
	return resp.StatusCode, nil
}

// sendTimeout limits how long a member of a crowd takes to send what it has to send.
const sendTimeout = 20 * time.Second

// crowd opens n connections to an address and calls send for each. It returns once all have sent what
// they had to send, or were closed, and the process has read what it reads. The connections stay open
// until the end of the test.
func (s *system) crowd(address string, n int, send func(c net.Conn)) {
	s.t.Helper()
	var sent sync.WaitGroup
	dialer := net.Dialer{Timeout: sendTimeout}
	for range n {
		sent.Go(func() {
			c, err := dialer.DialContext(s.t.Context(), "tcp", address)
			if err != nil {
				return
			}
			s.t.Cleanup(func() { _ = c.Close() })
			_ = c.SetWriteDeadline(time.Now().Add(sendTimeout))
			send(c)
		})
	}
	sent.Wait()
	s.awaitRead()
}

// write writes the texts to a connection until it fails.
func write(c net.Conn, texts ...string) {
	for _, text := range texts {
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}

// head returns the head of a request with further header lines.
func (s *system) head(path string, lines ...string) string {
	return "POST " + path + " HTTP/1.1\r\n" + s.headers + strings.Join(lines, "") + "\r\n"
}
