package edge

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/feed"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// inquiry is a question to an engine that may be dead.
type inquiry struct {
	up site.Upstream
	// proof is closed when there is more against the engine than its silence
	// to a question: many of its streams are silent, or another instance found
	// it dead.
	proof chan struct{}
	once  sync.Once
}

func (q *inquiry) prove() { q.once.Do(func() { close(q.proof) }) }

func (q *inquiry) proved() bool {
	select {
	case <-q.proof:
		return true
	default:
		return false
	}
}

// ask finds out in the background whether an engine lives. proof tells that
// there is more against it than a missing answer would be.
func (w *watcher) ask(ctx context.Context, up site.Upstream, proof bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	q := w.asking[up.ID]
	if q == nil {
		q = &inquiry{up: up, proof: make(chan struct{})}
		w.asking[up.ID] = q
		go func() {
			defer func() {
				w.mu.Lock()
				defer w.mu.Unlock()
				delete(w.asking, up.ID)
			}()
			w.question(ctx, q)
		}()
	}
	if proof {
		q.prove()
	}
}

func (w *watcher) question(ctx context.Context, q *inquiry) {
	up := q.up
	if !feed.Sleep(ctx, w.stagger()) || w.router.Down(up.Service, up.ID) {
		return
	}
	start := time.Now()
	report, late, err := w.report(ctx, up, askTime)
	if late && (!q.proved() || w.isBusy()) {
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
	if q.proved() {
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

// stagger is how long this instance waits before it asks an engine. Streams of all
// instances fall silent at the same moment, and an engine takes their connections one
// after another: asked by all of a large fleet at once, healthy engines answered too
// late and were taken for dead.
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

// isDead asks an engine that seemed dead once more and reports whether it still does
// not answer.
func (w *watcher) isDead(ctx context.Context, up site.Upstream) bool {
	report, _, err := w.report(ctx, up, confirmTime)
	return err != nil || !w.router.heard(up, report)
}

// isCrowded reports whether there are more instances than may ask an engine at once.
func (w *watcher) isCrowded() bool { return w.router.instances() > askAtOnce }

// reportAgain gives an engine that did not answer more time, unless proof comes
// meanwhile and this process gets the processor in time: streams of a dead engine
// must not wait for the second question once others have found it.
func (w *watcher) reportAgain(ctx context.Context, q *inquiry) (site.Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	if !w.isBusy() {
		stop := make(chan struct{})
		defer close(stop)
		go func() {
			select {
			case <-q.proof:
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

// told takes an engine that another instance found dead. It is asked only if
// streams of this instance pass it: dozens of instances that all ask would
// keep each other busy. In a large fleet one instance may be wrong, and all that
// believed it would be; what several found is believed without a question where the
// streams of this instance are silent as well.
func (w *watcher) told(ctx context.Context, id spec.UpstreamID) {
	up, used := w.router.avoid(id)
	proof := !w.isCrowded() || w.isCorroborated(id)
	switch {
	case !used:
	case w.isCrowded() && proof && !w.isBusy() && w.isQuiet(up, time.Now()):
		w.condemn(ctx, up, "told", 0, nil)
	default:
		w.ask(ctx, up, proof)
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
	f := w.findings[id]
	if time.Since(f.since) >= corroboration {
		f = finding{since: time.Now()}
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
