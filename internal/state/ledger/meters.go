package ledger

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"
)

// told counts what a caller was told.
func (l *Ledger) told(state State, err error) {
	word := state.String()
	if err != nil {
		word = "refused"
	}
	l.Meters.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_calls_told_total{state=%q}`, word)).Inc()
}

// gauges are the records that wait to be settled or cleared.
func (l *Ledger) gauges() {
	if l.Meters == nil {
		l.Meters = metrics.NewSet()
	}
	l.Meters.GetOrCreateGauge("fulmarwick_records_late", func() float64 { return float64(l.Late()) })
}
