// Package lines writes the log of a process: one JSON object a line, bounded in
// volume, and never in the way of a request.
//
// It imports the log library. The command edge makes one Writer and logs
// through its Core.
//
// Each kind of line, told by its message, has a budget per second; what is over
// it is counted and told once the second is over. Lines go through a buffer of
// fixed size to a goroutine that writes them. A reader that stops loses lines,
// which are counted too, and costs no time.
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
	// queueSize is how many lines wait for the writer: about a second of a busy
	// instance, 300 KB.
	queueSize = 1024
	// lineBudget is how many lines of a kind are written in a second. An instance
	// of today serves 25 requests a second.
	lineBudget = 60
	// warnBudget is the same for lines of warnings and errors, which tell of what
	// failed.
	warnBudget = 240
)

// Writer writes lines. Set the exported fields before Core.
type Writer struct {
	// Out takes the lines; it may block.
	Out   io.Writer
	Level zapcore.Level
	// Now is the clock of the budgets; nil is time.Now.
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

// Core returns the core of a logger.
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

// Close writes what waits, as long as Out takes it within a moment.
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
		// A log that cannot be written has nowhere to tell it.
		_, _ = w.Out.Write(line)
	}
}

func (w *Writer) now() time.Time {
	if w.Now == nil {
		return time.Now()
	}
	return w.Now()
}

// admit reports whether a line is within its budget, and returns what was left
// out in the second before.
func (w *Writer) admit(e zapcore.Entry) (ok bool, left map[string]int, lost int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if second := w.now().Unix(); second != w.second {
		w.second = second
		left, lost = w.overBudget, w.lost
		w.written, w.overBudget, w.lost = map[string]int{}, map[string]int{}, 0
	}
	most := lineBudget
	if e.Level >= zapcore.WarnLevel {
		most = warnBudget
	}
	if w.written[e.Message] >= most {
		w.overBudget[e.Message]++
		return false, left, lost
	}
	w.written[e.Message]++
	return true, left, lost
}

// enqueue queues a line; without room it is lost and counted.
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

// core is a zapcore.Core on a Writer.
type core struct {
	writer  *Writer
	encoder zapcore.Encoder
}

// Enabled reports whether lines of a level are written.
func (c *core) Enabled(l zapcore.Level) bool { return l >= c.writer.Level }

// With returns a core that adds fields to each line.
func (c *core) With(fields []zapcore.Field) zapcore.Core {
	clone := &core{writer: c.writer, encoder: c.encoder.Clone()}
	for _, f := range errorsAsText(fields) {
		f.AddTo(clone.encoder)
	}
	return clone
}

// Check adds the core to those that write a line.
func (c *core) Check(e zapcore.Entry, ce *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return ce.AddCore(e, c)
	}
	return ce
}

// Write queues a line within its budget.
func (c *core) Write(e zapcore.Entry, fields []zapcore.Field) error {
	ok, left, lost := c.writer.admit(e)
	if len(left) > 0 || lost > 0 {
		c.logDropped(e, left, lost)
	}
	if !ok {
		return nil
	}
	return c.encode(e, errorsAsText(fields))
}

// logDropped tells what was not written in the second before.
func (c *core) logDropped(e zapcore.Entry, left map[string]int, lost int) {
	kinds := make([]string, 0, len(left))
	for kind := range left {
		kinds = append(kinds, kind)
	}
	sort.Strings(kinds)
	fields := []zapcore.Field{zap.Int("lost", lost)}
	for _, kind := range kinds {
		fields = append(fields, zap.Int(kind, left[kind]))
	}
	told := zapcore.Entry{Level: zapcore.WarnLevel, Time: e.Time, Message: "lines: left out"}
	// An error means a field that cannot be encoded; counts can.
	_ = c.encode(told, fields)
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

// Sync does nothing: lines are written as they come.
func (c *core) Sync() error { return nil }

// errorsAsText writes errors as their texts: the stacks that the errors library adds
// would make most of the log's volume.
func errorsAsText(fields []zapcore.Field) []zapcore.Field {
	out := append([]zapcore.Field(nil), fields...)
	for i, f := range out {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			out[i] = zap.String(f.Key, err.Error())
		}
	}
	return out
}
