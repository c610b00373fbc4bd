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

// openRawConn is a connection to instance 0 on which the caller writes what it likes.
func (w *fixture) openRawConn(text string) net.Conn {
	w.t.Helper()
	conn, err := w.site.Dial(context.Background(), "tcp", depot.Settings(0).Listen.Callers)
	if err != nil {
		w.t.Fatal(err)
	}
	if _, err := io.WriteString(conn, text); err != nil {
		w.t.Fatal(err)
	}
	return conn
}

// encodeRequest is a request of a caller as it goes over the wire.
func (w *fixture) encodeRequest(path, id, tokens string) string {
	w.t.Helper()
	req, err := stand.NewRequest(context.Background(), http.MethodPost, "http://site.example"+path, id, tokens)
	if err != nil {
		w.t.Fatal(err)
	}
	var b strings.Builder
	if err := req.Write(&b); err != nil {
		w.t.Fatal(err)
	}
	return b.String()
}

// Callers send half a head, or half a body, and then nothing. Nothing is passed
// on, and their connections are not kept: each gets an answer of its own or a
// close within the time for heads and the deadline, and others are served.
func TestSlowHeadsAndBodies(t *testing.T) {
	tests := []struct {
		name string
		// left is how many bytes are never sent: the body and the end of the
		// head, or half of the body.
		left int
		most time.Duration
	}{
		{"head", len("prompt\r\n\r\n") + 4, 4 * time.Second},
		{"body", len("mpt"), 21 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				w := newFixture(t, 1)
				defer w.close()
				start := time.Now()
				text := w.encodeRequest("/book/1", "slow-"+test.name, "")
				conn := w.openRawConn(text[:len(text)-test.left])
				defer func() { _ = conn.Close() }()
				if a := w.request(0, http.MethodPost, "/book/1", "other", ""); a.status != http.StatusOK {
					t.Errorf("got %d (%v) for another caller, want its booking", a.status, a.err)
				}
				answer, err := io.ReadAll(conn)
				if took := time.Since(start); err != nil || took > test.most {
					t.Errorf("got an end (%v) after %s, want one within %s", err, took, test.most)
				}
				if text := string(answer); text != "" && !strings.HasPrefix(text, "HTTP/1.1 408") && !strings.HasPrefix(text, "HTTP/1.1 400") {
					t.Errorf("got %.60q, want no answer, 400 or 408", text)
				}
				if n := w.site.Runs("slow-" + test.name); n != 0 {
					t.Errorf("got %d runs, want none", n)
				}
			})
		})
	}
}

// A caller asks for a long answer and does not read it. Its engine is told to
// stop, at the latest when the caller's deadline is over, and the streams of
// others beside it are in time.
func TestCallerThatDoesNotRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newFixture(t, 1)
		defer w.close()
		conn := w.openRawConn(w.encodeRequest("/write/1", "unread", "300,60000"))
		defer func() { _ = conn.Close() }()
		for k, a := range w.sendStreams(40, func() {}) {
			if a.longestGap > 200*time.Millisecond {
				t.Errorf("got a pause of %s in answer %d, want 200ms at most", a.longestGap, k)
			}
		}
		time.Sleep(21 * time.Second)
		if n := w.busiestEngine().Running(); n != 0 {
			t.Errorf("got %d runs after the deadline, want none", n)
		}
	})
}
