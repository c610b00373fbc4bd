package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
)

// stagger is how long this instance waits before it asks an engine. Streams of all
// instances fall silent at the same moment, and an engine takes their connections one
// after another: asked by all of a large fleet at once, healthy engines answer too
// late and are taken for dead.
func (w *watcher) stagger() time.Duration {
	if !w.isCrowded() {
		return 0
	}
	return rand.N(time.Duration(w.router.instances()) * askSpacing)
}

// queueTime is how long an engine may take for the connections of other instances
// before that of this one.
func (w *watcher) queueTime() time.Duration {
	return time.Duration(max(0, w.router.instances()-askAtOnce)) * connectTime
}

// isDead asks an engine that seemed dead until it is known whether it is: its address
// refuses connections, another process answers there, or it stays silent. One that is
// silent for less may stand still and go on with what it runs.
func (w *watcher) isDead(ctx context.Context, up site.Upstream) bool {
	for start := time.Now(); ctx.Err() == nil; {
		report, silent, err := w.report(ctx, up, confirmTime)
		switch {
		case silent && time.Since(start) >= cutOff:
			return true
		case silent:
		case err != nil:
			return ctx.Err() == nil
		default:
			return !w.router.heard(up, report)
		}
	}
	return false
}

// isCrowded reports whether there are more instances than may ask an engine at once.
func (w *watcher) isCrowded() bool { return w.router.instances() > askAtOnce }

// told takes an engine that another instance found dead. It is asked only if
// streams of this instance pass it: dozens of instances that all ask would
// keep each other busy. In a large fleet one instance may be wrong, and all that
// believed it would be; what several found is believed without a question where the
// streams of this instance are silent as well.
func (w *watcher) told(ctx context.Context, id spec.UpstreamID) {
	up, used := w.router.avoid(id)
	confirmed := !w.isCrowded() || w.isCorroborated(id)
	switch {
	case !used:
	case w.isCrowded() && confirmed && !w.isBusy() && w.isQuiet(up, time.Now()):
		w.condemn(ctx, up, "told", 0, nil)
	default:
		w.ask(ctx, up, confirmed)
	}
}

// finding is how many instances found an engine dead since a time.
type finding struct {
	n     int
	since time.Time
}

// isCorroborated notes that one more instance found an engine dead, and reports
// whether enough of them did.
func (w *watcher) isCorroborated(id spec.UpstreamID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for other, f := range w.findings {
		if time.Since(f.since) >= corroboration {
			delete(w.findings, other)
		}
	}
	f, known := w.findings[id]
	if !known {
		f.since = time.Now()
	}
	f.n++
	w.findings[id] = f
	return f.n >= corroborated
}

// isQuiet reports whether all streams that pass an engine are silent for longer than
// usual.
func (w *watcher) isQuiet(up site.Upstream, now time.Time) bool {
	r := w.router
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.group(up.Service).over(up.ID) {
		last := f.Last()
		silence := now.Sub(last) - w.clock.Lost(last, now)
		if f.Gap() == 0 || silence < max(quietLeast, quietGaps*f.Gap()) {
			return false
		}
	}
	return true
}
