package edge_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/depot"
	"fulmarwick/platform/stand"
)

// openRawConn opens a connection to instance 0, writes text to it and returns it.
func (f *fixture) openRawConn(text string) net.Conn {
	f.t.Helper()
	conn, err := f.site.Dial(context.Background(), "tcp", depot.Settings(0).Listen.Callers)
	if err != nil {
		f.t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		f.t.Fatal(err)
	}
	return conn
}

// encodeRequest returns a caller's request in its wire format.
func (f *fixture) encodeRequest(path, id, tokens string) string {
	f.t.Helper()
	req, err := stand.NewRequest(context.Background(), http.MethodPost, "http://site.example"+path, id, tokens)
	if err != nil {
		f.t.Fatal(err)
	}
	var b strings.Builder
	if err := req.Write(&b); err != nil {
		f.t.Fatal(err)
	}
	return b.String()
}

// Guards against callers that send half of a header or half of a body and then
// stall. No upstream may receive such a request, and its connection must not stay
// open: it is answered with 400 or 408, or closed, within the header timeout or the
// request's deadline. Other callers are served meanwhile.
func TestSlowHeadsAndBodies(t *testing.T) {
	tests := []struct {
		name string
		// unsent is how many bytes are never sent: the body and the end of the
		// header, or half of the body.
		unsent      int
		maxDuration time.Duration
	}{
		{"head", len("prompt\r\n\r\n") + 4, 4 * time.Second},
		{"body", len("mpt"), 21 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFixture(t, 1)
				defer f.close()
				start := time.Now()
				text := f.encodeRequest("/book/1", "slow-"+test.name, "")
				conn := f.openRawConn(text[:len(text)-test.unsent])
				defer func() { _ = conn.Close() }()
				if a := f.request(0, http.MethodPost, "/book/1", "other", ""); a.status != http.StatusOK {
					t.Errorf("got %d (%v) for another caller, want 200", a.status, a.err)
				}
				answer, err := io.ReadAll(conn)
				if took := time.Since(start); err != nil || took > test.maxDuration {
					t.Errorf("got the end of the connection (%v) after %s, want it within %s", err, took, test.maxDuration)
				}
				if text := string(answer); text != "" && !strings.HasPrefix(text, "HTTP/1.1 408") && !strings.HasPrefix(text, "HTTP/1.1 400") {
					t.Errorf("got %.60q, want no answer, or one with status 400 or 408", text)
				}
				if n := f.site.Runs("slow-" + test.name); n != 0 {
					t.Errorf("got %d runs, want none", n)
				}
			})
		})
	}
}

// Guards against a caller that requests a long answer and does not read it. The
// engine's run must be cancelled by the caller's deadline at the latest, and 40
// concurrent streams of other callers must not be delayed.
func TestCallerThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFixture(t, 1)
		defer f.close()
		conn := f.openRawConn(f.encodeRequest("/write/1", "unread", "300,60000"))
		defer func() { _ = conn.Close() }()
		for k, a := range f.sendStreams(40, func() {}) {
			if a.longestGap > 200*time.Millisecond {
				t.Errorf("got a pause of %s between events of answer %d, want 200ms at most", a.longestGap, k)
			}
		}
		time.Sleep(21 * time.Second)
		if n := f.busiestEngine().Running(); n != 0 {
			t.Errorf("got %d runs after the deadline, want none", n)
		}
	})
}
