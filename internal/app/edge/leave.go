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
	up     site.Upstream
	moveAt time.Time
	done   bool
}

// updateLeaving notes the engines that leave, by their own word or because they are
// gone from the list while they still serve.
func (w *watcher) updateLeaving(list []site.Upstream) {
	here := map[spec.UpstreamID]bool{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, up := range list {
		if up.State == site.StateReady {
			here[up.ID] = true
		}
	}
	for _, up := range w.router.enginesInUse() {
		if _, known := w.leaving[up.ID]; !known && !here[up.ID] {
			w.leaving[up.ID] = departure{up: up, moveAt: time.Now().Add(leaveDelay)}
		}
	}
	for id := range w.leaving {
		if here[id] {
			delete(w.leaving, id)
		}
	}
}

// dueDepartures are the engines whose streams must go elsewhere now.
func (w *watcher) dueDepartures(now time.Time) []site.Upstream {
	w.mu.Lock()
	defer w.mu.Unlock()
	var out []site.Upstream
	for id, d := range w.leaving {
		if d.done || now.Before(d.moveAt) {
			continue
		}
		d.done = true
		w.leaving[id] = d
		out = append(out, d.up)
	}
	return out
}

// enginesInUse are the engines that runs pass.
func (r *router) enginesInUse() []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[spec.UpstreamID]bool{}
	var out []site.Upstream
	for name, g := range r.services {
		for _, t := range g.runs {
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

// pathChange is a run that leaves an engine over another path.
type pathChange struct {
	run          *relay.Run
	firstAddress string
	// oldChain is the path that it has until the new one is accepted.
	oldChain spec.Chain
	newChain spec.Chain
	hops     []site.Hop
}

// initialEvacuateRetryDelay is the first pause before runs that could not leave a dead engine are
// tried once more: some of those that take the room elsewhere have ended by then.
// Each pause is twice the one before, since orders are paid for.
const initialEvacuateRetryDelay = 200 * time.Millisecond

// evacuate takes runs off an engine. An engine that leaves but lives goes on with what
// it has, so that its runs only change their path where other engines take them. A
// run that passes a dead engine begins anew elsewhere, or is tried again until none
// is left or the engine serves again.
func (w *watcher) evacuate(ctx context.Context, up site.Upstream) {
	w.router.recordCrashesOf(up)
	dead := w.router.IsDead(up.Service, up.ID)
	for pause := initialEvacuateRetryDelay; ; pause *= 2 {
		kept := w.tryEvacuate(ctx, up, dead)
		if kept == 0 || !dead || !feed.Sleep(ctx, pause) || w.router.isServing(up) {
			return
		}
	}
}

// tryEvacuate takes runs off an engine: over another path where it is not the
// first one, else, if it is dead, by a new run. It returns how many stay.
func (w *watcher) tryEvacuate(ctx context.Context, up site.Upstream, dead bool) int {
	shifts, moves := w.router.planMoves(up)
	resumed, kept := 0, 0
	for _, f := range moves {
		if dead && w.resumeElsewhere(f) {
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

// resumeElsewhere ends a run so that another one goes on; false if it must stay.
func (w *watcher) resumeElsewhere(f *relay.Run) bool {
	chain, _ := f.Chain()
	repeat := func() bool { return w.router.AllowRetry(f.Service) }
	if !f.Reroute(w.router.IsDead(f.Service, chain[0].Engine()), repeat) {
		return false
	}
	w.countMove("resume")
	return true
}

// isServing reports whether an engine that was left serves again.
func (r *router) isServing(up site.Upstream) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(up.Service)
	if g.model == nil || g.model.DeadOrUnlisted(up.ID) {
		return false
	}
	now, listed := g.model.Upstream(up.ID)
	return listed && now.State == site.StateReady
}

// recordCrashesOf notes the runs that pass an engine that died: one of them may have
// been why.
func (r *router) recordCrashesOf(up site.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(up.Service)
	if g.model == nil || !g.model.ListedDead(up.ID) {
		return
	}
	for _, f := range g.runsThrough(up.ID) {
		r.recordCrash(crash.Event{Fingerprint: f.Fingerprint, Upstream: up.ID, Incarnation: up.Born, RanMs: time.Since(f.Start).Milliseconds()})
	}
}

// planMoves plans how runs leave an engine and counts them over at once, so that
// the next one sees what is taken. moves are runs without another path.
func (r *router) planMoves(up site.Upstream) (shifts []pathChange, moves []*relay.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(up.Service)
	if g.model == nil {
		return nil, nil
	}
	bad := func(id spec.UpstreamID) bool { return id == up.ID || g.model.DeadOrUnlisted(id) }
	for _, f := range g.runsThrough(up.ID) {
		t := g.runs[f]
		n := f.Demand
		n.Resumed = true
		chain, err := g.model.Repair(r.now(), t.chain, n, bad)
		if err != nil {
			if f.Resumable {
				moves = append(moves, f)
			}
			continue
		}
		s := pathChange{run: f, oldChain: t.chain, newChain: chain}
		g.changePath(f, chain)
		g.model.RecordTransfer(r.now(), chain, n)
		_, s.hops = f.Chain()
		s.firstAddress = s.hops[0].Address
		shifts = append(shifts, s)
	}
	return shifts, moves
}

// runsThrough are the runs that pass an engine, those that are nearest to the end of
// their callers' patience first.
func (g *serviceState) runsThrough(id spec.UpstreamID) []*relay.Run {
	var out []*relay.Run
	for f, t := range g.runs {
		if t.chain.Uses(id) {
			out = append(out, f)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].LastEvent().Before(out[j].LastEvent()) })
	return out
}

// repath has the engines of a run go on over another path; false if they do not and
// the run stays. A run that passes a dead engine cannot go on as it is and begins
// anew instead.
func (w *watcher) repath(ctx context.Context, s pathChange, dead bool) bool {
	ctx, cancel := context.WithTimeout(ctx, repathTimeout+w.connectQueueTime())
	defer cancel()
	err := w.engines.Repath(ctx, s.firstAddress, site.Repath{Engine: s.newChain[0].Engine(), Request: s.run.Request, Path: s.hops})
	if err == nil {
		w.countMove("repath")
		w.log.Info("edge: path changed", zap.String("request", s.run.Request), zap.Stringer("path", s.newChain), zap.Duration("silent", time.Since(s.run.LastEvent())))
		return true
	}
	moves := dead && w.resumeElsewhere(s.run)
	w.log.Warn("edge: path not changed", zap.String("request", s.run.Request), zap.Bool("run moves", moves), zap.Error(err))
	if !moves {
		w.router.restorePath(s)
	}
	return moves
}

// restorePath counts a run on the path that it has kept.
func (r *router) restorePath(s pathChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.service(s.run.Service).changePath(s.run, s.oldChain)
}
