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

// firstEventMargin is how much later than by this instance's clock a caller may leave: it receives events
// later than they are read here.
const firstEventMargin = 250 * time.Millisecond

// hasCallerTimedOut reports whether the caller has left because its answer did not begin, even if this
// instance has not yet read that the connection was closed, being late or told of it by another one. A
// caller with a part of its answer is served for as long as it is not known to have left: it has no
// further retry.
func (c *modelCall) hasCallerTimedOut() bool {
	deadline := c.call.FirstEventDeadline
	return !c.hasPartialAnswer() && !deadline.IsZero() && time.Since(deadline) > firstEventMargin
}
