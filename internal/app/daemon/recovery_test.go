package daemon_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"fulmarwick/internal/fakes/caller"
	"fulmarwick/internal/fakes/layer"
	"fulmarwick/internal/fakes/stage"
	"fulmarwick/internal/fakes/trial"
)

const (
	// longAnswer is in tokens and takes about two seconds alone.
	longAnswer = 600
	// streamCount is how many streams are under way when something dies.
	streamCount = 24
)

// streams starts long answers and returns what waits for all of them.
func (e *cluster) streams(b *testing.B) func() []caller.Answer {
	var group sync.WaitGroup
	out := make([]caller.Answer, streamCount)
	for i := range streamCount {
		group.Go(func() {
			c := (&work{e: e}).caller()
			text := fmt.Sprintf("a long notice %d", i)
			a, err := c.Ask(e.ctx, trial.Model, text, longAnswer)
			if err != nil {
				b.Errorf("got %v, want a whole answer", err)
			}
			if want := layer.Text(layer.Whole("user: "+text+"\n", trial.Depth, longAnswer)); a.Text != want {
				b.Errorf("got another answer than one machine gives")
			}
			out[i] = a
		})
	}
	return func() []caller.Answer {
		group.Wait()
		return out
	}
}

// BenchmarkRecovery kills one instance of four, or one engine, under long
// streams and gives the longest pause between two tokens that callers saw, with
// that of a run without a death beside it.
func BenchmarkRecovery(b *testing.B) {
	deaths := []struct {
		name string
		die  func(e *cluster)
	}{
		{"none", func(*cluster) {}},
		{"instance", func(e *cluster) { e.remove("klang-1").kill() }},
		{"engine", func(e *cluster) { e.busiest()[0].Kill() }},
		{"engines", func(e *cluster) {
			for _, engine := range e.busiest()[:2] {
				engine.Kill()
			}
		}},
		{"hang", func(e *cluster) {
			engine := e.busiest()[0]
			engine.Freeze()
			e.t.Cleanup(engine.Thaw)
		}},
	}
	for _, d := range deaths {
		b.Run(d.name, func(b *testing.B) {
			for range b.N {
				runRecovery(b, d.die)
			}
		})
	}
}

// busiest are the engines by how many requests they hold state of.
func (e *cluster) busiest() []*stage.Engine {
	out := slices.Clone(e.site.Engines())
	slices.SortStableFunc(out, func(a, b *stage.Engine) int { return b.Sessions() - a.Sessions() })
	return out
}

func runRecovery(b *testing.B, die func(*cluster)) {
	// Five of each make the thirty engines of the association.
	e := newClusterAt(b, 4, &trial.Site{Layer: 20 * time.Microsecond, Copies: 5})
	wait := e.streams(b)
	time.Sleep(500 * time.Millisecond)
	die(e)
	answers := wait()
	var gaps []time.Duration
	cuts := 0
	first := time.Duration(0)
	for _, a := range answers {
		gaps = append(gaps, a.Gap)
		first = max(first, a.First)
		cuts += a.Cuts
	}
	slices.Sort(gaps)
	b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-gap-ms")
	b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "max-gap-ms")
	b.ReportMetric(float64(first.Milliseconds()), "max-first-ms")
	b.ReportMetric(float64(cuts), "resumed")
}
