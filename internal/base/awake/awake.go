// Package awake measures for how long a process got no processor, so that what it
// concludes from the silence of others counts only time in which it could have
// heard them.
//
// It imports the standard library. Package app/edge ticks a Clock and asks it
// before it takes an engine for dead. The idea that a failure detector has to doubt
// itself first is that of local health in Lifeguard (Dadgar, Phillips, Currey,
// "Lifeguard: Local Health Awareness for More Accurate Failure Detection", 2018).
package awake

import (
	"sync"
	"time"
)

// most bounds the pauses remembered: at the least length of one they reach back
// for some seconds, longer than any stream is watched for.
const most = 256

// pause is a time between two ticks of which the second came late.
type pause struct{ from, to time.Time }

// Clock notices pauses by ticks that come late. Set the exported fields before use.
type Clock struct {
	// Every is the usual time between two ticks, Least how late one must be to show
	// a pause.
	Every time.Duration
	Least time.Duration

	mu     sync.Mutex
	last   time.Time
	pauses []pause
}

// Tick notes that the process runs and returns how late that is.
func (c *Clock) Tick(now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	late, p := c.late(now), pause{from: c.last, to: now}
	c.last = now
	if late < c.Least {
		return late
	}
	if len(c.pauses) == most {
		c.pauses = append(c.pauses[:0], c.pauses[1:]...)
	}
	c.pauses = append(c.pauses, p)
	return late
}

// late is how long after it was due a tick comes now; c.mu is held.
func (c *Clock) late(now time.Time) time.Duration {
	if c.last.IsZero() {
		return 0
	}
	return max(0, now.Sub(c.last)-c.Every)
}

// Lost is how much of the time between two moments the process did not keep up:
// all of each time between two ticks of which the second came late. It counts one
// that no tick has ended yet, since a timer may run before the tick does.
func (c *Clock) Lost(since, now time.Time) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	lost := time.Duration(0)
	if c.late(now) >= c.Least {
		lost += pause{from: c.last, to: now}.within(since, now)
	}
	for k := len(c.pauses) - 1; k >= 0 && c.pauses[k].to.After(since); k-- {
		lost += c.pauses[k].within(since, now)
	}
	return lost
}

// within is how much of a pause lies between two moments.
func (p pause) within(since, now time.Time) time.Duration {
	from, to := p.from, p.to
	if since.After(from) {
		from = since
	}
	if now.Before(to) {
		to = now
	}
	return max(0, to.Sub(from))
}
