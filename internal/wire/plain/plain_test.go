package plain_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/desk"
	"fulmarwick/internal/state/ledger"
	"fulmarwick/internal/wire/plain"

	"github.com/go-faster/errors"
)

func payment(key string) ledger.Call {
	return ledger.NewCall("team", "payment", "payments", key, "text/plain", []byte("42"))
}

func sender(bases ...string) *plain.Sender {
	s := &plain.Sender{HTTP: plain.NewHTTP()}
	s.Locate("payments", bases)
	return s
}

func server(t *testing.T, h http.Handler) string {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return s.URL
}

// closedURL returns a base URL at which nothing listens.
func closedURL(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return "http://" + l.Addr().String()
}

// dropper runs a server that answers requests under /warm, so that the
// connection is kept. It reads and counts every other request and drops its
// connection.
func dropper(t *testing.T) (string, *atomic.Int32) {
	var runs atomic.Int32
	return server(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		_, _ = io.Copy(io.Discard, req.Body)
		if strings.HasPrefix(req.URL.Path, "/warm") {
			return
		}
		runs.Add(1)
		panic(http.ErrAbortHandler)
	})), &runs
}

func warm(t *testing.T, c *http.Client, base string) {
	t.Helper()
	resp, err := c.Get(base + "/warm")
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// A service reads a payment, records it and drops a connection that was used
// before. A plain http.Client resends the payment on its own because it has an
// Idempotency-Key: the service records it twice without the caller knowing. The
// sender must send it once and report that the outcome is unknown.
func TestDroppedConnectionIsNotReplayed(t *testing.T) {
	base, runs := dropper(t)
	client := &http.Client{Transport: &http.Transport{}}
	warm(t, client, base)
	req, err := http.NewRequest(http.MethodPost, base+"/v1/calls/payment", strings.NewReader("42"))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("Idempotency-Key", "k1")
	if _, err := client.Do(req); err == nil {
		t.Fatal("got an answer, want an error")
	}
	if got := runs.Load(); got < 2 {
		t.Errorf("got %d runs by a plain client, want at least 2 (otherwise this test checks nothing)", got)
	}

	base, runs = dropper(t)
	s := sender(base)
	warm(t, s.HTTP, base)
	for _, c := range []ledger.Call{payment("k1"), ledger.NewCall("team", "payment", "payments", "k2", "", nil)} {
		runs.Store(0)
		_, err = s.Send(t.Context(), c)
		if err == nil || errors.Is(err, ledger.ErrNotSent) {
			t.Errorf("got %v, want an error that leaves the outcome open", err)
		}
		if got := runs.Load(); got != 1 {
			t.Errorf("got %d runs by the sender, want 1", got)
		}
	}
}

// The same must hold if the sender gets a client that keeps its connections:
// the request has no GetBody, so net/http cannot resend it.
func TestKeptConnectionIsNotReplayed(t *testing.T) {
	base, runs := dropper(t)
	s := sender(base)
	s.HTTP = &http.Client{Transport: &http.Transport{}}
	warm(t, s.HTTP, base)
	if _, err := s.Send(t.Context(), payment("k1")); err == nil || errors.Is(err, ledger.ErrNotSent) {
		t.Errorf("got %v, want an error that leaves the outcome open", err)
	}
	if got := runs.Load(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
}

// One of two instances of the service refuses connections. The payment must go
// to the other, and the refusing instance is avoided during its cooldown. If
// all instances refuse, the caller must get ErrNotSent, because the payment did
// not run.
func TestRefusedConnection(t *testing.T) {
	d := &desk.Desk{}
	s := sender(closedURL(t), server(t, d.Handler()))
	for range 4 {
		if _, err := s.Send(t.Context(), payment("k1")); err != nil {
			t.Errorf("got %v, want an answer", err)
		}
	}
	if got := d.Runs("k1"); got != 4 {
		t.Errorf("got %d runs, want 4", got)
	}
	s = sender(closedURL(t), closedURL(t))
	if _, err := s.Send(t.Context(), payment("k2")); !errors.Is(err, ledger.ErrNotSent) {
		t.Errorf("got %v, want ErrNotSent", err)
	}
	if _, err := sender().Send(t.Context(), payment("k2")); !errors.Is(err, ledger.ErrNotSent) {
		t.Errorf("got %v without an instance, want ErrNotSent", err)
	}
}

// The service redirects, sends an oversized or truncated answer, or is too
// slow. In each case the call may have run, and a partial answer must not be
// taken for a complete one.
func TestUnusableAnswers(t *testing.T) {
	cases := map[string]http.HandlerFunc{
		"too long": func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 101)) },
		"cut": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", "50")
			_, _ = w.Write(make([]byte, 10))
		},
		"too slow": func(_ http.ResponseWriter, req *http.Request) {
			_, _ = io.Copy(io.Discard, req.Body)
			<-req.Context().Done()
		},
	}
	for name, h := range cases {
		s := sender(server(t, h))
		s.MaxAnswerBytes = 100
		if name == "too slow" {
			s.Timeout = 50 * time.Millisecond
		}
		if _, err := s.Send(t.Context(), payment("k1")); err == nil || errors.Is(err, ledger.ErrNotSent) {
			t.Errorf("%s: got %v, want an error that leaves the outcome open", name, err)
		}
	}
	var hits atomic.Int32
	base := server(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		hits.Add(1)
		http.Redirect(w, req, "/elsewhere", http.StatusTemporaryRedirect)
	}))
	a, err := sender(base).Send(t.Context(), payment("k1"))
	if err != nil || a.Status() != http.StatusTemporaryRedirect || hits.Load() != 1 {
		t.Errorf("got %v %v after %d requests, want the redirect as answer to one", a.Status(), err, hits.Load())
	}
}

// Calls go to the instance with the least load, in flight and reported. A
// leaving instance gets no new calls at once but still answers queries for the
// calls that it ran.
func TestPicksLeastLoadedAndNoLeaving(t *testing.T) {
	a, b := &desk.Desk{}, &desk.Desk{}
	baseA, baseB := server(t, a.Handler()), server(t, b.Handler())
	s := sender(baseA, baseB)
	send := func(key string, n int) {
		for range n {
			if _, err := s.Send(t.Context(), payment(key)); err != nil {
				t.Fatal(err)
			}
		}
	}
	s.Report("payments", baseA, 5)
	send("loaded", 3)
	s.Report("payments", baseA, 0)
	send("even", 4)
	s.Leave("payments", baseB)
	send("left", 3)
	for _, c := range []struct {
		what      string
		got, want int
	}{
		{"calls at a while it reports load", a.Runs("loaded"), 0},
		{"calls at a when both are idle", a.Runs("even"), 2},
		{"calls at b while it leaves", b.Runs("left"), 0},
	} {
		if c.got != c.want {
			t.Errorf("got %d %s, want %d", c.got, c.what, c.want)
		}
	}
	if _, err := s.QueryOutcome(t.Context(), payment("loaded")); err != nil {
		t.Errorf("got %v from the leaving instance, want the outcome", err)
	}
}

// One of two instances reports calls of other routers; the other reports that
// it is leaving and then that it is back. New calls follow these reports after
// the next read, although the platform's list still shows both as live.
func TestFollowsLoadReports(t *testing.T) {
	a, b := &desk.Desk{}, &desk.Desk{}
	s := sender(server(t, a.Handler()), server(t, b.Handler()))
	send := func(key string) (atA, atB int) {
		s.ReadLoads(t.Context())
		for range 4 {
			if _, err := s.Send(t.Context(), payment(key)); err != nil {
				t.Fatal(err)
			}
		}
		return a.Runs(key), b.Runs(key)
	}
	steps := []struct {
		what         string
		change       func()
		wantA, wantB int
	}{
		{"idle", func() {}, 2, 2},
		{"a busy", func() { a.SetExtraActive(9) }, 0, 4},
		{"b leaving", func() { b.SetLeaving(true) }, 4, 0},
		{"b back", func() { b.SetLeaving(false) }, 0, 4},
		{"a idle", func() { a.SetExtraActive(0) }, 2, 2},
	}
	for _, c := range steps {
		c.change()
		if atA, atB := send(c.what); atA != c.wantA || atB != c.wantB {
			t.Errorf("%s: got %d and %d calls, want %d and %d", c.what, atA, atB, c.wantA, c.wantB)
		}
	}
}

// A call of a class that may be retried is sent again after a lost answer. If
// every answer is lost, the retries must stay within the budget.
func TestRetriesStayInBudget(t *testing.T) {
	d := &desk.Desk{}
	s := sender(server(t, d.Handler()))
	s.Retryable = func(c spec.ClassName) bool { return c == "payment" }
	s.RetryShare = 0.25
	d.CutReplies(1000)
	const calls = 40
	for range calls {
		_, _ = s.Send(context.Background(), payment("k1"))
	}
	if got, want := d.Runs("k1"), calls+calls/4; got != want {
		t.Errorf("got %d sends for %d calls, want %d", got, calls, want)
	}
}

// Two teams use the same key. Each gets the outcome of its own call only.
func TestOutcomesAreScopedByTeam(t *testing.T) {
	d := &desk.Desk{}
	s := sender(server(t, d.Handler()))
	if _, err := s.Send(t.Context(), payment("k1")); err != nil {
		t.Fatal(err)
	}
	if _, err := s.QueryOutcome(t.Context(), payment("k1")); err != nil {
		t.Errorf("got %v, want the outcome", err)
	}
	other := ledger.NewCall("other", "payment", "payments", "k1", "text/plain", []byte("42"))
	if a, err := s.QueryOutcome(t.Context(), other); err == nil {
		t.Errorf("got %q for another team, want an error", a.Body())
	}
}

// Guards against an answer whose head is cut off and that is taken for one with an empty or short body.
func TestHeadThatIsCutOffIsNoAnswer(t *testing.T) {
	for _, head := range []string{"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nX-Load: 1\r\n\r\n", "HTTP/1.0 200 OK\r\nServer: s\r\n\r\n"} {
		for n := range len(head) {
			base := server(t, http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
				_, _ = io.Copy(io.Discard, req.Body)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					panic(err)
				}
				_, _ = io.WriteString(conn, head[:n])
				_ = conn.Close()
			}))
			if a, err := sender(base).Send(t.Context(), payment("k1")); err == nil || errors.Is(err, ledger.ErrNotSent) {
				t.Errorf("got %d %q and %v for the head %q, want an error that leaves the outcome open", a.Status(), a.Body(), err, head[:n])
			}
		}
	}
}
