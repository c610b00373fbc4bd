// Package stall detects engines behind stalled streams.
//
// It imports base/spec. Package app/edge passes it the streams in flight every few
// milliseconds and probes the engines that it reports. It does no I/O and reads no
// clock.
//
// A dead engine sends nothing, and the engines before it on a path wait for it without
// an error for seconds, longer than callers wait. But all streams through it stop at
// once, while an engine that still produces events for any stream is alive.
package stall

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
)

const (
	// stallGaps is the number of typical gaps without an event after which a stream
	// counts as stalled. Passes in which prompts of other requests are read take up to
	// twice the typical gap.
	stallGaps = 3
	// minStall is the shortest time without an event that counts. An engine that reads
	// a chunk of a prompt between two passes takes up to 60 ms.
	minStall = 70 * time.Millisecond
	// manyStreams is the number of stalled streams of one engine that suffices to
	// report it earlier: so many don't stall at once by chance.
	manyStreams = 5
	// manyMinStall is the shortest time without an event that counts among many
	// stalled streams.
	manyMinStall = 42 * time.Millisecond
	// manyStallGaps is the number of typical gaps after which a stream counts among
	// these. At 2, instances sent 396 probes instead of 56 on a day with low load.
	manyStallGaps = 2.5
	// firstEventTimeout is the time without an event that counts before the first
	// event of a stream, on top of the predicted time to read its prompt.
	firstEventTimeout = 350 * time.Millisecond
	// singleStallFactor is how many times longer a single stalled stream must be
	// without an event, since one stream may be preempted where several are not.
	singleStallFactor = 2
	// reportInterval is the shortest time between two reports of the same engine.
	reportInterval = 300 * time.Millisecond
)

// Stream is the state of a request in flight at one moment.
type Stream struct {
	Chain spec.Chain
	// LastEvent is when its last event was received or, before the first event, when
	// it was sent.
	LastEvent time.Duration
	// Gap is the typical time between its events; zero before the second event.
	Gap time.Duration
	// Started is set once its first event was received.
	Started bool
}

// Detector remembers which engines it reported. It is not safe for concurrent use.
type Detector struct {
	reported map[spec.UpstreamID]report
}

// report is when an engine was reported, and whether with many stalled streams.
type report struct {
	at          time.Duration
	manyStreams bool
}

// evidence is what the streams show about one engine.
type evidence struct {
	lastEvent    time.Duration
	stalled      int
	earlyStalled int
	longStalled  bool
}

// Suspect is an engine that may be dead. ManyStreams is set if so many of its streams
// stalled at once that a single probe without a response is enough to declare it dead.
type Suspect struct {
	Engine      spec.UpstreamID
	ManyStreams bool
}

// Check returns the engines that may be dead, sorted by ID.
func (d *Detector) Check(now time.Duration, streams []Stream) []Suspect {
	byEngine := map[spec.UpstreamID]*evidence{}
	for _, s := range streams {
		for _, stage := range s.Chain {
			e := byEngine[stage.Engine()]
			if e == nil {
				e = &evidence{}
				byEngine[stage.Engine()] = e
			}
			if s.Started {
				e.lastEvent = max(e.lastEvent, s.LastEvent)
			}
		}
	}
	for _, s := range streams {
		sinceLastEvent := now - s.LastEvent
		for _, stage := range s.Chain {
			e := byEngine[stage.Engine()]
			// An event of any stream after this one stalled shows that the engine is
			// alive.
			if e.lastEvent > s.LastEvent+stallThreshold(s, minStall, stallGaps)/2 {
				continue
			}
			if s.Started && sinceLastEvent >= stallThreshold(s, manyMinStall, manyStallGaps) {
				e.earlyStalled++
			}
			if sinceLastEvent >= stallThreshold(s, minStall, stallGaps) {
				e.stalled++
				e.longStalled = e.longStalled || sinceLastEvent >= singleStallFactor*stallThreshold(s, minStall, stallGaps)
			}
		}
	}
	return d.selectSuspects(now, byEngine)
}

// stallThreshold returns the time without an event after which a stream counts as
// stalled.
func stallThreshold(s Stream, minimum time.Duration, gaps float64) time.Duration {
	if !s.Started {
		return firstEventTimeout
	}
	return max(minimum, time.Duration(gaps*float64(s.Gap)))
}

// suspicious reports whether the streams of an engine are a reason to probe it.
func (e *evidence) suspicious() bool {
	return e.earlyStalled >= manyStreams || e.stalled > 1 || e.stalled == 1 && e.longStalled
}

func (d *Detector) selectSuspects(now time.Duration, byEngine map[spec.UpstreamID]*evidence) []Suspect {
	if d.reported == nil {
		d.reported = map[spec.UpstreamID]report{}
	}
	for id, r := range d.reported {
		if now-r.at >= reportInterval {
			delete(d.reported, id)
		}
	}
	var out []Suspect
	for id, e := range byEngine {
		previous, found := d.reported[id]
		current := report{at: now, manyStreams: e.earlyStalled >= manyStreams}
		// An engine that was reported for a few streams is reported again once many
		// are stalled. Then the probe that is in progress is enough, without waiting
		// longer for its response.
		if !e.suspicious() || found && (previous.manyStreams || !current.manyStreams) {
			continue
		}
		d.reported[id] = current
		out = append(out, Suspect{Engine: id, ManyStreams: current.manyStreams})
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Engine < out[j].Engine })
	return out
}
