package admit

import (
	"math"
	"time"
)

// Flow is the past demand of a team in tokens, in time bins of equal length.
type Flow struct {
	Bins []float64
	// BinWidth is the length of a bin.
	BinWidth time.Duration
}

// MeanRate returns the mean rate in tokens a second.
func (f Flow) MeanRate() float64 {
	sum := 0.0
	for _, b := range f.Bins {
		sum += b
	}
	return sum / (float64(len(f.Bins)) * f.BinWidth.Seconds())
}

// Rule admits whole teams, like a contract does. AdmitCount returns how many of
// the flows, in the given order, may share rate tokens a second such that
// percent of 100 delays are at most limit.
//
// Rules exist for comparison with the decision per request. The figures are in
// docs/notes/admission.md.
type Rule interface {
	AdmitCount(flows []Flow, rate float64, limit time.Duration, percent float64) int
}

// Headroom admits flows while the sum of their mean rates leaves a share of the
// rate free.
type Headroom struct {
	// FreeShare is the share of the rate that stays free, from 0 to 1.
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

// WorstCase admits flows while the sum of their largest bursts can be served
// within the limit, like a deterministic network calculus: all teams may burst
// at once.
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

// maxBacklog returns the largest burst of a flow above a rate: the longest
// queue when the flow is served at that rate.
func maxBacklog(f Flow, rate float64) float64 {
	queue, longest := 0.0, 0.0
	for _, b := range f.Bins {
		queue = max(0, queue+b-rate*f.BinWidth.Seconds())
		longest = max(longest, queue)
	}
	return longest
}

// StochasticBound admits flows while a stochastic bound on the delay of the sum
// of independent bursty flows meets the limit. It follows SNC-Meister (Zhu,
// Berger, Harchol-Balter, SoCC 2016, sections 3.2 and 4.3). Each flow is
// modelled as a Markov-modulated process with a low and a high phase, fitted to
// its past.
//
// Let Q be the transition matrix and E the diagonal matrix of the moment
// generating functions of a bin in each phase. Then rho is the logarithm of the
// spectral radius of E Q, divided by theta. The rho of independent flows add
// up. For a service of R tokens a bin (table 1):
//
//	delay = min over theta of -1/(theta R) log((1-p) (1 - exp(theta (rho-R)))) bins
type StochasticBound struct{}

const (
	minTheta    = 1e-5
	maxTheta    = 0.2
	thetaFactor = 1.15
	// smoothingBins is the number of bins over which the demand is averaged to
	// determine the phase.
	smoothingBins = 8
	// highPhaseFactor is how many times the mean the average must exceed to
	// count as the high phase.
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

// delayBound returns the delay bound, in bins, that holds with probability p.
func delayBound(theta, rho, rate, p float64) float64 {
	if rho >= rate {
		return math.Inf(1)
	}
	return -math.Log((1-p)*(1-math.Exp(theta*(rho-rate)))) / (theta * rate)
}

// phaseModel models a flow as a process that switches between two phases.
type phaseModel struct {
	// bins are the bins of the flow in each phase.
	bins [2][]float64
	// leaveProbability is the probability of leaving each phase from one bin to
	// the next.
	leaveProbability [2]float64
}

func fitPhases(f Flow) *phaseModel {
	p := &phaseModel{}
	mean := f.MeanRate() * f.BinWidth.Seconds()
	var switches, stays [2]float64
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
			switches[last]++
		} else if last >= 0 {
			stays[last]++
		}
		last = phase
	}
	for k := range p.leaveProbability {
		if total := switches[k] + stays[k]; total > 0 {
			p.leaveProbability[k] = switches[k] / total
		}
	}
	return p
}

// rho returns the logarithm of the spectral radius of E Q divided by theta, in
// tokens a bin.
func (p *phaseModel) rho(theta float64) float64 {
	low, high := momentGeneratingFunc(p.bins[0], theta), momentGeneratingFunc(p.bins[1], theta)
	a, b := low*(1-p.leaveProbability[0]), low*p.leaveProbability[0]
	c, d := high*p.leaveProbability[1], high*(1-p.leaveProbability[1])
	trace, det := a+d, a*d-b*c
	return math.Log((trace+math.Sqrt(max(0, trace*trace-4*det)))/2) / theta
}

// momentGeneratingFunc returns the mean of exp(theta x).
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
