package length_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"fulmarwick/internal/route/length"

	"pgregory.net/rapid"
)

func ExampleEstimator_HeldTokens() {
	var e length.Estimator
	mean, variance := e.HeldTokens("draft", 800, 300, 0)
	fmt.Printf("%.0f %.0f\n", mean, math.Sqrt(variance))
	for range 400 {
		e.Observe("draft", 300, 150)
	}
	mean, _ = e.HeldTokens("draft", 800, 300, 0)
	fmt.Println(mean < 900)
	// Output:
	// 1000 141
	// true
}

// Requests on an engine are at different points of their answers, whose lengths differ
// widely from the guesses of their callers. Memory for the mean plus three standard
// deviations of what they hold must be short in fewer than one moment of a hundred,
// and be a twentieth less than what they hold at the end of their answers.
func TestHeldTokensAgainstSimulation(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	drawLength := func() float64 { return 200 * math.Exp(0.6*random.NormFloat64()) }
	var e length.Estimator
	for range 2000 {
		e.Observe("a", 200, int(drawLength()))
	}
	mean, variance := e.HeldTokens("a", 700, 200, 0)
	const concurrent = 60
	promised := concurrent*mean + 3.09*math.Sqrt(concurrent*variance)
	short, complete := 0, 0.0
	const moments = 4000
	for range moments {
		sum := 0.0
		for range concurrent {
			// The chance that a request runs at a given moment grows with its length.
			tokens := drawLength()
			for random.Float64()*2000 > tokens {
				tokens = drawLength()
			}
			sum += 700 + random.Float64()*tokens
			complete += (700 + tokens) / moments
		}
		if sum > promised {
			short++
		}
	}
	if promised > 0.95*complete {
		t.Errorf("got %.0f tokens promised to %d requests, want a twentieth less than the %.0f of complete answers", promised, concurrent, complete)
	}
	if short > moments/100 {
		t.Errorf("got memory short in %d of %d moments, want fewer than one in a hundred", short, moments)
	}
}

// For any lengths of answers and any guesses: the promised memory holds the prompt,
// and never more than the prompt and the longest answer.
func TestHeldTokensAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var e length.Estimator
		for range rapid.IntRange(0, 50).Draw(t, "answers") {
			e.Observe("a", rapid.IntRange(-1, 5000).Draw(t, "guess"), rapid.IntRange(-1, 50000).Draw(t, "tokens"))
		}
		prompt, maxAnswer := rapid.IntRange(0, 5000).Draw(t, "prompt"), rapid.IntRange(1, 5000).Draw(t, "most")
		mean, variance := e.HeldTokens("a", prompt, rapid.IntRange(0, 5000).Draw(t, "ask"), maxAnswer)
		if mean < float64(prompt) || mean > float64(prompt+maxAnswer) || variance < 0 || math.IsNaN(variance) {
			t.Fatalf("got %f tokens with variance %f, want between %d and %d", mean, variance, prompt, prompt+maxAnswer)
		}
	})
}
