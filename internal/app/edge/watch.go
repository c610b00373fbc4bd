package edge

import (
	"context"
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/stall"
	"fulmarwick/internal/wire/relay"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// lookEvery is the pause between two looks at the streams.
	lookEvery = 10 * time.Millisecond
	// lookLate is the pause after which this process itself stood still: what
	// it missed says nothing about engines.
	lookLate = 60 * time.Millisecond
	// askTime is how long an engine may take to answer how it is; on a calm
	// day it takes 1 to 3 ms.
	askTime = 28 * time.Millisecond
	// askAgain bounds a second question, where the first one alone proves
	// little: few streams were silent, or this process itself got the processor
	// late. Without it one death under load made each of 33 instances take
	// nearly all of 89 engines for dead within two seconds, and the moves that
	// followed kept them busy.
	askAgain = 90 * time.Millisecond
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
	// are when it lags: reading the prompts of others makes them 1.2 to 1.8
	// times as long on a calm day, by the bench. lagStreams of an engine, and
	// more than half, must lag before it is asked for its pace.
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

	mu     sync.Mutex
	busy   time.Time
	watch  map[string]*stall.Watch
	asking map[spec.UpstreamID]bool
	knock  time.Time
	lag    time.Time
	// leaving are the engines that leave, with the time at which their streams
	// go on elsewhere.
	leaving map[spec.UpstreamID]departure
}

// departure is an engine that leaves.
type departure struct {
	up   site.Upstream
	at   time.Time
	done bool
}

func newWatcher(r *router, e engines, log *zap.Logger) *watcher {
	return &watcher{router: r, engines: e, log: log, watch: map[string]*stall.Watch{}, asking: map[spec.UpstreamID]bool{}, leaving: map[spec.UpstreamID]departure{}}
}

// run looks until ctx ends.
func (w *watcher) run(ctx context.Context) {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		late := now.Sub(last) - lookEvery
		last = now
		if late > busyLate {
			w.mu.Lock()
			w.busy = now
			w.mu.Unlock()
		}
		if late > lookLate {
			continue
		}
		w.look(ctx, now)
	}
}

func (w *watcher) look(ctx context.Context, now time.Time) {
	for _, s := range w.silent(now) {
		w.ask(ctx, s.up, s.many)
	}
	for _, up := range w.due(now) {
		w.leave(ctx, up)
	}
	if now.Sub(w.knock) >= knockEvery {
		w.knock = now
		for _, up := range w.router.downs() {
			w.ask(ctx, up, false)
		}
	}
	if now.Sub(w.lag) >= lagEvery {
		w.lag = now
		for _, up := range w.router.laggards() {
			w.ask(ctx, up, false)
		}
	}
}

// listed notes the engines that leave, by their own word or because they are
// gone from the list while they still serve.
func (w *watcher) listed(list []site.Upstream) {
	here := map[spec.UpstreamID]bool{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, up := range list {
		if up.State == site.StateReady {
			here[up.ID] = true
		}
	}
	for _, up := range w.router.flown() {
		if _, known := w.leaving[up.ID]; !known && !here[up.ID] {
			w.leaving[up.ID] = departure{up: up, at: time.Now().Add(leaveAfter)}
		}
	}
	for id := range w.leaving {
		if here[id] {
			delete(w.leaving, id)
		}
	}
}

// due are the engines whose streams must go elsewhere now.
func (w *watcher) due(now time.Time) []site.Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []site.Upstream
	for id, d := range w.leaving {
		if d.done || now.Before(d.at) {
			continue
		}
		d.done = true
		w.leaving[id] = d
		out = append(out, d.up)
	}
	return out
}

// flown are the engines that runs pass.
func (r *router) flown() []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[spec.UpstreamID]bool{}
	var out []site.Upstream
	for name, g := range r.groups {
		for _, t := range g.flights {
			for _, stage := range t.chain {
				if id := stage.Engine(); !seen[id] {
					seen[id] = true
					out = append(out, site.Upstream{ID: id, Service: name})
				}
			}
		}
	}
	return out
}

// laggards are the engines that may be slow, and those that are.
func (r *router) laggards() []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []site.Upstream
	for _, g := range r.groups {
		if g.model == nil {
			continue
		}
		slow := g.model.Slow(r.now())
		lags := g.lags()
		for _, up := range g.model.Engines() {
			l := lags[up.ID]
			_, known := slow[up.ID]
			if !known && (l.late < lagStreams || 2*l.late <= l.all) {
				continue
			}
			// What one instance learns all others are told.
			if rand.Float64() < lagAskers/float64(r.instances()) {
				out = append(out, up)
			}
		}
	}
	return out
}

// lag counts the streams that pass an engine, and those of them that make
// events much slower than predicted.
type lag struct{ late, all int }

func (g *group) lags() map[spec.UpstreamID]lag {
	out := map[spec.UpstreamID]lag{}
	for f, t := range g.flights {
		gap := f.Gap()
		if gap == 0 {
			continue
		}
		predicted := g.model.Step(t.chain) * time.Duration(g.model.Model.Stride)
		late := gap >= lagLeast && float64(gap) >= lagging*float64(predicted)
		for _, stage := range t.chain {
			l := out[stage.Engine()]
			l.all++
			if late {
				l.late++
			}
			out[stage.Engine()] = l
		}
	}
	return out
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
		for _, d := range watch.Look(now.Sub(r.start), g.streams(r.start)) {
			if up, ok := g.model.Upstream(d.Engine); ok {
				out = append(out, silentEngine{up: up, many: d.Many})
			}
		}
	}
	return out
}

// streams are the runs as the search for dead engines sees them.
func (g *group) streams(start time.Time) []stall.Stream {
	out := make([]stall.Stream, 0, len(g.flights))
	for f, t := range g.flights {
		out = append(out, stall.Stream{Chain: t.chain, Last: f.Last().Sub(start), Gap: f.Gap(), Writing: !t.unread})
	}
	return out
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

// ask finds out in the background whether an engine lives. many tells that
// many of its streams are silent.
func (w *watcher) ask(ctx context.Context, up site.Upstream, many bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asking[up.ID] {
		return
	}
	w.asking[up.ID] = true
	go func() {
		defer func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			delete(w.asking, up.ID)
		}()
		w.question(ctx, up, many)
	}()
}

func (w *watcher) question(ctx context.Context, up site.Upstream, many bool) {
	start := time.Now()
	report, late, err := w.report(ctx, up, askTime)
	if late && (!many || w.isBusy()) {
		report, _, err = w.report(ctx, up, askAgain)
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
	if !w.router.down(up) {
		return
	}
	w.log.Warn("edge: engine does not answer", zap.String("engine", string(up.ID)), zap.String("address", up.Address),
		zap.Bool("many", many), zap.Duration("after", time.Since(start)), zap.Error(err))
	w.found(up.ID)
	w.leave(ctx, up)
}

// report asks an engine how it is; late tells that it did not answer in time.
func (w *watcher) report(ctx context.Context, up site.Upstream, limit time.Duration) (r site.Report, late bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	w.probed()
	r, err = w.engines.Report(ctx, up.Address)
	return r, errors.Is(ctx.Err(), context.DeadlineExceeded), err
}

// isBusy reports whether this process got the processor late just now.
func (w *watcher) isBusy() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Since(w.busy) < busyTime
}

// told takes an engine that another instance found dead. It is asked only if
// streams of this instance pass it: dozens of instances that all ask would
// keep each other busy.
func (w *watcher) told(ctx context.Context, id spec.UpstreamID) {
	up, used := w.router.avoid(id)
	if used {
		w.ask(ctx, up, true)
	}
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

// shift is a run that leaves an engine.
type shift struct {
	flight *relay.Flight
	first  string
	chain  spec.Chain
	hops   []site.Hop
}

// leave takes all runs off an engine: over another path where it is not the
// first one, else by a new run.
func (w *watcher) leave(ctx context.Context, up site.Upstream) {
	shifts, moves := w.router.shifts(up)
	for _, f := range moves {
		w.moved("resume")
		f.Move()
	}
	var group sync.WaitGroup
	for _, s := range shifts {
		group.Go(func() { w.repath(ctx, s) })
	}
	group.Wait()
	w.log.Info("edge: engine left", zap.String("engine", string(up.ID)), zap.Int("repathed", len(shifts)), zap.Int("resumed", len(moves)))
}

// shifts plans how runs leave an engine and counts them over at once, so that
// the next one sees what is taken.
func (r *router) shifts(up site.Upstream) (shifts []shift, moves []*relay.Flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(up.Service)
	if g.model == nil {
		return nil, nil
	}
	bad := func(id spec.UpstreamID) bool { return id == up.ID || g.model.Dead(id) }
	for _, f := range g.over(up.ID) {
		t := g.flights[f]
		if g.model.Silent(up.ID) {
			r.strike(crash.Death{Print: f.Print, Upstream: up.ID, Born: up.Born, Ran: time.Since(f.Start).Milliseconds()})
		}
		n := f.Need
		n.Haste = true
		chain, err := g.model.Mend(r.now(), t.chain, n, bad)
		if err != nil {
			if f.Resume {
				moves = append(moves, f)
			}
			continue
		}
		g.rechain(f, chain)
		_, hops := f.Chain()
		shifts = append(shifts, shift{flight: f, first: hops[0].Address, chain: chain, hops: hops})
	}
	return shifts, moves
}

// over are the runs that pass an engine, those that are nearest to the end of
// their callers' patience first.
func (g *group) over(id spec.UpstreamID) []*relay.Flight {
	var out []*relay.Flight
	for f, t := range g.flights {
		if t.chain.Uses(id) {
			out = append(out, f)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Last().Before(out[j].Last()) })
	return out
}

func (w *watcher) repath(ctx context.Context, s shift) {
	ctx, cancel := context.WithTimeout(ctx, repathTime)
	defer cancel()
	err := w.engines.Repath(ctx, s.first, site.Repath{Request: s.flight.Request, Path: s.hops})
	if err == nil {
		w.moved("repath")
		w.log.Info("edge: path changed", zap.String("request", s.flight.Request), zap.Stringer("path", s.chain), zap.Duration("silent", time.Since(s.flight.Last())))
		return
	}
	w.log.Warn("edge: path not changed, run moves", zap.String("request", s.flight.Request), zap.Error(err))
	w.moved("resume")
	if s.flight.Resume {
		s.flight.Move()
	}
}
