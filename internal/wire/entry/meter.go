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
	set     *metrics.Set
	slow    *metrics.Counter
	gone    *metrics.Counter
	resumed *metrics.Counter
}

func (m *meter) open(set *metrics.Set, g *gate) {
	if set == nil {
		set = metrics.NewSet()
	}
	m.set = set
	m.slow = set.GetOrCreateCounter("fulmarwick_streams_cut_total")
	m.gone = set.GetOrCreateCounter("fulmarwick_callers_gone_total")
	m.resumed = set.GetOrCreateCounter("fulmarwick_streams_resumed_total")
	set.GetOrCreateGauge("fulmarwick_requests_running", func() float64 { return float64(g.inside()) })
}

// ended counts a request. The code is "ok" or that of its fault.
func (m *meter) ended(class spec.ClassName, code string) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_requests_total{class=%q,code=%q}`, class, code)).Inc()
}

func (m *meter) answered(class spec.ClassName, tokens int, t times) {
	m.set.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_tokens_total{class=%q}`, class)).Add(tokens)
	m.took("first", class, t.first)
	m.took("gap", class, t.gap)
	m.took("whole", class, t.whole)
}

func (m *meter) took(what string, class spec.ClassName, d time.Duration) {
	if d > 0 {
		m.set.GetOrCreateHistogram(fmt.Sprintf(`fulmarwick_%s_seconds{class=%q}`, what, class)).Update(d.Seconds())
	}
}

// times are those of one answer, as its caller sees them but for the network.
type times struct {
	began time.Time
	last  time.Time
	first time.Duration
	gap   time.Duration
	whole time.Duration
}

// token takes the time of the next token.
func (t *times) token() {
	now := time.Now()
	if t.last.IsZero() {
		t.first = now.Sub(t.began)
	} else {
		t.gap = max(t.gap, now.Sub(t.last))
	}
	t.last = now
}

func (t *times) end() { t.whole = time.Since(t.began) }
