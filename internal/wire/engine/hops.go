package engine

import (
	"sync"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// hopEvery is the minimum time between two HopMeasured events of an
	// engine.
	hopEvery = time.Second
	// minHops is the minimum number of hops in a HopMeasured event. With fewer, steps that waited for an engine
	// that paused would make up the median.
	minHops = 5
	// hopMax is the upper bound of the histogram; longer hops are recorded as
	// hopMax.
	hopMax           = time.Minute
	hopDigits        = 2
	medianPercentile = 50
	tailPercentile   = 99
)

// hopRecorder collects the hop times of one engine and posts a summary at most
// once per hopEvery.
type hopRecorder struct {
	engine spec.UpstreamID
	post   func(domain.Event)

	mu    sync.Mutex
	hist  *hdrhistogram.Histogram
	since time.Time
	// last is when the last hop that counts ended.
	last time.Time
}

func newHopRecorder(engine spec.UpstreamID, post func(domain.Event)) *hopRecorder {
	hist := hdrhistogram.New(1, hopMax.Microseconds(), hopDigits)
	return &hopRecorder{engine: engine, post: post, hist: hist, since: time.Now()}
}

// record counts the hop of a step that was answered now. Of steps that were under way at the same time only one
// counts: a slow link delays each step, an engine that pauses all of them at once.
func (h *hopRecorder) record(sentAt time.Time, hop time.Duration) {
	if h.post == nil {
		return
	}
	h.mu.Lock()
	if sentAt.Before(h.last) {
		h.mu.Unlock()
		return
	}
	h.last = time.Now()
	_ = h.hist.RecordValue(min(max(1, hop.Microseconds()), hopMax.Microseconds()))
	ev, due := h.due()
	h.mu.Unlock()
	if due {
		h.post(ev)
	}
}

func (h *hopRecorder) due() (domain.HopMeasured, bool) {
	now := time.Now()
	if now.Sub(h.since) < hopEvery || h.hist.TotalCount() < minHops {
		return domain.HopMeasured{}, false
	}
	ev := domain.HopMeasured{
		Engine: h.engine, Count: int(h.hist.TotalCount()),
		P50: time.Duration(h.hist.ValueAtQuantile(medianPercentile)) * time.Microsecond,
		P99: time.Duration(h.hist.ValueAtQuantile(tailPercentile)) * time.Microsecond,
	}
	h.hist.Reset()
	h.since = now
	return ev, true
}
