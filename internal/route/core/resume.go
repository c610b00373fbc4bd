package core

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/pick"
	"fulmarwick/internal/route/poison"
	"fulmarwick/internal/route/world"
)

const (
	// resumeLimit is how full an engine may be for a request that runs
	// already: its work only moves, and refusing it would waste what is done.
	resumeLimit = 2.0
	// coverWait is how long a request that runs already waits for engines
	// that cover its model to come back.
	coverWait = 10 * time.Second
	// soloWait is how long a suspect may wait for an engine of its own.
	soloWait = 60 * time.Second
	// mineWait is how long a suspect waits for an engine of this instance's
	// part before it takes any without a suspect of this instance.
	mineWait = 1500 * time.Millisecond
)

// held is a request that waits for an engine that may run it, ahead of the
// queues.
type held struct {
	request *world.Request
	since   time.Duration
}

// resume decides on a request that ran before, here or at another instance,
// or that is a suspect.
func (l *Logic) resume(r *world.Request) {
	w := &l.world
	if r.Attempt() > 0 && !l.budget.Allow(r) {
		w.Refuse(r, world.ReasonRetries, l.retryAfter(r))
		return
	}
	h := &held{request: r, since: w.Now()}
	if !l.place(h) {
		l.held = append(l.held, h)
	}
}

func (l *Logic) retryAfter(r *world.Request) time.Duration {
	return max(time.Second, r.Plan().First)
}

func (l *Logic) runHeld() {
	if len(l.held) == 0 {
		return
	}
	waiting := l.held
	l.held = nil
	for _, h := range waiting {
		if !h.request.Gone() && !l.place(h) {
			l.held = append(l.held, h)
		}
	}
}

// place settles the request, or reports false if it must wait.
func (l *Logic) place(h *held) bool {
	w := &l.world
	r := h.request
	ask := pick.Ask{Limit: resumeLimit, Out: l.left(r)}
	waited := w.Now() - h.since
	verdict := l.book.Judge(w.Now(), r)
	switch verdict {
	case poison.VerdictGuilty:
		w.Refuse(r, world.ReasonPoison, 0)
		return true
	case poison.VerdictWait:
		return l.outOfTime(r, waited, soloWait)
	case poison.VerdictSolo:
		ask.Solo = l.solo(r, waited < mineWait+poison.Hold(r))
	}
	choice, ok := l.Pick.Choose(w, r, ask)
	if !ok && verdict == poison.VerdictSolo {
		return l.outOfTime(r, waited, soloWait)
	}
	if !ok {
		return l.uncovered(r, waited)
	}
	l.start(r, choice)
	if verdict == poison.VerdictSolo {
		l.book.Try(w.Now(), r, choice.Plan.Fresh)
	}
	return true
}

// uncovered settles a request whose model no engines cover here, or reports
// false if it waits for them to come back.
func (l *Logic) uncovered(r *world.Request, waited time.Duration) bool {
	// A request that its caller resumes here has nothing running here. Without
	// this a data centre without engines of the model, whose answers all come
	// from others, could resume none of them.
	if c := l.elsewhere(r, 0); c != nil {
		l.world.Forward(r, c.Instance())
		return true
	}
	most := coverWait
	if r.Arrived().Hops > 0 {
		// One that was forwarded here can go elsewhere sooner than engines
		// return.
		most = 0
	}
	return l.outOfTime(r, waited, most)
}

func (l *Logic) outOfTime(r *world.Request, waited, most time.Duration) bool {
	if waited < most {
		return false
	}
	l.world.Refuse(r, world.ReasonNoEngine, coverRetry)
	return true
}

func (l *Logic) left(r *world.Request) int {
	return max(1, l.margins.Length(r)-r.Tokens())
}

// solo says where a suspect may run: where no other suspect of this instance
// is on probation, and on this instance's part of the engines, so that two
// instances do not try suspects on the same engine at once.
func (l *Logic) solo(r *world.Request, part bool) func(spec.UpstreamID) bool {
	if !part {
		return func(engine spec.UpstreamID) bool { return l.book.Solo(engine, r) }
	}
	mine := l.mine(r.Arrived().Model)
	return func(engine spec.UpstreamID) bool { return mine[engine] && l.book.Solo(engine, r) }
}

// mine deals the engines of each range of a model out among the instances
// known, in the order of their names, engines that are down included: so all
// instances deal alike while an engine's death spreads.
func (l *Logic) mine(model spec.ModelName) map[spec.UpstreamID]bool {
	ids := append([]spec.InstanceID{l.ID}, l.world.Peers()...)
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	own := sort.Search(len(ids), func(i int) bool { return ids[i] >= l.ID })
	dealt := map[spec.Layers]int{}
	out := map[spec.UpstreamID]bool{}
	for _, e := range l.world.Engines().Rows() {
		for _, h := range e.Holds {
			if h.Model != model {
				continue
			}
			if dealt[h.Layers]%len(ids) == own {
				out[e.ID] = true
			}
			dealt[h.Layers]++
		}
	}
	return out
}
