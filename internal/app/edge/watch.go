package edge

import (
	"context"
	"sync"
	"time"

	"fulmarwick/internal/base/pause"
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/stall"

	"go.uber.org/zap"
)

const (
	// checkInterval is the pause between two looks at the streams.
	checkInterval = 10 * time.Millisecond
	// maxTickDelay is the pause after which this process itself stood still: what
	// it missed says nothing about engines.
	maxTickDelay = 60 * time.Millisecond
	// probeTimeout is how long an engine may take to answer how it is.
	probeTimeout = 28 * time.Millisecond
	// probeRetryTimeout bounds a second question, where the first one alone proves
	// little: few streams were silent, or this process itself got the processor
	// late. Without it one death under load has all instances take most engines for
	// dead, and the moves that follow keep them busy.
	probeRetryTimeout = 90 * time.Millisecond
	// confirmProbeTimeout is how long an engine that seemed dead may take to answer before a
	// request may run on one engine more than its attempts allow. One that stays silent
	// for cutOff is cut off from here.
	confirmProbeTimeout = 400 * time.Millisecond
	cutOffAfter         = 1500 * time.Millisecond
	// maxProbeWallTime bounds a question though this process does not run.
	maxProbeWallTime = 2 * time.Second
	// maxConcurrentProbers is how many instances may ask an engine at the same moment: that many
	// new connections are taken within the time for an answer. Of more, each asks at
	// some moment of askSpacing times their number, and waits connectTime longer for
	// each.
	maxConcurrentProbers   = 40
	probeSpacing           = 1500 * time.Microsecond
	connectTimePerInstance = time.Millisecond
	// minDeadReports is how many instances must have found an engine dead, within
	// corroboration, for another one to believe it.
	minDeadReports   = 3
	deadReportWindow = time.Second
	// minStallTime and quietGaps are the silence, at least and in usual pauses, that
	// bears out what another instance found.
	minStallTime = 40 * time.Millisecond
	minStallGaps = 2
	// busyTickDelay is the delay of a look that shows that the processor is short,
	// busyTime how long that counts.
	busyTickDelay = 12 * time.Millisecond
	busyDuration  = 250 * time.Millisecond
	// suspectCooldown is how long an engine gets nothing new that another instance
	// found dead, until it is known here as well.
	suspectCooldown = 400 * time.Millisecond
	// repathTimeout bounds the answer to an order for another path.
	repathTimeout = 60 * time.Millisecond
	// lagCheckInterval is the pause between two looks for slow engines, and between two
	// questions to one that is known to be slow.
	lagCheckInterval = time.Second
	// laggingFactor is how many times longer than predicted the pauses of a stream
	// are when it lags: above what reading the prompts of others adds. lagStreams
	// of an engine, and more than half, must lag before it is asked for its pace.
	laggingFactor     = 1.9
	minLaggingStreams = 2
	// lagProbers is how many instances ask the same engine in that time.
	lagProbers = 3.0
	// minLaggingGap is the least pause between events that counts as lagging: below
	// it nobody is late.
	minLaggingGap = 30 * time.Millisecond
	// leaveDelay is how long the streams of an engine that leaves stay: it goes
	// on for two seconds at least, and most answers end within one.
	leaveDelay = 1200 * time.Millisecond
	// deadProbeInterval is the pause between questions to engines that are down.
	deadProbeInterval = 500 * time.Millisecond
)

// engineClient asks engines and gives them orders.
type engineClient interface {
	Report(ctx context.Context, address string) (site.Report, error)
	Order(ctx context.Context, address string, o site.Order) error
	Repath(ctx context.Context, address string, r site.Repath) error
}

// watcher notices dead engines from the streams that pass them and takes the
// streams elsewhere.
type watcher struct {
	router  *router
	engines engineClient
	log     *zap.Logger
	// countProbe and moved count questions and paths changed.
	countProbe func()
	// onDead is told of engines that do not answer.
	onDead    func(id spec.UpstreamID)
	countMove func(how string)
	// countLostTime counts time without processor.
	countLostTime func(time.Duration)
	newTicker     func(every time.Duration) (ticks <-chan time.Time, stop func())

	// clock is the time in which this process could hear engines.
	clock pause.Detector

	mu             sync.Mutex
	lastBusy       time.Time
	stallDetectors map[string]*stall.Detector
	probes         map[spec.UpstreamID]*probe
	lastDeadProbe  time.Time
	lastLagCheck   time.Time
	// deadReports are the engines that other instances found dead.
	deadReports map[spec.UpstreamID]deadReport
	// leaving are the engines that leave, with the time at which their streams
	// go on elsewhere.
	leaving map[spec.UpstreamID]departure
}

func newWatcher(r *router, e engineClient, log *zap.Logger) *watcher {
	return &watcher{router: r, engines: e, log: log, stallDetectors: map[string]*stall.Detector{}, probes: map[spec.UpstreamID]*probe{}, deadReports: map[spec.UpstreamID]deadReport{}, leaving: map[spec.UpstreamID]departure{}, newTicker: newRealTicker, clock: pause.Detector{TickInterval: checkInterval, MinPause: busyTickDelay}}
}

// newRealTicker is a ticker of the real clock.
func newRealTicker(every time.Duration) (ticks <-chan time.Time, stop func()) {
	t := time.NewTicker(every)
	return t.C, t.Stop
}

// run looks until ctx ends.
func (w *watcher) run(ctx context.Context) {
	ticks, stop := w.newTicker(checkInterval)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		now := time.Now()
		late := w.clock.Tick(now)
		if late > busyTickDelay {
			w.mu.Lock()
			w.lastBusy = now
			w.mu.Unlock()
		}
		w.recordPause(late)
		if late > maxTickDelay {
			continue
		}
		w.check(ctx, now)
	}
}

// recordPause counts the time in which this process did not keep up, and tells of pauses
// that others may notice: an instance that is late is told from engines that are
// silent by it.
func (w *watcher) recordPause(late time.Duration) {
	if late > busyTickDelay {
		w.countLostTime(late)
	}
	if late > maxTickDelay {
		w.log.Warn("edge: process stood still", zap.Duration("late", late))
	}
}

func (w *watcher) check(ctx context.Context, now time.Time) {
	w.router.admitAll()
	for _, s := range w.findSuspects(now) {
		w.startProbe(ctx, s.up, s.manyStreams && !w.isLargeFleet())
	}
	for _, up := range w.dueDepartures(now) {
		// Orders for other paths wait for answers; the next look must not.
		go w.evacuate(ctx, up)
	}
	if now.Sub(w.lastDeadProbe) >= deadProbeInterval {
		w.lastDeadProbe = now
		for _, up := range w.router.deadEngines() {
			if w.router.isSampled(maxConcurrentProbers) {
				w.startProbe(ctx, up, false)
			}
		}
	}
	if now.Sub(w.lastLagCheck) >= lagCheckInterval {
		w.lastLagCheck = now
		for _, up := range w.router.lagProbeTargets() {
			w.startProbe(ctx, up, false)
		}
	}
}

// suspectEngine is an engine that may be dead.
type suspectEngine struct {
	up          site.Upstream
	manyStreams bool
}

// findSuspects returns the engines that may be dead.
func (w *watcher) findSuspects(now time.Time) []suspectEngine {
	r := w.router
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []suspectEngine
	for name, g := range r.services {
		if g.model == nil || len(g.runs) == 0 {
			continue
		}
		watch := w.stallDetectors[name]
		if watch == nil {
			watch = &stall.Detector{}
			w.stallDetectors[name] = watch
		}
		for _, d := range watch.Check(now.Sub(r.start), w.stallStreams(g, now)) {
			if up, ok := g.model.Upstream(d.Engine); ok {
				out = append(out, suspectEngine{up: up, manyStreams: d.ManyStreams})
			}
		}
	}
	return out
}

// stallStreams are the runs as the search for dead engines sees them. A stream is not
// silent while this process did not run: its events may wait to be read.
func (w *watcher) stallStreams(g *serviceState, now time.Time) []stall.Stream {
	out := make([]stall.Stream, 0, len(g.runs))
	for f, t := range g.runs {
		g.finishReread(f, t)
		if g.passesDead(t.chain) {
			// Its silence is explained: the other engines of its path wait as well.
			continue
		}
		last, writing := f.LastEvent(), !t.awaitingFirstEvent
		if last.Before(t.movedAt) {
			// The engines that are new to the run read all of its tokens first.
			last, writing = t.movedAt, false
		}
		heard := last.Sub(w.router.start) + w.clock.PausedBetween(last, now)
		out = append(out, stall.Stream{Chain: t.chain, LastEvent: heard, Gap: f.MeanEventGap(), Started: writing})
	}
	return out
}

// passesDead reports whether a path passes an engine that does not answer.
func (g *serviceState) passesDead(chain spec.Chain) bool {
	for _, stage := range chain {
		if g.model.ListedDead(stage.Engine()) {
			return true
		}
	}
	return false
}

// deadEngines are the engines that do not answer.
func (r *router) deadEngines() []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []site.Upstream
	for _, g := range r.services {
		if g.model != nil {
			out = append(out, g.model.DeadEngines()...)
		}
	}
	return out
}
