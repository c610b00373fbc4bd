package admit

import (
	"time"

	"fulmarwick/internal/base/hist"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// initialMargin is the margin until enough answers were seen.
	initialMargin = 1.1
	// minMargin is the lowest margin that is learned.
	minMargin = 0.9
	// maxMargin is the highest margin that is learned.
	maxMargin = 3.0
	// pastLengthWeight is the weight of the previous average in the average
	// answer length. A new answer has the weight 1.
	pastLengthWeight = 31
)

// Margin holds the factors by which predicted times are multiplied.
type Margin struct {
	First float64
	Token float64
}

// Margins learns for each class how far predictions are off and how long
// answers are. The margin is the quantile at the percentage of the class's
// target. A class that must meet its target for 99 of 100 requests gets a
// larger margin than one with 90.
type Margins struct {
	classes map[spec.ClassName]*classStats
}

type classStats struct {
	firstRatios, tokenRatios hist.Ratios
	lengthShare              float64
}

// RecordAnswer records a request that completed on its first chain.
func (m *Margins) RecordAnswer(r *domain.Request, ev domain.RequestFinished) {
	plan := r.Plan()
	if ev.Tokens < 1 || plan.FirstTokenTime <= 0 || plan.TokenTime <= 0 {
		return
	}
	c := m.statsOf(r.Arrival().Class)
	first := ev.FirstToken - (r.StartedAt() - r.ArrivedAt())
	c.firstRatios.Add(float64(first) / float64(plan.FirstTokenTime))
	if ev.Tokens > 1 {
		token := (ev.TotalTime - ev.FirstToken) / time.Duration(ev.Tokens-1)
		c.tokenRatios.Add(float64(token) / float64(plan.TokenTime))
	}
	share := float64(ev.Tokens) / float64(max(1, r.Arrival().MaxTokens))
	c.lengthShare = (pastLengthWeight*c.lengthShare + share) / (pastLengthWeight + 1)
}

// ForClass returns the margin of a class.
func (m *Margins) ForClass(class spec.Class) Margin {
	c := m.classes[class.Name()]
	if c == nil {
		return Margin{First: initialMargin, Token: initialMargin}
	}
	percent := class.Target().Percent()
	return Margin{First: learnedMargin(&c.firstRatios, percent), Token: learnedMargin(&c.tokenRatios, percent)}
}

// ExpectedTokens returns how many tokens the request is expected to generate.
func (m *Margins) ExpectedTokens(r *domain.Request) int {
	limit := r.Arrival().MaxTokens
	c := m.classes[r.Arrival().Class]
	if c == nil {
		return max(1, limit)
	}
	return max(1, int(c.lengthShare*float64(limit)))
}

// RetainClasses discards what was learned for classes that are not in the current
// configuration.
func (m *Margins) RetainClasses(classes []spec.Class) {
	kept := map[spec.ClassName]*classStats{}
	for _, c := range classes {
		if r := m.classes[c.Name()]; r != nil {
			kept[c.Name()] = r
		}
	}
	m.classes = kept
}

func (m *Margins) statsOf(class spec.ClassName) *classStats {
	if m.classes == nil {
		m.classes = map[spec.ClassName]*classStats{}
	}
	c := m.classes[class]
	if c == nil {
		c = &classStats{lengthShare: 1}
		m.classes[class] = c
	}
	return c
}

func learnedMargin(r *hist.Ratios, percent float64) float64 {
	if ratio, ok := r.Percentile(percent); ok {
		return min(max(minMargin, ratio), maxMargin)
	}
	return initialMargin
}
