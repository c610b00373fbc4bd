package watch

import (
	"context"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/wire/engine"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// runningPoller controls a poller that is running.
type runningPoller struct {
	cancel context.CancelFunc
	wake   chan<- struct{}
}

// poller polls one engine. Only its own goroutine uses it.
type poller struct {
	*Watcher
	id   spec.UpstreamID
	wake <-chan struct{}
	// lastCacheRead is when cache events were last requested.
	lastCacheRead time.Time
	// lastWarning is when an invalid report was last logged.
	lastWarning time.Time
	// seq is the number of the last cache event read from incarnation.
	seq         uint64
	incarnation uint64
}

// run polls the engine until ctx ends.
func (p *poller) run(ctx context.Context) {
	defer p.group.Done()
	for {
		wait := retryInterval
		if p.poll(ctx) {
			wait = p.interval()
		}
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-time.After(jitter(wait)):
		}
	}
}

// interval returns the time until the next poll. A standby watcher polls rarely
// until the primary misses answers. From then on both poll often, so that they
// agree as soon as if both had always polled often.
func (p *poller) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.tracker.get(p.id)
	switch {
	case e == nil || e.primary:
		return p.PollInterval
	case e.doubtedByPeer(p.now()):
		return retryInterval
	}
	return standbyFactor * p.PollInterval
}

// poll requests one report. It reports whether the engine answered or is known
// to be dead, in which case the next poll is not urgent.
func (p *poller) poll(ctx context.Context) bool {
	select {
	case p.slots <- struct{}{}:
	case <-ctx.Done():
		return true
	}
	defer func() { <-p.slots }()
	p.mu.Lock()
	e := p.tracker.get(p.id)
	base := ""
	if e != nil {
		base = e.url
	}
	p.mu.Unlock()
	if base == "" {
		return true
	}
	pollCtx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	body, err := engine.Report(pollCtx, p.HTTP, base)
	switch {
	case ctx.Err() != nil:
		return true
	case err != nil:
		p.warnInvalid(err)
		timedOut := errors.Is(pollCtx.Err(), context.DeadlineExceeded)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.tracker.handleMiss(p.now(), e, !timedOut)
		return e.declaredDead
	}
	row := engine.ToEngine(p.id, body)
	p.mu.Lock()
	p.tracker.handleAnswer(p.now(), e, body, row)
	p.mu.Unlock()
	p.readCache(ctx, base, row.Incarnation)
	return true
}

// warnInvalid logs, at a limited rate, a report that the engine sent but that
// is invalid. Without it, an operator would see only that the engine is
// missing.
func (p *poller) warnInvalid(err error) {
	if !errors.Is(err, engine.ErrInvalidResponse) || time.Since(p.lastWarning) < warnInterval {
		return
	}
	p.lastWarning = time.Now()
	p.Log.Warn("watch: invalid engine report", zap.String("engine", string(p.id)), zap.Error(err))
}

// readCache posts the cache events since the last read. Gaps are posted
// unchanged: the routing logic detects them by the event numbers.
func (p *poller) readCache(ctx context.Context, base string, incarnation uint64) {
	if p.Caches == nil || time.Since(p.lastCacheRead) < cacheInterval {
		return
	}
	p.lastCacheRead = time.Now()
	if incarnation != p.incarnation {
		p.seq, p.incarnation = 0, incarnation
	}
	pollCtx, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	page, err := p.Caches.Events(pollCtx, base, p.seq)
	if err != nil {
		return
	}
	for _, event := range engine.ToCacheReports(p.id, page) {
		p.Events.Post(event)
	}
	p.seq = max(p.seq, page.Seq)
}
