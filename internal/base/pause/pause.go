// Package pause measures how long a process got no processor time, so that what it
// concludes from missing messages counts only time in which it could have received them.
//
// It imports the standard library. Package app/edge ticks a Detector and asks it before
// it declares an engine dead. The idea that a failure detector has to doubt itself
// first is that of local health in Lifeguard (Dadgar, Phillips, Currey, "Lifeguard:
// Local Health Awareness for More Accurate Failure Detection", 2018).
package pause

import (
	"sync"
	"time"
)

// maxPauses is the maximum number of recorded pauses. With pauses of the minimum length
// they reach back for some seconds, longer than any stream is watched for.
const maxPauses = 256

// interval is the time between two ticks of which the second came late.
type interval struct{ from, to time.Time }

// Detector detects process pauses by ticks that come late. Set the exported fields
// before use.
type Detector struct {
	// TickInterval is the usual time between two ticks.
	TickInterval time.Duration
	// MinPause is how late a tick must be to show a pause.
	MinPause time.Duration

	mu       sync.Mutex
	lastTick time.Time
	pauses   []interval
}

// Tick records that the process runs and returns how late the tick is.
func (d *Detector) Tick(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	late, p := d.lateness(now), interval{from: d.lastTick, to: now}
	d.lastTick = now
	if late < d.MinPause {
		return late
	}
	if len(d.pauses) == maxPauses {
		d.pauses = append(d.pauses[:0], d.pauses[1:]...)
	}
	d.pauses = append(d.pauses, p)
	return late
}

// lateness returns how late a tick at now is; d.mu is held.
func (d *Detector) lateness(now time.Time) time.Duration {
	if d.lastTick.IsZero() {
		return 0
	}
	return max(0, now.Sub(d.lastTick)-d.TickInterval)
}

// PausedBetween returns how much of the time between two moments the process was
// paused: all of each time between two ticks of which the second came late. It includes
// a pause that no tick has ended yet, since a timer may run before the tick does.
func (d *Detector) PausedBetween(since, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	paused := time.Duration(0)
	if d.lateness(now) >= d.MinPause {
		paused += interval{from: d.lastTick, to: now}.overlap(since, now)
	}
	for k := len(d.pauses) - 1; k >= 0 && d.pauses[k].to.After(since); k-- {
		paused += d.pauses[k].overlap(since, now)
	}
	return paused
}

// overlap returns how much of a pause lies between two moments.
func (p interval) overlap(since, now time.Time) time.Duration {
	from, to := p.from, p.to
	if since.After(from) {
		from = since
	}
	if now.Before(to) {
		to = now
	}
	return max(0, to.Sub(from))
}
