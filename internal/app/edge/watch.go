package edge

import (
	"context"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/base/pause"
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/stall"

	"go.uber.org/zap"
)

const (
	// checkInterval is the interval between two checks of the streams.
	checkInterval = 10 * time.Millisecond
	// maxTickDelay is the delay of a tick above which this process itself counts as
	// paused: the events that it missed say nothing about engines.
	maxTickDelay = 60 * time.Millisecond
	// probeTimeout limits the first report request to an engine.
	probeTimeout = 28 * time.Millisecond
	// probeRetryTimeout limits the second report request, which is sent if the first
	// timeout proves little: few streams were stalled, or this process itself was short
	// of CPU time. Without it, the death of one engine under load makes all instances
	// declare most engines silent, and the moves that follow keep the instances busy.
	probeRetryTimeout = 90 * time.Millisecond
	// maxProbeWallTime limits a report request in wall time, even if this process does
	// not run meanwhile.
	maxProbeWallTime = 2 * time.Second
	// maxConcurrentProbers is how many instances may probe an engine at the same moment:
	// an engine accepts that many new connections within the time for an answer.
	maxConcurrentProbers = 40
	// probeSpacing times the number of instances is the period over which a larger fleet
	// spreads its probes; each instance picks a random moment in it.
	probeSpacing = 1500 * time.Microsecond
	// connectTimePerInstance is how much longer a probe waits for an answer for each
	// instance above maxConcurrentProbers.
	connectTimePerInstance = time.Millisecond
	// minSilenceReports is how many instances of a large fleet must have reported an engine
	// silent within silenceReportWindow before the report counts as confirmed.
	minSilenceReports = 3
	// silenceReportWindow is how long such reports are counted together.
	silenceReportWindow = time.Second
	// minStallTime is the least time without an event after which a stream confirms a
	// report of a silent engine.
	minStallTime = 40 * time.Millisecond
	// minStallGaps is the same in mean inter-event gaps of the stream; the longer time
	// counts.
	minStallGaps = 2
	// busyTickDelay is the delay of a tick above which this process counts as short of
	// CPU time.
	busyTickDelay = 12 * time.Millisecond
	// busyDuration is how long the process counts as such after a delayed tick.
	busyDuration = 250 * time.Millisecond
	// suspectCooldown is how long an engine that another instance reported silent gets no
	// new runs, until this instance knows whether it is.
	suspectCooldown = 400 * time.Millisecond
	// repathTimeout limits the wait for an engine to accept another path.
	repathTimeout = 60 * time.Millisecond
	// lagCheckInterval is the interval between two checks for slow engines, and between
	// two probes of an engine that is known to be slow.
	lagCheckInterval = time.Second
	// laggingFactor is how many times longer than predicted the gaps of a stream must be
	// for it to lag. It is above what the prefill of other requests adds.
	laggingFactor = 1.9
	// minLaggingStreams is how many streams of an engine must lag before the engine is
	// asked for its slowdown factor; they must also be more than half of its streams.
	minLaggingStreams = 2
	// lagProbers is how many instances probe the same engine in each lagCheckInterval, on
	// average.
	lagProbers = 3.0
	// minLaggingGap is the least inter-event gap that counts as lagging: with shorter gaps
	// no answer is late.
	minLaggingGap = 30 * time.Millisecond
	// leaveDelay is how long the streams of a leaving engine stay on it: it serves for at
	// least two seconds more, and most answers end within one.
	leaveDelay = 1200 * time.Millisecond
	// silentProbeInterval is the interval between two probes of engines that are silent or dead.
	silentProbeInterval = 500 * time.Millisecond
)

// engineClient requests reports from engines and sends them orders.
type engineClient interface {
	Report(ctx context.Context, address string) (site.Report, error)
	Order(ctx context.Context, address string, o site.Order) error
	Repath(ctx context.Context, address string, r site.Repath) error
}

// watcher detects silent engines by the streams that stall on them, and moves the streams to
// other engines.
type watcher struct {
	router  *router
	engines engineClient
	log     *zap.Logger
	links   *linkWatcher
	// countProbe counts report requests.
	countProbe func()
	// onSilent is called for each engine that did not answer a probe of this instance.
	onSilent func(id spec.UpstreamID)
	// countSilence counts the ends of silences: the engine answered or is dead.
	countSilence func(end string)
	// countMove counts runs moved off an engine, by the kind of move.
	countMove func(kind string)
	// countLostTime adds up the time without CPU.
	countLostTime func(time.Duration)
	newTicker     func(every time.Duration) (ticks <-chan time.Time, stop func())

	// clock tracks the process pauses, in which no event of an engine could be read.
	clock pause.Detector

	mu sync.Mutex
	// lastBusy is the time of the last tick delayed by more than busyTickDelay.
	lastBusy time.Time
	// stallDetectors holds a detector for each service.
	stallDetectors map[string]*stall.Detector
	// probes holds the running probes.
	probes          map[spec.UpstreamID]*probe
	lastSilentProbe time.Time
	lastLagCheck    time.Time
	// surveyed is set once the engines were asked for what they hold.
	surveyed bool
	// silenceReports counts, by engine, the recent reports of other instances that found it
	// silent.
	silenceReports map[spec.UpstreamID]silenceReport
	// leaving holds the leaving engines with the time at which their streams move.
	leaving map[spec.UpstreamID]departure
}

func newWatcher(r *router, e engineClient, log *zap.Logger) *watcher {
	return &watcher{router: r, engines: e, log: log, stallDetectors: map[string]*stall.Detector{}, probes: map[spec.UpstreamID]*probe{}, silenceReports: map[spec.UpstreamID]silenceReport{}, leaving: map[spec.UpstreamID]departure{}, newTicker: newRealTicker, clock: pause.Detector{TickInterval: checkInterval, MinPause: busyTickDelay}}
}

// newRealTicker returns a ticker of the real clock.
func newRealTicker(every time.Duration) (ticks <-chan time.Time, stop func()) {
	t := time.NewTicker(every)
	return t.C, t.Stop
}

// run checks the streams at each tick until ctx ends.
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

// recordPause counts the time in which this process did not keep up. It logs pauses long
// enough to show outside, so that a late instance can be distinguished from unresponsive
// engines.
func (w *watcher) recordPause(late time.Duration) {
	if late > busyTickDelay {
		w.countLostTime(late)
	}
	if late > maxTickDelay {
		w.log.Warn("edge: process was paused", zap.Duration("late", late))
	}
}

// check runs the periodic checks: for stalled streams, leaving, silent and slow engines.
func (w *watcher) check(ctx context.Context, now time.Time) {
	w.router.admitAll()
	if !w.surveyed {
		w.surveyed = w.survey(ctx)
	}
	for _, s := range w.findSuspects(now) {
		w.startProbe(ctx, s.up, s.manyStreams && !w.isLargeFleet())
	}
	for _, up := range w.dueDepartures(now) {
		// Path changes wait for the answers of engines; the next check must not wait.
		go w.evacuate(ctx, up, path.HealthUp)
	}
	if now.Sub(w.lastSilentProbe) >= silentProbeInterval {
		w.lastSilentProbe = now
		for _, up := range w.router.unansweringEngines() {
			if w.router.isSampled(maxConcurrentProbers) {
				w.startProbe(ctx, up, false)
			}
		}
	}
	if now.Sub(w.lastLagCheck) >= lagCheckInterval {
		w.lastLagCheck = now
		for _, up := range w.router.lagProbeTargets() {
			if w.router.mayCall(up.ID) {
				w.startProbe(ctx, up, false)
			}
		}
	}
}

// suspectEngine is an engine that may be silent.
type suspectEngine struct {
	up          site.Upstream
	manyStreams bool
}

// findSuspects returns the engines that may be silent because their streams stall.
func (w *watcher) findSuspects(now time.Time) []suspectEngine {
	r := w.router
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []suspectEngine
	for name, svc := range r.services {
		if svc.model == nil || len(svc.runs) == 0 {
			continue
		}
		detector := w.stallDetectors[name]
		if detector == nil {
			detector = &stall.Detector{}
			w.stallDetectors[name] = detector
		}
		for _, d := range detector.Check(now.Sub(r.start), w.stallStreams(svc, now)) {
			if up, ok := svc.model.Upstream(d.Engine); ok {
				out = append(out, suspectEngine{up: up, manyStreams: d.ManyStreams})
			}
		}
	}
	return out
}

// stallStreams returns the runs of a service as input for stall detection. Process pauses
// don't count as time without an event: events may wait to be read.
func (w *watcher) stallStreams(svc *serviceState, now time.Time) []stall.Stream {
	out := make([]stall.Stream, 0, len(svc.runs))
	for run, t := range svc.runs {
		svc.finishReread(run, t)
		if svc.passesUnanswering(t.chain) {
			// The engine that does not answer explains the stall: the other engines of the path wait too.
			continue
		}
		last, started := run.LastEvent(), !t.awaitingFirstEvent
		if last.Before(t.movedAt) {
			// The engines that are new on the path first read all tokens of the run.
			last, started = t.movedAt, false
		}
		lastEvent := last.Sub(w.router.start) + w.clock.PausedBetween(last, now)
		out = append(out, stall.Stream{Chain: t.chain, LastEvent: lastEvent, Gap: run.MeanEventGap(), Started: started})
	}
	return out
}

// passesUnanswering reports whether a path contains an engine that is silent or dead.
func (svc *serviceState) passesUnanswering(chain spec.Chain) bool {
	for _, stage := range chain {
		if svc.model.Health(stage.Engine()) != path.HealthUp {
			return true
		}
	}
	return false
}

// unansweringEngines returns the engines that are silent or dead, without those that are kept for requests
// that go on elsewhere.
func (r *router) unansweringEngines() []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []site.Upstream
	for _, svc := range r.services {
		if svc.model == nil {
			continue
		}
		for _, up := range svc.model.UnansweringEngines() {
			if !slices.Contains(svc.unlisted, up.ID) || svc.isUsed(up.ID) {
				out = append(out, up)
			}
		}
	}
	return out
}
