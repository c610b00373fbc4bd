// Package bench simulates engines and callers in virtual time to measure the
// routing decisions. The simulation covers stages, batching slots, KV memory,
// prefix caches, delayed reports and engine crashes. It calls Tick on the
// routing logic of several instances and passes their messages on. It uses no
// sockets and no real time, and the seed determines every random value.
//
// It imports base/spec and the route packages. Benchmarks and tests run it.
package bench

import (
	"container/heap"
	"time"
)

// clock runs functions in order of virtual time. Functions due at the same
// time run in the order in which they were scheduled.
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

// Push implements heap.Interface.
func (j *jobs) Push(x any) { *j = append(*j, x.(job)) }

// Pop implements heap.Interface.
func (j *jobs) Pop() any {
	last := len(*j) - 1
	x := (*j)[last]
	(*j)[last] = job{}
	*j = (*j)[:last]
	return x
}

// after runs fn once, d from now.
func (c *clock) after(d time.Duration, fn func()) {
	c.seq++
	heap.Push(&c.jobs, job{at: c.now + max(0, d), seq: c.seq, fn: fn})
}

// every runs fn at intervals of d until fn returns false.
func (c *clock) every(d time.Duration, fn func() bool) {
	c.after(d, func() {
		if fn() {
			c.every(d, fn)
		}
	})
}

// runUntil runs all jobs that are due up to and including end and then sets the
// time to end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.jobs) > 0 && c.jobs[0].at <= end {
		next := heap.Pop(&c.jobs).(job)
		c.now = next.at
		next.fn()
	}
	c.now = end
}
