package edge

import (
	"context"
	"sync"
	"time"

	"fulmarwick/internal/base/awake"
	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/stall"

	"go.uber.org/zap"
)

const (
	// lookEvery is the pause between two looks at the streams.
	lookEvery = 10 * time.Millisecond
	// lookLate is the pause after which this process itself stood still: what
	// it missed says nothing about engines.
	lookLate = 60 * time.Millisecond
	// askTime is how long an engine may take to answer how it is.
	askTime = 28 * time.Millisecond
	// askAgain bounds a second question, where the first one alone proves
	// little: few streams were silent, or this process itself got the processor
	// late. Without it one death under load has all instances take most engines for
	// dead, and the moves that follow keep them busy.
	askAgain = 90 * time.Millisecond
	// confirmTime is how long an engine that seemed dead may take to answer before a
	// request may run on one engine more than its attempts allow. One that stays silent
	// for cutOff is cut off from here.
	confirmTime = 400 * time.Millisecond
	cutOff      = 1500 * time.Millisecond
	// askMost bounds a question though this process does not run.
	askMost = 2 * time.Second
	// askAtOnce is how many instances may ask an engine at the same moment: that many
	// new connections are taken within the time for an answer. Of more, each asks at
	// some moment of askSpacing times their number, and waits connectTime longer for
	// each.
	askAtOnce   = 40
	askSpacing  = 1500 * time.Microsecond
	connectTime = time.Millisecond
	// corroborated is how many instances must have found an engine dead, within
	// corroboration, for another one to believe it.
	corroborated  = 3
	corroboration = time.Second
	// quietLeast and quietGaps are the silence, at least and in usual pauses, that
	// bears out what another instance found.
	quietLeast = 40 * time.Millisecond
	quietGaps  = 2
	// busyLate is the delay of a look that shows that the processor is short,
	// busyTime how long that counts.
	busyLate = 12 * time.Millisecond
	busyTime = 250 * time.Millisecond
	// doubtRest is how long an engine gets nothing new that another instance
	// found dead, until it is known here as well.
	doubtRest = 400 * time.Millisecond
	// repathTime bounds the answer to an order for another path.
	repathTime = 60 * time.Millisecond
	// lagEvery is the pause between two looks for slow engines, and between two
	// questions to one that is known to be slow.
	lagEvery = time.Second
	// lagging is how many times longer than predicted the pauses of a stream
	// are when it lags: above what reading the prompts of others adds. lagStreams
	// of an engine, and more than half, must lag before it is asked for its pace.
	lagging    = 1.9
	lagStreams = 2
	// lagAskers is how many instances ask the same engine in that time.
	lagAskers = 3.0
	// lagLeast is the least pause between events that counts as lagging: below
	// it nobody is late.
	lagLeast = 30 * time.Millisecond
	// leaveAfter is how long the streams of an engine that leaves stay: it goes
	// on for two seconds at least, and most answers end within one.
	leaveAfter = 1200 * time.Millisecond
	// knockEvery is the pause between questions to engines that are down.
	knockEvery = 500 * time.Millisecond
)

// engines asks engines and gives them orders.
type engines interface {
	Report(ctx context.Context, address string) (site.Report, error)
	Order(ctx context.Context, address string, o site.Order) error
	Repath(ctx context.Context, address string, r site.Repath) error
}

// watcher notices dead engines from the streams that pass them and takes the
// streams elsewhere.
type watcher struct {
	router  *router
	engines engines
	log     *zap.Logger
	// probed and moved count questions and paths changed.
	probed func()
	// found is told of engines that do not answer.
	found func(id spec.UpstreamID)
	moved func(how string)
	// late counts time without processor.
	late  func(time.Duration)
	ticks func(every time.Duration) (ticks <-chan time.Time, stop func())

	// clock is the time in which this process could hear engines.
	clock awake.Clock

	mu     sync.Mutex
	busy   time.Time
	watch  map[string]*stall.Watch
	asking map[spec.UpstreamID]*probe
	knock  time.Time
	lag    time.Time
	// findings are the engines that other instances found dead.
	findings map[spec.UpstreamID]finding
	// leaving are the engines that leave, with the time at which their streams
	// go on elsewhere.
	leaving map[spec.UpstreamID]departure
}

func newWatcher(r *router, e engines, log *zap.Logger) *watcher {
	return &watcher{router: r, engines: e, log: log, watch: map[string]*stall.Watch{}, asking: map[spec.UpstreamID]*probe{}, findings: map[spec.UpstreamID]finding{}, leaving: map[spec.UpstreamID]departure{}, ticks: newTicks, clock: awake.Clock{Every: lookEvery, Least: busyLate}}
}

// newTicks is a ticker of the real clock.
func newTicks(every time.Duration) (ticks <-chan time.Time, stop func()) {
	t := time.NewTicker(every)
	return t.C, t.Stop
}

// run looks until ctx ends.
func (w *watcher) run(ctx context.Context) {
	ticks, stop := w.ticks(lookEvery)
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticks:
		}
		now := time.Now()
		late := w.clock.Tick(now)
		if late > busyLate {
			w.mu.Lock()
			w.busy = now
			w.mu.Unlock()
		}
		w.lost(late)
		if late > lookLate {
			continue
		}
		w.look(ctx, now)
	}
}

// lost counts the time in which this process did not keep up, and tells of pauses
// that others may notice: an instance that is late is told from engines that are
// silent by it.
func (w *watcher) lost(late time.Duration) {
	if late > busyLate {
		w.late(late)
	}
	if late > lookLate {
		w.log.Warn("edge: process stood still", zap.Duration("late", late))
	}
}

func (w *watcher) look(ctx context.Context, now time.Time) {
	w.router.admitAll()
	for _, s := range w.silent(now) {
		w.ask(ctx, s.up, s.many && !w.isCrowded())
	}
	for _, up := range w.due(now) {
		// Orders for other paths wait for answers; the next look must not.
		go w.leave(ctx, up)
	}
	if now.Sub(w.knock) >= knockEvery {
		w.knock = now
		for _, up := range w.router.downs() {
			if w.router.isOneOf(askAtOnce) {
				w.ask(ctx, up, false)
			}
		}
	}
	if now.Sub(w.lag) >= lagEvery {
		w.lag = now
		for _, up := range w.router.laggards() {
			w.ask(ctx, up, false)
		}
	}
}

// silentEngine is an engine that may be dead.
type silentEngine struct {
	up   site.Upstream
	many bool
}

// silent returns the engines that may be dead.
func (w *watcher) silent(now time.Time) []silentEngine {
	r := w.router
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []silentEngine
	for name, g := range r.groups {
		if g.model == nil || len(g.flights) == 0 {
			continue
		}
		watch := w.watch[name]
		if watch == nil {
			watch = &stall.Watch{}
			w.watch[name] = watch
		}
		for _, d := range watch.Look(now.Sub(r.start), w.streams(g, now)) {
			if up, ok := g.model.Upstream(d.Engine); ok {
				out = append(out, silentEngine{up: up, many: d.Many})
			}
		}
	}
	return out
}

// streams are the runs as the search for dead engines sees them. A stream is not
// silent while this process did not run: its events may wait to be read.
func (w *watcher) streams(g *group, now time.Time) []stall.Stream {
	out := make([]stall.Stream, 0, len(g.flights))
	for f, t := range g.flights {
		g.reread(f, t)
		if g.passesDown(t.chain) {
			// Its silence is explained: the other engines of its path wait as well.
			continue
		}
		last, writing := f.Last(), !t.unread
		if last.Before(t.moved) {
			// The engines that are new to the run read all of its tokens first.
			last, writing = t.moved, false
		}
		heard := last.Sub(w.router.start) + w.clock.Lost(last, now)
		out = append(out, stall.Stream{Chain: t.chain, Last: heard, Gap: f.Gap(), Writing: writing})
	}
	return out
}

// passesDown reports whether a path passes an engine that does not answer.
func (g *group) passesDown(chain spec.Chain) bool {
	for _, stage := range chain {
		if g.model.Silent(stage.Engine()) {
			return true
		}
	}
	return false
}

// downs are the engines that do not answer.
func (r *router) downs() []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []site.Upstream
	for _, g := range r.groups {
		if g.model != nil {
			out = append(out, g.model.Downs()...)
		}
	}
	return out
}
