// Package pause measures for how long a process got no processor, so that what it
// concludes from the silence of others counts only time in which it could have
// heard them.
//
// It imports the standard library. Package app/edge ticks a Clock and asks it
// before it takes an engine for dead. The idea that a failure detector has to doubt
// itself first is that of local health in Lifeguard (Dadgar, Phillips, Currey,
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
package pause

import (
	"sync"
	"time"
)

// maxPauses bounds the pauses remembered: at the least length of one they reach back
// for some seconds, longer than any stream is watched for.
const maxPauses = 256

// interval is a time between two ticks of which the second came late.
type interval struct{ from, to time.Time }

// Detector notices pauses by ticks that come late. Set the exported fields before use.
type Detector struct {
	// TickInterval is the usual time between two ticks, Least how late one must be to show
	// a pause.
	TickInterval time.Duration
	MinPause     time.Duration

	mu       sync.Mutex
	lastTick time.Time
	pauses   []interval
}

// Tick notes that the process runs and returns how late that is.
func (c *Detector) Tick(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	late, p := c.lateness(now), interval{from: c.lastTick, to: now}
	c.lastTick = now
	if late < c.MinPause {
		return late
	}
	if len(c.pauses) == maxPauses {
		c.pauses = append(c.pauses[:0], c.pauses[1:]...)
	}
	c.pauses = append(c.pauses, p)
	return late
}

// lateness is how long after it was due a tick comes now; c.mu is held.
func (c *Detector) lateness(now time.Time) time.Duration {
	if c.lastTick.IsZero() {
		return 0
	}
	return max(0, now.Sub(c.lastTick)-c.TickInterval)
}

// PausedBetween is how much of the time between two moments the process did not keep up:
// all of each time between two ticks of which the second came late. It counts one
// that no tick has ended yet, since a timer may run before the tick does.
func (c *Detector) PausedBetween(since, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := time.Duration(0)
	if c.lateness(now) >= c.MinPause {
		lost += interval{from: c.lastTick, to: now}.overlap(since, now)
	}
	for k := len(c.pauses) - 1; k >= 0 && c.pauses[k].to.After(since); k-- {
		lost += c.pauses[k].overlap(since, now)
	}
	return lost
}

// overlap is how much of a pause lies between two moments.
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
