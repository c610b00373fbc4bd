package world

import "time"

// hop follows the link to an engine. A link is left when it was bad in
// several reports in a row and taken back only after more good ones, with a
// band between the two limits in which nothing changes; without the band a
// link that sits near one limit would move all its work at each report.
type hop struct {
	base  time.Duration
	timed time.Duration
	slow  bool
	bad   int
	good  int
}

const (
	hopFloor  = 200 * time.Microsecond
	slowTimes = 4
	slowPlus  = 2 * time.Millisecond
	fairTimes = 2
	fairPlus  = time.Millisecond
	slowAfter = 2
	fairAfter = 5
)

// HopTime is the time of one hop to the engine as measured, else as reported.
func (e *Engine) HopTime() time.Duration {
	if e.hop.timed > 0 {
		return e.hop.timed
	}
	return e.Hop
}

// Slow reports whether the link to the engine is degraded.
func (e *Engine) Slow() bool { return e.hop.slow }

func (e *Engine) timed(ev HopTimed) {
	if ev.Count <= 0 || ev.P50 <= 0 {
		return
	}
	h := &e.hop
	if h.timed == 0 {
		h.timed = ev.P50
		h.base = max(ev.P50, hopFloor)
	}
	// Up at once and down slowly: a link that got worse costs each token.
	if ev.P50 > h.timed {
		h.timed = (h.timed + ev.P50) / 2
	} else {
		h.timed = (3*h.timed + ev.P50) / 4
	}
	if e.Hop > 0 {
		h.base = max(e.Hop, hopFloor)
	}
	h.base = max(min(h.base, ev.P50), hopFloor)
	h.judge(ev.P50)
}

func (h *hop) judge(p50 time.Duration) {
	switch {
	case p50 > slowTimes*h.base+slowPlus:
		h.bad++
		h.good = 0
	case p50 < fairTimes*h.base+fairPlus:
		h.good++
		h.bad = 0
	default:
		h.bad, h.good = 0, 0
	}
	if h.bad >= slowAfter {
		h.slow = true
	}
	if h.good >= fairAfter {
		h.slow = false
	}
}
