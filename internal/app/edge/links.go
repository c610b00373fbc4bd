package edge

import (
	"context"
	"sync"
	"time"

	"fulmarwick/internal/route/reach"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"
)

// linkCheckInterval is the interval at which links are checked while they are in doubt.
const linkCheckInterval = 50 * time.Millisecond

// linkWatcher finds out whether this instance has lost its links to all upstreams.
type linkWatcher struct {
	start time.Time
	// addresses returns the addresses of the upstreams that can be tried.
	addresses func() []string
	// open opens a connection to an upstream. Its outcome is recorded by recordDial.
	open func(ctx context.Context, address string) error
	// isBusy reports whether this process is short of CPU time: connections then fail
	// without a fault of the links.
	isBusy func() bool
	// onLost is called once the links are lost.
	onLost func()
	log    *zap.Logger
	// doubtful gets a value when a connection fails. Its buffer holds one.
	doubtful chan struct{}

	mu      sync.Mutex
	tracker reach.Tracker
	// lostAt is when the links were lost.
	lostAt time.Time
	// checking is closed at the end of the running check; nil if none is running.
	checking chan struct{}
}

// recordDial records the outcome of a connection attempt.
func (l *linkWatcher) recordDial(address string, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err == nil:
		l.tracker.RecordSuccess()
	case !l.isBusy():
		l.update(func() { l.tracker.RecordFailure(time.Since(l.start), address) })
		select {
		case l.doubtful <- struct{}{}:
		default:
		}
	}
}

// update changes the tracker and logs if the links are lost or restored by that; l.mu is held.
func (l *linkWatcher) update(change func()) {
	before := l.tracker.IsCut()
	change()
	switch after := l.tracker.IsCut(); {
	case after && !before:
		l.lostAt = time.Now()
		l.log.Warn("edge: links to upstreams lost")
		go l.onLost()
	case before && !after:
		l.log.Warn("edge: links to upstreams restored", zap.Duration("after", time.Since(l.lostAt)))
	}
}

// areLost reports whether the links to all upstreams are lost.
func (l *linkWatcher) areLost() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.IsCut()
}

// areSound reports whether all connections to upstreams were accepted of late.
func (l *linkWatcher) areSound() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.IsSound(time.Since(l.start))
}

// confirmLost reports whether the links to all upstreams are lost. While they are in doubt, it
// waits for a check.
func (l *linkWatcher) confirmLost(ctx context.Context) bool {
	l.mu.Lock()
	doubt := l.tracker.InDoubt()
	l.mu.Unlock()
	if doubt {
		l.check(ctx)
	}
	return l.areLost()
}

// run checks the links while they are in doubt, until ctx ends.
func (l *linkWatcher) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-l.doubtful:
		}
		l.checkWhileDoubtful(ctx)
	}
}

func (l *linkWatcher) checkWhileDoubtful(ctx context.Context) {
	ticker := time.NewTicker(linkCheckInterval)
	defer ticker.Stop()
	for l.isDoubtful() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		l.mu.Lock()
		due := l.tracker.NeedsCheck(time.Since(l.start))
		l.mu.Unlock()
		if due {
			l.check(ctx)
		}
	}
}

// isDoubtful reports whether the links are in doubt or lost.
func (l *linkWatcher) isDoubtful() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tracker.IsCut() || l.tracker.InDoubt()
}

// check tries a sample of the upstreams, or waits for the check that is running.
func (l *linkWatcher) check(ctx context.Context) {
	addresses := l.addresses()
	l.mu.Lock()
	if running := l.checking; running != nil {
		l.mu.Unlock()
		<-running
		return
	}
	done := make(chan struct{})
	l.checking = done
	l.tracker.SetListed(len(addresses))
	sample := l.tracker.Sample(addresses)
	l.mu.Unlock()
	defer close(done)
	n := l.countAccepted(ctx, sample)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.checking = nil
	l.update(func() { l.tracker.RecordCheck(n, len(sample)) })
}

// countAccepted returns how many of the addresses accept a connection. If one shows that the
// links are not lost, it does not wait for the others.
func (l *linkWatcher) countAccepted(ctx context.Context, addresses []string) int {
	outcomes := make(chan bool, len(addresses))
	for _, address := range addresses {
		go func() { outcomes <- l.open(ctx, address) == nil }()
	}
	n := 0
	for range addresses {
		if <-outcomes {
			n++
		}
		if n > 0 && !l.areLost() {
			break
		}
	}
	return n
}

// register registers the metric of the links.
func (l *linkWatcher) register(meters *metrics.Set) {
	meters.NewGauge(`fulmarwick_links_lost`, func() float64 {
		if l.areLost() {
			return 1
		}
		return 0
	})
}
