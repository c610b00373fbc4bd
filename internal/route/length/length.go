// Package length learns how long answers get against what their callers guess,
// and says how much memory a request holds while it runs.
//
// It imports the standard library. Package app/edge keeps one Book per service,
// tells it of answers that came to their end, and asks it what a new request is
// promised. It does no I/O and reads no clock.
//
// An engine's memory fills with a request's prompt at once and with its answer
// token by token, and the requests that pass an engine are at all points of
// their answers. Promised its whole guess, each would keep room that it uses in
// its last moment only, and engines would turn requests away half full. So what
// counts is the sum at any moment: its mean, and its variance for the risk that
// a moment is above it.
package length

const (
	// priorWeight is how many answers the assumption counts that lengths are evenly
	// spread between nothing and twice the guess, which holds for guesses that
	// are right at the median and often far off.
	priorWeight = 20
	// windowAnswers is how many of the last answers count: at ten a second of a class,
	// what has changed is known within a minute.
	windowAnswers = 400
	// minRatio and most bound an answer's length as a part of its guess: one that
	// was cut by its caller, or a guess of one token, tells nothing of others.
	minRatio = 0.1
	maxRatio = 5.0
	// minMeanRatio bounds what is learnt of the mean: a class whose answers come
	// short of their guesses may have one that does not.
	minMeanRatio = 0.5
	// maxClasses bounds how many classes are known: configurations may rename
	// their routes for ever.
	maxClasses = 1000
)

// Estimator is what is known of each class. The zero value knows nothing. It is not
// safe for concurrent use.
type Estimator struct {
	classes map[string]*ratioStats
}

// ratioStats are the means of the length over the guess, of its square and cube.
type ratioStats struct {
	weight             float64
	mean, square, cube float64
}

// priorStats is what is assumed of a class without answers.
func priorStats() ratioStats {
	return ratioStats{weight: priorWeight, mean: 1, square: 4.0 / 3, cube: 2}
}

// Observe notes that an answer got to its end with so many tokens.
func (b *Estimator) Observe(class string, guess, tokens int) {
	if guess <= 0 || tokens <= 0 {
		return
	}
	if b.classes == nil || len(b.classes) > maxClasses {
		b.classes = map[string]*ratioStats{}
	}
	r := b.classes[class]
	if r == nil {
		known := priorStats()
		r = &known
		b.classes[class] = r
	}
	x := min(maxRatio, max(minRatio, float64(tokens)/float64(guess)))
	r.weight = min(windowAnswers, r.weight+1)
	r.mean += (x - r.mean) / r.weight
	r.square += (x*x - r.square) / r.weight
	r.cube += (x*x*x - r.cube) / r.weight
}

// HeldTokens is the memory in tokens that a request of a class holds at a moment of
// its run, as mean and variance. longest bounds its answer; zero is no bound.
//
// Long answers are met more often at a random moment than short ones, so for
// lengths L the mean progress is E[L^2]/2E[L] and its square E[L^3]/3E[L].
func (b *Estimator) HeldTokens(class string, prompt, guess, longest int) (mean, variance float64) {
	r := priorStats()
	if known := b.classes[class]; known != nil {
		r = *known
	}
	ratio := max(minMeanRatio, r.mean)
	progress := float64(guess) * r.square / (2 * ratio)
	square := float64(guess) * float64(guess) * r.cube / (3 * ratio)
	if longest > 0 {
		progress = min(progress, float64(longest))
		square = min(square, float64(longest)*float64(longest))
	}
	return float64(prompt) + progress, max(0, square-progress*progress)
}
