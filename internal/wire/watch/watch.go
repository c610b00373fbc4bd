// Package watch follows the platform's list and the reports of the engines
// and turns them into events for the logic and addresses for the clients.
//
// It imports base, state/store, route/world and wire/engine. The daemon runs
// one Watcher.
package watch

import (
	"context"
	"net/http"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
	"fulmarwick/internal/state/store"
	"fulmarwick/internal/wire/engine"

	"go.uber.org/zap"
)

// Lister reads the platform's lagging list.
type Lister interface {
	List(ctx context.Context) ([]store.ListedBody, error)
}

// Poster takes events for the logic.
type Poster interface {
	Post(ev world.Event)
}

// Locator learns where an engine is.
type Locator interface {
	Locate(id spec.UpstreamID, base string)
}

// Services learns where a plain service's instances are.
type Services interface {
	Locate(service spec.ServiceName, bases []string)
}

// Watcher follows upstreams. Set the exported fields before Run.
type Watcher struct {
	List     Lister
	Loop     Poster
	Engines  Locator
	Services Services
	HTTP     *http.Client
	Log      *zap.Logger
	// Every is the time between two rounds.
	Every time.Duration

	known map[spec.UpstreamID]string
}

// Run watches until ctx ends.
func (w *Watcher) Run(ctx context.Context) error {
	ticker := time.NewTicker(w.Every)
	defer ticker.Stop()
	for {
		w.Round(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
	}
}

// Round reads the list and every engine's report once.
func (w *Watcher) Round(ctx context.Context) {
	listed, err := w.List.List(ctx)
	if err != nil {
		// A list that cannot be read removes nobody: the engines of the last
		// one still answer, and dropping them would stop all work.
		w.Log.Warn("watch: list unreadable", zap.Error(err))
	} else {
		w.take(listed)
	}
	for id, base := range w.known {
		w.report(ctx, id, base)
	}
}

func (w *Watcher) take(listed []store.ListedBody) {
	if w.known == nil {
		w.known = map[spec.UpstreamID]string{}
	}
	services := map[spec.ServiceName][]string{}
	for _, l := range listed {
		switch {
		case l.Role == store.RoleService && l.State == frame.StateLive:
			name := spec.ServiceName(l.Service)
			services[name] = append(services[name], l.URL)
		case l.Role == store.RoleEngine:
			w.engine(l)
		}
	}
	for name, bases := range services {
		w.Services.Locate(name, bases)
	}
}

func (w *Watcher) engine(l store.ListedBody) {
	id := spec.UpstreamID(l.ID)
	w.known[id] = l.URL
	w.Engines.Locate(id, l.URL)
	if l.State == frame.StateLeaving {
		w.Loop.Post(world.EngineLeaving{Engine: id})
	}
}

func (w *Watcher) report(ctx context.Context, id spec.UpstreamID, base string) {
	body, err := engine.Report(ctx, w.HTTP, base)
	if err != nil {
		w.Loop.Post(world.EngineDown{Engine: id})
		return
	}
	w.Loop.Post(world.EngineSeen{Engine: engine.Row(id, body)})
	if body.State == frame.StateLeaving {
		w.Loop.Post(world.EngineLeaving{Engine: id})
	}
}
