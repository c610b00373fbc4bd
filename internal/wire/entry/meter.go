package entry

import (
	"fmt"
	"time"

	"fulmarwick/internal/base/spec"

	"github.com/VictoriaMetrics/metrics"
)

// meter holds the metrics of requests by callers. Labels are class names, which
// operators configure, and the stable fault codes. Nothing that a caller sends
// becomes a label.
type meter struct {
	set            *metrics.Set
	slowCallers    *metrics.Counter
	goneCallers    *metrics.Counter
	resumedStreams *metrics.Counter
}

// register creates the metrics in set, or in a private set if it is nil.
func (m *meter) register(set *metrics.Set, l *limiter) {
	if set == nil {
		set = metrics.NewSet()
	}
	m.set = set
	m.slowCallers = set.GetOrCreateCounter("fulmarwick_streams_cut_total")
	m.goneCallers = set.GetOrCreateCounter("fulmarwick_callers_gone_total")
	m.resumedStreams = set.GetOrCreateCounter("fulmarwick_streams_resumed_total")
	set.GetOrCreateGauge("fulmarwick_requests_running", func() float64 { return float64(l.running()) })
}

// countRequest counts a finished request. code is "ok", the state of a call or the
// code of a fault.
func (m *meter) countRequest(class spec.ClassName, code string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_requests_total{class=%q,code=%q}`, class, code)).Inc()
}

// countAnswer records the tokens and the timings of an answer.
func (m *meter) countAnswer(class spec.ClassName, tokens int, t timings) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_tokens_total{class=%q}`, class)).Add(tokens)
	m.observeDuration("first", class, t.first)
	m.observeDuration("gap", class, t.gap)
	m.observeDuration("whole", class, t.whole)
}

// observeDuration adds d to the histogram of the given name; zero is skipped.
func (m *meter) observeDuration(name string, class spec.ClassName, d time.Duration) {
	if d > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`fulmarwick_%s_seconds{class=%q}`, name, class)).Update(d.Seconds())
	}
}

// timings holds the latencies of one answer, excluding the network to the caller:
// the time to the first token, the longest gap between tokens and the total.
type timings struct {
	start time.Time
	last  time.Time
	first time.Duration
	gap   time.Duration
	whole time.Duration
}

// markToken records the arrival of the next token.
func (t *timings) markToken() {
	now := time.Now()
	if t.last.IsZero() {
		t.first = now.Sub(t.start)
	} else {
		t.gap = max(t.gap, now.Sub(t.last))
	}
	t.last = now
}

// markEnd records the total time.
func (t *timings) markEnd() { t.whole = time.Since(t.start) }
