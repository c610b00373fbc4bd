package front_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/fakes/inmem"
	"fulmarwick/internal/wire/bound"
	"fulmarwick/internal/wire/client"
	"fulmarwick/internal/wire/relay"
)

// measuredWriter records how many bytes of answers are in memory while one is written.
type measuredWriter struct {
	*httptest.ResponseRecorder
	memory *bound.Memory
	used   int64
}

// Write writes a part of an answer.
func (w *measuredWriter) Write(p []byte) (int, error) {
	synctest.Wait()
	w.used = w.memory.Used()
	return w.ResponseRecorder.Write(p)
}

// Guards against answers that take memory without limit while their callers read slowly.
func TestAnswerCountsUntilItIsWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstreams := inmem.Listen()
		upstream := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Seal", "s")
			_, _ = io.WriteString(w, strings.Repeat("x", 5000))
		})}
		go func() { _ = upstream.Serve(upstreams) }()
		defer func() { _ = upstream.Close() }()
		pool := &client.Pool{DialTimeout: time.Second, Dial: upstreams.Dial}
		defer pool.CloseUnused(nil)
		s := newServer(pool, "upstream")
		memory := &bound.Memory{Max: 1 << 20}
		s.PlainRunner.(*relay.PlainRunner).Memory = memory
		w := &measuredWriter{ResponseRecorder: httptest.NewRecorder(), memory: memory}
		r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/p/1", nil)
		r.Host = "127.0.0.1"
		s.ServeHTTP(w, r)
		if w.Code != http.StatusOK || w.used < 5000 {
			t.Errorf("got status %d and %d bytes in memory while they were written, want 5000 at least", w.Code, w.used)
		}
	})
}
