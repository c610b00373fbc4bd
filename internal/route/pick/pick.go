package pick

import (
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	// DefaultTries is how many engines of a group are drawn and compared.
	DefaultTries = 2
	// scanMost is the size of a group that is read whole when none of the
	// engines drawn has room; of a larger one wideTries are drawn.
	scanMost  = 32
	wideTries = 16
	cachedTry = 4
)

// Picker chooses among a few engines per layer range, drawn at random in
// proportion to their capacity, by predicted finish. Drawing keeps instances
// that read the same late report from all choosing the engine that looks best
// in it. Set the exported fields before use.
type Picker struct {
	// Rand is the instance's own seeded source; required.
	Rand *rand.Rand
	// Cache is what engines have of prompt prefixes; nil knows nothing.
	Cache *Cache
	// Tries is how many engines are drawn per range; zero is DefaultTries.
	Tries int

	typical map[spec.ModelName]time.Duration
}

// call is the state of one choice.
type call struct {
	*Picker
	w         *world.World
	r         *world.Request
	ask       Ask
	typical   time.Duration
	positions int
	cached    []cached
}

// Choose returns the chain with the least predicted finish that covers one
// version of the model. A request that made tokens stays on its version and
// keeps the stages that live, unless rebuilding them elsewhere is faster.
func (p *Picker) Choose(w *world.World, r *world.Request, ask Ask) (Choice, bool) {
	c := &call{Picker: p, w: w, r: r, ask: ask, positions: positions(r)}
	if p.Cache != nil {
		c.cached = p.Cache.find(w, r.Arrived().Blocks)
	}
	best, rank, found := Choice{}, time.Duration(0), false
	for _, m := range w.Engines().Index().Versions(r.Arrived().Model) {
		if v := r.Plan().Version; v != "" && v != m.Version() {
			continue
		}
		c.typical = p.usual(m)
		got, cost, ok := c.version(m)
		if ok && (!found || cost < rank) {
			best, rank, found = got, cost, true
		}
	}
	if found {
		p.learn(r.Arrived().Model, best.Plan.Token)
	}
	return best, found
}

// version searches one version, first among few engines and then, if those
// have no room, among more.
func (c *call) version(m *world.Model) (Choice, time.Duration, bool) {
	tries := c.Tries
	if tries == 0 {
		tries = DefaultTries
	}
	got, rank, ok := c.search(m, c.offers(m, tries, false))
	if ok && got.Fits {
		return got, rank, true
	}
	return c.search(m, c.offers(m, wideTries, true))
}

func (c *call) offers(m *world.Model, tries int, wide bool) []offer {
	out := c.keepable(m)
	for _, g := range m.Groups() {
		c.group(g, tries, wide, &out)
	}
	return out
}

// keepable are the stages of the request that live still. Those of a leaving
// engine stay: it finishes what runs on it.
func (c *call) keepable(m *world.Model) []offer {
	if c.r.Attempt() == 0 {
		return nil
	}
	var out []offer
	for _, s := range c.r.Chain() {
		e := c.w.Engines().Get(s.Engine())
		if e == nil || e.State() == world.StateDown || c.r.Avoids(e.ID) {
			continue
		}
		if h, ok := e.Hold(m.Name(), m.Version(), s.Layers()); ok {
			out = append(out, offer{engine: e, layers: s.Layers(), width: h.Width, kept: true})
		}
	}
	return out
}

// group adds the best engine of those drawn and the best of those that have
// some of the prompt cached.
func (c *call) group(g *world.Group, tries int, wide bool, out *[]offer) {
	cold, warm := bestOf{call: c, group: g}, bestOf{call: c, group: g}
	c.draw(g, tries, wide, func(e *world.Engine) { cold.consider(e, 0) })
	for _, h := range c.cached {
		if g.Has(h.engine) {
			warm.consider(h.engine, h.tokens)
		}
	}
	for _, b := range []bestOf{cold, warm} {
		if b.offer.engine != nil {
			*out = append(*out, b.offer)
		}
	}
}

// bestOf keeps the offer of a group with the least predicted finish.
type bestOf struct {
	call  *call
	group *world.Group
	offer offer
	rank  time.Duration
}

func (b *bestOf) consider(e *world.Engine, hit int) {
	if e == nil || !b.call.usable(e) {
		return
	}
	o := offer{engine: e, layers: b.group.Layers(), width: b.group.Width(), hit: hit}
	rank := b.call.price(&o, o.layers.Len()).rank
	if b.offer.engine == nil || rank < b.rank {
		b.offer, b.rank = o, rank
	}
}

func (c *call) draw(g *world.Group, tries int, wide bool, take func(*world.Engine)) {
	engines := g.Engines()
	if len(engines) <= tries || (wide && len(engines) <= scanMost) {
		for _, e := range engines {
			take(e)
		}
		return
	}
	for range tries {
		take(g.Sample(c.Rand))
	}
	if wide {
		for _, e := range g.Freed() {
			take(e)
		}
	}
}

func (c *call) usable(e *world.Engine) bool {
	if !e.Usable(c.w.Now()) || c.r.Avoids(e.ID) {
		return false
	}
	return c.ask.Solo == nil || c.ask.Solo(e.ID)
}

// usual is the time that a token of the model usually takes.
func (p *Picker) usual(m *world.Model) time.Duration {
	if t := p.typical[m.Name()]; t > 0 {
		return t
	}
	sum := time.Duration(0)
	for _, g := range m.Groups() {
		e := g.Engines()[0]
		sum += time.Duration(g.Layers().Len())*e.Pace() + e.HopTime()
	}
	return max(sum, time.Microsecond)
}

func (p *Picker) learn(model spec.ModelName, token time.Duration) {
	if p.typical == nil {
		p.typical = map[spec.ModelName]time.Duration{}
	}
	if old := p.typical[model]; old > 0 {
		token = (7*old + token) / 8
	}
	p.typical[model] = max(token, time.Microsecond)
}
