// Package lines writes the log of a process: one JSON object per line, with
// bounded volume, and without delaying requests.
//
// It imports the log library. The command edge creates one Writer and logs
// through its Core.
//
// Each kind of line, identified by its message, has a budget per second. Lines
// over the budget are counted, and the counts are logged in the next second.
// Lines go through a buffer of fixed size to a goroutine that writes them. If
// the reader of the log stops, lines are lost and counted, but no caller is
// delayed.
package lines

import (
	"io"
	"sort"
	"sync"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

const (
	// queueSize is the maximum number of lines that wait for the writer: about
	// one second of a busy instance, 300 KB.
	queueSize = 1024
	// lineBudget is the maximum number of lines of one kind per second. An
	// instance currently serves 25 requests per second.
	lineBudget = 60
	// warnBudget is lineBudget for warnings and errors. It is higher because
	// they report failures.
	warnBudget = 240
	// maxTextBytes limits a text in a line, except for a stack trace, which has the key stackKey.
	maxTextBytes = 512
	stackKey     = "stack"
)

// Writer writes log lines within budgets. Set the exported fields before
// calling Core.
type Writer struct {
	// Out receives the lines. Its Write may block.
	Out   io.Writer
	Level zapcore.Level
	// Now returns the time for the budgets. If nil, time.Now is used.
	Now func() time.Time

	once  sync.Once
	queue chan []byte
	done  chan struct{}

	mu         sync.Mutex
	closed     bool
	second     int64
	written    map[string]int
	overBudget map[string]int
	lost       int
}

// Core returns a zapcore.Core that writes to w.
func (w *Writer) Core() zapcore.Core {
	w.once.Do(func() {
		w.queue = make(chan []byte, queueSize)
		w.done = make(chan struct{})
		w.written, w.overBudget = map[string]int{}, map[string]int{}
		go w.run()
	})
	config := zap.NewProductionEncoderConfig()
	config.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	config.EncodeDuration = zapcore.MillisDurationEncoder
	return &core{writer: w, encoder: zapcore.NewJSONEncoder(config)}
}

// Close writes the queued lines. It gives up after closeTimeout if Out blocks.
func (w *Writer) Close() {
	w.mu.Lock()
	if w.closed {
		w.mu.Unlock()
		return
	}
	w.closed = true
	close(w.queue)
	w.mu.Unlock()
	timer := time.NewTimer(closeTimeout)
	defer timer.Stop()
	select {
	case <-w.done:
	case <-timer.C:
	}
}

// closeTimeout bounds the wait for the last lines at the end of the process.
const closeTimeout = 200 * time.Millisecond

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.queue {
		// A failed write cannot be reported, because the log itself failed.
		_, _ = w.Out.Write(line)
	}
}

func (w *Writer) now() time.Time {
	if w.Now == nil {
		return time.Now()
	}
	return w.Now()
}

// admit reports whether a line is within its budget. At the first line of a new
// second it also returns the counts of the lines dropped until then.
func (w *Writer) admit(e zapcore.Entry) (ok bool, dropped map[string]int, lost int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.second {
		w.second = second
		dropped, lost = w.overBudget, w.lost
		w.written, w.overBudget, w.lost = map[string]int{}, map[string]int{}, 0
	}
	limit := lineBudget
	if e.Level >= zapcore.WarnLevel {
		limit = warnBudget
	}
	if w.written[e.Message] >= limit {
		w.overBudget[e.Message]++
		return false, dropped, lost
	}
	w.written[e.Message]++
	return true, dropped, lost
}

// enqueue queues a line. If the queue is full, the line is dropped and counted.
func (w *Writer) enqueue(line []byte) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	select {
	case w.queue <- line:
	default:
		w.lost++
	}
}

// core implements zapcore.Core on a Writer.
type core struct {
	writer  *Writer
	encoder zapcore.Encoder
}

// Enabled reports whether lines of level l are written.
func (c *core) Enabled(l zapcore.Level) bool { return l >= c.writer.Level }

// With returns a core that adds fields to each line.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	clone := &core{writer: c.writer, encoder: c.encoder.Clone()}
	for _, f := range shortTexts(fields) {
		f.AddTo(clone.encoder)
	}
	return clone
}

// Check adds the core to ce if the level of the entry is enabled.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write queues a line if it is within its budget.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	ok, dropped, lost := c.writer.admit(e)
	if len(dropped) > 0 || lost > 0 {
		c.logDropped(e, dropped, lost)
	}
	if !ok {
		return nil
	}
	return c.encode(e, shortTexts(fields))
}

// logDropped logs the counts of dropped lines: those over budget by kind, and
// those lost to a full queue.
func (c *core) logDropped(e zapcore.Entry, dropped map[string]int, lost int) {
	kinds := make([]string, 0, len(dropped))
	for kind := range dropped {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	fields := []zapcore.Field{zap.Int("lost", lost)}
	for _, kind := range kinds {
		fields = append(fields, zap.Int(kind, dropped[kind]))
	}
	summary := zapcore.Entry{Level: zapcore.WarnLevel, Time: e.Time, Message: "lines: left out"}
	// Encoding fails only for fields that cannot be encoded; integer counts
	// always can.
	_ = c.encode(summary, fields)
}

func (c *core) encode(e zapcore.Entry, fields []zapcore.Field) error {
	b, err := c.encoder.EncodeEntry(e, fields)
	if err != nil {
		return err
	}
	line := append([]byte(nil), b.Bytes()...)
	b.Free()
	c.writer.enqueue(line)
	return nil
}

// Sync does nothing, because lines are written without delay.
func (c *core) Sync() error { return nil }

// shortTexts replaces error fields with their messages and cuts texts that are too long. The stack traces that
// the errors library adds would make up most of the log volume, and callers choose the length of their paths.
func shortTexts(fields []zapcore.Field) []zapcore.Field {
	out := append([]zapcore.Field(nil), fields...)
	for i, f := range out {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			f = zap.String(f.Key, err.Error())
		}
		if f.Type == zapcore.StringType && f.Key != stackKey && len(f.String) > maxTextBytes {
			f.String = f.String[:maxTextBytes]
		}
		out[i] = f
	}
	return out
}
