package edge

import (
	"context"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"

	"go.uber.org/zap"
)

// Silence of an engine takes back nothing that its runs may still need: it gets no new runs, and its runs
// move as far as other engines take them over and attempts are left. An engine that has only paused goes on
// with the others. Only the death of an engine ends runs that have no attempt left, frees the attempt that
// they made, and counts against the requests that may have caused it.

const (
	// confirmProbeTimeout limits each report request to a silent engine.
	confirmProbeTimeout = 400 * time.Millisecond
	// cutOffAfter is how long a silent engine must not answer to count as dead: longer than
	// engines pause, and short enough that a stream goes on elsewhere before its caller
	// leaves.
	cutOffAfter = 1500 * time.Millisecond
)

// handleNoReport handles that an engine did not answer a probe. If this instance has lost its links, the
// engine is not to blame, and its stalled streams go on elsewhere. It returns whether the engine is silent.
func (w *watcher) handleNoReport(ctx context.Context, p *probe, late bool, after time.Duration, err error) bool {
	w.links.recordDial(p.up.Address, err)
	if w.links.confirmLost(ctx) {
		w.resumeStalled(p.up)
		return false
	}
	evidence := "silence"
	if p.isConfirmed() {
		evidence = "silence of many"
	}
	if late {
		w.declareSilent(ctx, p.up, evidence, after, err)
	} else {
		w.declareDead(ctx, p.up, after, err)
	}
	w.onSilent(p.up.ID)
	return late
}

// declareSilent marks an engine as silent and starts to move its runs.
func (w *watcher) declareSilent(ctx context.Context, up site.Upstream, evidence string, after time.Duration, err error) {
	if !w.router.degrade(up, path.HealthSilent) {
		return
	}
	w.log.Warn("edge: engine does not answer", zap.String("engine", string(up.ID)), zap.String("address", up.Address),
		zap.String("evidence", evidence), zap.Duration("after", after), zap.Error(err))
	// Runs in the background, as the engine must be probed meanwhile: it may recover.
	go w.evacuate(ctx, up, path.HealthSilent)
}

// declareDead marks an engine as dead, counts its end against the requests that may have caused it, and
// starts to move its runs.
func (w *watcher) declareDead(ctx context.Context, up site.Upstream, after time.Duration, err error) {
	if !w.router.degrade(up, path.HealthDead) {
		return
	}
	w.log.Warn("edge: engine is dead", zap.String("engine", string(up.ID)), zap.String("address", up.Address), zap.Duration("after", after), zap.Error(err))
	w.countSilence("dead")
	w.router.recordCrashesOf(up)
	go w.evacuate(ctx, up, path.HealthDead)
}

// awaitRecovery probes an engine that is silent or dead. While runs wait for it, or somebody asks whether
// it is dead, it goes on until the engine answers or is known to be dead: its address refuses connections,
// another process answers there, or it has not answered for cutOffAfter.
func (w *watcher) awaitRecovery(ctx context.Context, p *probe, start time.Time) {
	for {
		left := max(probeTimeout, min(confirmProbeTimeout, cutOffAfter-w.runningSince(start)))
		report, late, err := w.fetchReport(ctx, p.up, left+w.connectQueueTime())
		after := w.runningSince(start)
		switch {
		case ctx.Err() != nil:
			return
		case err == nil && w.router.applyReport(p.up, report):
			w.log.Info("edge: engine answers again", zap.String("engine", string(p.up.ID)), zap.String("address", p.up.Address), zap.Duration("after", after))
			w.countSilence("answered")
			return
		case w.links.confirmLost(ctx):
			return
		case !late || after >= cutOffAfter:
			w.declareDead(ctx, p.up, after, err)
			return
		case !p.awaited.Load() && !w.router.isInUse(p.up):
			return
		}
	}
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
		p := w.startProbe(context.WithoutCancel(ctx), up, false)
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

// degrade marks an engine as silent or dead. It returns false if that is known already, or if the engine
// is another process by now.
func (r *router) degrade(up site.Upstream, to path.Health) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(up.Service)
	return svc.model != nil && svc.model.Degrade(up.ID, up.Born, to)
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
