package edge

import (
	"context"
	"slices"
	"sort"
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/state/feed"
	"fulmarwick/internal/wire/relay"

	"go.uber.org/zap"
)

// departure is the state of an engine that leaves.
type departure struct {
	up site.Upstream
	// moveAt is when the runs of the engine are moved.
	moveAt time.Time
	// done is set once the move was started.
	done bool
}

// updateLeaving updates the set of leaving engines: engines with runs that announced
// that they leave, or that are no longer listed.
func (w *watcher) updateLeaving(list []site.Upstream) {
	ready := map[spec.UpstreamID]bool{}
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, up := range list {
		if up.State == site.StateReady {
			ready[up.ID] = true
		}
	}
	for _, up := range w.router.enginesInUse() {
		if _, known := w.leaving[up.ID]; !known && !ready[up.ID] {
			w.leaving[up.ID] = departure{up: up, moveAt: time.Now().Add(leaveDelay)}
		}
	}
	for id := range w.leaving {
		if ready[id] {
			delete(w.leaving, id)
		}
	}
}

// dueDepartures returns the leaving engines whose streams must move now. Each engine
// is returned once.
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

// enginesInUse returns the engines on the paths of the active runs.
func (r *router) enginesInUse() []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	seen := map[spec.UpstreamID]bool{}
	var out []site.Upstream
	for name, svc := range r.services {
		for _, t := range svc.runs {
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

// pathChange moves a run off an engine to another path.
type pathChange struct {
	run *relay.Run
	// firstAddress is the address of the first engine, which stays the same.
	firstAddress string
	// oldChain and oldHops are the path of the run until the first engine accepts the new
	// one. The list may no longer have the addresses of its engines.
	oldChain spec.Chain
	oldHops  []site.Hop
	newChain spec.Chain
	hops     []site.Hop
}

// initialEvacuateRetryDelay is the first delay before the move of runs off an engine
// is retried for those that could not be moved: by then some of the runs that use the
// capacity of other engines have ended. Each delay is twice the one before, since
// orders to engines have a cost.
const initialEvacuateRetryDelay = 200 * time.Millisecond

// evacuate moves runs off an engine. A leaving engine that answers continues its
// runs, so they only change their path if other engines accept them. Runs that
// can't change their path off a silent or dead engine are started again elsewhere.
// That is retried until no run is left or the health of the engine changes.
func (w *watcher) evacuate(ctx context.Context, up site.Upstream, health path.Health) {
	for delay := initialEvacuateRetryDelay; ; delay *= 2 {
		kept := w.tryEvacuate(ctx, up, health)
		if kept == 0 || health == path.HealthUp || !feed.Sleep(ctx, delay) || w.router.health(up) != health {
			return
		}
	}
}

// tryEvacuate moves runs off an engine once. A run for which the engine is not the
// first one gets another path; otherwise, if the engine does not answer, the run is
// started again. It returns how many runs stay on the engine.
func (w *watcher) tryEvacuate(ctx context.Context, up site.Upstream, health path.Health) int {
	changes, restarts, kept := w.router.planMoves(up, health)
	resumed := 0
	for _, run := range restarts {
		if health != path.HealthUp && w.resumeElsewhere(run) {
			resumed++
		} else {
			kept++
		}
	}
	var unchanged atomic.Int32
	var group sync.WaitGroup
	for _, change := range changes {
		group.Go(func() {
			if !w.repath(ctx, change, health != path.HealthUp) {
				unchanged.Add(1)
			}
		})
	}
	group.Wait()
	kept += int(unchanged.Load())
	w.log.Info("edge: engine left", zap.String("engine", string(up.ID)), zap.Stringer("health", health), zap.Int("repathed", len(changes)-int(unchanged.Load())),
		zap.Int("resumed", resumed), zap.Int("kept", kept))
	return kept
}

// resumeElsewhere ends a run so that a new run continues the request. It returns false
// if the run must stay: its first engine may go on with it, and no attempt or retry is left.
func (w *watcher) resumeElsewhere(run *relay.Run) bool {
	chain, _ := run.Chain()
	allowRetry := func() bool { return w.router.AllowRetry(run.Service) }
	if !run.Reroute(w.router.IsDead(run.Service, chain[0].Engine()), allowRetry) {
		return false
	}
	w.countMove("resume")
	return true
}

// planMoves finds other paths for the runs on an engine. Usage is moved to the new path
// at once, so that the search for the next run sees it. restarts are the resumable
// runs without another path, and those that may crash engines: they end as they are
// started again. Runs on a silent engine that could not begin elsewhere now are kept.
func (r *router) planMoves(up site.Upstream, health path.Health) (changes []pathChange, restarts []*relay.Run, kept int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	svc := r.service(up.Service)
	if svc.model == nil {
		return nil, nil, 0
	}
	var planned reservations
	defer planned.release(svc.model)
	mustLeave := func(id spec.UpstreamID) bool { return id == up.ID || !svc.model.Answers(id) }
	for _, run := range svc.runsThrough(up.ID) {
		t := svc.runs[run]
		demand := run.Demand
		demand.Resumed = true
		chain, err := svc.model.Repair(r.now(), t.chain, demand, mustLeave)
		isRestricted := r.crashBook.Check(r.now(), run.Suspects) != nil
		switch {
		case err == nil && !isRestricted:
			if health == path.HealthSilent {
				r.keepOpenOn(svc, run, t, up)
			}
			changes = append(changes, r.movePath(svc, run, chain, demand))
		case !run.Resumable:
		case health == path.HealthSilent && (isRestricted || !t.hasSpareAttempt() || !planned.reserve(svc.model, r.now(), demand)):
			kept++
		default:
			restarts = append(restarts, run)
		}
	}
	return changes, restarts, kept
}

// movePath moves the usage of a run to another path with the same first engine; r.mu is held.
func (r *router) movePath(svc *serviceState, run *relay.Run, chain spec.Chain, demand path.Demand) pathChange {
	t := svc.runs[run]
	change := pathChange{run: run, oldChain: t.chain, newChain: chain, hops: svc.model.Hops(chain)}
	_, change.oldHops = run.Chain()
	t.formerChain = t.chain
	svc.changePath(run, chain, change.hops)
	svc.model.RecordTransfer(r.now(), chain, demand)
	r.takeStages(stagesNotIn(chain, change.oldChain))
	change.firstAddress = change.hops[0].Address
	return change
}

// reservations holds the usage of runs that are about to begin elsewhere while others are planned.
type reservations struct {
	chains  []spec.Chain
	demands []path.Demand
}

// reserve reserves the usage of a run and reports whether there is a path for it.
func (p *reservations) reserve(t *path.Table, now time.Duration, d path.Demand) bool {
	chain, err := t.Choose(now, d, nil)
	if err != nil {
		return false
	}
	t.Begin(chain, d)
	p.chains, p.demands = append(p.chains, chain), append(p.demands, d)
	return true
}

// release ends all reservations.
func (p *reservations) release(t *path.Table) {
	for n, chain := range p.chains {
		t.End(chain, p.demands[n], true)
	}
}

// runsThrough returns the runs whose path contains an engine. Runs without an event for
// the longest time come first: their callers will leave soonest.
func (svc *serviceState) runsThrough(id spec.UpstreamID) []*relay.Run {
	var out []*relay.Run
	for run, t := range svc.runs {
		if t.chain.Uses(id) {
			out = append(out, run)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].LastEvent().Before(out[j].LastEvent()) })
	return out
}

// repath orders the first engine of a run to continue it over another path. If that
// fails, a run on an engine that does not answer is started again instead. It returns
// false if the run stays as it was.
func (w *watcher) repath(ctx context.Context, change pathChange, mayRestart bool) bool {
	ctx, cancel := context.WithTimeout(ctx, repathTimeout+w.connectQueueTime())
	defer cancel()
	err := w.engines.Repath(ctx, change.firstAddress, site.Repath{Engine: change.newChain[0].Engine(), Request: change.run.Request, Path: change.hops})
	if err == nil {
		w.router.confirmPath(change)
		w.countMove("repath")
		w.log.Info("edge: path changed", zap.String("request", change.run.Request), zap.Stringer("path", change.newChain), zap.Duration("silent", time.Since(change.run.LastEvent())))
		return true
	}
	restarted := mayRestart && w.resumeElsewhere(change.run)
	w.log.Warn("edge: path not changed", zap.String("request", change.run.Request), zap.Bool("run moves", restarted), zap.Error(err))
	if !restarted {
		w.router.restorePath(change)
	}
	return restarted
}

// confirmPath records that the engines of a run accepted its new path.
func (r *router) confirmPath(change pathChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if t := r.service(change.run.Service).runs[change.run]; t != nil {
		t.formerChain = nil
	}
}

// restorePath moves the usage of a run back to the path that it kept, unless the run got yet
// another path meanwhile.
func (r *router) restorePath(change pathChange) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if chain, _ := change.run.Chain(); !slices.Equal(chain, change.newChain) {
		return
	}
	svc := r.service(change.run.Service)
	svc.changePath(change.run, change.oldChain, change.oldHops)
	if t := svc.runs[change.run]; t != nil {
		t.formerChain = nil
	}
}
