package entry

import (
	"fmt"
	"time"

	"fulmarwick/internal/base/spec"

	"github.com/VictoriaMetrics/metrics"
)

// meter holds the metrics of callers. Labels are class names, which operators
// give, and the stable codes; nothing a caller sends becomes a label.
type meter struct {
	set            *metrics.Set
	slowCallers    *metrics.Counter
	goneCallers    *metrics.Counter
	resumedStreams *metrics.Counter
}

func (m *meter) register(set *metrics.Set, g *limiter) {
	if set == nil {
		set = metrics.NewSet()
	}
	m.set = set
	m.slowCallers = set.GetOrCreateCounter("fulmarwick_streams_cut_total")
	m.goneCallers = set.GetOrCreateCounter("fulmarwick_callers_gone_total")
	m.resumedStreams = set.GetOrCreateCounter("fulmarwick_streams_resumed_total")
	set.GetOrCreateGauge("fulmarwick_requests_running", func() float64 { return float64(g.running()) })
}

// countRequest counts a request. The code is "ok" or that of its fault.
func (m *meter) countRequest(class spec.ClassName, code string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_requests_total{class=%q,code=%q}`, class, code)).Inc()
}

func (m *meter) countAnswer(class spec.ClassName, tokens int, t timings) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_tokens_total{class=%q}`, class)).Add(tokens)
	m.observeDuration("first", class, t.first)
	m.observeDuration("gap", class, t.gap)
	m.observeDuration("whole", class, t.whole)
}

func (m *meter) observeDuration(what string, class spec.ClassName, d time.Duration) {
	if d > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`fulmarwick_%s_seconds{class=%q}`, what, class)).Update(d.Seconds())
	}
}

// timings are those of one answer, as its caller sees them but for the network.
type timings struct {
	start time.Time
	last  time.Time
	first time.Duration
	gap   time.Duration
	whole time.Duration
}

// markToken takes the time of the next token.
func (t *timings) markToken() {
	now := time.Now()
	if t.last.IsZero() {
		t.first = now.Sub(t.start)
	} else {
		t.gap = max(t.gap, now.Sub(t.last))
	}
	t.last = now
}

func (t *timings) markEnd() { t.whole = time.Since(t.start) }
