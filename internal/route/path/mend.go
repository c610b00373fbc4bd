package path

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Repair returns the chain with the engines that must go replaced, the others
// as they are: they keep what they read. The first engine cannot be replaced.
func (t *Table) Repair(now time.Duration, c spec.Chain, n Demand, bad func(spec.UpstreamID) bool) (spec.Chain, error) {
	if len(c) == 0 || bad(c[0].Engine()) {
		return nil, ErrNoPath
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
		part, err := t.Find(t.gapQuery(now, c, n, i, end, bad))
		if err != nil {
			return nil, err
		}
		out = append(out, part...)
		i = end
	}
	return out, nil
}

// gapQuery is the question for what replaces the stages from i to end of a chain.
func (t *Table) gapQuery(now time.Duration, c spec.Chain, n Demand, i, end int, bad func(spec.UpstreamID) bool) Query {
	a := Query{Demand: n, Now: now, From: c[i].Layers().From(), To: c[end-1].Layers().To()}
	a.CentreBefore = t.centreOf(c[i-1].Engine())
	a.CentreAfter = t.Centre
	if end < len(c) {
		a.CentreAfter = t.centreOf(c[end].Engine())
	}
	a.Avoid = func(id spec.UpstreamID) bool { return bad(id) || c.Uses(id) }
	return a
}

func (t *Table) centreOf(id spec.UpstreamID) spec.DataCentre {
	if e := t.byID[id]; e != nil {
		return e.upstream.Centre
	}
	return t.Centre
}
