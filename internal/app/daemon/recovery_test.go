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
	// longAnswer is the length of an answer in tokens. Such an answer takes
	// about two seconds without other load.
	longAnswer = 600
	// streamCount is the number of streams in progress when an instance or
	// engine fails.
	streamCount = 24
)

// streams starts long answers and returns a function that waits for all of
// them.
func (e *cluster) streams(b *testing.B) func() []caller.Answer {
	var group sync.WaitGroup
	out := make([]caller.Answer, streamCount)
	for i := range streamCount {
		group.Go(func() {
			c := (&work{e: e}).caller()
			text := fmt.Sprintf("a long notice %d", i)
			a, err := c.Stream(e.ctx, trial.Model, text, longAnswer)
			if err != nil {
				b.Errorf("got %v, want a whole answer", err)
			}
			if want := layer.Text(layer.Generate("user: "+text+"\n", trial.Depth, longAnswer)); a.Text != want {
				b.Errorf("got an answer that differs from that of one machine")
			}
			out[i] = a
		})
	}
	return func() []caller.Answer {
		group.Wait()
		return out
	}
}

// BenchmarkRecovery kills one instance of four, or one or two engines, or
// freezes an engine, while long streams are in progress. It measures the
// longest pause between two tokens that callers received. The run without a
// failure is the baseline.
func BenchmarkRecovery(b *testing.B) {
	failures := []struct {
		name string
		fail func(e *cluster)
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
	for _, d := range failures {
		b.Run(d.name, func(b *testing.B) {
			for range b.N {
				runRecovery(b, d.fail)
			}
		})
	}
}

// busiest returns the engines sorted by the number of requests whose state they
// hold, largest first.
func (e *cluster) busiest() []*stage.Engine {
	out := slices.Clone(e.site.Engines())
	slices.SortStableFunc(out, func(a, b *stage.Engine) int { return b.Sessions() - a.Sessions() })
	return out
}

func runRecovery(b *testing.B, fail func(*cluster)) {
	// Five copies of each engine give the thirty engines of the association
	// deployment.
	e := newClusterAt(b, 4, &trial.Site{LayerTime: 20 * time.Microsecond, Copies: 5})
	wait := e.streams(b)
	time.Sleep(500 * time.Millisecond)
	fail(e)
	answers := wait()
	var gaps []time.Duration
	cuts := 0
	first := time.Duration(0)
	for _, a := range answers {
		gaps = append(gaps, a.MaxGap)
		first = max(first, a.FirstToken)
		cuts += a.Cuts
	}
	slices.Sort(gaps)
	b.ReportMetric(float64(gaps[len(gaps)/2].Milliseconds()), "p50-gap-ms")
	b.ReportMetric(float64(gaps[len(gaps)-1].Milliseconds()), "max-gap-ms")
	b.ReportMetric(float64(first.Milliseconds()), "max-first-ms")
	b.ReportMetric(float64(cuts), "resumed")
}
