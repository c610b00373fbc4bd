package domain

import "time"

// linkState tracks the quality of the link to an engine. A link becomes slow
// after several bad reports in a row and recovers only after a larger number
// of good ones. Between the two limits nothing changes. Without this
// hysteresis a link close to one limit would move all its work at each
// report.
type linkState struct {
	baseline    time.Duration
	smoothed    time.Duration
	slow        bool
	badReports  int
	goodReports int
}

const (
	minBaseline           = 200 * time.Microsecond
	slowFactor            = 4
	slowMargin            = 2 * time.Millisecond
	recoveredFactor       = 2
	recoveredMargin       = time.Millisecond
	slowAfterReports      = 2
	recoveredAfterReports = 5
)

// HopTime returns the measured time of one hop to the engine, or the reported
// time if there is no measurement.
func (e *Engine) HopTime() time.Duration {
	if e.hop.smoothed > 0 {
		return e.hop.smoothed
	}
	return e.ReportedHopTime
}

// HasSlowLink reports whether the link to the engine is degraded.
func (e *Engine) HasSlowLink() bool { return e.hop.slow }

func (e *Engine) applyHopTimes(ev HopMeasured) {
	if ev.Count <= 0 || ev.P50 <= 0 {
		return
	}
	link := &e.hop
	if link.smoothed == 0 {
		link.smoothed = ev.P50
		link.baseline = max(ev.P50, minBaseline)
	}
	// Increases are applied faster than decreases, because a link that got
	// slower delays every token.
	if ev.P50 > link.smoothed {
		link.smoothed = (link.smoothed + ev.P50) / 2
	} else {
		link.smoothed = (3*link.smoothed + ev.P50) / 4
	}
	if e.ReportedHopTime > 0 {
		link.baseline = max(e.ReportedHopTime, minBaseline)
	}
	link.baseline = max(min(link.baseline, ev.P50), minBaseline)
	link.classify(ev.P50)
}

func (h *linkState) classify(p50 time.Duration) {
	switch {
	case p50 > slowFactor*h.baseline+slowMargin:
		h.badReports++
		h.goodReports = 0
	case p50 < recoveredFactor*h.baseline+recoveredMargin:
		h.goodReports++
		h.badReports = 0
	default:
		h.badReports, h.goodReports = 0, 0
	}
	if h.badReports >= slowAfterReports {
		h.slow = true
	}
	if h.goodReports >= recoveredAfterReports {
		h.slow = false
	}
}
