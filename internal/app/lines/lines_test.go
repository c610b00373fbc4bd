package lines_test

import (
	"bytes"
	"encoding/json"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"fulmarwick/internal/app/lines"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// clock is a clock that the test advances.
type clock struct {
	mu sync.Mutex
	at time.Time
}

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.at
}

func (c *clock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.at = c.at.Add(d)
}

func count(out, message string) int { return strings.Count(out, `"msg":"`+message+`"`) }

// One kind of line floods the log. It must be cut off at its budget, and the
// number of dropped lines must be logged in the next second. Warnings and
// errors have a higher budget and are kept.
func TestFloodIsCutAndCounted(t *testing.T) {
	var out bytes.Buffer
	c := &clock{at: time.Unix(100, 0)}
	w := &lines.Writer{Out: &out, Level: zapcore.InfoLevel, Now: c.now}
	log := zap.New(w.Core())
	for range 200 {
		log.Info("served")
		log.Warn("failed", zap.Error(errors.Wrap(errors.New("cause"), "outer")))
		log.Debug("hidden")
	}
	c.advance(time.Second)
	log.Info("served", zap.Duration("took", 1500*time.Microsecond))
	w.Close()
	got := out.String()
	if n := count(got, "served"); n != 61 {
		t.Errorf("got %d lines of one kind, want 60 and one more in the next second", n)
	}
	if n := count(got, "failed"); n != 200 || count(got, "hidden") != 0 {
		t.Errorf("got %d failures, want all 200 and no line below the level", n)
	}
	if !strings.Contains(got, `"msg":"lines: left out","lost":0,"served":140`) {
		t.Errorf("got %s, want the count of dropped lines", got[max(0, len(got)-300):])
	}
	for line := range strings.Lines(got) {
		var v map[string]any
		if err := json.Unmarshal([]byte(line), &v); err != nil {
			t.Fatalf("got %q: %v, want JSON", line, err)
		}
		if v["msg"] == "failed" && v["error"] != "outer: cause" {
			t.Errorf("got %v, want only the error's message", v)
		}
	}
}

// blockedWriter blocks every write until free is closed.
type blockedWriter struct {
	free  chan struct{}
	taken int
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.free
	s.taken++
	return len(p), nil
}

// Guards against lines whose size callers choose, which fill the queue of lines with their paths.
func TestLongTextsAreCut(t *testing.T) {
	var out bytes.Buffer
	w := &lines.Writer{Out: &out, Level: zapcore.InfoLevel}
	zap.New(w.Core()).Info("turned away", zap.String("path", strings.Repeat("x", 1<<20)), zap.Error(errors.New(strings.Repeat("y", 1<<20))))
	w.Close()
	if got := out.Len(); got > 2<<10 || count(out.String(), "turned away") != 1 {
		t.Errorf("got a line of %d bytes, want a short one", got)
	}
}

// The reader of the log stops. Calls to the log must return without waiting.
// Lines beyond the buffer are lost and counted.
func TestStoppedReaderCostsNoTime(t *testing.T) {
	out := &blockedWriter{free: make(chan struct{})}
	c := &clock{at: time.Unix(100, 0)}
	w := &lines.Writer{Out: out, Level: zapcore.InfoLevel, Now: c.now}
	log := zap.New(w.Core())
	for range 100 {
		for range 50 {
			log.Info("a")
		}
		c.advance(time.Second)
	}
	close(out.free)
	w.Close()
	if out.taken < 1000 || out.taken > 1100 {
		t.Errorf("got %d lines, want only those of the buffer", out.taken)
	}
}

// BenchmarkLine measures the processor time of one log line of a request.
func BenchmarkLine(b *testing.B) {
	w := &lines.Writer{Out: io.Discard, Level: zapcore.InfoLevel}
	log := zap.New(w.Core())
	defer w.Close()
	for b.Loop() {
		log.Warn("edge: request not served", zap.String("request", "4ef28ce994e6d13d"), zap.String("route", "r-hhs5kz4"), zap.Int("status", 500),
			zap.String("reason", "answered"), zap.Bool("ran", true), zap.Int("sent", 2), zap.Duration("took", 65*time.Millisecond),
			zap.Strings("upstreams", []string{"i-a893d15c0f", "i-1de3e44fb7"}), zap.Uint64("config", 4), zap.Duration("list age", time.Second))
	}
}
