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
	var b length.Estimator
	mean, variance := b.HeldTokens("draft", 800, 300, 0)
	fmt.Printf("%.0f %.0f\n", mean, math.Sqrt(variance))
	for range 400 {
		b.Observe("draft", 300, 150)
	}
	mean, _ = b.HeldTokens("draft", 800, 300, 0)
	fmt.Println(mean < 900)
	// Output:
	// 1000 141
	// true
}

// Requests pass an engine at all points of their answers, whose lengths are far
// from what their callers guess. Memory for the mean and three deviations of
// what they hold is short in fewer than one moment of a hundred, and yet a
// twentieth less than what they hold at the end of their answers.
func TestHeldTokensAgainstSimulation(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	drawLength := func() float64 { return 200 * math.Exp(0.6*random.NormFloat64()) }
	var b length.Estimator
	for range 2000 {
		b.Observe("a", 200, int(drawLength()))
	}
	mean, variance := b.HeldTokens("a", 700, 200, 0)
	const flying = 60
	promised := flying*mean + 3.09*math.Sqrt(flying*variance)
	short, whole := 0, 0.0
	const moments = 4000
	for range moments {
		sum := 0.0
		for range flying {
			// A request is met at a moment with a chance that grows with its length.
			l := drawLength()
			for random.Float64()*2000 > l {
				l = drawLength()
			}
			sum += 700 + random.Float64()*l
			whole += (700 + l) / moments
		}
		if sum > promised {
			short++
		}
	}
	if promised > 0.95*whole {
		t.Errorf("got %.0f tokens promised to %d requests, want a twentieth less than the %.0f of whole answers", promised, flying, whole)
	}
	if short > moments/100 {
		t.Errorf("got memory short in %d of %d moments, want fewer than one in a hundred", short, moments)
	}
}

// Whatever lengths answers have and however wrong the guesses are, what is
// promised holds the prompt and never more than prompt and longest answer.
func TestHeldTokensAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b length.Estimator
		for range rapid.IntRange(0, 50).Draw(t, "answers") {
			b.Observe("a", rapid.IntRange(-1, 5000).Draw(t, "guess"), rapid.IntRange(-1, 50000).Draw(t, "tokens"))
		}
		prompt, most := rapid.IntRange(0, 5000).Draw(t, "prompt"), rapid.IntRange(1, 5000).Draw(t, "most")
		mean, variance := b.HeldTokens("a", prompt, rapid.IntRange(0, 5000).Draw(t, "ask"), most)
		if mean < float64(prompt) || mean > float64(prompt+most) || variance < 0 || math.IsNaN(variance) {
			t.Fatalf("got %f tokens with variance %f, want between %d and %d", mean, variance, prompt, prompt+most)
		}
	})
}
