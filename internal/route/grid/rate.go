package grid

import (
	"math"
	"runtime"
	"slices"
	"sort"
	"time"

	"fulmarwick/internal/base/site"
)

const (
	// busy is how many times longer than its own steps a token takes over a
	// loaded path: at each engine it waits for the pass in progress and reads
	// of prompts.
	busy = 2.2
	// batch is how many requests write in a pass of a loaded engine.
	batch = 8
	// few is how many usual requests an engine must have memory for behind its
	// layers: with fewer, one long request keeps all others out.
	few = 8
)

// What is assumed where the platform publishes nothing: tokens of a prompt and
// of an answer, milliseconds of a step, tokens read a second. They set how
// memory weighs against time; the plan still fits the cards.
const (
	assumedPrompt = 800
	assumedAnswer = 200
	assumedStep   = 1.0
	assumedRead   = 100000
)

// link is an engine as a part of paths.
type link struct {
	from, to int
	// cells is the memory for requests in tokens times layers, slots how many
	// requests may enter here, ms the time that a usual request spends here: a
	// pass costs what the engine holds, not what the request needs of it.
	cells float64
	slots float64
	ms    float64
	// engine is the place of the engine among those of the area.
	engine int
}

// none is the engine to leave out where all count.
const none = -1

// search looks for paths over links with room. One serves for many rates.
type search struct {
	model *site.Model
	// links are in the order of their ends, so that each way is complete before
	// another one builds on it.
	links []link
	usual float64
	// cost is the time of the fastest way to the end of each link, before the
	// link before it on that way.
	cost   []float64
	before []int
}

func newSearch(m *site.Model) *search { return &search{model: m, usual: usual(m)} }

// Rate is how many usual requests a second engines carry that follow each
// other over the fastest paths until these are full, then over slower ones. A
// path holds as many requests as its poorest engine has memory for, and each of
// them for the time that it takes.
func Rate(m *site.Model, engines []Engine) float64 {
	return newSearch(m).rate(links(m, engines), none)
}

// rate is that of links in the order of their ends, without those of an engine.
func (s *search) rate(all []link, without int) float64 {
	// A plan asks for thousands of rates. Streams of a process with one processor
	// wait for one of them at most.
	runtime.Gosched()
	s.links = s.links[:0]
	for _, l := range all {
		if l.engine != without {
			s.links = append(s.links, l)
		}
	}
	s.cost = slices.Grow(s.cost[:0], len(s.links))[:len(s.links)]
	s.before = slices.Grow(s.before[:0], len(s.links))[:len(s.links)]
	sum, changed := 0.0, 0
	for range s.links {
		end := s.fastest(changed)
		if end < 0 {
			break
		}
		cost := s.cost[end]
		most, first := s.take(end)
		sum += most / cost * 1000
		changed = first
	}
	return sum
}

// links are the engines that hold layers, in the order of their ends.
func links(m *site.Model, engines []Engine) []link {
	out := make([]link, 0, len(engines))
	for i, e := range engines {
		if e.Held.Len() > 0 {
			out = append(out, newLink(m, e, i))
		}
	}
	slices.SortStableFunc(out, func(a, b link) int { return a.to - b.to })
	return out
}

// newLink is an engine that holds layers, the i-th of its area.
func newLink(m *site.Model, e Engine, i int) link {
	n := e.Held.Len()
	return link{
		from: e.Held.From(), to: e.Held.To(), slots: slots(m), engine: i,
		cells: float64(m.Cells(e.Card, n)), ms: float64(n) * layerTime(m, e.Card),
	}
}

// insert adds a link after those that end where it does.
func insert(all []link, l link) []link {
	at := sort.Search(len(all), func(i int) bool { return all[i].to > l.to })
	return slices.Insert(all, at, l)
}

// slots is how many requests enter at one engine; no bound is published as zero.
func slots(m *site.Model) float64 {
	if m.Slots <= 0 {
		return math.Inf(1)
	}
	return float64(m.Slots)
}

// fastest finds the fastest path with room for a request and returns its last
// link, or -1. Links before the first one that changed are as they were.
func (s *search) fastest(changed int) int {
	best := -1
	for i := range s.links {
		if i >= changed {
			s.reach(i)
		}
		if s.links[i].to == s.model.Layers && !math.IsInf(s.cost[i], 1) && (best < 0 || s.cost[i] < s.cost[best]) {
			best = i
		}
	}
	return best
}

// reach finds the fastest way to the end of a link.
func (s *search) reach(i int) {
	l := s.links[i]
	s.cost[i], s.before[i] = math.Inf(1), -1
	if l.cells < s.usual*float64(l.to-l.from) {
		return
	}
	if l.from == 0 && l.slots >= 1 {
		s.cost[i] = l.ms
	}
	start := sort.Search(i, func(j int) bool { return s.links[j].to >= l.from })
	for j := start; j < i && s.links[j].to < l.to; j++ {
		if c := s.cost[j] + l.ms; c < s.cost[i] {
			s.cost[i], s.before[i] = c, j
		}
	}
}

// take fills the path that ends in a link and returns how many requests it
// holds, and its first link.
func (s *search) take(end int) (most float64, first int) {
	most, first = math.Inf(1), end
	for i := end; i >= 0; i = s.before[i] {
		most = min(most, s.links[i].cells/s.usual/s.layers(i))
		first = i
	}
	most = min(most, s.links[first].slots)
	for i := end; i >= 0; i = s.before[i] {
		s.links[i].cells -= most * s.usual * s.layers(i)
	}
	s.links[first].slots -= most
	return most, first
}

// layers is how many layers a path runs at one of its links.
func (s *search) layers(i int) float64 {
	if s.before[i] < 0 {
		return float64(s.links[i].to)
	}
	return float64(s.links[i].to - s.links[s.before[i]].to)
}

// layerTime is the time in milliseconds that a usual request spends in a layer
// of a card.
func layerTime(m *site.Model, c site.Card) float64 {
	prompt, answer := sizes(m)
	step := orElse(millis(m.Step), assumedStep) + batch*(millis(m.Writer)+millis(m.Context)*usual(m)/1000)
	read := prompt * 1000 / orElse(m.ReadRate, assumedRead)
	return (busy*orElse(c.Pace, 1)*step*answer + orElse(c.Read, 1)*read) / float64(m.Layers)
}

// usual is the memory of a usual request in tokens.
func usual(m *site.Model) float64 {
	prompt, answer := sizes(m)
	return prompt + answer
}

// sizes are the tokens of a usual prompt and answer.
func sizes(m *site.Model) (prompt, answer float64) {
	if m.Prompt+m.Answer <= 0 {
		return assumedPrompt, assumedAnswer
	}
	return float64(m.Prompt), float64(max(1, m.Answer))
}

// orElse is x, or another value where x is not known.
func orElse(x, other float64) float64 {
	if x > 0 {
		return x
	}
	return other
}

func millis(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
