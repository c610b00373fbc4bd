package path

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Repair returns the chain with the bad engines replaced. The others stay as they are
// and keep what they have read. The first engine can't be replaced.
func (t *Table) Repair(now time.Duration, c spec.Chain, d Demand, bad func(spec.UpstreamID) bool) (spec.Chain, error) {
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
		part, err := t.Find(t.gapQuery(now, c, d, i, end, bad))
		if err != nil {
			return nil, err
		}
		out = append(out, part...)
		i = end
	}
	return out, nil
}

// gapQuery returns the query for engines that replace the stages [start, end) of a
// chain.
func (t *Table) gapQuery(now time.Duration, c spec.Chain, d Demand, start, end int, bad func(spec.UpstreamID) bool) Query {
	q := Query{Demand: d, Now: now, From: c[start].Layers().From(), To: c[end-1].Layers().To()}
	q.CentreBefore = t.centreOf(c[start-1].Engine())
	q.CentreAfter = t.Centre
	if end < len(c) {
		q.CentreAfter = t.centreOf(c[end].Engine())
	}
	q.Avoid = func(id spec.UpstreamID) bool { return bad(id) || c.Uses(id) }
	return q
}

func (t *Table) centreOf(id spec.UpstreamID) spec.DataCentre {
	if e := t.byID[id]; e != nil {
		return e.upstream.Centre
	}
	return t.Centre
}
