package edge

import (
	"context"
	"slices"
	"time"

	"fulmarwick/internal/base/site"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/wire/relay"
)

// runState is how a run is counted in the table of engines.
type runState struct {
	team               string
	chain              spec.Chain
	awaitingFirstEvent bool
	// rereading are the engines that read the tokens so far once more, since the
	// time moved, until the next event shows that they have.
	rereading spec.Chain
	movedAt   time.Time
}

// estimateDemand is what a model request of a class is taken to use.
func (g *serviceState) estimateDemand(class string, a site.RequestHeader) path.Demand {
	m := g.model.Model
	n := path.Demand{Prompt: a.PromptTokens, Answer: a.MaxTokens}
	if n.Prompt == 0 {
		n.Prompt = m.TypicalPrompt
	}
	if a.LengthHint > 0 && (a.MaxTokens == 0 || a.LengthHint < a.MaxTokens) {
		n.Answer = a.LengthHint
	}
	if n.Answer == 0 {
		n.Answer = m.TypicalAnswer
	}
	n.MeanTokens, n.TokenVariance = g.answerLengths.HeldTokens(class, n.Prompt, n.Answer, a.MaxTokens)
	return n
}

// startRun chooses a path and counts a run in; r.mu is held.
func (r *router) startRun(g *serviceState, c *relay.Call, begun bool, avoid []spec.UpstreamID) (*relay.Run, error) {
	if !begun && g.queue.IsStalled(r.now()) && !g.teams.Allow(c.Team, func() float64 { return g.model.MaxUtilization(r.now()) }) {
		return nil, share.ErrReserved
	}
	n := g.estimateDemand(c.Route.Name, c.ParsedHeader)
	n.Resumed = begun
	chain, err := g.model.Choose(r.now(), n, avoidFilter(avoid))
	if err != nil {
		return nil, err
	}
	f := relay.NewRun(chain, g.model.Hops(chain))
	f.Service, f.Route, f.Demand = g.name, c.Route.Name, n
	f.Resumable, f.Fingerprint = c.Route.Resumable, c.Fingerprint()
	g.model.Begin(chain, n)
	g.model.RecordTransfer(r.now(), chain, n)
	g.runs[f] = &runState{team: c.Team, chain: chain, awaitingFirstEvent: true}
	g.teams.Begin(c.Team)
	return f, nil
}

// avoidFilter tests for engines that a request met without luck, but only as
// first engine or not: any of them may be to blame.
func avoidFilter(avoid []spec.UpstreamID) func(spec.UpstreamID) bool {
	if len(avoid) == 0 {
		return nil
	}
	return func(id spec.UpstreamID) bool { return slices.Contains(avoid, id) }
}

// RecordFirstEvent tells that the first event of a run came.
func (r *router) RecordFirstEvent(f *relay.Run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(f.Service)
	if t := g.runs[f]; t != nil && t.awaitingFirstEvent {
		t.awaitingFirstEvent = false
		g.model.PrefillDone(t.chain, f.Demand)
		g.firstLatency += time.Duration(firstLatencyWeight * float64(time.Since(f.Start)-g.firstLatency))
	}
}

// EndRun tells that a run is over, and whether it brought the whole answer.
func (r *router) EndRun(f *relay.Run, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(f.Service)
	if whole {
		g.answerLengths.Observe(f.Route, f.Demand.Answer, f.EventCount()*max(1, g.model.Model.StepsPerPass))
	}
	if t := g.runs[f]; t != nil {
		delete(g.runs, f)
		g.teams.End(t.team)
		g.model.AdjustRetryPrefill(t.rereading, f.Demand, -1)
		g.model.End(t.chain, f.Demand, t.awaitingFirstEvent)
		g.queue.RecordCompletion(r.now())
		r.admit(g)
	}
}

// changePath counts a run over to another path; r.mu is held.
func (g *serviceState) changePath(f *relay.Run, chain spec.Chain) {
	t := g.runs[f]
	if t == nil {
		return
	}
	g.model.AdjustRetryPrefill(t.rereading, f.Demand, -1)
	t.rereading = nil
	g.model.End(t.chain, f.Demand, t.awaitingFirstEvent)
	if !t.awaitingFirstEvent {
		t.rereading, t.movedAt = stagesNotIn(chain, t.chain), time.Now()
	}
	t.chain = chain
	g.model.Begin(chain, f.Demand)
	if !t.awaitingFirstEvent {
		g.model.PrefillDone(chain, f.Demand)
	}
	g.model.AdjustRetryPrefill(t.rereading, f.Demand, 1)
	f.SetChain(chain, g.model.Hops(chain))
}

// stagesNotIn is the stages of a that are not in b.
func stagesNotIn(a, b spec.Chain) (out spec.Chain) {
	for _, s := range a {
		if !slices.Contains(b, s) {
			out = append(out, s)
		}
	}
	return out
}

// finishReread notes an event after the path of a run changed.
func (g *serviceState) finishReread(f *relay.Run, t *runState) {
	if len(t.rereading) > 0 && f.LastEvent().After(t.movedAt) {
		g.model.AdjustRetryPrefill(t.rereading, f.Demand, -1)
		t.rereading = nil
	}
}

// ReportConnFailure tells of an engine that refused or broke a connection.
func (r *router) ReportConnFailure(service string, id spec.UpstreamID) {
	if up, ok := r.upstream(service, id); ok {
		r.onSuspect(up)
	}
}

// upstream returns the row of an engine; false if it is not listed.
func (r *router) upstream(service string, id spec.UpstreamID) (site.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.service(service); g.model != nil {
		return g.model.Upstream(id)
	}
	return site.Upstream{}, false
}

// RecordRefusal tells that an engine refused a run: it is full, leaving, or not what
// it was. Until it is known why it gets nothing new.
func (r *router) RecordRefusal(f *relay.Run, address string) spec.UpstreamID {
	r.mu.Lock()
	g := r.service(f.Service)
	id := g.refusingEngine(f, address)
	up, ok := g.model.Upstream(id)
	g.model.RecordRefusal(r.now(), id)
	r.mu.Unlock()
	if ok {
		r.onSuspect(up)
	}
	return id
}

// refusingEngine is the engine of a run that refused it; r.mu is held.
func (g *serviceState) refusingEngine(f *relay.Run, address string) spec.UpstreamID {
	chain, hops := f.Chain()
	for i, hop := range hops {
		if hop.Address == address && i < len(chain) {
			return chain[i].Engine()
		}
	}
	return chain[0].Engine()
}

// ConfirmExited asks an engine whether it has ended. One that is off the list can't be asked; it
// has ended if it broke its runs off.
func (r *router) ConfirmExited(ctx context.Context, service string, id spec.UpstreamID, broke bool) bool {
	up, listed := r.upstream(service, id)
	if broke && (!listed || up.State != site.StateReady) {
		return true
	}
	return listed && r.isDead(ctx, up)
}

// IsDead reports whether an engine does not answer.
func (r *router) IsDead(service string, id spec.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.service(service)
	return g.model != nil && g.model.ListedDead(id)
}
