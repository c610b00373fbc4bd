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

// tally is how a run is counted in the table of engines.
type tally struct {
	team   string
	chain  spec.Chain
	unread bool
	// fresh are the engines that read the tokens so far once more, since the
	// time moved, until the next event shows that they have.
	fresh spec.Chain
	moved time.Time
}

// need is what a model request of a class is taken to use.
func (g *group) need(class string, a site.Ask) path.Need {
	m := g.model.Model
	n := path.Need{Prompt: a.Prompt, Answer: a.Most}
	if n.Prompt == 0 {
		n.Prompt = m.Prompt
	}
	if a.Hint > 0 && (a.Most == 0 || a.Hint < a.Most) {
		n.Answer = a.Hint
	}
	if n.Answer == 0 {
		n.Answer = m.Answer
	}
	n.Hold, n.Spread = g.guesses.Hold(class, n.Prompt, n.Answer, a.Most)
	return n
}

// begin chooses a path and counts a run in; r.mu is held.
func (r *router) begin(g *group, c *relay.Call, begun bool, avoid []spec.UpstreamID) (*relay.Flight, error) {
	if !begun && g.queue.Stuck(r.now()) && !g.teams.Allow(c.Team, func() float64 { return g.model.Tight(r.now()) }) {
		return nil, share.ErrKept
	}
	n := g.need(c.Route.Name, c.Ask)
	n.Haste = begun
	chain, err := g.model.Choose(r.now(), n, avoiding(avoid))
	if err != nil {
		return nil, err
	}
	f := relay.NewFlight(chain, g.model.Hops(chain))
	f.Service, f.Class, f.Need = g.name, c.Route.Name, n
	f.Resume, f.Print = c.Route.Resume, c.Print()
	g.model.Begin(chain, n)
	g.model.Cross(r.now(), chain, n)
	g.flights[f] = &tally{team: c.Team, chain: chain, unread: true}
	g.teams.Begin(c.Team)
	return f, nil
}

// avoiding tests for engines that a request met without luck, but only as
// first engine or not: any of them may be to blame.
func avoiding(avoid []spec.UpstreamID) func(spec.UpstreamID) bool {
	if len(avoid) == 0 {
		return nil
	}
	return func(id spec.UpstreamID) bool { return slices.Contains(avoid, id) }
}

// Wrote tells that the first event of a run came.
func (r *router) Wrote(f *relay.Flight) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(f.Service)
	if t := g.flights[f]; t != nil && t.unread {
		t.unread = false
		g.model.Wrote(t.chain, f.Need)
		g.first += time.Duration(firstWeight * float64(time.Since(f.Start)-g.first))
	}
}

// End tells that a run is over, and whether it brought the whole answer.
func (r *router) End(f *relay.Flight, whole bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(f.Service)
	if whole {
		g.guesses.Ended(f.Class, f.Need.Answer, f.Events()*max(1, g.model.Model.Stride))
	}
	if t := g.flights[f]; t != nil {
		delete(g.flights, f)
		g.teams.End(t.team)
		g.model.Reread(t.fresh, f.Need, -1)
		g.model.End(t.chain, f.Need, t.unread)
		g.queue.Ended(r.now())
		r.admit(g)
	}
}

// rechain counts a run over to another path; r.mu is held.
func (g *group) rechain(f *relay.Flight, chain spec.Chain) {
	t := g.flights[f]
	if t == nil {
		return
	}
	g.model.Reread(t.fresh, f.Need, -1)
	t.fresh = nil
	g.model.End(t.chain, f.Need, t.unread)
	if !t.unread {
		t.fresh, t.moved = without(chain, t.chain), time.Now()
	}
	t.chain = chain
	g.model.Begin(chain, f.Need)
	if !t.unread {
		g.model.Wrote(chain, f.Need)
	}
	g.model.Reread(t.fresh, f.Need, 1)
	f.SetChain(chain, g.model.Hops(chain))
}

// without is the stages of a that are not in b.
func without(a, b spec.Chain) (out spec.Chain) {
	for _, s := range a {
		if !slices.Contains(b, s) {
			out = append(out, s)
		}
	}
	return out
}

// reread notes an event after the path of a run changed.
func (g *group) reread(f *relay.Flight, t *tally) {
	if len(t.fresh) > 0 && f.Last().After(t.moved) {
		g.model.Reread(t.fresh, f.Need, -1)
		t.fresh = nil
	}
}

// Doubt tells of an engine that refused or broke a connection.
func (r *router) Doubt(service string, id spec.UpstreamID) {
	if up, ok := r.upstream(service, id); ok {
		r.doubted(up)
	}
}

// upstream returns the row of an engine; false if it is not listed.
func (r *router) upstream(service string, id spec.UpstreamID) (site.Upstream, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if g := r.group(service); g.model != nil {
		return g.model.Upstream(id)
	}
	return site.Upstream{}, false
}

// Refused tells that an engine refused a run: it is full, leaving, or not what
// it was. Until it is known why it gets nothing new.
func (r *router) Refused(f *relay.Flight, address string) spec.UpstreamID {
	r.mu.Lock()
	g := r.group(f.Service)
	id := g.refuser(f, address)
	up, ok := g.model.Upstream(id)
	g.model.Refused(r.now(), id)
	r.mu.Unlock()
	if ok {
		r.doubted(up)
	}
	return id
}

// refuser is the engine of a run that refused it; r.mu is held.
func (g *group) refuser(f *relay.Flight, address string) spec.UpstreamID {
	chain, hops := f.Chain()
	for i, hop := range hops {
		if hop.Address == address && i < len(chain) {
			return chain[i].Engine()
		}
	}
	return chain[0].Engine()
}

// Gone asks an engine whether it has ended. One that is off the list can't be asked; it
// has ended if it broke its runs off.
func (r *router) Gone(ctx context.Context, service string, id spec.UpstreamID, broke bool) bool {
	up, listed := r.upstream(service, id)
	if broke && (!listed || up.State != site.StateReady) {
		return true
	}
	return listed && r.isDead(ctx, up)
}

// Down reports whether an engine does not answer.
func (r *router) Down(service string, id spec.UpstreamID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	g := r.group(service)
	return g.model != nil && g.model.Silent(id)
}
