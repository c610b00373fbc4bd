package layout

import (
	"math"
	"runtime"
	"slices"
	"sort"
	"time"

	"fulmarwick/internal/base/site"
)

const (
	// loadedSlowdown is how many times longer than its own steps a token takes over a
	// loaded path: at each engine it waits for the pass in progress and reads
	// of prompts.
	loadedSlowdown = 2.2
	// typicalBatch is how many requests write in a pass of a loaded engine.
	typicalBatch = 8
	// minConcurrentRequests is how many usual requests an engine must have memory for behind its
	// layers: with fewer, one long request keeps all others out.
	minConcurrentRequests = 8
)

// What is assumed where the platform publishes nothing: tokens of a prompt and
// of an answer, milliseconds of a step, tokens read a second. They set how
// memory weighs against time; the plan still fits the cards.
const (
	assumedPromptTokens = 800
	assumedAnswerTokens = 200
	assumedStepMs       = 1.0
	assumedReadRate     = 100000
)

// segment is an engine as a part of paths.
type segment struct {
	from, to int
	// cells is the memory for requests in tokens times layers, slots how many
	// requests may enter here, ms the time that a usual request spends here: a
	// pass costs what the engine holds, not what the request needs of it.
	cells     float64
	slots     float64
	serviceMs float64
	// engine is the place of the engine among those of the area.
	engine int
}

// noEngine is the engine to leave out where all count.
const noEngine = -1

// search looks for paths over links with room. One serves for many rates.
type search struct {
	model *site.Model
	// segments are in the order of their ends, so that each way is complete before
	// another one builds on it.
	segments      []segment
	requestTokens float64
	// cost is the time of the fastest way to the end of each link, before the
	// link before it on that way.
	cost []float64
	prev []int
}

func newSearch(m *site.Model) *search { return &search{model: m, requestTokens: typicalTokens(m)} }

// Rate is how many usual requests a second engines carry that follow each
// other over the fastest paths until these are full, then over slower ones. A
// path holds as many requests as its poorest engine has memory for, and each of
// them for the time that it takes.
func Rate(m *site.Model, engines []Engine) float64 {
	return newSearch(m).rate(newSegments(m, engines), noEngine)
}

// rate is that of links in the order of their ends, without those of an engine.
func (s *search) rate(all []segment, without int) float64 {
	// A plan asks for thousands of rates. Streams of a process with one processor
	// wait for one of them at most.
	runtime.Gosched()
	s.segments = s.segments[:0]
	for _, l := range all {
		if l.engine != without {
			s.segments = append(s.segments, l)
		}
	}
	s.cost = slices.Grow(s.cost[:0], len(s.segments))[:len(s.segments)]
	s.prev = slices.Grow(s.prev[:0], len(s.segments))[:len(s.segments)]
	sum, changed := 0.0, 0
	for range s.segments {
		end := s.fastestPath(changed)
		if end < 0 {
			break
		}
		cost := s.cost[end]
		most, first := s.fillPath(end)
		sum += most / cost * 1000
		changed = first
	}
	return sum
}

// newSegments are the engines that hold layers, in the order of their ends.
func newSegments(m *site.Model, engines []Engine) []segment {
	out := make([]segment, 0, len(engines))
	for i, e := range engines {
		if e.Held.Len() > 0 {
			out = append(out, newSegment(m, e, i))
		}
	}
	slices.SortStableFunc(out, func(a, b segment) int { return a.to - b.to })
	return out
}

// newSegment is an engine that holds layers, the i-th of its area.
func newSegment(m *site.Model, e Engine, i int) segment {
	n := e.Held.Len()
	return segment{
		from: e.Held.From(), to: e.Held.To(), slots: slotLimit(m), engine: i,
		cells: float64(m.KVCapacity(e.Card, n)), serviceMs: float64(n) * layerTime(m, e.Card),
	}
}

// insert adds a link after those that end where it does.
func insert(all []segment, l segment) []segment {
	at := sort.Search(len(all), func(i int) bool { return all[i].to > l.to })
	return slices.Insert(all, at, l)
}

// slotLimit is how many requests enter at one engine; no bound is published as zero.
func slotLimit(m *site.Model) float64 {
	if m.Slots <= 0 {
		return math.Inf(1)
	}
	return float64(m.Slots)
}

// fastestPath finds the fastest path with room for a request and returns its last
// link, or -1. Links before the first one that changed are as they were.
func (s *search) fastestPath(changed int) int {
	best := -1
	for i := range s.segments {
		if i >= changed {
			s.relax(i)
		}
		if s.segments[i].to == s.model.Layers && !math.IsInf(s.cost[i], 1) && (best < 0 || s.cost[i] < s.cost[best]) {
			best = i
		}
	}
	return best
}

// relax finds the fastest way to the end of a link.
func (s *search) relax(i int) {
	l := s.segments[i]
	s.cost[i], s.prev[i] = math.Inf(1), -1
	if l.cells < s.requestTokens*float64(l.to-l.from) {
		return
	}
	if l.from == 0 && l.slots >= 1 {
		s.cost[i] = l.serviceMs
	}
	start := sort.Search(i, func(j int) bool { return s.segments[j].to >= l.from })
	for j := start; j < i && s.segments[j].to < l.to; j++ {
		if c := s.cost[j] + l.serviceMs; c < s.cost[i] {
			s.cost[i], s.prev[i] = c, j
		}
	}
}

// fillPath fills the path that ends in a link and returns how many requests it
// holds, and its first link.
func (s *search) fillPath(end int) (most float64, first int) {
	most, first = math.Inf(1), end
	for i := end; i >= 0; i = s.prev[i] {
		most = min(most, s.segments[i].cells/s.requestTokens/s.layersAt(i))
		first = i
	}
	most = min(most, s.segments[first].slots)
	for i := end; i >= 0; i = s.prev[i] {
		s.segments[i].cells -= most * s.requestTokens * s.layersAt(i)
	}
	s.segments[first].slots -= most
	return most, first
}

// layersAt is how many layers a path runs at one of its links.
func (s *search) layersAt(i int) float64 {
	if s.prev[i] < 0 {
		return float64(s.segments[i].to)
	}
	return float64(s.segments[i].to - s.segments[s.prev[i]].to)
}

// layerTime is the time in milliseconds that a usual request spends in a layer
// of a card.
func layerTime(m *site.Model, c site.Card) float64 {
	prompt, answer := typicalSizes(m)
	step := positiveOr(millis(m.StepTime), assumedStepMs) + typicalBatch*(millis(m.TimePerSequence)+millis(m.TimePer1kTokens)*typicalTokens(m)/1000)
	read := prompt * 1000 / positiveOr(m.PrefillRate, assumedReadRate)
	return (loadedSlowdown*positiveOr(c.StepFactor, 1)*step*answer + positiveOr(c.PrefillFactor, 1)*read) / float64(m.Layers)
}

// typicalTokens is the memory of a usual request in tokens.
func typicalTokens(m *site.Model) float64 {
	prompt, answer := typicalSizes(m)
	return prompt + answer
}

// typicalSizes are the tokens of a usual prompt and answer.
func typicalSizes(m *site.Model) (prompt, answer float64) {
	if m.TypicalPrompt+m.TypicalAnswer <= 0 {
		return assumedPromptTokens, assumedAnswerTokens
	}
	return float64(m.TypicalPrompt), float64(max(1, m.TypicalAnswer))
}

// positiveOr is x, or another value where x is not known.
func positiveOr(x, other float64) float64 {
	if x > 0 {
		return x
	}
	return other
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
