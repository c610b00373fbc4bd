package daemon

import (
	"context"
	"strings"
	"time"

	"fulmarwick/internal/app/meters"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/place"
	"fulmarwick/internal/wire/admin"
)

// Status returns the status of the instance and of the engines it knows.
func (d *Daemon) Status(ctx context.Context) (admin.Status, error) {
	p := &d.parts
	out := admin.Status{
		Instance: d.Settings.Instance.Name, DataCentre: d.Settings.Instance.DataCentre,
		Region: d.Settings.Instance.Region, Build: d.Build, Goal: d.Settings.Goal.String(),
		Ready: d.ready(), Stopping: p.drainer.Stopping(), Running: p.drainer.Running(),
		Classes: d.classes(), Engines: []admin.Engine{}, Leaving: []string{}, Instances: []admin.Instance{},
	}
	if current := p.active.Snapshot(); current != nil {
		out.Version = current.Version()
	}
	if p.fleet != nil {
		out.Instances = p.fleet.instances()
	}
	planning := p.duties.lease.Held()
	err := p.loop.Inspect(ctx, func() {
		if planning {
			out.Placement = placement(p.planner.Status())
		}
		for _, e := range p.logic.State().Engines().Rows() {
			out.Engines = append(out.Engines, engineStatus(e))
			if e.State() == domain.StateLeaving {
				out.Leaving = append(out.Leaving, string(e.ID))
			}
		}
	})
	return out, err
}

// classes returns the active classes, including those that have received no
// requests.
func (d *Daemon) classes() []admin.Class {
	out := []admin.Class{}
	current := d.parts.active.Snapshot()
	if current == nil {
		return out
	}
	d.parts.attainment.Retain(current.Classes())
	attained := map[string]meters.Attainment{}
	for _, a := range d.parts.attainment.All() {
		attained[string(a.Class.Name())] = a
	}
	for _, c := range current.Classes() {
		a := attained[string(c.Name())]
		a.Class = c
		t := c.Target()
		reliability := current.ClassReliability(c.Name())
		out = append(out, admin.Class{
			Name: string(c.Name()), Kind: c.Kind().String(), Percent: t.Percent(),
			Attained: a.Percent(), Requests: a.Seen, Reliability: reliability, Answered: a.Reliability(),
			Holds: a.MeetsTarget() && a.Reliability() >= reliability,
			First: timesStatus(t.FirstEvent(), a.First), Gap: timesStatus(t.Gap(), a.Gap), Whole: timesStatus(t.TotalTime(), a.Whole),
		})
	}
	return out
}

func timesStatus(limit time.Duration, t meters.Times) admin.Times {
	return admin.Times{Limit: millis(limit), P50: millis(t.P50), P95: millis(t.P95), P99: millis(t.P99)}
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func engineStatus(e *domain.Engine) admin.Engine {
	layers := make([]string, 0, len(e.Loaded))
	for _, h := range e.Loaded {
		layers = append(layers, string(h.Model)+":"+h.Layers.String())
	}
	out := admin.Engine{
		Name: string(e.ID), DataCentre: string(e.DataCentre), Kind: e.Kind, State: e.State().String(),
		Layers: strings.Join(layers, ","), Active: e.Active, Queued: e.Queued, Slots: e.Slots,
	}
	if e.Slots > 0 {
		out.Use = float64(e.Active) / float64(e.Slots)
	}
	return out
}

// placement converts the planner's status. It returns nil before the planner's
// first review.
func placement(s place.Status) *admin.Placement {
	if s.Bound <= 0 {
		return nil
	}
	return &admin.Placement{
		Part: s.Rate / s.Bound, Target: s.Target / s.Bound, Missing: s.MissingHolders,
		Waiting: s.Waiting, Loading: s.Loading, Stuck: s.Stuck,
	}
}
