package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// probeDelay is how long this instance waits before it asks an engine. Streams of all
// instances fall silent at the same moment, and an engine takes their connections one
// after another: asked by all of a large fleet at once, healthy engines answer too
// late and are taken for dead.
func (w *watcher) probeDelay() time.Duration {
	if !w.isLargeFleet() {
		return 0
	}
	return rand.N(time.Duration(w.router.instanceCount()) * probeSpacing)
}

// connectQueueTime is how long an engine may take for the connections of other instances
// before that of this one.
func (w *watcher) connectQueueTime() time.Duration {
	return time.Duration(max(0, w.router.instanceCount()-maxConcurrentProbers)) * connectTimePerInstance
}

// isDead asks an engine that seemed dead until it is known whether it is: its address
// refuses connections, another process answers there, or it stays silent. One that is
// silent for less may stand still and go on with what it runs.
func (w *watcher) isDead(ctx context.Context, up site.Upstream) bool {
	for start := time.Now(); ctx.Err() == nil; {
		report, silent, err := w.fetchReport(ctx, up, confirmProbeTimeout)
		switch {
		case silent && time.Since(start) >= cutOffAfter:
			return true
		case silent:
		case err != nil:
			return ctx.Err() == nil
		default:
			return !w.router.applyReport(up, report)
		}
	}
	return false
}

// isLargeFleet reports whether there are more instances than may ask an engine at once.
func (w *watcher) isLargeFleet() bool { return w.router.instanceCount() > maxConcurrentProbers }

// handleReportedDead takes an engine that another instance found dead. It is asked only if
// streams of this instance pass it: dozens of instances that all ask would
// keep each other busy. In a large fleet one instance may be wrong, and all that
// believed it would be; what several found is believed without a question where the
// streams of this instance are silent as well.
func (w *watcher) handleReportedDead(ctx context.Context, id spec.UpstreamID) {
	up, used := w.router.avoidSuspect(id)
	confirmed := !w.isLargeFleet() || w.addDeadReport(id)
	switch {
	case !used:
	case w.isLargeFleet() && confirmed && !w.isBusy() && w.areStreamsStalled(up, time.Now()):
		w.declareDead(ctx, up, "told", 0, nil)
	default:
		w.startProbe(ctx, up, confirmed)
	}
}

// deadReport is how many instances found an engine dead since a time.
type deadReport struct {
	count int
	since time.Time
}

// addDeadReport notes that one more instance found an engine dead, and reports
// whether enough of them did.
func (w *watcher) addDeadReport(id spec.UpstreamID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, f := range w.deadReports {
		if time.Since(f.since) >= deadReportWindow {
			delete(w.deadReports, other)
		}
	}
	f, known := w.deadReports[id]
	if !known {
		f.since = time.Now()
	}
	f.count++
	w.deadReports[id] = f
	return f.count >= minDeadReports
}

// areStreamsStalled reports whether all streams that pass an engine are silent for longer than
// usual.
func (w *watcher) areStreamsStalled(up site.Upstream, now time.Time) bool {
	r := w.router
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.service(up.Service).runsThrough(up.ID) {
		last := f.LastEvent()
		silence := now.Sub(last) - w.clock.PausedBetween(last, now)
		if f.MeanEventGap() == 0 || silence < max(minStallTime, minStallGaps*f.MeanEventGap()) {
			return false
		}
	}
	return true
}
