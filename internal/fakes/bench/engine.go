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
	// took is the time of one chunk, and chunks how many are left.
	took     time.Duration
	chunks   int
	prio     int
	seq      uint64
	canceled bool
	done     func()
}

type steps []*step

func (s steps) Len() int { return len(s) }

func (s steps) Less(a, b int) bool {
	if s[a].prio != s[b].prio {
		return s[a].prio < s[b].prio
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
	site *Site
	row  domain.Engine
	// hop is the true time of one hop now.
	hop     time.Duration
	busy    int
	wait    steps
	kv      int
	life    int
	dead    bool
	silent  bool
	leaving bool
	seq     uint64
	work    time.Duration
	cache   *prefix
	// opened is when it last got a new stage.
	opened time.Duration
}

// submit queues a step; a dead engine never answers.
func (e *engine) submit(s *step) {
	if e.dead {
		return
	}
	e.seq++
	s.seq = e.seq
	heap.Push(&e.wait, s)
	e.serve()
}

func (e *engine) serve() {
	for e.busy < e.row.Slots && len(e.wait) > 0 {
		s := heap.Pop(&e.wait).(*step)
		if s.canceled {
			continue
		}
		if e.dies(s) {
			return
		}
		e.busy++
		e.work += s.took
		life := e.life
		e.site.clock.after(s.took, func() {
			if e.life != life || e.dead {
				return
			}
			e.busy--
			e.ran(s)
			e.serve()
		})
	}
}

// ran ends a chunk. A prompt runs chunk by chunk between the tokens of other
// requests, as engines that batch continuously do it.
func (e *engine) ran(s *step) {
	s.chunks--
	switch {
	case s.canceled:
	case s.chunks == 0:
		s.done()
	default:
		e.seq++
		s.seq = e.seq
		heap.Push(&e.wait, s)
	}
}

// dies kills the engine if the step belongs to a poison request.
func (e *engine) dies(s *step) bool {
	if !s.run.poison || s.stage.done > 0 {
		return false
	}
	e.site.kills++
	e.die(false)
	return true
}

// die drops all state. A silent death is one whose connections hang.
func (e *engine) die(silent bool) {
	if e.dead {
		return
	}
	e.dead, e.silent = true, silent
	e.life++
	e.busy, e.kv = 0, 0
	e.wait = nil
	e.cache = newPrefix(e.cache.most)
	e.site.broke(e)
}

// revive restarts the engine with no state.
func (e *engine) revive() {
	e.dead = false
	e.row.Incarnation++
}

// report is what the engine tells of itself now.
func (e *engine) report() domain.Engine {
	e.row.Seq++
	out := e.row
	out.Active, out.Queued, out.KVUsed = e.busy, len(e.wait), e.kv
	return out
}

// stage is the state of a range of a request on an engine.
type stage struct {
	is     spec.Stage
	engine *engine
	life   int
	done   int
	opened bool
}

// lost reports whether the engine lost the stage's state.
func (s *stage) lost() bool { return s.engine.dead || s.engine.life != s.life }
