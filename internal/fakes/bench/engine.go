package bench

import (
	"container/heap"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// step is a piece of work on an engine: some tokens through some layers.
type step struct {
	run     *run
	attempt uint32
	stage   *stage
	// chunkTime is the time of one chunk, and chunks how many are left.
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

// Push is for package heap.
func (s *steps) Push(x any) { *s = append(*s, x.(*step)) }

// Pop is for package heap.
func (s *steps) Pop() any {
	last := len(*s) - 1
	x := (*s)[last]
	(*s)[last] = nil
	*s = (*s)[:last]
	return x
}

// engine runs steps in slots, tighter priorities first.
type engine struct {
	sim  *Simulation
	info domain.Engine
	// hopTime is the true time of one hop now.
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
	// lastStageAt is when it last got a new stage.
	lastStageAt time.Duration
}

// submit queues a step; a dead engine never answers.
func (e *engine) submit(s *step) {
	if e.dead {
		return
	}
	e.seq++
	s.seq = e.seq
	heap.Push(&e.queue, s)
	e.runQueued()
}

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
		life := e.epoch
		e.sim.clock.after(s.chunkTime, func() {
			if e.epoch != life || e.dead {
				return
			}
			e.busy--
			e.chunkDone(s)
			e.runQueued()
		})
	}
}

// chunkDone ends a chunk. A prompt runs chunk by chunk between the tokens of other
// requests, as engines that batch continuously do it.
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

// crashesOn kills the engine if the step belongs to a poison request.
func (e *engine) crashesOn(s *step) bool {
	if !s.run.poison || s.stage.processed > 0 {
		return false
	}
	e.sim.crashes++
	e.crash(false)
	return true
}

// crash drops all state. A silent death is one whose connections hang.
func (e *engine) crash(silent bool) {
	if e.dead {
		return
	}
	e.dead, e.hung = true, silent
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

// report is what the engine tells of itself now.
func (e *engine) report() domain.Engine {
	e.info.Seq++
	out := e.info
	out.Active, out.Queued, out.KVUsed = e.busy, len(e.queue), e.kvUsed
	return out
}

// stage is the state of a range of a request on an engine.
type stage struct {
	spec      spec.Stage
	engine    *engine
	epoch     int
	processed int
	opened    bool
}

// stateLost reports whether the engine lost the stage's state.
func (s *stage) stateLost() bool { return s.engine.dead || s.engine.epoch != s.epoch }
