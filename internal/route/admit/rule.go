package admit

import (
	"math"
	"time"
)

// Flow is what a team asked for in past bins of equal length, in tokens.
type Flow struct {
	Bins []float64
	// BinWidth is the length of a bin.
	BinWidth time.Duration
}

// MeanRate is the mean tokens a second.
func (f Flow) MeanRate() float64 {
	sum := 0.0
	for _, b := range f.Bins {
		sum += b
	}
	return sum / (float64(len(f.Bins)) * f.BinWidth.Seconds())
}

// Rule admits whole teams, as contracts would: it says how many of flows, in
// order, may share rate tokens a second with delays of at most limit for
// percent of 100. It is here for comparison with the decision per request; see
// docs/notes/admission.md for the figures.
type Rule interface {
	AdmitCount(flows []Flow, rate float64, limit time.Duration, percent float64) int
}

// Headroom admits while the sum of means leaves a part of the rate free.
type Headroom struct {
	// FreeShare is the part that stays free, 0 to 1.
	FreeShare float64
}

// AdmitCount implements Rule.
func (h Headroom) AdmitCount(flows []Flow, rate float64, _ time.Duration, _ float64) int {
	sum := 0.0
	for i, f := range flows {
		sum += f.MeanRate()
		if sum > (1-h.FreeShare)*rate {
			return i
		}
	}
	return len(flows)
}

// WorstCase admits while the sum of the largest bursts can be served within the
// limit, as a deterministic network calculus would: all teams may burst at
// once.
type WorstCase struct{}

// AdmitCount implements Rule.
func (WorstCase) AdmitCount(flows []Flow, rate float64, limit time.Duration, _ float64) int {
	mean, burst := 0.0, 0.0
	for i, f := range flows {
		mean += f.MeanRate()
		burst += maxBacklog(f, f.MeanRate())
		if mean > rate || burst > rate*limit.Seconds() {
			return i
		}
	}
	return len(flows)
}

// maxBacklog is the largest burst of a flow above a rate: how far a queue served
// at it would grow.
func maxBacklog(f Flow, rate float64) float64 {
	queue, most := 0.0, 0.0
	for _, b := range f.Bins {
		queue = max(0, queue+b-rate*f.BinWidth.Seconds())
		most = max(most, queue)
	}
	return most
}

// StochasticBound admits while a stochastic bound on the delay of the sum of independent
// bursty flows holds. It follows SNC-Meister (Zhu, Berger, Harchol-Balter,
// SoCC 2016, sections 3.2 and 4.3): each flow is a Markov modulated process of
// a low and a high phase, fitted to its past. With transitions Q and the
// moment generating functions E of a bin in each phase, rho is the logarithm
// of the spectral radius of E Q over theta, the rho of independent flows add
// up, and for a service of R tokens a bin (table 1)
//
//	delay = min over theta of -1/(theta R) log((1-p) (1 - exp(theta (rho-R)))) bins
type StochasticBound struct{}

const (
	minTheta    = 1e-5
	maxTheta    = 0.2
	thetaFactor = 1.15
	// smoothingBins is the bins over which a phase is told, and highTimes how far
	// above the mean the high one is.
	smoothingBins   = 8
	highPhaseFactor = 1.25
)

// AdmitCount implements Rule.
func (StochasticBound) AdmitCount(flows []Flow, rate float64, limit time.Duration, percent float64) int {
	thetas := []float64{}
	for theta := minTheta; theta < maxTheta; theta *= thetaFactor {
		thetas = append(thetas, theta)
	}
	sums := make([]float64, len(thetas))
	for n, f := range flows {
		fit := fitPhases(f)
		best := math.Inf(1)
		for i, theta := range thetas {
			sums[i] += fit.rho(theta)
			best = min(best, delayBound(theta, sums[i], rate*f.BinWidth.Seconds(), percent/100))
		}
		if best*f.BinWidth.Seconds() > limit.Seconds() {
			return n
		}
	}
	return len(flows)
}

// delayBound is the bound in bins that holds with probability p.
func delayBound(theta, rho, rate, p float64) float64 {
	if rho >= rate {
		return math.Inf(1)
	}
	return -math.Log((1-p)*(1-math.Exp(theta*(rho-rate)))) / (theta * rate)
}

// phaseModel is a flow as a process that switches between two phases.
type phaseModel struct {
	bins [2][]float64
	// leaveProbability is the probability of leaving each phase from bin to bin.
	leaveProbability [2]float64
}

func fitPhases(f Flow) *phaseModel {
	p := &phaseModel{}
	mean := f.MeanRate() * f.BinWidth.Seconds()
	var moves, stays [2]float64
	last := -1
	for i, b := range f.Bins {
		from, to := max(0, i-smoothingBins/2), min(len(f.Bins), i+smoothingBins/2)
		sum := 0.0
		for _, x := range f.Bins[from:to] {
			sum += x
		}
		phase := 0
		if sum > highPhaseFactor*mean*float64(to-from) {
			phase = 1
		}
		p.bins[phase] = append(p.bins[phase], b)
		if last >= 0 && last != phase {
			moves[last]++
		} else if last >= 0 {
			stays[last]++
		}
		last = phase
	}
	for k := range p.leaveProbability {
		if all := moves[k] + stays[k]; all > 0 {
			p.leaveProbability[k] = moves[k] / all
		}
	}
	return p
}

// rho is the logarithm of the spectral radius of E Q over theta, in tokens a
// bin.
func (p *phaseModel) rho(theta float64) float64 {
	low, high := momentGeneratingFunc(p.bins[0], theta), momentGeneratingFunc(p.bins[1], theta)
	a, b := low*(1-p.leaveProbability[0]), low*p.leaveProbability[0]
	c, d := high*p.leaveProbability[1], high*(1-p.leaveProbability[1])
	trace, det := a+d, a*d-b*c
	return math.Log((trace+math.Sqrt(max(0, trace*trace-4*det)))/2) / theta
}

// momentGeneratingFunc is the mean of exp(theta x).
func momentGeneratingFunc(xs []float64, theta float64) float64 {
	if len(xs) == 0 {
		return 1
	}
	sum := 0.0
	for _, x := range xs {
		sum += math.Exp(theta * x)
	}
	return sum / float64(len(xs))
}
