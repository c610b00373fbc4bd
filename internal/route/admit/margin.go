package admit

import (
	"time"

	"fulmarwick/internal/base/hist"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	// startWith is the margin while too little was seen; leastBy and mostBy
	// bound what is learnt.
	startWith = 1.1
	leastBy   = 0.9
	mostBy    = 3.0
	// lengthWeight is the weight of the past in the usual length.
	lengthWeight = 31
)

// Margin is what predictions are multiplied with.
type Margin struct {
	First float64
	Token float64
}

// Margins learns per class how far predictions were off, and how long answers
// are. The quantile that is read is the percentage of the class's target: a
// class that must hold for 99 of 100 gets more slack than one for 90.
type Margins struct {
	classes map[spec.ClassName]*record
}

type record struct {
	first, token hist.Ratios
	length       float64
}

// Saw notes a request that ran to its end on its first chain.
func (s *Margins) Saw(r *world.Request, ev world.Finished) {
	plan := r.Plan()
	if ev.Tokens < 1 || plan.First <= 0 || plan.Token <= 0 {
		return
	}
	c := s.get(r.Arrived().Class)
	first := ev.First - (r.Started() - r.At())
	c.first.Add(float64(first) / float64(plan.First))
	if ev.Tokens > 1 {
		token := (ev.Whole - ev.First) / time.Duration(ev.Tokens-1)
		c.token.Add(float64(token) / float64(plan.Token))
	}
	part := float64(ev.Tokens) / float64(max(1, r.Arrived().Limit))
	c.length = (lengthWeight*c.length + part) / (lengthWeight + 1)
}

// Of is the margin of a class.
func (s *Margins) Of(class spec.Class) Margin {
	c := s.classes[class.Name()]
	if c == nil {
		return Margin{First: startWith, Token: startWith}
	}
	percent := class.Target().Percent()
	return Margin{First: slack(&c.first, percent), Token: slack(&c.token, percent)}
}

// Length is how many tokens the request is expected to make.
func (s *Margins) Length(r *world.Request) int {
	limit := r.Arrived().Limit
	c := s.classes[r.Arrived().Class]
	if c == nil {
		return max(1, limit)
	}
	return max(1, int(c.length*float64(limit)))
}

// Keep drops what was learnt for classes that are no longer in force.
func (s *Margins) Keep(classes []spec.Class) {
	kept := map[spec.ClassName]*record{}
	for _, c := range classes {
		if r := s.classes[c.Name()]; r != nil {
			kept[c.Name()] = r
		}
	}
	s.classes = kept
}

func (s *Margins) get(class spec.ClassName) *record {
	if s.classes == nil {
		s.classes = map[spec.ClassName]*record{}
	}
	c := s.classes[class]
	if c == nil {
		c = &record{length: 1}
		s.classes[class] = c
	}
	return c
}

func slack(r *hist.Ratios, percent float64) float64 {
	if ratio, ok := r.Percentile(percent); ok {
		return min(max(leastBy, ratio), mostBy)
	}
	return startWith
}
