package edge

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/queue"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/wire/relay"

	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// isReserved reports whether the remaining capacity is kept for teams with fewer requests; r.mu is
// held.
func (r *router) isReserved(svc *serviceState, c *relay.Call) bool {
	now := r.now()
	utilization := func() float64 { return svc.model.MaxUtilization(now) }
	if svc.sharesTeams {
		return !svc.teams.Allow(now, c.Team, c.ShedRank, utilization)
	}
	return svc.queue.IsStalled(now) && !svc.teams.Own().Allow(c.Team, utilization)
}

// inFlight returns how many requests of a team are in flight, at all instances if teams share
// capacity by these.
func (svc *serviceState) inFlight(team string) int {
	if svc.sharesTeams {
		return svc.teams.InFlight(team)
	}
	return svc.teams.Own().InFlight(team)
}

// recordUnserved records that a request has found no capacity, or others that wait for it.
func (svc *serviceState) recordUnserved(now time.Duration, w *waiter) {
	if svc.sharesTeams && errors.Is(w.lastErr, path.ErrNoMemory) {
		svc.teams.RecordUnserved(now, w.call.Team, w.call.ShedRank)
	}
}

// startShared starts a request that has joined the queue if it is the first in it: those behind it
// may wait since they leave capacity to its team; r.mu is held.
func (r *router) startShared(svc *serviceState, t *queue.Ticket) {
	if !svc.sharesTeams || svc.queue.Len() < 2 || svc.queue.Ordered(svc.inFlight)[0] != t {
		return
	}
	if run, ok := r.tryStart(svc, svc.waiters[t]); ok {
		svc.resolve(t, admission{run: run})
	}
}

// localTeams returns what the requests of this instance say of teams, by service; nothing unless
// teams share capacity over all instances.
func (r *router) localTeams() map[string]share.Usage {
	if !r.sharesTeams {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]share.Usage{}
	for name, svc := range r.services {
		if svc.model != nil {
			out[name] = svc.teams.Usage(r.now())
		}
	}
	return out
}

// applyPeerTeams sets what the requests of other instances say of teams; nil removes it. It does
// nothing unless teams share capacity over all instances.
func (r *router) applyPeerTeams(from spec.InstanceID, teams map[string]share.Usage) {
	if !r.sharesTeams {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for name, svc := range r.services {
		svc.teams.SetOthers(from, teams[name])
	}
}

// reportReserves updates the metrics of the capacity that large teams leave to small ones, and logs
// each time that this begins or ends.
func (i *Instance) reportReserves() {
	for service, reserve := range i.router.teamReserves() {
		i.meters.GetOrCreateGauge(`fulmarwick_team_reserve{service="`+service+`"}`, nil).Set(reserve)
		if isKept := reserve > 0; isKept != i.reserves[service] {
			i.reserves[service] = isKept
			i.Log.Info("edge: capacity for teams with few requests", zap.String("service", service), zap.Bool("kept", isKept))
		}
	}
}

// teamReserves returns the share of the capacity that large teams leave, by model service; nothing
// unless teams share capacity over all instances.
func (r *router) teamReserves() map[string]float64 {
	if !r.sharesTeams {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]float64{}
	for name, svc := range r.services {
		if svc.model != nil {
			out[name] = svc.teams.Reserve(r.now())
		}
	}
	return out
}
