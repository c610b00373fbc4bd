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
	// evidence is closed when there is more against the engine than its silence
	// to a question: many of its streams are silent, or others found it dead.
	evidence chan struct{}
	once     sync.Once
}

func (q *probe) confirm() { q.once.Do(func() { close(q.evidence) }) }

func (q *probe) isConfirmed() bool {
	select {
	case <-q.evidence:
		return true
	default:
		return false
	}
}

// ask finds out in the background whether an engine lives. confirmed tells that
// there is more against it than a missing answer would be.
func (w *watcher) ask(ctx context.Context, up site.Upstream, confirmed bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.asking[up.ID]
	if q == nil {
		q = &probe{up: up, evidence: make(chan struct{})}
		w.asking[up.ID] = q
		go func() {
			defer func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				delete(w.asking, up.ID)
			}()
			w.probe(ctx, q)
		}()
	}
	if confirmed {
		q.confirm()
	}
}

// probe asks an engine and takes its runs elsewhere if it is dead.
func (w *watcher) probe(ctx context.Context, q *probe) {
	up := q.up
	if !feed.Sleep(ctx, w.stagger()) || w.router.Down(up.Service, up.ID) {
		return
	}
	start := time.Now()
	report, late, err := w.report(ctx, up, askTime)
	if late && (!q.isConfirmed() || w.isBusy()) {
		report, err = w.reportAgain(ctx, q)
	}
	if ctx.Err() != nil {
		return
	}
	if err == nil && w.router.heard(up, report) {
		if len(report.Stalled) > 0 {
			w.log.Info("edge: streams stalled", zap.String("engine", string(up.ID)), zap.Int("streams", len(report.Stalled)), zap.String("fault", report.Stalled[0].Address))
			w.blame(up.Service, report.Stalled)
		}
		return
	}
	evidence := "silence"
	if q.isConfirmed() {
		evidence = "silence of many"
	}
	if w.condemn(ctx, up, evidence, time.Since(start), err) {
		w.found(up.ID)
	}
}

// condemn marks an engine as dead and takes the runs off it; false if it was marked.
func (w *watcher) condemn(ctx context.Context, up site.Upstream, evidence string, after time.Duration, err error) bool {
	if !w.router.down(up) {
		return false
	}
	w.log.Warn("edge: engine does not answer", zap.String("engine", string(up.ID)), zap.String("address", up.Address),
		zap.String("evidence", evidence), zap.Duration("after", after), zap.Error(err))
	// The engine must be asked again meanwhile: it may come back.
	go w.leave(ctx, up)
	return true
}

// reportAgain gives an engine that did not answer more time, unless evidence comes
// meanwhile and this process gets the processor in time: streams of a dead engine
// must not wait for the second question once others have found it.
func (w *watcher) reportAgain(ctx context.Context, q *probe) (site.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !w.isBusy() {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-q.evidence:
				cancel()
			case <-stop:
			}
		}()
	}
	report, _, err := w.report(ctx, q.up, askAgain+w.queueTime())
	return report, err
}

// report asks an engine how it is; late tells that it did not answer in the time
// that this process could have heard it.
func (w *watcher) report(ctx context.Context, up site.Upstream, limit time.Duration) (r site.Report, late bool, err error) {
	ctx, cancel := w.within(ctx, limit)
	defer cancel()
	w.probed()
	r, err = w.engines.Report(ctx, up.Address)
	return r, errors.Is(context.Cause(ctx), errSilent), err
}

// errSilent is the cause of a question that ended without an answer.
var errSilent = errors.New("edge: no answer in time")

// within returns a context that ends after a time in which this process ran. A
// timer alone is over at the end of a pause, before an answer that came meanwhile
// is read, and healthy engines seemed dead.
func (w *watcher) within(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	start := time.Now()
	var timer *time.Timer
	ready := make(chan struct{})
	timer = time.AfterFunc(limit, func() {
		<-ready
		now := time.Now()
		left := limit - now.Sub(start) + w.clock.Lost(start, now)
		if left <= 0 || now.Sub(start) >= askMost {
			cancel(errSilent)
			return
		}
		timer.Reset(max(left, lookEvery))
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
	return time.Since(w.busy) < busyTime
}

// avoid gives an engine nothing new for a moment and reports whether streams
// pass it.
func (r *router) avoid(id spec.UpstreamID) (up site.Upstream, used bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, g := range r.groups {
		if g.model == nil {
			continue
		}
		var ok bool
		if up, ok = g.model.Upstream(id); !ok || g.model.Silent(id) {
			continue
		}
		g.model.Rest(id, r.now()+doubtRest)
		return up, len(g.over(id)) > 0
	}
	return up, false
}

// blame asks the engines for which others wait.
func (w *watcher) blame(service string, stalled []site.Stalled) {
	seen := map[string]bool{}
	for _, s := range stalled {
		if seen[s.Address] {
			continue
		}
		seen[s.Address] = true
		if up, ok := w.router.at(service, s.Address); ok {
			w.router.doubted(up)
		}
	}
}

// at returns the engine at an address.
func (r *router) at(service, address string) (site.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.group(service); g.model != nil {
		return g.model.At(address)
	}
	return site.Upstream{}, false
}

// heard takes a report; false if it is not that of the engine that is listed.
func (r *router) heard(up site.Upstream, report site.Report) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(up.Service)
	return g.model == nil || g.model.Heard(r.now(), up.ID, report)
}

// down marks an engine as dead; false if it was, or is another one by now.
func (r *router) down(up site.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(up.Service)
	if g.model == nil {
		return false
	}
	return g.model.Down(up.ID, up.Born)
}
