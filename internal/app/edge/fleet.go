package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/wire/relay"
)

// probeDelay returns how long this instance waits before it probes an engine. The streams
// of all instances stall at the same moment, and an engine accepts their connections one
// after another. Probed by a whole large fleet at once, healthy engines would answer too
// late and be declared silent.
func (w *watcher) probeDelay() time.Duration {
	if !w.isLargeFleet() {
		return 0
	}
	return rand.N(time.Duration(w.router.instanceCount()) * probeSpacing)
}

// connectQueueTime returns how long the connections of other instances may delay that of
// this instance at an engine.
func (w *watcher) connectQueueTime() time.Duration {
	return time.Duration(max(0, w.router.instanceCount()-maxConcurrentProbers)) * connectTimePerInstance
}

// isLargeFleet reports whether there are more instances than may probe an engine at once.
func (w *watcher) isLargeFleet() bool { return w.router.instanceCount() > maxConcurrentProbers }

// handleReportedSilent handles an engine that another instance reported silent. The engine is
// probed only if streams of this instance use it: probes by dozens of instances would keep
// all of them busy. In a large fleet a single report is not trusted, since one wrong
// instance would mislead all others. Reports of several instances are accepted without a
// probe if the streams of this instance stall as well.
func (w *watcher) handleReportedSilent(ctx context.Context, id spec.UpstreamID) {
	up, used := w.router.avoidSuspect(id)
	confirmed := !w.isLargeFleet() || w.addSilenceReport(id)
	switch {
	case !used:
	case w.isLargeFleet() && confirmed && !w.isBusy() && w.areStreamsStalled(up, time.Now()):
		w.declareSilent(ctx, up, "told", time.Now(), nil)
		w.startProbe(ctx, up, true)
	default:
		w.startProbe(ctx, up, confirmed)
	}
}

// silenceReport counts the reports that an engine is silent since a time.
type silenceReport struct {
	count int
	since time.Time
}

// addSilenceReport counts one more report that an engine is silent, and returns whether there
// are enough of them.
func (w *watcher) addSilenceReport(id spec.UpstreamID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, report := range w.silenceReports {
		if time.Since(report.since) >= silenceReportWindow {
			delete(w.silenceReports, other)
		}
	}
	report, known := w.silenceReports[id]
	if !known {
		report.since = time.Now()
	}
	report.count++
	w.silenceReports[id] = report
	return report.count >= minSilenceReports
}

// areStreamsStalled reports whether all streams on an engine have been without an event for
// longer than usual.
func (w *watcher) areStreamsStalled(up site.Upstream, now time.Time) bool {
	r := w.router
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.service(up.Service).runsThrough(up.ID) {
		if run.MeanEventGap() == 0 || !w.isStalled(run, now) {
			return false
		}
	}
	return true
}

// isStalled reports whether a stream has been without an event for longer than usual.
func (w *watcher) isStalled(run *relay.Run, now time.Time) bool {
	last := run.LastEvent()
	idle := now.Sub(last) - w.clock.PausedBetween(last, now)
	return idle >= max(minStallTime, minStallGaps*run.MeanEventGap())
}

// stalledRuns returns the stalled streams on an engine. One that waits for its first event
// counts as stalled.
func (w *watcher) stalledRuns(up site.Upstream, now time.Time) (out []*relay.Run) {
	r := w.router
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.service(up.Service).runsThrough(up.ID) {
		if w.isStalled(run, now) {
			out = append(out, run)
		}
	}
	return out
}
