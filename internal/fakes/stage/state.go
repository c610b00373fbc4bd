package stage

import (
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/layer"
)

// key identifies a session: a request and the first layer of its range.
type key struct {
	req  string
	from int
}

// session is the state that this engine keeps for one range of layers of a
// request.
type session struct {
	attempt uint32
	seq     uint64
	to      int
	depth   int
	model   string
	kv      *layer.State
	// prompt holds all tokens of the prompt, including those not processed yet.
	prompt []uint32
	// lastReply is sent again if the last step is repeated.
	lastReply *frame.Reply
	// tokens are the generated tokens of a run up to seq. A run whose replies
	// were lost can be resumed from any of them.
	tokens []uint32
	// run is the work that currently runs this session. A later run replaces it.
	run  *work
	link *link
	// orphaned is when the connection broke; zero while it is open.
	orphaned time.Time
	lastUsed time.Time
}

// apply checks the sequence numbers of the step of w and runs it at most once.
// It returns nil if the reply is no longer needed. The second result reports
// whether w has further steps.
func (e *Engine) apply(w *work) (*frame.Reply, bool) {
	e.lock()
	defer e.mu.Unlock()
	if w.canceled || w.epoch != e.epoch {
		return nil, false
	}
	s := w.step
	sess, code := e.session(s)
	if code != frame.CodeOK {
		return failure(s, code, ""), false
	}
	if w.index == 0 {
		sess.run = w
	}
	if s.Verb == frame.VerbRun && sess.run != w {
		return nil, false
	}
	e.touch(sess, w.link)
	if s.Verb == frame.VerbRun && !e.links[w.link] {
		return nil, false
	}
	r := e.applyStep(sess, s)
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

// touch assigns a session to the link of its latest step and records its use.
func (e *Engine) touch(sess *session, l *link) {
	sess.link, sess.orphaned, sess.lastUsed = l, time.Time{}, time.Now()
	if !e.links[l] {
		sess.orphaned = sess.lastUsed
	}
}

// advance numbers the reply of a run and prepares the next step. It reports
// whether there is one.
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
	next := *w.step
	next.Seq++
	next.Pos = r.Next
	next.Text = ""
	next.Tokens = []uint32{r.Token}
	w.step = &next
	return true
}

// applyStep runs a step if it is the next one, or replays the reply of an
// earlier one.
func (e *Engine) applyStep(sess *session, s *frame.Step) *frame.Reply {
	if r := sess.replay(s); r != nil {
		return r
	}
	if s.Seq != sess.seq+1 || s.Pos != sess.kv.Pos() {
		return failure(s, frame.CodeGap, "step or position out of order")
	}
	r := e.runStep(sess, s)
	if r.Code == frame.CodeOK {
		sess.seq = s.Seq
		sess.lastReply = r
		if s.Verb == frame.VerbRun {
			sess.tokens = append(sess.tokens, r.Token)
		}
	}
	return r
}

// replay returns the reply of a step that has already run, or nil if there is
// none.
func (s *session) replay(step *frame.Step) *frame.Reply {
	if step.Seq == s.seq && s.lastReply != nil {
		return s.lastReply
	}
	offset := s.seq - step.Seq
	if step.Verb != frame.VerbRun || step.Seq > s.seq || offset >= uint64(len(s.tokens)) {
		return nil
	}
	next := s.kv.Pos() - int(offset)
	r := &frame.Reply{Req: step.Req, Try: step.Try, Seq: step.Seq, From: step.From, Pos: step.Pos, Next: next}
	setToken(r, s.tokens[len(s.tokens)-1-int(offset)])
	return r
}

// session returns the session of a step. The first step of an attempt creates
// it; the steps of older attempts are refused.
func (e *Engine) session(s *frame.Step) (*session, frame.Code) {
	k := key{req: s.Req, from: s.From}
	sess := e.sessions[k]
	if sess != nil && s.Try < sess.attempt {
		return nil, frame.CodeStale
	}
	if sess != nil && s.Try == sess.attempt {
		if sess.to != s.To {
			return nil, frame.CodeRange
		}
		return sess, frame.CodeOK
	}
	if s.Seq != 1 {
		return nil, frame.CodeGap
	}
	if e.leaving.Load() {
		return nil, frame.CodeLeaving
	}
	depth, ok := e.findLoaded(s.Model, s.From, s.To)
	if !ok {
		return nil, frame.CodeRange
	}
	if s.Verb == frame.VerbRun && (s.From != 0 || s.To != depth) {
		return nil, frame.CodeRange
	}
	e.expire()
	sess = &session{attempt: s.Try, to: s.To, depth: depth, model: s.Model, kv: layer.NewState(s.From, s.To)}
	e.sessions[k] = sess
	return sess, frame.CodeOK
}

// findLoaded returns the depth of a model if the engine has the range loaded.
func (e *Engine) findLoaded(model string, from, to int) (depth int, ok bool) {
	for _, h := range e.loaded {
		if h.Model == model && h.From <= from && from < to && to <= h.To {
			return h.Depth, true
		}
	}
	return 0, false
}

// orphan starts the grace period for the sessions of a broken link.
func (e *Engine) orphan(l *link) {
	e.lock()
	defer e.mu.Unlock()
	delete(e.links, l)
	now := time.Now()
	for _, sess := range e.sessions {
		if sess.link == l {
			sess.orphaned = now
		}
	}
	time.AfterFunc(e.grace(), func() {
		e.lock()
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

// expire drops the sessions that are past the grace period or unused for Idle.
func (e *Engine) expire() {
	now := time.Now()
	for k, sess := range e.sessions {
		lost := !sess.orphaned.IsZero() && now.Sub(sess.orphaned) >= e.grace()
		idle := e.Idle > 0 && now.Sub(sess.lastUsed) >= e.Idle
		if lost || idle {
			delete(e.sessions, k)
		}
	}
}

func failure(s *frame.Step, code frame.Code, why string) *frame.Reply {
	return &frame.Reply{Req: s.Req, Try: s.Try, Seq: s.Seq, From: s.From, Code: code, Reason: why}
}
