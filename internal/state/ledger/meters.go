package ledger

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// countOutcome counts the outcome that was reported to a caller.
func (l *Ledger) countOutcome(state State, err error) {
	label := state.String()
	if err != nil {
		label = "refused"
	}
	l.Meters.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_calls_told_total{state=%q}`, label)).Inc()
}

// registerMetrics registers the gauge of the records that are not yet settled or
// cleared.
func (l *Ledger) registerMetrics() {
	if l.Meters == nil {
		l.Meters = metrics.NewSet()
	}
	l.Meters.GetOrCreateGauge("fulmarwick_records_late", func() float64 { return float64(l.Unsettled()) })
}
