// Package stall finds the engines behind which streams fall silent.
//
// It imports base/spec. Package app/edge shows it the streams in flight every
// few milliseconds and asks the engines that it names whether they live. It
// does no I/O and reads no clock.
//
// A dead engine sends nothing, and those before it on a path wait for it
// without a word for seconds, longer than callers do. But all streams that pass
// it stop at once, while an engine that still makes events anywhere is alive.
package stall

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
)

const (
	// patience is after how many usual pauses a stream counts as silent. Passes
	// in which others' prompts are read take up to twice the usual.
	patience = 3
	// shortest is the least silence that counts: an engine that reads a chunk
	// of a prompt between two passes takes up to 60 ms.
	shortest = 70 * time.Millisecond
	// many is how many silent streams of one engine are enough to look sooner,
	// after manyShortest: no chance makes so many fall silent at once.
	many         = 5
	manyShortest = 42 * time.Millisecond
	// manyPatience is after how many usual pauses a stream counts among those.
	// At 2, instances of a calm day asked 396 times instead of 56.
	manyPatience = 2.5
	// unread is the silence that counts before the first event of a stream, on
	// top of what reading its prompt is predicted to take.
	unread = 350 * time.Millisecond
	// alone is how much longer a single silent stream must be silent: one may
	// be preempted where several are not.
	alone = 2
	// repeat is the pause between two questions about the same engine.
	repeat = 300 * time.Millisecond
)

// Stream is a request in flight as it is seen at one moment.
type Stream struct {
	Chain spec.Chain
	// Last is when its newest event came, or when it was sent.
	Last time.Duration
	// Gap is the usual pause between its events; zero before the second one.
	Gap time.Duration
	// Writing tells that its first event has come.
	Writing bool
}

// Watch remembers whom it asked about. It is not safe for concurrent use.
type Watch struct {
	asked map[spec.UpstreamID]question
}

// question is when an engine was named, and whether with many silent streams.
type question struct {
	at   time.Duration
	many bool
}

// sight is what the streams show of one engine.
type sight struct {
	newest time.Duration
	silent int
	hushed int
	alone  bool
}

// Doubt is an engine that may be dead. Many tells that so many of its streams
// fell silent at once that one question without an answer settles it.
type Doubt struct {
	Engine spec.UpstreamID
	Many   bool
}

// Look returns the engines that may be dead, in order of their names.
func (w *Watch) Look(now time.Duration, streams []Stream) []Doubt {
	seen := map[spec.UpstreamID]*sight{}
	for _, s := range streams {
		for _, stage := range s.Chain {
			e := seen[stage.Engine()]
			if e == nil {
				e = &sight{}
				seen[stage.Engine()] = e
			}
			if s.Writing {
				e.newest = max(e.newest, s.Last)
			}
		}
	}
	for _, s := range streams {
		quiet := now - s.Last
		for _, stage := range s.Chain {
			e := seen[stage.Engine()]
			// An event of any stream after this one fell silent shows that the
			// engine lives.
			if e.newest > s.Last+limit(s, shortest, patience)/2 {
				continue
			}
			if s.Writing && quiet >= limit(s, manyShortest, manyPatience) {
				e.hushed++
			}
			if quiet >= limit(s, shortest, patience) {
				e.silent++
				e.alone = e.alone || quiet >= alone*limit(s, shortest, patience)
			}
		}
	}
	return w.ask(now, seen)
}

// limit is the silence of a stream that counts.
func limit(s Stream, least time.Duration, patience float64) time.Duration {
	if !s.Writing {
		return unread
	}
	return max(least, time.Duration(patience*float64(s.Gap)))
}

// suspect reports whether the streams of an engine are reason to ask it.
func (e *sight) suspect() bool {
	return e.hushed >= many || e.silent > 1 || e.silent == 1 && e.alone
}

func (w *Watch) ask(now time.Duration, seen map[spec.UpstreamID]*sight) []Doubt {
	if w.asked == nil {
		w.asked = map[spec.UpstreamID]question{}
	}
	for id, q := range w.asked {
		if now-q.at >= repeat {
			delete(w.asked, id)
		}
	}
	var out []Doubt
	for id, e := range seen {
		before, asked := w.asked[id]
		now := question{at: now, many: e.hushed >= many}
		// Named for a few streams first, an engine is named again once many
		// are silent: while the answer is waited for, that settles it.
		if !e.suspect() || asked && (before.many || !now.many) {
			continue
		}
		w.asked[id] = now
		out = append(out, Doubt{Engine: id, Many: now.many})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Engine < out[j].Engine })
	return out
}
