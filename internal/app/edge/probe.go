package edge

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/state/feed"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// probe is a running check of an engine that may be silent or dead.
type probe struct {
	up site.Upstream
	// confirmed is closed once there is other evidence against the engine than a missing
	// answer: many of its streams are stalled, or other instances found it silent.
	confirmed chan struct{}
	once      sync.Once
	// awaited means that somebody waits until it is known whether the engine is dead.
	awaited atomic.Bool
	// done is closed at the end of the probe.
	done chan struct{}
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
func (w *watcher) startProbe(ctx context.Context, up site.Upstream, confirmed bool) *probe {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.probes[up.ID]
	if p == nil {
		p = &probe{up: up, confirmed: make(chan struct{}), done: make(chan struct{})}
		w.probes[up.ID] = p
		go func() {
			defer func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				delete(w.probes, up.ID)
				close(p.done)
			}()
			w.runProbe(ctx, p)
		}()
	}
	if confirmed {
		p.confirm()
	}
	return p
}

// runProbe requests a report from an engine. If none comes, the engine is silent, and it is probed
// until it answers or is known to be dead.
func (w *watcher) runProbe(ctx context.Context, p *probe) {
	if !feed.Sleep(ctx, w.probeDelay()) {
		return
	}
	start := time.Now()
	if w.router.health(p.up) == path.HealthUp && !w.probeOnce(ctx, p, start) {
		return
	}
	w.awaitRecovery(ctx, p)
}

// probeOnce requests a report, and a second one if the first timeout proves little. It returns whether
// the engine is silent.
func (w *watcher) probeOnce(ctx context.Context, p *probe, start time.Time) bool {
	up := p.up
	report, late, err := w.fetchReport(ctx, up, probeTimeout)
	if late && (!p.isConfirmed() || w.isBusy()) {
		report, late, err = w.retryReport(ctx, p)
	}
	switch {
	case ctx.Err() != nil:
	case err == nil && w.router.applyReport(up, report):
		if len(report.Stalled) > 0 {
			w.log.Info("edge: streams stalled", zap.String("engine", string(up.ID)), zap.Int("streams", len(report.Stalled)), zap.String("fault", report.Stalled[0].Address))
			w.probeStallCauses(report.Stalled)
		}
	default:
		return w.handleNoReport(ctx, p, late, start, err)
	}
	return false
}

// resumeStalled continues the stalled streams of an engine elsewhere.
func (w *watcher) resumeStalled(up site.Upstream) {
	for _, run := range w.stalledRuns(up, time.Now()) {
		w.resumeElsewhere(run)
	}
}

// retryReport requests a second report with more time from an engine that did not answer.
// If this process is not short of CPU time, it stops as soon as the silence is confirmed by
// other evidence: the streams of the engine must not wait for the second answer then.
func (w *watcher) retryReport(ctx context.Context, p *probe) (r site.Report, late bool, err error) {
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
	r, late, err = w.fetchReport(ctx, p.up, probeRetryTimeout+w.connectQueueTime())
	return r, late || ctx.Err() != nil, err
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
// that arrived during the pause is read, so that healthy engines seem silent.
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
		if up, ok = svc.model.Upstream(id); !ok || svc.model.Health(id) != path.HealthUp {
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
