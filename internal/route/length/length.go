// Package length estimates how long answers get relative to the length that their
// callers guess, and how much KV memory a request holds while it runs.
//
// It imports the standard library. Package app/edge keeps one Estimator per service,
// passes it the lengths of completed answers, and asks it how much memory to promise
// to a new request. It does no I/O and reads no clock.
//
// A request fills an engine's memory with its prompt at once and with its answer token
// by token. The requests on an engine are at different points of their answers. If
// each were promised the memory for its whole guess, it would use all of that only at
// its last moment, and engines would reject requests while half empty. So the sum at
// any moment counts: its mean, and its variance for the risk that a moment exceeds the
// mean.
package length

const (
	// priorWeight is the number of answers that the prior assumption counts as. It
	// assumes that lengths are evenly distributed between zero and twice the guess,
	// which fits guesses that are right at the median and often far off.
	priorWeight = 20
	// windowAnswers is how many of the last answers count. At ten answers a second in
	// a class, a change is learned within a minute.
	windowAnswers = 400
	// minRatio and maxRatio bound an answer's length relative to its guess. An answer
	// that its caller cut off, or a guess of one token, says nothing about other
	// answers.
	minRatio = 0.1
	maxRatio = 5.0
	// minMeanRatio bounds the learned mean. A class whose answers are shorter than
	// their guesses may contain an answer that isn't.
	minMeanRatio = 0.5
	// maxClasses bounds the number of classes that are kept, since configurations may
	// rename their routes without limit.
	maxClasses = 1000
)

// Estimator holds the statistics of each class. The zero value has none. It is not
// safe for concurrent use.
type Estimator struct {
	classes map[string]*ratioStats
}

// ratioStats are the means of the ratio of length to guess, of its square and of its
// cube.
type ratioStats struct {
	weight             float64
	mean, square, cube float64
}

// priorStats returns the statistics that are assumed for a class without answers.
func priorStats() ratioStats {
	return ratioStats{weight: priorWeight, mean: 1, square: 4.0 / 3, cube: 2}
}

// Observe records the number of tokens of a completed answer.
func (e *Estimator) Observe(class string, guess, tokens int) {
	if guess <= 0 || tokens <= 0 {
		return
	}
	if e.classes == nil || len(e.classes) > maxClasses {
		e.classes = map[string]*ratioStats{}
	}
	stats := e.classes[class]
	if stats == nil {
		prior := priorStats()
		stats = &prior
		e.classes[class] = stats
	}
	ratio := min(maxRatio, max(minRatio, float64(tokens)/float64(guess)))
	stats.weight = min(windowAnswers, stats.weight+1)
	stats.mean += (ratio - stats.mean) / stats.weight
	stats.square += (ratio*ratio - stats.square) / stats.weight
	stats.cube += (ratio*ratio*ratio - stats.cube) / stats.weight
}

// HeldTokens returns the mean and variance of the memory in tokens that a request of a
// class holds at a moment of its run. maxAnswer bounds the length of its answer; zero
// means no bound.
//
// A random moment falls into a long answer more often than into a short one. So for
// lengths L, the mean progress is E[L^2]/2E[L] and the mean of its square is
// E[L^3]/3E[L].
func (e *Estimator) HeldTokens(class string, prompt, guess, maxAnswer int) (mean, variance float64) {
	stats := priorStats()
	if known := e.classes[class]; known != nil {
		stats = *known
	}
	ratio := max(minMeanRatio, stats.mean)
	progress := float64(guess) * stats.square / (2 * ratio)
	square := float64(guess) * float64(guess) * stats.cube / (3 * ratio)
	if maxAnswer > 0 {
		progress = min(progress, float64(maxAnswer))
		square = min(square, float64(maxAnswer)*float64(maxAnswer))
	}
	return float64(prompt) + progress, max(0, square-progress*progress)
}
