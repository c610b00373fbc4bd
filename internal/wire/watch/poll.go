package watch

import (
	"context"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/wire/engine"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// runningPoller is a poller that runs.
type runningPoller struct {
	cancel context.CancelFunc
	wake   chan<- struct{}
}

// poller reads one engine. Its goroutine alone uses it.
type poller struct {
	*Watcher
	id   spec.UpstreamID
	wake <-chan struct{}
	// lastCacheRead is when cache events were last asked for.
	lastCacheRead time.Time
	// lastWarning is when a bad report was last logged.
	lastWarning time.Time
	// seq is the last cache event read, of incarnation.
	seq         uint64
	incarnation uint64
}

// run reads the engine until ctx ends.
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

// interval is the time to the next report. A watcher that stands by asks seldom,
// until the first watcher misses answers: then both ask often, so that they
// agree as soon as if both had asked often all the time.
func (p *poller) interval() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	e := p.tracker.get(p.id)
	switch {
	case e == nil || e.primary:
		return p.Poll
	case e.doubtedByPeer(p.now()):
		return retryInterval
	}
	return standbyFactor * p.Poll
}

// poll asks once. It reports whether the engine answered or is known to be
// down, so that there is no hurry.
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
	asked, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	body, err := engine.Report(asked, p.HTTP, base)
	switch {
	case ctx.Err() != nil:
		return true
	case err != nil:
		p.warnInvalid(err)
		late := errors.Is(asked.Err(), context.DeadlineExceeded)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.tracker.handleMiss(p.now(), e, !late)
		return e.declaredDead
	}
	row := engine.Row(p.id, body)
	p.mu.Lock()
	p.tracker.handleAnswer(p.now(), e, body, row)
	p.mu.Unlock()
	p.readCache(ctx, base, row.Incarnation)
	return true
}

// warnInvalid logs a report that the engine gave but that cannot be true, now and
// then: without it an operator would only see that the engine is missing.
func (p *poller) warnInvalid(err error) {
	if !errors.Is(err, engine.ErrBody) || time.Since(p.lastWarning) < warnInterval {
		return
	}
	p.lastWarning = time.Now()
	p.Log.Warn("watch: report refused", zap.String("engine", string(p.id)), zap.Error(err))
}

// readCache posts the cache events since the last ones. A gap is posted as it
// is: the routing logic sees it by the numbers.
func (p *poller) readCache(ctx context.Context, base string, incarnation uint64) {
	if p.Caches == nil || time.Since(p.lastCacheRead) < cacheInterval {
		return
	}
	p.lastCacheRead = time.Now()
	if incarnation != p.incarnation {
		p.seq, p.incarnation = 0, incarnation
	}
	asked, cancel := context.WithTimeout(ctx, p.Timeout)
	defer cancel()
	page, err := p.Caches.Events(asked, base, p.seq)
	if err != nil {
		return
	}
	for _, seen := range engine.Seen(p.id, page) {
		p.Loop.Post(seen)
	}
	p.seq = max(p.seq, page.Seq)
}
