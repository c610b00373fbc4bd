package edge

import (
	"context"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/state/feed"
	"fulmarwick/platform"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// A silent engine may have paused and go on with its runs. It gets no new ones, and those that it has move
// as far as other engines take them over and attempts are left. Only its death ends runs without an attempt
// left, frees the attempts that were made on it, and counts against the requests that may have caused it.

const (
	// confirmProbeTimeout limits each report request to a silent engine. One that paused answers the
	// request as it goes on, so that few are needed; a second one shows that the first was not lost.
	confirmProbeTimeout = 700 * time.Millisecond
	// cutOffAfter is how long a silent engine must not answer to count as dead: longer than
	// engines pause, and short enough that a stream goes on elsewhere before its caller
	// leaves.
	cutOffAfter = 1500 * time.Millisecond
	// confirmPause is the pause between two of these requests.
	confirmPause = 50 * time.Millisecond
)

// handleNoReport handles that an engine did not answer a probe that began at start. If this instance has
// lost its links, the engine is not to blame, and its stalled streams go on elsewhere. It returns whether
// the engine is silent.
func (w *watcher) handleNoReport(ctx context.Context, p *probe, late bool, start time.Time, err error) bool {
	w.links.recordDial(p.up.Address, err)
	if w.links.confirmLost(ctx) {
		w.resumeStalled(p.up)
		return false
	}
	evidence := "silence"
	if p.isConfirmed() {
		evidence = "silence of many"
	}
	isGone := w.isGone(ctx, p.up, late, err)
	if isGone && w.declareDead(ctx, p.up, start, isGone, err) || !isGone && w.declareSilent(ctx, p.up, evidence, start, err) {
		w.onSilent(p.up.ID)
	}
	return !isGone
}

// isGone reports whether the outcome of a report request shows that a process has ended: another one
// answered, or the request failed at once and the next one finds that the address refuses connections.
// It is asked before the engine counts as silent: its runs must not move before its end counts against
// those that may have caused it.
func (w *watcher) isGone(ctx context.Context, up site.Upstream, late bool, err error) bool {
	if err == nil || late {
		return err == nil
	}
	_, _, err = w.fetchReport(ctx, up, probeRetryTimeout)
	return errors.Is(err, platform.ErrRefused)
}

// declareSilent marks an engine as silent and starts to move its runs. It returns false if that is known.
func (w *watcher) declareSilent(ctx context.Context, up site.Upstream, evidence string, since time.Time, err error) bool {
	if !w.router.degrade(up, path.HealthSilent, since) {
		return false
	}
	w.log.Warn("edge: engine does not answer", zap.String("engine", string(up.ID)), zap.String("address", up.Address),
		zap.String("evidence", evidence), zap.Duration("after", time.Since(since)), zap.Error(err))
	// Runs in the background, as the engine must be probed meanwhile: it may recover.
	go w.evacuate(ctx, up, path.HealthSilent)
	return true
}

// declareDead marks an engine as dead, counts its end against the requests that may have caused it, and
// starts to move its runs. isGone means that its process has ended for certain. It returns false if that is
// known.
func (w *watcher) declareDead(ctx context.Context, up site.Upstream, since time.Time, isGone bool, err error) bool {
	if !w.router.degrade(up, path.HealthDead, since) {
		return false
	}
	w.log.Warn("edge: engine is dead", zap.String("engine", string(up.ID)), zap.String("address", up.Address), zap.Bool("gone", isGone),
		zap.Duration("after", time.Since(since)), zap.Error(err))
	w.countSilence("dead")
	w.router.recordCrashesOf(up)
	go w.evacuate(ctx, up, path.HealthDead)
	return true
}

// awaitRecovery probes an engine that does not answer. While runs wait for it, or somebody asks whether it
// is dead, it goes on until the engine answers or is known to be dead.
func (w *watcher) awaitRecovery(ctx context.Context, p *probe) {
	for {
		since, isSilent := w.router.silentSince(p.up)
		if !isSilent || w.probeSilent(ctx, p.up, since) {
			return
		}
		if !p.awaited.Load() && !w.router.isInUse(p.up) || !feed.Sleep(ctx, confirmPause) {
			return
		}
	}
}

// probeSilent probes an engine that has not answered since a time. It returns false if the engine has to
// be probed again: it does not answer, but its process is not known to have ended, and cutOffAfter is not
// over.
func (w *watcher) probeSilent(ctx context.Context, up site.Upstream, since time.Time) bool {
	limit := max(probeRetryTimeout, min(confirmProbeTimeout, cutOffAfter-w.runningSince(since)))
	report, late, err := w.fetchReport(ctx, up, limit+w.connectQueueTime())
	switch {
	case ctx.Err() != nil:
		return true
	case err == nil && w.router.applyReport(up, report):
		w.log.Info("edge: engine answers again", zap.String("engine", string(up.ID)), zap.String("address", up.Address), zap.Duration("after", time.Since(since)))
		w.countSilence("answered")
		return true
	case w.router.health(up) == path.HealthDead, w.links.confirmLost(ctx):
		return true
	}
	isGone := w.isGone(ctx, up, late, err)
	if !isGone && w.runningSince(since) < cutOffAfter {
		return false
	}
	w.declareDead(ctx, up, since, isGone, err)
	return true
}

// runningSince returns the time for which this process has run since a moment. In a pause it can read no
// answer.
func (w *watcher) runningSince(start time.Time) time.Duration {
	now := time.Now()
	return now.Sub(start) - w.clock.PausedBetween(start, now)
}

// isDead reports whether an engine is dead. It waits until that is known.
func (w *watcher) isDead(ctx context.Context, up site.Upstream) bool {
	for ctx.Err() == nil && !w.links.areLost() {
		if w.router.health(up) == path.HealthDead {
			return true
		}
		p := w.startProbe(context.Background(), up, false)
		p.awaited.Store(true)
		select {
		case <-p.done:
		case <-ctx.Done():
		}
		if w.router.health(up) == path.HealthUp {
			return false
		}
	}
	return w.router.health(up) == path.HealthDead
}

// degrade marks an engine as silent or dead, which has not answered since a time. It returns false if that
// is known already, or if the engine is another process by now.
func (r *router) degrade(up site.Upstream, to path.Health, since time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(up.Service)
	return svc.model != nil && svc.model.Degrade(up.ID, up.Born, to, since.Sub(r.start))
}

// silentSince returns since when an engine has not answered; false if it did when it was last probed.
func (r *router) silentSince(up site.Upstream) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(up.Service)
	if svc.model == nil {
		return time.Time{}, false
	}
	since, ok := svc.model.SilentSince(up.ID)
	return r.start.Add(since), ok
}

// health returns the health of an engine.
func (r *router) health(up site.Upstream) path.Health {
	r.mu.Lock()
	defer r.mu.Unlock()
	if svc := r.service(up.Service); svc.model != nil {
		return svc.model.Health(up.ID)
	}
	return path.HealthUp
}

// isInUse reports whether runs of this instance use an engine, or may still be on it.
func (r *router) isInUse(up site.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.service(up.Service).isUsed(up.ID) || r.openRuns.Has(processOf(up))
}

// IsDead reports whether an engine is known to be dead.
func (r *router) IsDead(service string, id spec.UpstreamID) bool {
	return r.health(site.Upstream{ID: id, Service: service}) == path.HealthDead
}
