package stage

import (
	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/fakes/layer"
)

// runStep runs the inputs of s through the layers of the session.
func (e *Engine) runStep(sess *session, s *frame.Step) *frame.Reply {
	inputs, ok := sess.inputs(s)
	if !ok || len(inputs) == 0 {
		return failure(s, frame.CodeGap, "step has no valid input for this range")
	}
	r := &frame.Reply{Req: s.Req, Try: s.Try, Seq: s.Seq, From: s.From, Pos: sess.kv.Pos()}
	var last uint64
	for _, h := range inputs {
		last = sess.kv.Run(h)
		if sess.to != sess.depth {
			r.Hidden = append(r.Hidden, layer.Encode(last))
		}
	}
	e.layerRuns.Add(int64(len(inputs) * (s.To - s.From)))
	r.Next = sess.kv.Pos()
	r.Left = max(0, len(sess.prompt)-r.Next)
	if sess.to == sess.depth {
		setToken(r, layer.Pick(last))
	}
	return r
}

// setToken sets the generated token and its text. Token zero ends the answer.
func setToken(r *frame.Reply, token uint32) {
	r.Token = token
	r.Last = token == 0
	if !r.Last {
		r.Text = layer.Word(token)
	}
}

// inputs returns the hidden values that the step feeds into the range. The
// second result is false if they are not valid.
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
	for _, token := range tokens {
		out = append(out, layer.Embed(token))
	}
	for _, token := range step.Tokens {
		out = append(out, layer.Embed(token))
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
