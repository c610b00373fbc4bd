package chain_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/stage"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/engine"

	"pgregory.net/rapid"
)

// scenario is one random case of the differential test.
type scenario struct {
	seed      uint64
	depth     int
	holds     [][2]int
	faults    []int
	outages   []outage
	limit     int
	callers   int
	journal   int
	chunk     int
	positions int
	words     int
	moves     bool
}

// outage makes an engine crash, or lose its connections, after a token.
type outage struct {
	engine, token int
	crash         bool
}

func drawScenario(t *rapid.T) scenario {
	s := scenario{
		seed:      rapid.Uint64().Draw(t, "seed"),
		depth:     rapid.IntRange(1, 10).Draw(t, "depth"),
		limit:     rapid.IntRange(1, 40).Draw(t, "limit"),
		callers:   rapid.IntRange(1, 3).Draw(t, "callers"),
		journal:   rapid.SampledFrom([]int{0, 64, 512}).Draw(t, "journal"),
		chunk:     rapid.SampledFrom([]int{0, 1, 50}).Draw(t, "chunk"),
		positions: rapid.SampledFrom([]int{0, 1, 7}).Draw(t, "part"),
		words:     rapid.SampledFrom([]int{1, 5, 90}).Draw(t, "words"),
		moves:     rapid.Bool().Draw(t, "moves"),
	}
	// Two ranges always cover the model; the others overlap them at random.
	cut := rapid.IntRange(0, s.depth-1).Draw(t, "cut")
	s.holds = append(s.holds, [2]int{cut, s.depth})
	if cut > 0 {
		s.holds = append(s.holds, [2]int{0, cut})
	}
	for range rapid.IntRange(0, 4).Draw(t, "more") {
		from := rapid.IntRange(0, s.depth-1).Draw(t, "from")
		s.holds = append(s.holds, [2]int{from, rapid.IntRange(from+1, s.depth).Draw(t, "to")})
	}
	for range s.holds {
		s.faults = append(s.faults, rapid.SampledFrom([]int{0, 0, 5, 20}).Draw(t, "faults"))
	}
	for range rapid.IntRange(0, 4).Draw(t, "kills") {
		s.outages = append(s.outages, outage{
			engine: rapid.IntRange(0, len(s.holds)-1).Draw(t, "victim"),
			token:  rapid.IntRange(1, s.limit).Draw(t, "when"),
			crash:  rapid.Bool().Draw(t, "crash"),
		})
	}
	return s
}

// faults drops, doubles, delays or cuts the given percentage of replies.
func faults(seed uint64, percent int) func(*frame.Step) stage.Fault {
	var mu sync.Mutex
	r := rand.New(rand.NewPCG(seed, 1))
	kinds := []stage.Fault{stage.FaultDrop, stage.FaultDouble, stage.FaultDelay, stage.FaultCut}
	return func(*frame.Step) stage.Fault {
		mu.Lock()
		defer mu.Unlock()
		if r.IntN(100) >= percent {
			return stage.FaultNone
		}
		return kinds[r.IntN(len(kinds))]
	}
}

// flakyMover fails some moves, before or after they took effect.
type flakyMover struct {
	chain.Mover
	mu   sync.Mutex
	rand *rand.Rand
}

func (f *flakyMover) Move(ctx context.Context, from, to spec.UpstreamID, want frame.KV) (int, error) {
	f.mu.Lock()
	outcome := f.rand.IntN(3)
	f.mu.Unlock()
	if outcome == 0 {
		return 0, engine.ErrRefused
	}
	n, err := f.Mover.Move(ctx, from, to, want)
	if outcome == 1 {
		return 0, engine.ErrRefused
	}
	return n, err
}

func (s *scenario) build() *site {
	var engines []*stage.Engine
	for i, h := range s.holds {
		e := newEngine(fmt.Sprintf("e%d", i), s.depth, h[0], h[1])
		e.ReplyDelay = 50 * time.Millisecond
		e.Faults = faults(s.seed+uint64(i), s.faults[i])
		engines = append(engines, e)
	}
	built := newSite(s.depth, engines...)
	built.router.rand = rand.New(rand.NewPCG(s.seed, 2))
	built.router.limit = 1000
	built.runner.JournalBytes, built.runner.ChunkBytes, built.runner.StepPositions = s.journal, s.chunk, s.positions
	if s.moves {
		built.runner.KV = &flakyMover{Mover: built.pool, rand: rand.New(rand.NewPCG(s.seed, 4))}
	}
	return built
}

// run runs the scenario and returns an error if a caller got a wrong answer or
// an engine kept a state.
func (s *scenario) run() error {
	site := s.build()
	defer site.close()
	errs := make(chan error, s.callers)
	for c := range s.callers {
		go func() {
			text := fmt.Sprint("caller", c, strings.Repeat(" door", s.words-1))
			a := site.ask(context.Background(), fmt.Sprintf("r%d", c), text, s.limit, func(n int) { s.injectOutages(site, n) })
			errs <- a.check(text, s.depth, s.limit)
		}()
	}
	var first error
	for range s.callers {
		if err := <-errs; err != nil && first == nil {
			first = err
		}
	}
	if first != nil {
		return first
	}
	time.Sleep(time.Minute)
	if n := site.sessions(); n != 0 {
		return fmt.Errorf("got %d states left on engines, want 0", n)
	}
	return nil
}

func (s *scenario) injectOutages(site *site, token int) {
	for _, k := range s.outages {
		switch {
		case k.token != token:
		case k.crash:
			site.engines[k.engine].Kill()
			site.engines[k.engine].Revive()
		default:
			site.engines[k.engine].Cut()
		}
	}
}

// Engines with overlapping layer ranges crash with their states or lose their
// connections during the answers, and replies are lost, doubled, delayed and
// interleaved with those of other callers. Each caller must get, token by
// token, the answer of one machine with all layers. A layer that ran twice,
// not at all or out of order would change every later token.
func TestAnswerMatchesOneMachineUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawScenario(rt)
		var err error
		synctest.Test(t, func(*testing.T) { err = s.run() })
		if err != nil {
			rt.Fatal(err)
		}
	})
}
