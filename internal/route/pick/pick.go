package pick

import (
	"math/rand/v2"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// DefaultSamples is how many engines of a group are sampled and compared.
	DefaultSamples = 2
	// maxFullScan is the largest group of which all engines are considered when
	// none of the sampled engines has capacity.
	maxFullScan = 32
	// wideSamples is how many engines of a larger group are sampled in that
	// case.
	wideSamples = 16
	// maxCachedEngines limits the engines that are considered for their cached
	// prompt prefix.
	maxCachedEngines = 4
)

// Picker compares a few engines per layer range by the predicted time to
// finish. The engines are sampled at random in proportion to their capacity.
// Sampling prevents instances that read the same old report from all choosing
// the engine that looks best in it. Set the exported fields before use.
type Picker struct {
	// Rand is the random source of this instance, with its own seed. It is
	// required.
	Rand *rand.Rand
	// Cache tracks which engines have which prompt prefixes cached. If it is
	// nil, no prefix counts as cached.
	Cache *Cache
	// Samples is how many engines are sampled per range. Zero means
	// DefaultSamples.
	Samples int

	tokenTimes map[spec.ModelName]time.Duration
}

// selection is the state of one call to Choose.
type selection struct {
	*Picker
	w                *domain.RoutingState
	r                *domain.Request
	query            Query
	typicalTokenTime time.Duration
	positions        int
	cached           []cachedPrefix
}

// Choose returns the chain with the least predicted time to finish that covers
// one version of the model. A request that has generated tokens stays on its
// version. It keeps its remaining stages unless rebuilding their KV state on
// other engines is faster.
func (p *Picker) Choose(w *domain.RoutingState, r *domain.Request, query Query) (Choice, bool) {
	c := &selection{Picker: p, w: w, r: r, query: query, positions: prefillPositions(r)}
	if p.Cache != nil {
		c.cached = p.Cache.longestPrefixes(w, r.Arrival().BlockHashes)
	}
	best, rank, found := Choice{}, time.Duration(0), false
	for _, m := range w.Engines().Index().Versions(r.Arrival().Model) {
		if v := r.Plan().Version; v != "" && v != m.Version() {
			continue
		}
		c.typicalTokenTime = p.estimateTokenTime(m)
		choice, cost, ok := c.searchVersion(m)
		if ok && (!found || cost < rank) {
			best, rank, found = choice, cost, true
		}
	}
	if found {
		p.recordTokenTime(r.Arrival().Model, best.Plan.TokenTime)
	}
	return best, found
}

// searchVersion searches the chains of one version. It considers few engines
// first, and more if those lack capacity.
func (c *selection) searchVersion(m *domain.Model) (Choice, time.Duration, bool) {
	samples := c.Samples
	if samples == 0 {
		samples = DefaultSamples
	}
	choice, rank, ok := c.search(m, c.candidates(m, samples, false))
	if ok && choice.Fits {
		return choice, rank, true
	}
	return c.search(m, c.candidates(m, wideSamples, true))
}

func (c *selection) candidates(m *domain.Model, samples int, wide bool) []candidate {
	out := c.keptStages(m)
	for _, g := range m.Groups() {
		c.addGroupCandidates(g, samples, wide, &out)
	}
	return out
}

// keptStages returns the stages of the request whose engines are not dead.
// Stages on a leaving engine count, since it finishes the requests that it
// runs.
func (c *selection) keptStages(m *domain.Model) []candidate {
	if c.r.Attempt() == 0 {
		return nil
	}
	var out []candidate
	for _, s := range c.r.Chain() {
		e := c.w.Engines().Get(s.Engine())
		if e == nil || e.State() == domain.StateDead || c.r.FailedOn(e.ID) {
			continue
		}
		if h, ok := e.FindLoaded(m.Name(), m.Version(), s.Layers()); ok {
			out = append(out, candidate{engine: e, layers: s.Layers(), width: h.Width, kept: true})
		}
	}
	return out
}

// addGroupCandidates adds the best of the sampled engines and the best of the
// engines that have a part of the prompt cached.
func (c *selection) addGroupCandidates(g *domain.Group, samples int, wide bool, out *[]candidate) {
	cold, warm := bestCandidate{selection: c, group: g}, bestCandidate{selection: c, group: g}
	c.sampleEngines(g, samples, wide, func(e *domain.Engine) { cold.consider(e, 0) })
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

// bestCandidate keeps the candidate of a group with the least predicted time to
// finish.
type bestCandidate struct {
	selection *selection
	group     *domain.Group
	candidate candidate
	rank      time.Duration
}

func (b *bestCandidate) consider(e *domain.Engine, cachedPositions int) {
	if e == nil || !b.selection.usable(e) {
		return
	}
	o := candidate{engine: e, layers: b.group.Layers(), width: b.group.Width(), cachedPositions: cachedPositions}
	rank := b.selection.predictCost(&o, o.layers.Len()).rank
	if b.candidate.engine == nil || rank < b.rank {
		b.candidate, b.rank = o, rank
	}
}

func (c *selection) sampleEngines(g *domain.Group, samples int, wide bool, visit func(*domain.Engine)) {
	engines := g.Engines()
	if len(engines) <= samples || (wide && len(engines) <= maxFullScan) {
		for _, e := range engines {
			visit(e)
		}
		return
	}
	for range samples {
		visit(g.Sample(c.Rand))
	}
	if wide {
		for _, e := range g.RecentlyFreed() {
			visit(e)
		}
	}
}

func (c *selection) usable(e *domain.Engine) bool {
	usable := e.Usable(c.w.Now()) && !c.r.FailedOn(e.ID)
	if c.query.AllowsSilent {
		usable = e.MayAnswer(c.w.Now()) && !c.r.BrokeOn(e.ID)
	}
	if !usable {
		return false
	}
	return c.query.AllowsSuspect == nil || c.query.AllowsSuspect(e.ID)
}

// estimateTokenTime returns the typical time of a token of the model. Before
// the first choice it estimates the time from the first engine of each group.
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
