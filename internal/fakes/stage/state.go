package stage

import (
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
	try   uint32
	seq   uint64
	to    int
	depth int
	kv    *layer.State
	last  *frame.Reply
}

// step checks the numbers of s and runs it at most once.
func (e *Engine) step(s *frame.Step) *frame.Reply {
	e.mu.Lock()
	defer e.mu.Unlock()
	ses, code := e.session(s)
	if code != frame.CodeOK {
		return fail(s, code, "")
	}
	if s.Seq == ses.seq && ses.last != nil {
		return ses.last
	}
	if s.Seq != ses.seq+1 || s.Pos != ses.kv.Pos() {
		return fail(s, frame.CodeGap, "step or position out of order")
	}
	r := run(ses, s)
	if r.Code == frame.CodeOK {
		ses.seq = s.Seq
		ses.last = r
	}
	return r
}

func (e *Engine) session(s *frame.Step) (*session, frame.Code) {
	k := key{req: s.Req, from: s.From}
	ses := e.sessions[k]
	if ses != nil && s.Try < ses.try {
		return nil, frame.CodeStale
	}
	if ses != nil && s.Try == ses.try {
		if ses.to != s.To {
			return nil, frame.CodeRange
		}
		return ses, frame.CodeOK
	}
	if s.Seq != 1 {
		return nil, frame.CodeGap
	}
	depth, ok := e.holds(s)
	if !ok {
		return nil, frame.CodeRange
	}
	ses = &session{try: s.Try, to: s.To, depth: depth, kv: layer.NewState(s.From, s.To)}
	e.sessions[k] = ses
	return ses, frame.CodeOK
}

func (e *Engine) holds(s *frame.Step) (depth int, ok bool) {
	for _, h := range e.Holds {
		if h.Model == s.Model && h.From <= s.From && s.From < s.To && s.To <= h.To {
			return h.Depth, true
		}
	}
	return 0, false
}

// run puts the inputs of s through the range.
func run(ses *session, s *frame.Step) *frame.Reply {
	inputs, ok := hiddens(s)
	if !ok || len(inputs) == 0 {
		return fail(s, frame.CodeGap, "no input that this range can read")
	}
	r := &frame.Reply{Req: s.Req, Try: s.Try, Seq: s.Seq, From: s.From, Pos: ses.kv.Pos()}
	var last uint64
	for _, h := range inputs {
		last = ses.kv.Run(h)
		if ses.to != ses.depth {
			r.Hidden = append(r.Hidden, layer.Encode(last))
		}
	}
	if ses.to == ses.depth {
		name(r, last)
	}
	return r
}

func name(r *frame.Reply, hidden uint64) {
	r.Token = layer.Pick(hidden)
	r.Last = r.Token == 0
	if !r.Last {
		r.Text = layer.Word(r.Token)
	}
}

func hiddens(s *frame.Step) ([]uint64, bool) {
	var out []uint64
	if s.From > 0 {
		for _, b := range s.Hidden {
			h, ok := layer.Decode(b)
			if !ok {
				return nil, false
			}
			out = append(out, h)
		}
		return out, true
	}
	if s.Seq == 1 {
		for _, t := range layer.Split(s.Text) {
			out = append(out, layer.Embed(t))
		}
	}
	for _, t := range s.Tokens {
		out = append(out, layer.Embed(t))
	}
	return out, true
}

func fail(s *frame.Step, code frame.Code, why string) *frame.Reply {
	return &frame.Reply{Req: s.Req, Try: s.Try, Seq: s.Seq, From: s.From, Code: code, Why: why}
}
