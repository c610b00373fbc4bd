package path

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Mend returns the chain with the engines that must go replaced, the others
// as they are: they keep what they read. The first engine cannot be replaced.
func (t *Table) Mend(now time.Duration, c spec.Chain, n Need, bad func(spec.UpstreamID) bool) (spec.Chain, error) {
	if len(c) == 0 || bad(c[0].Engine()) {
		return nil, ErrNone
	}
	var out spec.Chain
	for i := 0; i < len(c); {
		if !bad(c[i].Engine()) {
			out = append(out, c[i])
			i++
			continue
		}
		end := i
		for end < len(c) && bad(c[end].Engine()) {
			end++
		}
		part, err := t.Find(t.gap(now, c, n, i, end, bad))
		if err != nil {
			return nil, err
		}
		out = append(out, part...)
		i = end
	}
	return out, nil
}

// gap is the question for what replaces the stages from i to end of a chain.
func (t *Table) gap(now time.Duration, c spec.Chain, n Need, i, end int, bad func(spec.UpstreamID) bool) Ask {
	a := Ask{Need: n, Now: now, From: c[i].Layers().From(), To: c[end-1].Layers().To()}
	a.Before = t.centre(c[i-1].Engine())
	a.After = t.Centre
	if end < len(c) {
		a.After = t.centre(c[end].Engine())
	}
	a.Avoid = func(id spec.UpstreamID) bool { return bad(id) || c.Uses(id) }
	return a
}

func (t *Table) centre(id spec.UpstreamID) spec.DataCentre {
	if e := t.byID[id]; e != nil {
		return e.up.Centre
	}
	return t.Centre
}
