package resend

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// reportTTL is how long the usage that an instance reported counts as that of one which takes part.
const reportTTL = time.Second

// Reports holds the usage that other instances reported. What an instance took from the pool counts for a
// window after its last report, also if it has ended since: its retries are under way. The zero value is
// empty.
type Reports struct {
	latest map[spec.InstanceID]report
	// ended holds the last reports of instances that report no more.
	ended []report
}

type report struct {
	usage Usage
	at    time.Duration
}

// Set replaces the usage of an instance.
func (r *Reports) Set(now time.Duration, from spec.InstanceID, usage Usage) {
	if r.latest == nil {
		r.latest = map[spec.InstanceID]report{}
	}
	r.latest[from] = report{usage: usage, at: now}
}

// End records that an instance reports no more. Another process may report under its ID.
func (r *Reports) End(from spec.InstanceID) {
	if last, ok := r.latest[from]; ok && last.usage.PooledRetries > 0 {
		r.ended = append(r.ended, last)
	}
	delete(r.latest, from)
}

// Sum returns the usage of the other instances. window is that of the budget.
func (r *Reports) Sum(now, window time.Duration) Usage {
	var sum Usage
	for _, l := range r.latest {
		if now-l.at < reportTTL {
			sum = sum.Plus(l.usage)
		} else {
			sum = sum.Plus(l.pooled(now, window))
		}
	}
	kept := r.ended[:0]
	for _, l := range r.ended {
		if now-l.at < window {
			kept = append(kept, l)
			sum = sum.Plus(l.pooled(now, window))
		}
	}
	r.ended = kept
	return sum
}

// pooled returns what of a report of an instance that does not report any more still counts.
func (l report) pooled(now, window time.Duration) Usage {
	if now-l.at >= window {
		return Usage{}
	}
	return Usage{PooledRetries: l.usage.PooledRetries}
}
