// Package ahead estimates how much other instances have sent to an engine since they last reported.
//
// It imports base/spec. Package path adds the estimate to the reported load of an engine where the
// settings ask for it. It does no I/O and reads no clock.
//
// The load that it answers: many instances choose among the same engines at the same moment, by
// reports that are a little old. All of them see the same engine idle and send to it, until the next
// report shows it overrun and another one idle. An instance does not know what the others have sent
// since, but they choose as it does: what it has sent itself in that time, times their number, is an
// estimate without a bias. It keeps an instance from choosing an engine twice before the reports show
// what the first time did. As the estimates of all are alike for an engine that nobody has chosen yet,
// each request also leaves out some engines at random.
package ahead

import (
	"math"
	"time"

	"fulmarwick/internal/base/spec"
)

const (
	// LeaveOutShare is the share of the engines that a request leaves out. With more, requests go to
	// slower engines than need be.
	LeaveOutShare = 0.4
	// initialInterval is the interval between reports that is assumed before any was seen.
	initialInterval = 500 * time.Millisecond
	// minInterval and maxInterval limit the interval between reports that is reckoned with: a
	// report may be held up, and an instance that is lost reports no more.
	minInterval = 100 * time.Millisecond
	maxInterval = 2 * time.Second
	// newestWeight is the weight of the newest interval in the mean.
	newestWeight = 0.2
)

// Load is what requests use of an engine.
type Load struct {
	Streams float64
	// Cells is KV memory, Prefill the part of the prompts that is still to be read, both in
	// token-layers.
	Cells, Prefill float64
}

func (l Load) scaled(f float64) Load {
	return Load{Streams: f * l.Streams, Cells: f * l.Cells, Prefill: f * l.Prefill}
}

// Reports holds how old reports of other instances get before the next ones. The zero value has seen
// none. It is not safe for concurrent use.
type Reports struct {
	last map[spec.InstanceID]time.Duration
	mean float64
}

// Record records a report of one or several other instances; gone means that no more will come.
func (r *Reports) Record(now time.Duration, from spec.InstanceID, gone bool) {
	if r.last == nil {
		r.last = map[spec.InstanceID]time.Duration{}
	}
	last, known := r.last[from]
	if gone {
		delete(r.last, from)
		return
	}
	r.last[from] = now
	if known {
		interval := float64(min(maxInterval, max(minInterval, now-last)))
		r.mean = float64(r.Interval()) + newestWeight*(interval-float64(r.Interval()))
	}
}

// Interval returns the mean interval between two reports of an instance.
func (r *Reports) Interval() time.Duration {
	if r.mean == 0 {
		return initialInterval
	}
	return time.Duration(r.mean)
}

// Sent is what this instance has sent to an engine of late. The zero value is nothing.
type Sent struct {
	load Load
	at   time.Duration
}

// Add adds a request. interval is that between reports.
func (s *Sent) Add(now, interval time.Duration, l Load) {
	old := s.since(now, interval)
	s.load = Load{Streams: old.Streams + l.Streams, Cells: old.Cells + l.Cells, Prefill: old.Prefill + l.Prefill}
	s.at = now
}

// ByOthers returns what the other instances are expected to have sent to the engine since they
// reported.
func (s *Sent) ByOthers(now, interval time.Duration, others int) Load {
	return s.since(now, interval).scaled(float64(others))
}

// since returns what was sent since the last reports, as far as a mean interval says: of a request it
// counts the share of instances that have not reported since.
func (s *Sent) since(now, interval time.Duration) Load {
	return s.load.scaled(math.Exp(-float64(now-s.at) / float64(interval)))
}
