package relay

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// eventTiming records when the events of an answer were received, across all runs.
type eventTiming struct {
	lastEvent    time.Time
	firstLatency time.Duration
	maxGap       time.Duration
	maxGapEnd    time.Duration
	maxGapPath   spec.Chain
}

// record updates the timing with an event of a run.
func (t *eventTiming) record(start time.Time, run *Run) {
	now := time.Now()
	if t.lastEvent.IsZero() {
		t.firstLatency = now.Sub(start)
	} else if gap := now.Sub(t.lastEvent); gap > t.maxGap {
		t.maxGap, t.maxGapEnd = gap, now.Sub(start)
		t.maxGapPath, _ = run.Chain()
	}
	t.lastEvent = now
}

// addTo copies the timing into the final reply.
func (t *eventTiming) addTo(r Reply) Reply {
	r.FirstEventLatency, r.MaxEventGap, r.MaxEventGapEnd, r.MaxEventGapPath = t.firstLatency, t.maxGap, t.maxGapEnd, t.maxGapPath
	return r
}

// eventTimeoutMargin is how much later than by this instance's clock a caller may leave: it
// receives events later than they are read here.
const eventTimeoutMargin = 250 * time.Millisecond

// eventDeadline returns when the caller leaves unless it receives an event; zero means unknown.
func (c *modelCall) eventDeadline() time.Time {
	if c.timing.lastEvent.IsZero() || c.call.Route.EventTimeout == 0 {
		return c.call.FirstEventDeadline
	}
	return c.timing.lastEvent.Add(c.call.Route.EventTimeout)
}

// hasCallerTimedOut reports whether the caller has left because it received no event, even if this
// instance has not yet read that the connection was closed, being late or told of it by another one.
func (c *modelCall) hasCallerTimedOut() bool {
	deadline := c.eventDeadline()
	return !deadline.IsZero() && time.Since(deadline) > eventTimeoutMargin
}
