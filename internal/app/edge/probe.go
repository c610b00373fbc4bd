package edge

import (
	"context"
	"sync"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/feed"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// probe is a running check of an engine that may be dead.
type probe struct {
	up site.Upstream
	// confirmed is closed once there is other evidence against the engine than a missing
	// answer: many of its streams are stalled, or other instances found it dead.
	confirmed chan struct{}
	once      sync.Once
}

// confirm records that there is other evidence against the engine.
func (p *probe) confirm() { p.once.Do(func() { close(p.confirmed) }) }

func (p *probe) isConfirmed() bool {
	select {
	case <-p.confirmed:
		return true
	default:
		return false
	}
}

// startProbe checks in the background whether an engine is alive. confirmed means that
// there is other evidence against it. An engine has one probe at a time.
func (w *watcher) startProbe(ctx context.Context, up site.Upstream, confirmed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.probes[up.ID]
	if p == nil {
		p = &probe{up: up, confirmed: make(chan struct{})}
		w.probes[up.ID] = p
		go func() {
			defer func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				delete(w.probes, up.ID)
			}()
			w.runProbe(ctx, p)
		}()
	}
	if confirmed {
		p.confirm()
	}
}

// runProbe requests a report from an engine and declares the engine dead if none comes.
func (w *watcher) runProbe(ctx context.Context, p *probe) {
	up := p.up
	if !feed.Sleep(ctx, w.probeDelay()) {
		return
	}
	if w.router.IsDead(up.Service, up.ID) {
		w.probeRecovery(ctx, up)
		return
	}
	start := time.Now()
	report, late, err := w.fetchReport(ctx, up, probeTimeout)
	if late && (!p.isConfirmed() || w.isBusy()) {
		report, err = w.retryReport(ctx, p)
	}
	if ctx.Err() != nil {
		return
	}
	if err == nil && w.router.applyReport(up, report) {
		if len(report.Stalled) > 0 {
			w.log.Info("edge: streams stalled", zap.String("engine", string(up.ID)), zap.Int("streams", len(report.Stalled)), zap.String("fault", report.Stalled[0].Address))
			w.probeStallCauses(report.Stalled)
		}
		return
	}
	w.handleSilence(ctx, p, time.Since(start), err)
}

// probeRecovery requests a report from an engine that did not answer before. It gets runs again once it
// answers.
func (w *watcher) probeRecovery(ctx context.Context, up site.Upstream) {
	report, _, err := w.fetchReport(ctx, up, probeRetryTimeout+w.connectQueueTime())
	if err == nil && w.router.applyReport(up, report) {
		w.log.Info("edge: engine answers again", zap.String("engine", string(up.ID)), zap.String("address", up.Address))
	}
}

// handleSilence declares an engine dead that did not answer a probe. If this instance has lost
// its links, the engine is not to blame, and the stalled streams go on elsewhere.
func (w *watcher) handleSilence(ctx context.Context, p *probe, after time.Duration, err error) {
	w.links.recordDial(p.up.Address, err)
	if w.links.confirmLost(ctx) {
		w.resumeStalled(p.up)
		return
	}
	evidence := "silence"
	if p.isConfirmed() {
		evidence = "silence of many"
	}
	if w.declareDead(ctx, p.up, evidence, after, err) {
		w.onDead(p.up.ID)
	}
}

// resumeStalled continues the stalled streams of an engine elsewhere.
func (w *watcher) resumeStalled(up site.Upstream) {
	for _, run := range w.stalledRuns(up, time.Now()) {
		if run.Reroute(true, nil) {
			w.countMove("resume")
		}
	}
}

// declareDead marks an engine as dead and starts to evacuate its runs. It returns false
// if the engine was not marked: it was dead already or is another one by now.
func (w *watcher) declareDead(ctx context.Context, up site.Upstream, evidence string, after time.Duration, err error) bool {
	if !w.router.markDead(up) {
		return false
	}
	w.log.Warn("edge: engine does not answer", zap.String("engine", string(up.ID)), zap.String("address", up.Address),
		zap.String("evidence", evidence), zap.Duration("after", after), zap.Error(err))
	// Runs in the background, as the engine must be probed meanwhile: it may recover.
	go w.evacuate(ctx, up)
	return true
}

// retryReport requests a second report with more time from an engine that did not answer.
// If this process is not short of CPU time, it stops as soon as the death is confirmed by
// other evidence: streams of a dead engine must not wait for the second answer then.
func (w *watcher) retryReport(ctx context.Context, p *probe) (site.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !w.isBusy() {
		done := make(chan struct{})
		defer close(done)
		go func() {
			select {
			case <-p.confirmed:
				cancel()
			case <-done:
			}
		}()
	}
	report, _, err := w.fetchReport(ctx, p.up, probeRetryTimeout+w.connectQueueTime())
	return report, err
}

// fetchReport requests a report from an engine. late reports that no answer came in limit,
// not counting the time in which this process was paused.
func (w *watcher) fetchReport(ctx context.Context, up site.Upstream, limit time.Duration) (r site.Report, late bool, err error) {
	ctx, cancel := w.withRunningTimeout(ctx, limit)
	defer cancel()
	w.countProbe()
	r, err = w.engines.Report(ctx, up.Address)
	return r, errors.Is(context.Cause(ctx), errNoAnswer), err
}

// errNoAnswer is the cancellation cause of a report request that timed out.
var errNoAnswer = errors.New("edge: no answer in time")

// withRunningTimeout returns a context with a timeout that counts only the time in which
// this process ran. A plain timer expires at the end of a process pause, before an answer
// that arrived during the pause is read, so that healthy engines seem dead.
func (w *watcher) withRunningTimeout(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	start := time.Now()
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(limit, func() {
		<-ready
		now := time.Now()
		left := limit - now.Sub(start) + w.clock.PausedBetween(start, now)
		if left <= 0 || now.Sub(start) >= maxProbeWallTime {
			cancel(errNoAnswer)
			return
		}
		timer.Reset(max(left, checkInterval))
	})
	close(ready)
	return ctx, func() {
		timer.Stop()
		cancel(nil)
	}
}

// isBusy reports whether this process was recently short of CPU time.
func (w *watcher) isBusy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastBusy) < busyDuration
}

// avoidSuspect keeps new runs off an engine for suspectCooldown. It returns the row of
// the engine and whether runs of this instance use it, or may still be on it.
func (r *router) avoidSuspect(id spec.UpstreamID) (up site.Upstream, used bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, svc := range r.services {
		if svc.model == nil {
			continue
		}
		var ok bool
		if up, ok = svc.model.Upstream(id); !ok || svc.model.ListedDead(id) {
			continue
		}
		svc.model.StartCooldown(id, r.now()+suspectCooldown)
		return up, len(svc.runsThrough(id)) > 0 || r.openRuns.Has(processOf(up))
	}
	return up, false
}

// probeStallCauses probes the engines for which stalled streams of other engines wait.
func (w *watcher) probeStallCauses(stalled []site.StalledRequest) {
	seen := map[string]bool{}
	for _, s := range stalled {
		if seen[s.Address] {
			continue
		}
		seen[s.Address] = true
		if up, ok := w.router.engineAt(s.Address); ok {
			w.router.onSuspect(up)
		}
	}
}

// applyReport applies the report of an engine. It returns false if the report is not from
// the listed engine process.
func (r *router) applyReport(up site.Upstream, report site.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(up.Service)
	if svc.model == nil {
		return true
	}
	isListed := svc.model.ApplyReport(r.now(), up.ID, report)
	if isListed && report.Born == up.Born {
		r.openRuns.SetAlive(r.now(), processOf(up))
	}
	return isListed
}

// markDead marks an engine as dead. It returns false if it was dead already or is another
// process by now.
func (r *router) markDead(up site.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(up.Service)
	if svc.model == nil {
		return false
	}
	return svc.model.MarkDead(up.ID, up.Born)
}
