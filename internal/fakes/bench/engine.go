package bench

import (
	"container/heap"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// step is a unit of work on an engine: it runs some tokens through some layers.
type step struct {
	run     *run
	attempt uint32
	stage   *stage
	// chunkTime is the duration of one chunk, chunks the number of chunks left.
	chunkTime time.Duration
	chunks    int
	priority  int
	seq       uint64
	canceled  bool
	done      func()
}

type steps []*step

func (s steps) Len() int { return len(s) }

func (s steps) Less(a, b int) bool {
	if s[a].priority != s[b].priority {
		return s[a].priority < s[b].priority
	}
	return s[a].seq < s[b].seq
}

func (s steps) Swap(a, b int) { s[a], s[b] = s[b], s[a] }

// Push implements heap.Interface.
func (s *steps) Push(x any) { *s = append(*s, x.(*step)) }

// Pop implements heap.Interface.
func (s *steps) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	return x
}

// engine runs steps in slots, those with the lowest priority number first.
type engine struct {
	sim  *Simulation
	info domain.Engine
	// hopTime is the actual time of one hop, which may differ from the reported
	// one.
	hopTime  time.Duration
	busy     int
	queue    steps
	kvUsed   int
	epoch    int
	dead     bool
	hung     bool
	leaving  bool
	seq      uint64
	busyTime time.Duration
	cache    *prefixCache
	// lastStageAt is when the engine last received a new stage.
	lastStageAt time.Duration
}

// submit queues a step. A dead engine ignores it and never answers.
func (e *engine) submit(s *step) {
	if e.dead {
		return
	}
	e.seq++
	s.seq = e.seq
	heap.Push(&e.queue, s)
	e.runQueued()
}

// runQueued starts queued steps while slots are free.
func (e *engine) runQueued() {
	for e.busy < e.info.Slots && len(e.queue) > 0 {
		s := heap.Pop(&e.queue).(*step)
		if s.canceled {
			continue
		}
		if e.crashesOn(s) {
			return
		}
		e.busy++
		e.busyTime += s.chunkTime
		epoch := e.epoch
		e.sim.clock.after(s.chunkTime, func() {
			if e.epoch != epoch || e.dead {
				return
			}
			e.busy--
			e.chunkDone(s)
			e.runQueued()
		})
	}
}

// chunkDone completes a chunk and queues the next one of its step. The chunks
// of a prompt alternate with the tokens of other requests, as on engines with
// continuous batching.
func (e *engine) chunkDone(s *step) {
	s.chunks--
	switch {
	case s.canceled:
	case s.chunks == 0:
		s.done()
	default:
		e.seq++
		s.seq = e.seq
		heap.Push(&e.queue, s)
	}
}

// crashesOn crashes the engine if the step is the first one of a stage of a
// poison request, and reports whether it did.
func (e *engine) crashesOn(s *step) bool {
	if !s.run.poison || s.stage.processed > 0 {
		return false
	}
	e.sim.crashes++
	e.crash(false)
	return true
}

// crash stops the engine and drops all its state. If hung is true, its
// connections stay open without an answer; otherwise they break.
func (e *engine) crash(hung bool) {
	if e.dead {
		return
	}
	e.dead, e.hung = true, hung
	e.epoch++
	e.busy, e.kvUsed = 0, 0
	e.queue = nil
	e.cache = newPrefixCache(e.cache.capacity)
	e.sim.engineCrashed(e)
}

// revive restarts the engine with no state.
func (e *engine) revive() {
	e.dead = false
	e.info.Incarnation++
}

// report returns the engine's report of its current state.
func (e *engine) report() domain.Engine {
	e.info.Seq++
	out := e.info
	out.Active, out.Queued, out.KVUsed = e.busy, len(e.queue), e.kvUsed
	return out
}

// stage is the state that an engine keeps for one range of layers of a request.
type stage struct {
	spec      spec.Stage
	engine    *engine
	epoch     int
	processed int
	opened    bool
}

// stateLost reports whether the engine lost the stage's state.
func (s *stage) stateLost() bool { return s.engine.dead || s.engine.epoch != s.epoch }
