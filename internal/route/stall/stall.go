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
	// stallGaps is after how many usual pauses a stream counts as silent. Passes
	// in which others' prompts are read take up to twice the usual.
	stallGaps = 3
	// minStall is the least silence that counts: an engine that reads a chunk
	// of a prompt between two passes takes up to 60 ms.
	minStall = 70 * time.Millisecond
	// manyStreams is how many silent streams of one engine are enough to look sooner,
	// after manyShortest: no chance makes so many fall silent at once.
	manyStreams  = 5
	manyMinStall = 42 * time.Millisecond
	// manyStallGaps is after how many usual pauses a stream counts among those.
	// At 2, instances of a calm day asked 396 times instead of 56.
	manyStallGaps = 2.5
	// firstEventTimeout is the silence that counts before the first event of a stream, on
	// top of what reading its prompt is predicted to take.
	firstEventTimeout = 350 * time.Millisecond
	// singleStallFactor is how much longer a single silent stream must be silent: one may
	// be preempted where several are not.
	singleStallFactor = 2
	// reportInterval is the pause between two questions about the same engine.
	reportInterval = 300 * time.Millisecond
)

// Stream is a request in flight as it is seen at one moment.
type Stream struct {
	Chain spec.Chain
	// LastEvent is when its newest event came, or when it was sent.
	LastEvent time.Duration
	// Gap is the usual pause between its events; zero before the second one.
	Gap time.Duration
	// Started tells that its first event has come.
	Started bool
}

// Detector remembers whom it asked about. It is not safe for concurrent use.
type Detector struct {
	reported map[spec.UpstreamID]report
}

// report is when an engine was named, and whether with many silent streams.
type report struct {
	at          time.Duration
	manyStreams bool
}

// evidence is what the streams show of one engine.
type evidence struct {
	lastEvent    time.Duration
	stalled      int
	earlyStalled int
	longStalled  bool
}

// Suspect is an engine that may be dead. Many tells that so many of its streams
// fell silent at once that one question without an answer settles it.
type Suspect struct {
	Engine      spec.UpstreamID
	ManyStreams bool
}

// Check returns the engines that may be dead, in order of their names.
func (w *Detector) Check(now time.Duration, streams []Stream) []Suspect {
	seen := map[spec.UpstreamID]*evidence{}
	for _, s := range streams {
		for _, stage := range s.Chain {
			e := seen[stage.Engine()]
			if e == nil {
				e = &evidence{}
				seen[stage.Engine()] = e
			}
			if s.Started {
				e.lastEvent = max(e.lastEvent, s.LastEvent)
			}
		}
	}
	for _, s := range streams {
		quiet := now - s.LastEvent
		for _, stage := range s.Chain {
			e := seen[stage.Engine()]
			// An event of any stream after this one fell silent shows that the
			// engine lives.
			if e.lastEvent > s.LastEvent+stallThreshold(s, minStall, stallGaps)/2 {
				continue
			}
			if s.Started && quiet >= stallThreshold(s, manyMinStall, manyStallGaps) {
				e.earlyStalled++
			}
			if quiet >= stallThreshold(s, minStall, stallGaps) {
				e.stalled++
				e.longStalled = e.longStalled || quiet >= singleStallFactor*stallThreshold(s, minStall, stallGaps)
			}
		}
	}
	return w.selectSuspects(now, seen)
}

// stallThreshold is the silence of a stream that counts.
func stallThreshold(s Stream, least time.Duration, patience float64) time.Duration {
	if !s.Started {
		return firstEventTimeout
	}
	return max(least, time.Duration(patience*float64(s.Gap)))
}

// suspicious reports whether the streams of an engine are reason to ask it.
func (e *evidence) suspicious() bool {
	return e.earlyStalled >= manyStreams || e.stalled > 1 || e.stalled == 1 && e.longStalled
}

func (w *Detector) selectSuspects(now time.Duration, seen map[spec.UpstreamID]*evidence) []Suspect {
	if w.reported == nil {
		w.reported = map[spec.UpstreamID]report{}
	}
	for id, q := range w.reported {
		if now-q.at >= reportInterval {
			delete(w.reported, id)
		}
	}
	var out []Suspect
	for id, e := range seen {
		before, asked := w.reported[id]
		now := report{at: now, manyStreams: e.earlyStalled >= manyStreams}
		// Named for a few streams first, an engine is named again once many
		// are silent: while the answer is waited for, that settles it.
		if !e.suspicious() || asked && (before.manyStreams || !now.manyStreams) {
			continue
		}
		w.reported[id] = now
		out = append(out, Suspect{Engine: id, ManyStreams: now.manyStreams})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Engine < out[j].Engine })
	return out
}
