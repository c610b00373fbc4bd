package admit

import (
	"math"
	"time"
)

// Flow is what a team asked for in past bins of equal length, in tokens.
type Flow struct {
	Bins []float64
	// Bin is the length of a bin.
	Bin time.Duration
}

// Mean is the mean tokens a second.
func (f Flow) Mean() float64 {
	sum := 0.0
	for _, b := range f.Bins {
		sum += b
	}
	return sum / (float64(len(f.Bins)) * f.Bin.Seconds())
}

// Rule admits whole teams, as contracts would: it says how many of flows, in
// order, may share rate tokens a second with delays of at most limit for
// percent of 100. It is here for comparison with the decision per request; see
// docs/notes/admission.md for the figures.
type Rule interface {
	Admits(flows []Flow, rate float64, limit time.Duration, percent float64) int
}

// Headroom admits while the sum of means leaves a part of the rate free.
type Headroom struct {
	// Free is the part that stays free, 0 to 1.
	Free float64
}

// Admits implements Rule.
func (h Headroom) Admits(flows []Flow, rate float64, _ time.Duration, _ float64) int {
	sum := 0.0
	for i, f := range flows {
		sum += f.Mean()
		if sum > (1-h.Free)*rate {
			return i
		}
	}
	return len(flows)
}

// Worst admits while the sum of the largest bursts can be served within the
// limit, as a deterministic network calculus would: all teams may burst at
// once.
type Worst struct{}

// Admits implements Rule.
func (Worst) Admits(flows []Flow, rate float64, limit time.Duration, _ float64) int {
	mean, burst := 0.0, 0.0
	for i, f := range flows {
		mean += f.Mean()
		burst += backlog(f, f.Mean())
		if mean > rate || burst > rate*limit.Seconds() {
			return i
		}
	}
	return len(flows)
}

// backlog is the largest burst of a flow above a rate: how far a queue served
// at it would grow.
func backlog(f Flow, rate float64) float64 {
	queue, most := 0.0, 0.0
	for _, b := range f.Bins {
		queue = max(0, queue+b-rate*f.Bin.Seconds())
		most = max(most, queue)
	}
	return most
}

// Bound admits while a stochastic bound on the delay of the sum of independent
// bursty flows holds. It follows SNC-Meister (Zhu, Berger, Harchol-Balter,
// SoCC 2016, sections 3.2 and 4.3): each flow is a Markov modulated process of
// a low and a high phase, fitted to its past. With transitions Q and the
// moment generating functions E of a bin in each phase, rho is the logarithm
// of the spectral radius of E Q over theta, the rho of independent flows add
// up, and for a service of R tokens a bin (table 1)
//
//	delay = min over theta of -1/(theta R) log((1-p) (1 - exp(theta (rho-R)))) bins
type Bound struct{}

const (
	thetaLeast = 1e-5
	thetaMost  = 0.2
	thetaTimes = 1.15
	// smooth is the bins over which a phase is told, and highTimes how far
	// above the mean the high one is.
	smooth    = 8
	highTimes = 1.25
)

// Admits implements Rule.
func (Bound) Admits(flows []Flow, rate float64, limit time.Duration, percent float64) int {
	thetas := []float64{}
	for theta := thetaLeast; theta < thetaMost; theta *= thetaTimes {
		thetas = append(thetas, theta)
	}
	sums := make([]float64, len(thetas))
	for n, f := range flows {
		fit := newPhases(f)
		best := math.Inf(1)
		for i, theta := range thetas {
			sums[i] += fit.rho(theta)
			best = min(best, delay(theta, sums[i], rate*f.Bin.Seconds(), percent/100))
		}
		if best*f.Bin.Seconds() > limit.Seconds() {
			return n
		}
	}
	return len(flows)
}

// delay is the bound in bins that holds with probability p.
func delay(theta, rho, rate, p float64) float64 {
	if rho >= rate {
		return math.Inf(1)
	}
	return -math.Log((1-p)*(1-math.Exp(theta*(rho-rate)))) / (theta * rate)
}

// phases is a flow as a process that switches between two phases.
type phases struct {
	bins [2][]float64
	// leave is the probability of leaving each phase from bin to bin.
	leave [2]float64
}

func newPhases(f Flow) *phases {
	p := &phases{}
	mean := f.Mean() * f.Bin.Seconds()
	var moves, stays [2]float64
	last := -1
	for i, b := range f.Bins {
		from, to := max(0, i-smooth/2), min(len(f.Bins), i+smooth/2)
		sum := 0.0
		for _, x := range f.Bins[from:to] {
			sum += x
		}
		phase := 0
		if sum > highTimes*mean*float64(to-from) {
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
	for k := range p.leave {
		if all := moves[k] + stays[k]; all > 0 {
			p.leave[k] = moves[k] / all
		}
	}
	return p
}

// rho is the logarithm of the spectral radius of E Q over theta, in tokens a
// bin.
func (p *phases) rho(theta float64) float64 {
	low, high := moment(p.bins[0], theta), moment(p.bins[1], theta)
	a, b := low*(1-p.leave[0]), low*p.leave[0]
	c, d := high*p.leave[1], high*(1-p.leave[1])
	trace, det := a+d, a*d-b*c
	return math.Log((trace+math.Sqrt(max(0, trace*trace-4*det)))/2) / theta
}

// moment is the mean of exp(theta x).
func moment(xs []float64, theta float64) float64 {
	if len(xs) == 0 {
		return 1
	}
	sum := 0.0
	for _, x := range xs {
		sum += math.Exp(theta * x)
	}
	return sum / float64(len(xs))
}
