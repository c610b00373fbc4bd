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

// probe is a question to an engine that may be dead.
type probe struct {
	up site.Upstream
	// confirmed is closed when there is more against the engine than its silence
	// to a question: many of its streams are silent, or others found it dead.
	confirmed chan struct{}
	once      sync.Once
}

func (q *probe) confirm() { q.once.Do(func() { close(q.confirmed) }) }

func (q *probe) isConfirmed() bool {
	select {
	case <-q.confirmed:
		return true
	default:
		return false
	}
}

// startProbe finds out in the background whether an engine lives. confirmed tells that
// there is more against it than a missing answer would be.
func (w *watcher) startProbe(ctx context.Context, up site.Upstream, confirmed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.probes[up.ID]
	if q == nil {
		q = &probe{up: up, confirmed: make(chan struct{})}
		w.probes[up.ID] = q
		go func() {
			defer func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				delete(w.probes, up.ID)
			}()
			w.runProbe(ctx, q)
		}()
	}
	if confirmed {
		q.confirm()
	}
}

// runProbe asks an engine and takes its runs elsewhere if it is dead.
func (w *watcher) runProbe(ctx context.Context, q *probe) {
	up := q.up
	if !feed.Sleep(ctx, w.probeDelay()) || w.router.IsDead(up.Service, up.ID) {
		return
	}
	start := time.Now()
	report, late, err := w.fetchReport(ctx, up, probeTimeout)
	if late && (!q.isConfirmed() || w.isBusy()) {
		report, err = w.retryReport(ctx, q)
	}
	if ctx.Err() != nil {
		return
	}
	if err == nil && w.router.applyReport(up, report) {
		if len(report.Stalled) > 0 {
			w.log.Info("edge: streams stalled", zap.String("engine", string(up.ID)), zap.Int("streams", len(report.Stalled)), zap.String("fault", report.Stalled[0].Address))
			w.probeStallCauses(up.Service, report.Stalled)
		}
		return
	}
	evidence := "silence"
	if q.isConfirmed() {
		evidence = "silence of many"
	}
	if w.declareDead(ctx, up, evidence, time.Since(start), err) {
		w.onDead(up.ID)
	}
}

// declareDead marks an engine as dead and takes the runs off it; false if it was marked.
func (w *watcher) declareDead(ctx context.Context, up site.Upstream, evidence string, after time.Duration, err error) bool {
	if !w.router.markDead(up) {
		return false
	}
	w.log.Warn("edge: engine does not answer", zap.String("engine", string(up.ID)), zap.String("address", up.Address),
		zap.String("evidence", evidence), zap.Duration("after", after), zap.Error(err))
	// The engine must be asked again meanwhile: it may come back.
	go w.evacuate(ctx, up)
	return true
}

// retryReport gives an engine that did not answer more time, unless evidence comes
// meanwhile and this process gets the processor in time: streams of a dead engine
// must not wait for the second question once others have found it.
func (w *watcher) retryReport(ctx context.Context, q *probe) (site.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !w.isBusy() {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-q.confirmed:
				cancel()
			case <-stop:
			}
		}()
	}
	report, _, err := w.fetchReport(ctx, q.up, probeRetryTimeout+w.connectQueueTime())
	return report, err
}

// fetchReport asks an engine how it is; late tells that it did not answer in the time
// that this process could have heard it.
func (w *watcher) fetchReport(ctx context.Context, up site.Upstream, limit time.Duration) (r site.Report, late bool, err error) {
	ctx, cancel := w.withRunningTimeout(ctx, limit)
	defer cancel()
	w.countProbe()
	r, err = w.engines.Report(ctx, up.Address)
	return r, errors.Is(context.Cause(ctx), errNoAnswer), err
}

// errNoAnswer is the cause of a question that ended without an answer.
var errNoAnswer = errors.New("edge: no answer in time")

// withRunningTimeout returns a context that ends after a time in which this process ran. A
// timer alone is over at the end of a pause, before an answer that came meanwhile
// is read, and healthy engines seemed dead.
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

// isBusy reports whether this process got the processor late just now.
func (w *watcher) isBusy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.lastBusy) < busyDuration
}

// avoidSuspect gives an engine nothing new for a moment and reports whether streams
// pass it.
func (r *router) avoidSuspect(id spec.UpstreamID) (up site.Upstream, used bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.services {
		if g.model == nil {
			continue
		}
		var ok bool
		if up, ok = g.model.Upstream(id); !ok || g.model.ListedDead(id) {
			continue
		}
		g.model.StartCooldown(id, r.now()+suspectCooldown)
		return up, len(g.runsThrough(id)) > 0
	}
	return up, false
}

// probeStallCauses asks the engines for which others wait.
func (w *watcher) probeStallCauses(service string, stalled []site.StalledRequest) {
	seen := map[string]bool{}
	for _, s := range stalled {
		if seen[s.Address] {
			continue
		}
		seen[s.Address] = true
		if up, ok := w.router.engineAt(service, s.Address); ok {
			w.router.onSuspect(up)
		}
	}
}

// engineAt returns the engine at an address.
func (r *router) engineAt(service, address string) (site.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.service(service); g.model != nil {
		return g.model.UpstreamAt(address)
	}
	return site.Upstream{}, false
}

// applyReport takes a report; false if it is not that of the engine that is listed.
func (r *router) applyReport(up site.Upstream, report site.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(up.Service)
	return g.model == nil || g.model.ApplyReport(r.now(), up.ID, report)
}

// markDead marks an engine as dead; false if it was, or is another one by now.
func (r *router) markDead(up site.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(up.Service)
	if g.model == nil {
		return false
	}
	return g.model.MarkDead(up.ID, up.Born)
}
