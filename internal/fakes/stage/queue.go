package stage

import (
	"container/heap"
	"time"

	"fulmarwick/internal/base/frame"
)

// work is a step that waits for a slot or runs in one.
type work struct {
	step     *frame.Step
	link     *link
	key      key
	arrival  uint64
	epoch    uint64
	queuedAt time.Time
	// index is the number of tokens that a run has generated.
	index int
	// canceled is set if the request is canceled while the step runs.
	canceled bool
}

// queue is a heap of waiting work, ordered by priority number and then by
// arrival.
type queue []*work

// Len returns the number of entries. With Less, Swap, Push and Pop it
// implements heap.Interface.
func (q queue) Len() int { return len(q) }

// Less orders by priority and arrival.
func (q queue) Less(i, j int) bool {
	if q[i].step.Prio != q[j].step.Prio {
		return q[i].step.Prio < q[j].step.Prio
	}
	return q[i].arrival < q[j].arrival
}

// Swap exchanges two entries.
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push adds a *work.
func (q *queue) Push(x any) { *q = append(*q, x.(*work)) }

// Pop removes and returns the last entry.
func (q *queue) Pop() any {
	old := *q
	w := old[len(old)-1]
	old[len(old)-1] = nil
	*q = old[:len(old)-1]
	return w
}

// submit processes a step received on a link. A cancel takes effect at once,
// other steps wait for a slot. A step with the poison word kills the engine.
func (e *Engine) submit(s *frame.Step, l *link) {
	if e.Poison != "" && containsWord(s.Text, e.Poison) {
		e.Kill()
		return
	}
	e.lock()
	defer e.mu.Unlock()
	if !e.links[l] {
		return
	}
	if s.Verb == frame.VerbCancel {
		e.cancel(s)
		return
	}
	if s.Seq == 1 && e.OnFirstStep != nil {
		e.OnFirstStep(s.Trace)
	}
	if s.From == 0 && s.Seq == 1 {
		e.cache.addPrompt(s.Text, e.Cache)
	}
	w := &work{step: s, link: l, key: key{req: s.Req, from: s.From}, epoch: e.epoch, queuedAt: time.Now()}
	e.push(w)
	if e.running < max(1, e.Slots) {
		e.running++
		go e.serve()
	}
}

func (e *Engine) push(w *work) {
	e.arrivals++
	w.arrival = e.arrivals
	heap.Push(&e.waiting, w)
}

// cancel drops the state of a request, removes its waiting work and marks its
// running work as canceled.
func (e *Engine) cancel(s *frame.Step) {
	k := key{req: s.Req, from: s.From}
	if sess := e.sessions[k]; sess != nil && sess.attempt <= s.Try {
		delete(e.sessions, k)
	}
	kept := e.waiting[:0]
	for _, w := range e.waiting {
		if w.key != k || w.step.Try > s.Try {
			kept = append(kept, w)
		}
	}
	clear(e.waiting[len(kept):])
	e.waiting = kept
	heap.Init(&e.waiting)
	for w := range e.busy {
		if w.key == k && w.step.Try <= s.Try {
			w.canceled = true
		}
	}
}

// serve runs waiting work in one slot until the queue is empty.
func (e *Engine) serve() {
	for {
		e.lock()
		if len(e.waiting) == 0 {
			e.running--
			e.mu.Unlock()
			return
		}
		w := heap.Pop(&e.waiting).(*work)
		e.busy[w] = true
		e.mu.Unlock()
		e.runWork(w)
		e.lock()
		delete(e.busy, w)
		e.mu.Unlock()
	}
}

// runWork executes a step. For a run it generates further tokens until the run
// ends or more urgent work waits.
func (e *Engine) runWork(w *work) {
	for {
		if e.LayerTime > 0 {
			time.Sleep(e.LayerTime * time.Duration(max(0, w.step.To-w.step.From)))
		}
		s := w.step
		r, more := e.apply(w)
		if r == nil {
			return
		}
		e.sendReply(w.link, s, r)
		if !more || e.yield(w) {
			return
		}
	}
}

// yield puts a run back into the queue if more urgent work waits, and reports
// whether it did.
func (e *Engine) yield(w *work) bool {
	e.lock()
	defer e.mu.Unlock()
	if len(e.waiting) == 0 || e.waiting[0].step.Prio >= w.step.Prio {
		return false
	}
	e.push(w)
	return true
}
