package daemon

import (
	"context"
	"strings"
	"time"

	"fulmarwick/internal/app/meters"
	"fulmarwick/internal/route/world"
	"fulmarwick/internal/wire/admin"

	"github.com/go-faster/errors"
)

// viewer gives the status of the instance.
type viewer struct {
	*parts
}

// Status gathers what operators see.
func (v *viewer) Status(ctx context.Context) (admin.Status, error) {
	s := admin.Status{
		Instance: v.Settings.Instance.Name, DataCentre: v.Settings.Instance.DataCentre,
		Region: v.Settings.Instance.Region, Build: v.Build, Goal: v.Settings.Goal.String(),
		Ready: v.ready(), Stopping: v.halt.Stopping(), Running: v.halt.Running(),
	}
	if now := v.book.Now(); now != nil {
		s.Version = now.Version()
	}
	for _, a := range v.board.All() {
		s.Classes = append(s.Classes, classStatus(a))
	}
	err := v.loop.Look(ctx, func() {
		for _, e := range v.logic.World().Engines().Rows() {
			s.Engines = append(s.Engines, engineStatus(e))
			if e.State() == world.StateLeaving {
				s.Leaving = append(s.Leaving, string(e.ID))
			}
		}
	})
	if err != nil {
		return s, errors.Wrap(err, "daemon: status")
	}
	return s, nil
}

func classStatus(a meters.Attained) admin.Class {
	t := a.Class.Target()
	return admin.Class{
		Name: string(a.Class.Name()), Kind: a.Class.Kind().String(), Percent: t.Percent(),
		Attained: a.Percent(), Holds: a.Holds(), Requests: a.Seen,
		First: times(t.First(), a.First), Gap: times(t.Gap(), a.Gap), Whole: times(t.Whole(), a.Whole),
	}
}

func times(limit time.Duration, t meters.Times) admin.Times {
	return admin.Times{Limit: millis(limit), P50: millis(t.P50), P95: millis(t.P95), P99: millis(t.P99)}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func engineStatus(e *world.Engine) admin.Engine {
	var layers []string
	for _, h := range e.Holds {
		layers = append(layers, string(h.Model)+"@"+h.Version+":"+h.Layers.String())
	}
	return admin.Engine{
		Name: string(e.ID), DataCentre: string(e.DataCentre), Kind: e.Kind, State: e.State().String(),
		Layers: strings.Join(layers, " "), Active: e.Active, Queued: e.Queued, Slots: e.Slots, Use: e.Use(),
	}
}
