package admit

import (
	"time"

	"fulmarwick/internal/base/hist"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// initialMargin is the margin while too little was seen; leastBy and mostBy
	// bound what is learnt.
	initialMargin = 1.1
	minMargin     = 0.9
	maxMargin     = 3.0
	// pastLengthWeight is the weight of the past in the usual length.
	pastLengthWeight = 31
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
	classes map[spec.ClassName]*classStats
}

type classStats struct {
	firstRatios, tokenRatios hist.Ratios
	lengthShare              float64
}

// RecordAnswer notes a request that ran to its end on its first chain.
func (s *Margins) RecordAnswer(r *domain.Request, ev domain.RequestFinished) {
	plan := r.Plan()
	if ev.Tokens < 1 || plan.FirstTokenTime <= 0 || plan.TokenTime <= 0 {
		return
	}
	c := s.statsOf(r.Arrival().Class)
	first := ev.FirstToken - (r.StartedAt() - r.ArrivedAt())
	c.firstRatios.Add(float64(first) / float64(plan.FirstTokenTime))
	if ev.Tokens > 1 {
		token := (ev.TotalTime - ev.FirstToken) / time.Duration(ev.Tokens-1)
		c.tokenRatios.Add(float64(token) / float64(plan.TokenTime))
	}
	part := float64(ev.Tokens) / float64(max(1, r.Arrival().MaxTokens))
	c.lengthShare = (pastLengthWeight*c.lengthShare + part) / (pastLengthWeight + 1)
}

// ForClass is the margin of a class.
func (s *Margins) ForClass(class spec.Class) Margin {
	c := s.classes[class.Name()]
	if c == nil {
		return Margin{First: initialMargin, Token: initialMargin}
	}
	percent := class.Target().Percent()
	return Margin{First: learnedMargin(&c.firstRatios, percent), Token: learnedMargin(&c.tokenRatios, percent)}
}

// ExpectedTokens is how many tokens the request is expected to make.
func (s *Margins) ExpectedTokens(r *domain.Request) int {
	limit := r.Arrival().MaxTokens
	c := s.classes[r.Arrival().Class]
	if c == nil {
		return max(1, limit)
	}
	return max(1, int(c.lengthShare*float64(limit)))
}

// KeepClasses drops what was learnt for classes that are no longer in force.
func (s *Margins) KeepClasses(classes []spec.Class) {
	kept := map[spec.ClassName]*classStats{}
	for _, c := range classes {
		if r := s.classes[c.Name()]; r != nil {
			kept[c.Name()] = r
		}
	}
	s.classes = kept
}

func (s *Margins) statsOf(class spec.ClassName) *classStats {
	if s.classes == nil {
		s.classes = map[spec.ClassName]*classStats{}
	}
	c := s.classes[class]
	if c == nil {
		c = &classStats{lengthShare: 1}
		s.classes[class] = c
	}
	return c
}

func learnedMargin(r *hist.Ratios, percent float64) float64 {
	if ratio, ok := r.Percentile(percent); ok {
		return min(max(minMargin, ratio), maxMargin)
	}
	return initialMargin
}
