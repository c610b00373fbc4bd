package domain

import "time"

// linkState follows the link to an engine. A link is left when it was bad in
// several reports in a row and taken back only after more good ones, with a
// band between the two limits in which nothing changes; without the band a
// link that sits near one limit would move all its work at each report.
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

// HopTime is the time of one hop to the engine as measured, else as reported.
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
	h := &e.hop
	if h.smoothed == 0 {
		h.smoothed = ev.P50
		h.baseline = max(ev.P50, minBaseline)
	}
	// Up at once and down slowly: a link that got worse costs each token.
	if ev.P50 > h.smoothed {
		h.smoothed = (h.smoothed + ev.P50) / 2
	} else {
		h.smoothed = (3*h.smoothed + ev.P50) / 4
	}
	if e.ReportedHopTime > 0 {
		h.baseline = max(e.ReportedHopTime, minBaseline)
	}
	h.baseline = max(min(h.baseline, ev.P50), minBaseline)
	h.classify(ev.P50)
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
