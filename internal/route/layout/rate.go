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
	// loadedSlowdown is how many times longer than its own steps a token takes on a
	// loaded path. At each engine it waits for the running pass and for reads of
	// prompts.
	loadedSlowdown = 2.2
	// typicalBatch is how many requests generate tokens in a pass of a loaded engine.
	typicalBatch = 8
	// minConcurrentRequests is how many typical requests the KV memory of an engine
	// must hold behind its layers. With fewer, one long request blocks all others.
	minConcurrentRequests = 8
)

// These values are assumed if the platform doesn't publish them: tokens of a prompt
// and of an answer, milliseconds of a step, tokens read per second. They set the
// balance between memory and time; the plan fits the cards in any case.
const (
	assumedPromptTokens = 800
	assumedAnswerTokens = 200
	assumedStepMs       = 1.0
	assumedReadRate     = 100000
)

// segment is the layers of an engine as a segment of paths.
type segment struct {
	from, to int
	// cells is the KV memory for requests in token-layers. slots is how many requests
	// may enter at the engine. serviceMs is the time in milliseconds that a typical
	// request spends here: a pass takes as long as all layers of the engine need, not
	// only those that the request uses.
	cells     float64
	slots     float64
	serviceMs float64
	// engine is the index of the engine in the placement.
	engine int
}

// noEngine is the index to exclude if all engines count.
const noEngine = -1

// search finds the fastest paths over segments with free KV memory. Its buffers are
// reused for many rates.
type search struct {
	model *site.Model
	// segments are sorted by their ends, so that the fastest path to a segment is
	// known before a later segment uses it.
	segments      []segment
	requestTokens float64
	// cost is the time of the fastest path to the end of each segment.
	// prev is the segment before each segment on that path, or -1.
	cost []float64
	prev []int
}

func newSearch(m *site.Model) *search { return &search{model: m, requestTokens: typicalTokens(m)} }

// Rate returns how many typical requests per second engines carry. Requests first fill
// the fastest path, then slower ones. A path holds as many requests as its engine with
// the least KV memory allows, each for the time that the path takes.
func Rate(m *site.Model, engines []Engine) float64 {
	return newSearch(m).rate(newSegments(m, engines), noEngine)
}

// rate returns the rate of segments sorted by their ends, without those of one engine.
func (s *search) rate(segments []segment, excluded int) float64 {
	// A plan computes thousands of rates. In a process with one processor, yielding
	// here bounds the wait of streams to one rate.
	runtime.Gosched()
	s.segments = s.segments[:0]
	for _, seg := range segments {
		if seg.engine != excluded {
			s.segments = append(s.segments, seg)
		}
	}
	s.cost = slices.Grow(s.cost[:0], len(s.segments))[:len(s.segments)]
	s.prev = slices.Grow(s.prev[:0], len(s.segments))[:len(s.segments)]
	sum, firstChanged := 0.0, 0
	for range s.segments {
		end := s.fastestPath(firstChanged)
		if end < 0 {
			break
		}
		cost := s.cost[end]
		requests, first := s.fillPath(end)
		sum += requests / cost * 1000
		firstChanged = first
	}
	return sum
}

// newSegments returns the segments of the engines that hold layers, sorted by their
// ends.
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

// newSegment returns the segment of an engine that holds layers; i is its index in the
// placement.
func newSegment(m *site.Model, e Engine, i int) segment {
	n := e.Held.Len()
	return segment{
		from: e.Held.From(), to: e.Held.To(), slots: slotLimit(m), engine: i,
		cells: float64(m.KVCapacity(e.Card, n)), serviceMs: float64(n) * layerTime(m, e.Card),
	}
}

// insert adds a segment after those that end at the same layer.
func insert(segments []segment, seg segment) []segment {
	at := sort.Search(len(segments), func(i int) bool { return segments[i].to > seg.to })
	return slices.Insert(segments, at, seg)
}

// slotLimit returns how many requests may enter at one engine. Zero means that no
// limit is published.
func slotLimit(m *site.Model) float64 {
	if m.Slots <= 0 {
		return math.Inf(1)
	}
	return float64(m.Slots)
}

// fastestPath finds the fastest path with KV memory for a request and returns its last
// segment, or -1. The results for segments before firstChanged are still valid.
func (s *search) fastestPath(firstChanged int) int {
	best := -1
	for i := range s.segments {
		if i >= firstChanged {
			s.relax(i)
		}
		if s.segments[i].to == s.model.Layers && !math.IsInf(s.cost[i], 1) && (best < 0 || s.cost[i] < s.cost[best]) {
			best = i
		}
	}
	return best
}

// relax finds the fastest path to the end of a segment.
func (s *search) relax(i int) {
	seg := s.segments[i]
	s.cost[i], s.prev[i] = math.Inf(1), -1
	if seg.cells < s.requestTokens*float64(seg.to-seg.from) {
		return
	}
	if seg.from == 0 && seg.slots >= 1 {
		s.cost[i] = seg.serviceMs
	}
	start := sort.Search(i, func(j int) bool { return s.segments[j].to >= seg.from })
	for j := start; j < i && s.segments[j].to < seg.to; j++ {
		if c := s.cost[j] + seg.serviceMs; c < s.cost[i] {
			s.cost[i], s.prev[i] = c, j
		}
	}
}

// fillPath fills the path that ends in a segment. It returns how many requests the
// path holds, and its first segment.
func (s *search) fillPath(end int) (requests float64, first int) {
	requests, first = math.Inf(1), end
	for i := end; i >= 0; i = s.prev[i] {
		requests = min(requests, s.segments[i].cells/s.requestTokens/s.layersAt(i))
		first = i
	}
	requests = min(requests, s.segments[first].slots)
	for i := end; i >= 0; i = s.prev[i] {
		s.segments[i].cells -= requests * s.requestTokens * s.layersAt(i)
	}
	s.segments[first].slots -= requests
	return requests, first
}

// layersAt returns how many layers a path runs in one of its segments.
func (s *search) layersAt(i int) float64 {
	if s.prev[i] < 0 {
		return float64(s.segments[i].to)
	}
	return float64(s.segments[i].to - s.segments[s.prev[i]].to)
}

// layerTime returns the time in milliseconds that a typical request spends in a layer
// on a card.
func layerTime(m *site.Model, card site.Card) float64 {
	prompt, answer := typicalSizes(m)
	step := positiveOr(millis(m.StepTime), assumedStepMs) + typicalBatch*(millis(m.TimePerSequence)+millis(m.TimePer1kTokens)*typicalTokens(m)/1000)
	prefill := prompt * 1000 / positiveOr(m.PrefillRate, assumedReadRate)
	return (loadedSlowdown*positiveOr(card.StepFactor, 1)*step*answer + positiveOr(card.PrefillFactor, 1)*prefill) / float64(m.Layers)
}

// typicalTokens returns the KV memory of a typical request in tokens.
func typicalTokens(m *site.Model) float64 {
	prompt, answer := typicalSizes(m)
	return prompt + answer
}

// typicalSizes returns the tokens of a typical prompt and answer.
func typicalSizes(m *site.Model) (prompt, answer float64) {
	if m.TypicalPrompt+m.TypicalAnswer <= 0 {
		return assumedPromptTokens, assumedAnswerTokens
	}
	return float64(m.TypicalPrompt), float64(max(1, m.TypicalAnswer))
}

// positiveOr returns x, or fallback if x is unknown.
func positiveOr(x, fallback float64) float64 {
	if x > 0 {
		return x
	}
	return fallback
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
