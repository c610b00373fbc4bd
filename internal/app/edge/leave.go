package edge

import (
	"context"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/wire/relay"

	"go.uber.org/zap"
)

// departure is an engine that leaves.
type departure struct {
	up   site.Upstream
	at   time.Time
	done bool
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

// shift is a run that leaves an engine over another path.
type shift struct {
	flight *relay.Flight
	first  string
	// before is the path that it has until the new one is accepted.
	before spec.Chain
	chain  spec.Chain
	hops   []site.Hop
}

// leaveAgain is the first pause before runs that could not leave a dead engine are
// tried once more: some of those that take the room elsewhere have ended by then.
// Each pause is twice the one before, since orders are paid for.
const leaveAgain = 200 * time.Millisecond

// leave takes runs off an engine. An engine that leaves but lives goes on with what
// it has, so that its runs only change their path where other engines take them. A
// run that passes a dead engine begins anew elsewhere, or is tried again until none
// is left or the engine serves again.
func (w *watcher) leave(ctx context.Context, up site.Upstream) {
	w.router.strikes(up)
	dead := w.router.Down(up.Service, up.ID)
	for pause := leaveAgain; ; pause *= 2 {
		kept := w.leaveOnce(ctx, up, dead)
		if kept == 0 || !dead || !feed.Sleep(ctx, pause) || w.router.serves(up) {
			return
		}
	}
}

// leaveOnce takes runs off an engine: over another path where it is not the
// first one, else, if it is dead, by a new run. It returns how many stay.
func (w *watcher) leaveOnce(ctx context.Context, up site.Upstream, dead bool) int {
	shifts, moves := w.router.shifts(up)
	resumed, kept := 0, 0
	for _, f := range moves {
		if dead && w.resume(f) {
			resumed++
		} else {
			kept++
		}
	}
	var stay atomic.Int32
	var group sync.WaitGroup
	for _, s := range shifts {
		group.Go(func() {
			if !w.repath(ctx, s, dead) {
				stay.Add(1)
			}
		})
	}
	group.Wait()
	kept += int(stay.Load())
	w.log.Info("edge: engine left", zap.String("engine", string(up.ID)), zap.Bool("dead", dead), zap.Int("repathed", len(shifts)-int(stay.Load())),
		zap.Int("resumed", resumed), zap.Int("kept", kept))
	return kept
}

// resume ends a run so that another one goes on; false if it must stay.
func (w *watcher) resume(f *relay.Flight) bool {
	chain, _ := f.Chain()
	repeat := func() bool { return w.router.Again(f.Service) }
	if !f.Move(w.router.Down(f.Service, chain[0].Engine()), repeat) {
		return false
	}
	w.moved("resume")
	return true
}

// serves reports whether an engine that was left serves again.
func (r *router) serves(up site.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(up.Service)
	if g.model == nil || g.model.Dead(up.ID) {
		return false
	}
	now, listed := g.model.Upstream(up.ID)
	return listed && now.State == site.StateReady
}

// strikes notes the runs that pass an engine that died: one of them may have
// been why.
func (r *router) strikes(up site.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(up.Service)
	if g.model == nil || !g.model.Silent(up.ID) {
		return
	}
	for _, f := range g.over(up.ID) {
		r.strike(crash.Death{Print: f.Print, Upstream: up.ID, Born: up.Born, Ran: time.Since(f.Start).Milliseconds()})
	}
}

// shifts plans how runs leave an engine and counts them over at once, so that
// the next one sees what is taken. moves are runs without another path.
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
		n := f.Need
		n.Haste = true
		chain, err := g.model.Mend(r.now(), t.chain, n, bad)
		if err != nil {
			if f.Resume {
				moves = append(moves, f)
			}
			continue
		}
		s := shift{flight: f, before: t.chain, chain: chain}
		g.rechain(f, chain)
		g.model.Cross(r.now(), chain, n)
		_, s.hops = f.Chain()
		s.first = s.hops[0].Address
		shifts = append(shifts, s)
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

// repath has the engines of a run go on over another path; false if they do not and
// the run stays. A run that passes a dead engine cannot go on as it is and begins
// anew instead.
func (w *watcher) repath(ctx context.Context, s shift, dead bool) bool {
	ctx, cancel := context.WithTimeout(ctx, repathTime+w.queueTime())
	defer cancel()
	err := w.engines.Repath(ctx, s.first, site.Repath{Engine: s.chain[0].Engine(), Request: s.flight.Request, Path: s.hops})
	if err == nil {
		w.moved("repath")
		w.log.Info("edge: path changed", zap.String("request", s.flight.Request), zap.Stringer("path", s.chain), zap.Duration("silent", time.Since(s.flight.Last())))
		return true
	}
	moves := dead && w.resume(s.flight)
	w.log.Warn("edge: path not changed", zap.String("request", s.flight.Request), zap.Bool("run moves", moves), zap.Error(err))
	if !moves {
		w.router.back(s)
	}
	return moves
}

// back counts a run on the path that it has kept.
func (r *router) back(s shift) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.group(s.flight.Service).rechain(s.flight, s.before)
}
