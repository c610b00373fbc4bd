package stage

import (
	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/layer"
)

// runStep puts the inputs of s through the range.
func (e *Engine) runStep(ses *session, s *frame.Step) *frame.Reply {
	inputs, ok := ses.inputs(s)
	if !ok || len(inputs) == 0 {
		return failure(s, frame.CodeGap, "no input that this range can read")
	}
	r := &frame.Reply{Req: s.Req, Try: s.Try, Seq: s.Seq, From: s.From, Pos: ses.kv.Pos()}
	var last uint64
	for _, h := range inputs {
		last = ses.kv.Run(h)
		if ses.to != ses.depth {
			r.Hidden = append(r.Hidden, layer.Encode(last))
		}
	}
	e.layerRuns.Add(int64(len(inputs) * (s.To - s.From)))
	r.Next = ses.kv.Pos()
	r.Left = max(0, len(ses.prompt)-r.Next)
	if ses.to == ses.depth {
		setToken(r, layer.Pick(last))
	}
	return r
}

func setToken(r *frame.Reply, token uint32) {
	r.Token = token
	r.Last = token == 0
	if !r.Last {
		r.Text = layer.Word(token)
	}
}

// inputs are the hidden values before the range that the step is to run.
func (s *session) inputs(step *frame.Step) ([]uint64, bool) {
	if step.From > 0 {
		return decode(step.Hidden)
	}
	if step.Seq == 1 && (step.Pos == 0 || step.Text != "") {
		s.prompt = layer.Split(step.Text)
	}
	var tokens []uint32
	if pos := s.kv.Pos(); pos < len(s.prompt) {
		tokens = s.prompt[pos:]
		if step.Verb == frame.VerbStep && step.Count > 0 {
			tokens = tokens[:min(len(tokens), step.Count)]
		}
		if pos+len(tokens) < len(s.prompt) && len(step.Tokens) > 0 {
			return nil, false
		}
	}
	var out []uint64
	for _, t := range tokens {
		out = append(out, layer.Embed(t))
	}
	for _, t := range step.Tokens {
		out = append(out, layer.Embed(t))
	}
	return out, true
}

func decode(values [][]byte) ([]uint64, bool) {
	var out []uint64
	for _, b := range values {
		h, ok := layer.Decode(b)
		if !ok {
			return nil, false
		}
		out = append(out, h)
	}
	return out, true
}
