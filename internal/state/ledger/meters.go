package ledger

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// countOutcome counts what a caller was told.
func (l *Ledger) countOutcome(state State, err error) {
	word := state.String()
	if err != nil {
		word = "refused"
	}
	l.Meters.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_calls_told_total{state=%q}`, word)).Inc()
}

// registerMetrics are the records that wait to be settled or cleared.
func (l *Ledger) registerMetrics() {
	if l.Meters == nil {
		l.Meters = metrics.NewSet()
	}
	l.Meters.GetOrCreateGauge("fulmarwick_records_late", func() float64 { return float64(l.Unsettled()) })
}
