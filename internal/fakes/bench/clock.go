// Package bench is a small fake of engines and callers in virtual time, with
// which the routing decisions are measured: stages, batching slots, KV memory,
// prefix caches, lagging reports, and engines that die. It drives the logic of
// several instances by Tick and hands their messages over; there is no socket,
// no real time and no draw that its seed does not fix.
//
// It imports base/spec and the route packages. Benchmarks and tests run it.
package bench

import (
	"container/heap"
	"time"
)

// clock runs functions in order of virtual time.
type clock struct {
	now  time.Duration
	seq  uint64
	jobs jobs
}

type job struct {
	at  time.Duration
	seq uint64
	fn  func()
}

type jobs []job

func (j jobs) Len() int { return len(j) }

func (j jobs) Less(a, b int) bool {
	if j[a].at != j[b].at {
		return j[a].at < j[b].at
	}
	return j[a].seq < j[b].seq
}

func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }

// Push is for package heap.
func (j *jobs) Push(x any) { *j = append(*j, x.(job)) }

// Pop is for package heap.
func (j *jobs) Pop() any {
	last := len(*j) - 1
	x := (*j)[last]
	(*j)[last] = job{}
	*j = (*j)[:last]
	return x
}

// after runs do once d has passed.
func (c *clock) after(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.jobs, job{at: c.now + max(0, d), seq: c.seq, fn: do})
}

// every runs do each d until it returns false.
func (c *clock) every(d time.Duration, do func() bool) {
	c.after(d, func() {
		if do() {
			c.every(d, do)
		}
	})
}

// runUntil runs all that is due up to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.jobs) > 0 && c.jobs[0].at <= end {
		j := heap.Pop(&c.jobs).(job)
		c.now = j.at
		j.fn()
	}
	c.now = end
}
