package edge

import (
	"context"
	"sort"
	"sync"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
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
