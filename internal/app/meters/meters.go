// Package meters records, for each class, how well recent requests met the
// class's target.
//
// It imports base/spec, the histogram library and the metrics library. Package
// entry reports the end of each request to it, and the status of the instance
// reads it.
//
// The memory per class does not depend on the number of requests: each class
// has the counts and three histograms of each of a few recent minutes.
package meters

import (
	"fmt"
	"sort"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/VictoriaMetrics/metrics"
)

const (
	// windows is the number of recent windows that are kept.
	windows = 5
	// windowLength is the length of a window.
	windowLength = time.Minute
	// resolution is the smallest difference in time that is recorded.
	resolution = 100 * time.Microsecond
	// maxTime is the longest time that is recorded exactly.
	maxTime = time.Hour
	// digits is the number of significant digits of the histograms.
	digits = 2
)

// Recorder records the target attainment of all classes. Set the exported
// fields before use.
type Recorder struct {
	// Meters is the set that receives the metrics. If nil, a private set is
	// created.
	Meters *metrics.Set

	once    sync.Once
	mu      sync.Mutex
	start   time.Time
	classes map[spec.ClassName]*classStats
}

// classStats holds the recent requests of one class.
type classStats struct {
	class spec.Class
	// window is the number of the newest window since the start.
	window int64
	counts [windows]counts
	first  *hdrhistogram.WindowedHistogram
	gap    *hdrhistogram.WindowedHistogram
	whole  *hdrhistogram.WindowedHistogram
	seen   *metrics.Counter
	met    *metrics.Counter
}

type counts struct{ seen, met, answered int64 }

// Times holds percentiles of one kind of time.
type Times struct {
	P50 time.Duration
	P95 time.Duration
	P99 time.Duration
}

// Attainment summarizes how the recent requests of a class were served.
type Attainment struct {
	Class spec.Class
	// Seen is the number of requests that ended. Met is the number of them that
	// met the target.
	Seen int64
	Met  int64
	// Answered is the number of requests that were answered, in time or late.
	Answered int64
	First    Times
	Gap      Times
	Whole    Times
}

// Percent returns the percentage of requests that met the target. It is 100 if
// there were no requests.
func (a Attainment) Percent() float64 {
	if a.Seen == 0 {
		return 100
	}
	return 100 * float64(a.Met) / float64(a.Seen)
}

// Reliability returns the percentage of requests that were answered, in time or
// late. It is 100 if there were no requests.
func (a Attainment) Reliability() float64 {
	if a.Seen == 0 {
		return 100
	}
	return 100 * float64(a.Answered) / float64(a.Seen)
}

// MeetsTarget reports whether the class meets its target.
func (a Attainment) MeetsTarget() bool { return a.Percent() >= a.Class.Target().Percent() }

func (r *Recorder) init() {
	r.once.Do(func() {
		if r.Meters == nil {
			r.Meters = metrics.NewSet()
		}
		r.start = time.Now()
		r.classes = map[spec.ClassName]*classStats{}
	})
}

// Served records the end of a request. A request that failed or was refused
// does not count as meeting the target.
func (r *Recorder) Served(class spec.Class, first, gap, whole time.Duration, ok bool) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.statsFor(class)
	s.advance(r.currentWindow())
	c := &s.counts[s.window%windows]
	c.seen++
	s.seen.Inc()
	if ok {
		c.answered++
	}
	if ok && meets(class.Target(), first, gap, whole) {
		c.met++
		s.met.Inc()
	}
	record(s.first, first)
	record(s.gap, gap)
	record(s.whole, whole)
}

// meets reports whether the times are within every limit of the target.
func meets(t spec.Target, first, gap, whole time.Duration) bool {
	return within(first, t.FirstEvent()) && within(gap, t.Gap()) && within(whole, t.TotalTime())
}

func within(took, limit time.Duration) bool { return limit == 0 || took <= limit }

func record(h *hdrhistogram.WindowedHistogram, d time.Duration) {
	if d > 0 {
		// Times above maxTime are recorded as maxTime.
		_ = h.Current.RecordValue(int64(min(d, maxTime) / resolution))
	}
}

// All returns the attainment of every class, sorted by name.
func (r *Recorder) All() []Attainment {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]Attainment, 0, len(r.classes))
	for _, s := range r.classes {
		s.advance(r.currentWindow())
		out = append(out, s.attained())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Class.Name() < out[j].Class.Name() })
	return out
}

// Retain removes all classes that are not in classes, the active ones.
func (r *Recorder) Retain(classes []spec.Class) {
	r.init()
	r.mu.Lock()
	defer r.mu.Unlock()
	keep := make(map[spec.ClassName]bool, len(classes))
	for _, c := range classes {
		keep[c.Name()] = true
	}
	for name := range r.classes {
		if !keep[name] {
			delete(r.classes, name)
		}
	}
}

func (r *Recorder) currentWindow() int64 { return int64(time.Since(r.start) / windowLength) }

func (r *Recorder) statsFor(class spec.Class) *classStats {
	s := r.classes[class.Name()]
	if s != nil {
		s.class = class
		return s
	}
	s = &classStats{class: class, window: r.currentWindow()}
	for _, h := range []**hdrhistogram.WindowedHistogram{&s.first, &s.gap, &s.whole} {
		*h = hdrhistogram.NewWindowed(windows, 1, int64(maxTime/resolution), digits)
	}
	s.seen = r.Meters.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_target_seen_total{class=%q}`, class.Name()))
	s.met = r.Meters.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_target_met_total{class=%q}`, class.Name()))
	r.classes[class.Name()] = s
	return s
}

// advance moves to the window with the given number. It clears each window that
// it enters, so that windows without requests are empty.
func (s *classStats) advance(number int64) {
	for steps := 0; s.window < number && steps < windows; steps++ {
		s.window++
		s.counts[s.window%windows] = counts{}
		s.first.Rotate()
		s.gap.Rotate()
		s.whole.Rotate()
	}
	if s.window < number {
		// All windows are cleared already; further steps would only clear them
		// again.
		s.window = number
	}
}

func (s *classStats) attained() Attainment {
	a := Attainment{Class: s.class, First: times(s.first), Gap: times(s.gap), Whole: times(s.whole)}
	for _, c := range s.counts {
		a.Seen += c.seen
		a.Met += c.met
		a.Answered += c.answered
	}
	return a
}

func times(h *hdrhistogram.WindowedHistogram) Times {
	all := h.Merge()
	at := func(q float64) time.Duration { return time.Duration(all.ValueAtQuantile(q)) * resolution }
	return Times{P50: at(50), P95: at(95), P99: at(99)}
}
