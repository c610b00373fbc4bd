package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/fleet/mesh"
)

const (
	// surveyTimeout limits the report request to an engine when this instance starts.
	surveyTimeout = 100 * time.Millisecond
	// fleetSizeTimeout is how long after its start an instance waits to learn how many
	// other instances there are before it surveys the engines.
	fleetSizeTimeout = 300 * time.Millisecond
	// surveyPeriod is how long after its start an instance may survey the engines. Later
	// it knows the requests of the others.
	surveyPeriod = time.Second
	// maxSurveyed is how many engines one instance asks. Each answer takes processor time
	// at the moment when callers return.
	maxSurveyed = 100
)

// survey asks the engines that hold layers once for what they hold of requests that this
// instance knows nothing of. It returns false if it is too early for that. Of many engines,
// and in a large fleet, each instance asks a part, so that no engine has to accept a
// connection of every instance at once.
func (w *watcher) survey(ctx context.Context) bool {
	age := w.router.now()
	engines := w.router.loadedEngines()
	if len(engines) == 0 {
		return age >= surveyPeriod
	}
	sharers := w.router.retryBudgetSharers()
	if sharers > mesh.MaxUnknownPeers && age < fleetSizeTimeout {
		return false
	}
	share := min(maxConcurrentProbers/float64(sharers), maxSurveyed/float64(len(engines)))
	for _, up := range engines {
		if rand.Float64() >= share {
			continue
		}
		go func() {
			report, _, err := w.fetchReport(ctx, up, surveyTimeout)
			if err == nil {
				w.router.recordLeftover(up, report)
			}
		}()
	}
	return true
}

// loadedEngines returns the engines of all services that hold layers.
func (r *router) loadedEngines() []site.Upstream {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []site.Upstream
	for _, svc := range r.services {
		if svc.model == nil {
			continue
		}
		for _, up := range svc.model.Engines() {
			if up.Held.Layers.Len() > 0 {
				out = append(out, up)
			}
		}
	}
	return out
}

// recordLeftover records what an engine holds of requests that no instance knows of.
func (r *router) recordLeftover(up site.Upstream, report site.Report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if svc := r.service(up.Service); svc.model != nil {
		svc.model.RecordLeftover(r.now(), up.ID, report)
	}
}
