// Package meters keeps, per class, how well its target was met of late.
//
// It imports base/spec, the histogram library and the metrics library. Package
// entry tells it how requests ended; the status of the instance reads it.
//
// What it keeps per class does not depend on how many requests there are: the
// counts and three histograms of each of a few past minutes.
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
	// windows of windowTime each are what "of late" means.
	windows      = 5
	windowLength = time.Minute
	// resolution is the finest time kept; longest the longest told apart.
	resolution = 100 * time.Microsecond
	maxTime    = time.Hour
	digits     = 2
)

// Recorder is the record of all classes. Set the exported fields before use.
type Recorder struct {
	// Meters takes the metrics; nil makes a private set.
	Meters *metrics.Set

	once    sync.Once
	mu      sync.Mutex
	start   time.Time
	classes map[spec.ClassName]*classStats
}

// classStats is one class.
type classStats struct {
	class spec.Class
	// window numbers the newest window since the start.
	window int64
	counts [windows]counts
	first  *hdrhistogram.WindowedHistogram
	gap    *hdrhistogram.WindowedHistogram
	whole  *hdrhistogram.WindowedHistogram
	seen   *metrics.Counter
	met    *metrics.Counter
}

type counts struct{ seen, met, answered int64 }

// Times are percentiles of one kind of time.
type Times struct {
	P50 time.Duration
	P95 time.Duration
	P99 time.Duration
}

// Attainment is how a class was served of late.
type Attainment struct {
	Class spec.Class
	// Seen is how many requests ended, Met how many of them met the target.
	Seen int64
	Met  int64
	// Answered is how many were answered at all, in time or late.
	Answered int64
	First    Times
	Gap      Times
	Whole    Times
}

// Percent is how many of 100 requests met the target; 100 if there were none.
func (a Attainment) Percent() float64 {
	if a.Seen == 0 {
		return 100
	}
	return 100 * float64(a.Met) / float64(a.Seen)
}

// Reliability is how many of 100 requests were answered at all; 100 if there
// were none.
func (a Attainment) Reliability() float64 {
	if a.Seen == 0 {
		return 100
	}
	return 100 * float64(a.Answered) / float64(a.Seen)
}

// MeetsTarget reports whether the class meets its target.
func (a Attainment) MeetsTarget() bool { return a.Percent() >= a.Class.Target().Percent() }

func (b *Recorder) init() {
	b.once.Do(func() {
		if b.Meters == nil {
			b.Meters = metrics.NewSet()
		}
		b.start = time.Now()
		b.classes = map[spec.ClassName]*classStats{}
	})
}

// Served takes the end of a request. A request that failed or was refused met
// no target.
func (b *Recorder) Served(class spec.Class, first, gap, whole time.Duration, ok bool) {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.statsFor(class)
	r.advance(b.currentWindow())
	c := &r.counts[r.window%windows]
	c.seen++
	r.seen.Inc()
	if ok {
		c.answered++
	}
	if ok && meets(class.Target(), first, gap, whole) {
		c.met++
		r.met.Inc()
	}
	record(r.first, first)
	record(r.gap, gap)
	record(r.whole, whole)
}

// meets reports whether the times are within each limit of the target.
func meets(t spec.Target, first, gap, whole time.Duration) bool {
	return within(first, t.FirstEvent()) && within(gap, t.Gap()) && within(whole, t.TotalTime())
}

func within(took, limit time.Duration) bool { return limit == 0 || took <= limit }

func record(h *hdrhistogram.WindowedHistogram, d time.Duration) {
	if d > 0 {
		// Times above the longest are kept as the longest.
		_ = h.Current.RecordValue(int64(min(d, maxTime) / resolution))
	}
}

// All is every class in order of name.
func (b *Recorder) All() []Attainment {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	out := make([]Attainment, 0, len(b.classes))
	for _, r := range b.classes {
		r.advance(b.currentWindow())
		out = append(out, r.attained())
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Class.Name() < out[j].Class.Name() })
	return out
}

// Retain forgets the classes that are not in force any more.
func (b *Recorder) Retain(classes []spec.Class) {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	keep := make(map[spec.ClassName]bool, len(classes))
	for _, c := range classes {
		keep[c.Name()] = true
	}
	for name := range b.classes {
		if !keep[name] {
			delete(b.classes, name)
		}
	}
}

func (b *Recorder) currentWindow() int64 { return int64(time.Since(b.start) / windowLength) }

func (b *Recorder) statsFor(class spec.Class) *classStats {
	r := b.classes[class.Name()]
	if r != nil {
		r.class = class
		return r
	}
	r = &classStats{class: class, window: b.currentWindow()}
	for _, h := range []**hdrhistogram.WindowedHistogram{&r.first, &r.gap, &r.whole} {
		*h = hdrhistogram.NewWindowed(windows, 1, int64(maxTime/resolution), digits)
	}
	r.seen = b.Meters.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_target_seen_total{class=%q}`, class.Name()))
	r.met = b.Meters.GetOrCreateCounter(fmt.Sprintf(`fulmarwick_target_met_total{class=%q}`, class.Name()))
	b.classes[class.Name()] = r
	return r
}

// advance moves on to window at; windows that nobody used are empty.
func (r *classStats) advance(at int64) {
	for steps := 0; r.window < at && steps < windows; steps++ {
		r.window++
		r.counts[r.window%windows] = counts{}
		r.first.Rotate()
		r.gap.Rotate()
		r.whole.Rotate()
	}
	if r.window < at {
		// All windows were emptied; the rest would empty them again.
		r.window = at
	}
}

func (r *classStats) attained() Attainment {
	a := Attainment{Class: r.class, First: times(r.first), Gap: times(r.gap), Whole: times(r.whole)}
	for _, c := range r.counts {
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
