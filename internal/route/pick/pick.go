package pick

import (
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// DefaultSamples is how many engines of a group are drawn and compared.
	DefaultSamples = 2
	// maxFullScan is the size of a group that is read whole when none of the
	// engines drawn has room; of a larger one wideTries are drawn.
	maxFullScan      = 32
	wideSamples      = 16
	maxCachedEngines = 4
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
	// Samples is how many engines are drawn per range; zero is DefaultTries.
	Samples int

	tokenTimes map[spec.ModelName]time.Duration
}

// selection is the state of one choice.
type selection struct {
	*Picker
	w                *domain.RoutingState
	r                *domain.Request
	query            Query
	typicalTokenTime time.Duration
	positions        int
	cached           []cachedPrefix
}

// Choose returns the chain with the least predicted finish that covers one
// version of the model. A request that made tokens stays on its version and
// keeps the stages that live, unless rebuilding them elsewhere is faster.
func (p *Picker) Choose(w *domain.RoutingState, r *domain.Request, ask Query) (Choice, bool) {
	c := &selection{Picker: p, w: w, r: r, query: ask, positions: prefillPositions(r)}
	if p.Cache != nil {
		c.cached = p.Cache.longestPrefixes(w, r.Arrival().BlockHashes)
	}
	best, rank, found := Choice{}, time.Duration(0), false
	for _, m := range w.Engines().Index().Versions(r.Arrival().Model) {
		if v := r.Plan().Version; v != "" && v != m.Version() {
			continue
		}
		c.typicalTokenTime = p.estimateTokenTime(m)
		got, cost, ok := c.searchVersion(m)
		if ok && (!found || cost < rank) {
			best, rank, found = got, cost, true
		}
	}
	if found {
		p.recordTokenTime(r.Arrival().Model, best.Plan.TokenTime)
	}
	return best, found
}

// searchVersion searches one version, first among few engines and then, if those
// have no room, among more.
func (c *selection) searchVersion(m *domain.Model) (Choice, time.Duration, bool) {
	tries := c.Samples
	if tries == 0 {
		tries = DefaultSamples
	}
	got, rank, ok := c.search(m, c.candidates(m, tries, false))
	if ok && got.Fits {
		return got, rank, true
	}
	return c.search(m, c.candidates(m, wideSamples, true))
}

func (c *selection) candidates(m *domain.Model, tries int, wide bool) []candidate {
	out := c.keptStages(m)
	for _, g := range m.Groups() {
		c.addGroupCandidates(g, tries, wide, &out)
	}
	return out
}

// keptStages are the stages of the request that live still. Those of a leaving
// engine stay: it finishes what runs on it.
func (c *selection) keptStages(m *domain.Model) []candidate {
	if c.r.Attempt() == 0 {
		return nil
	}
	var out []candidate
	for _, s := range c.r.Chain() {
		e := c.w.Engines().Get(s.Engine())
		if e == nil || e.State() == domain.StateDead || c.r.Avoids(e.ID) {
			continue
		}
		if h, ok := e.FindLoaded(m.Name(), m.Version(), s.Layers()); ok {
			out = append(out, candidate{engine: e, layers: s.Layers(), width: h.Width, kept: true})
		}
	}
	return out
}

// addGroupCandidates adds the best engine of those drawn and the best of those that have
// some of the prompt cached.
func (c *selection) addGroupCandidates(g *domain.Group, tries int, wide bool, out *[]candidate) {
	cold, warm := bestCandidate{selection: c, group: g}, bestCandidate{selection: c, group: g}
	c.sampleEngines(g, tries, wide, func(e *domain.Engine) { cold.consider(e, 0) })
	for _, h := range c.cached {
		if g.Contains(h.engine) {
			warm.consider(h.engine, h.tokens)
		}
	}
	for _, b := range []bestCandidate{cold, warm} {
		if b.candidate.engine != nil {
			*out = append(*out, b.candidate)
		}
	}
}

// bestCandidate keeps the offer of a group with the least predicted finish.
type bestCandidate struct {
	selection *selection
	group     *domain.Group
	candidate candidate
	rank      time.Duration
}

func (b *bestCandidate) consider(e *domain.Engine, hit int) {
	if e == nil || !b.selection.usable(e) {
		return
	}
	o := candidate{engine: e, layers: b.group.Layers(), width: b.group.Width(), cachedPositions: hit}
	rank := b.selection.predictCost(&o, o.layers.Len()).rank
	if b.candidate.engine == nil || rank < b.rank {
		b.candidate, b.rank = o, rank
	}
}

func (c *selection) sampleEngines(g *domain.Group, tries int, wide bool, take func(*domain.Engine)) {
	engines := g.Engines()
	if len(engines) <= tries || (wide && len(engines) <= maxFullScan) {
		for _, e := range engines {
			take(e)
		}
		return
	}
	for range tries {
		take(g.Sample(c.Rand))
	}
	if wide {
		for _, e := range g.RecentlyFreed() {
			take(e)
		}
	}
}

func (c *selection) usable(e *domain.Engine) bool {
	if !e.Usable(c.w.Now()) || c.r.Avoids(e.ID) {
		return false
	}
	return c.query.AllowsSuspect == nil || c.query.AllowsSuspect(e.ID)
}

// estimateTokenTime is the time that a token of the model usually takes.
func (p *Picker) estimateTokenTime(m *domain.Model) time.Duration {
	if t := p.tokenTimes[m.Name()]; t > 0 {
		return t
	}
	sum := time.Duration(0)
	for _, g := range m.Groups() {
		e := g.Engines()[0]
		sum += time.Duration(g.Layers().Len())*e.PositiveLayerTime() + e.HopTime()
	}
	return max(sum, time.Microsecond)
}

func (p *Picker) recordTokenTime(model spec.ModelName, token time.Duration) {
	if p.tokenTimes == nil {
		p.tokenTimes = map[spec.ModelName]time.Duration{}
	}
	if old := p.tokenTimes[model]; old > 0 {
		token = (7*old + token) / 8
	}
	p.tokenTimes[model] = max(token, time.Microsecond)
}
