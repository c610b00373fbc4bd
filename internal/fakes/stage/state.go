package stage

import (
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/layer"
)

// key names one cached state of the engine.
type key struct {
	req  string
	from int
}

// session is the state of one request's range on this engine.
type session struct {
	attempt uint32
	seq     uint64
	to      int
	depth   int
	model   string
	kv      *layer.State
	// prompt is the tokens of the prompt, run or not.
	prompt []uint32
	// lastReply answers a repeat of the last step.
	lastReply *frame.Reply
	// tokens are the tokens of the steps up to seq, so that a run whose replies
	// were lost can be asked for again from any of them.
	tokens []uint32
	// run is the work that runs this state now; a later one takes its place.
	run  *work
	link *link
	// orphaned is when the connection broke; zero while it stands.
	orphaned time.Time
	lastUsed time.Time
}

// apply checks the numbers of the step of w and runs it at most once. It
// returns no reply if nobody waits for it any more, and whether w goes on.
func (e *Engine) apply(w *work) (*frame.Reply, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if w.canceled || w.epoch != e.epoch {
		return nil, false
	}
	s := w.step
	ses, code := e.session(s)
	if code != frame.CodeOK {
		return failure(s, code, ""), false
	}
	if w.index == 0 {
		ses.run = w
	}
	if s.Verb == frame.VerbRun && ses.run != w {
		return nil, false
	}
	e.touch(ses, w.link)
	if s.Verb == frame.VerbRun && !e.links[w.link] {
		return nil, false
	}
	r := e.applyStep(ses, s)
	out := *r
	out.Took = time.Since(w.queuedAt).Microseconds()
	if s.Verb != frame.VerbRun || r.Code != frame.CodeOK {
		if out.Last {
			out.End, out.Total = true, out.Next
		}
		return &out, false
	}
	return &out, w.advance(&out)
}

func (e *Engine) touch(ses *session, l *link) {
	ses.link, ses.orphaned, ses.lastUsed = l, time.Time{}, time.Now()
	if !e.links[l] {
		ses.orphaned = ses.lastUsed
	}
}

// advance numbers the reply of a run and sets the next step.
func (w *work) advance(r *frame.Reply) bool {
	r.Index = w.index
	w.index++
	r.End = r.Last || w.index >= w.step.Count
	if r.End {
		r.Total = w.index
		if r.Last {
			r.Total--
		}
		return false
	}
	n := *w.step
	n.Seq++
	n.Pos = r.Next
	n.Text = ""
	n.Tokens = []uint32{r.Token}
	w.step = &n
	return true
}

func (e *Engine) applyStep(ses *session, s *frame.Step) *frame.Reply {
	if r := ses.replay(s); r != nil {
		return r
	}
	if s.Seq != ses.seq+1 || s.Pos != ses.kv.Pos() {
		return failure(s, frame.CodeGap, "step or position out of order")
	}
	r := e.runStep(ses, s)
	if r.Code == frame.CodeOK {
		ses.seq = s.Seq
		ses.lastReply = r
		if s.Verb == frame.VerbRun {
			ses.tokens = append(ses.tokens, r.Token)
		}
	}
	return r
}

// replay answers a step that was done already.
func (s *session) replay(step *frame.Step) *frame.Reply {
	if step.Seq == s.seq && s.lastReply != nil {
		return s.lastReply
	}
	back := s.seq - step.Seq
	if step.Verb != frame.VerbRun || step.Seq > s.seq || back >= uint64(len(s.tokens)) {
		return nil
	}
	next := s.kv.Pos() - int(back)
	r := &frame.Reply{Req: step.Req, Try: step.Try, Seq: step.Seq, From: step.From, Pos: step.Pos, Next: next}
	setToken(r, s.tokens[len(s.tokens)-1-int(back)])
	return r
}

func (e *Engine) session(s *frame.Step) (*session, frame.Code) {
	k := key{req: s.Req, from: s.From}
	ses := e.sessions[k]
	if ses != nil && s.Try < ses.attempt {
		return nil, frame.CodeStale
	}
	if ses != nil && s.Try == ses.attempt {
		if ses.to != s.To {
			return nil, frame.CodeRange
		}
		return ses, frame.CodeOK
	}
	if s.Seq != 1 {
		return nil, frame.CodeGap
	}
	if e.leaving.Load() {
		return nil, frame.CodeLeave
	}
	depth, ok := e.findLoaded(s.Model, s.From, s.To)
	if !ok {
		return nil, frame.CodeRange
	}
	if s.Verb == frame.VerbRun && (s.From != 0 || s.To != depth) {
		return nil, frame.CodeRange
	}
	e.expire()
	ses = &session{attempt: s.Try, to: s.To, depth: depth, model: s.Model, kv: layer.NewState(s.From, s.To)}
	e.sessions[k] = ses
	return ses, frame.CodeOK
}

func (e *Engine) findLoaded(model string, from, to int) (depth int, ok bool) {
	for _, h := range e.loaded {
		if h.Model == model && h.From <= from && from < to && to <= h.To {
			return h.Depth, true
		}
	}
	return 0, false
}

// orphan starts the grace time of the states of a link that broke.
func (e *Engine) orphan(l *link) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.links, l)
	now := time.Now()
	for _, ses := range e.sessions {
		if ses.link == l {
			ses.orphaned = now
		}
	}
	time.AfterFunc(e.grace(), func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.expire()
	})
}

func (e *Engine) grace() time.Duration {
	if e.Grace == 0 {
		return defaultGrace
	}
	return e.Grace
}

// expire drops the states that nobody came back for.
func (e *Engine) expire() {
	now := time.Now()
	for k, ses := range e.sessions {
		lost := !ses.orphaned.IsZero() && now.Sub(ses.orphaned) >= e.grace()
		idle := e.Idle > 0 && now.Sub(ses.lastUsed) >= e.Idle
		if lost || idle {
			delete(e.sessions, k)
		}
	}
}

func failure(s *frame.Step, code frame.Code, why string) *frame.Reply {
	return &frame.Reply{Req: s.Req, Try: s.Try, Seq: s.Seq, From: s.From, Code: code, Why: why}
}
