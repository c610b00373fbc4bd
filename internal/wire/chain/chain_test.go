package chain_test

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/layer"
	"fulmarwick/internal/fakes/stage"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/wire/chain"

	"github.com/VictoriaMetrics/metrics"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/sdk/trace/tracetest"
)

const (
	prompt = "how much for a new door"
	depth  = 12
	limit  = 30
)

// positions returns how many positions a whole answer takes through each
// layer: the prompt and every token but the last, which runs only if more
// tokens follow.
func positions(text string, limit int) int64 {
	tokens := layer.Generate(text, depth, limit)
	n := int64(len(layer.Split(text)) + len(tokens))
	if len(tokens) == limit {
		n--
	}
	return n
}

// threeStageSite returns a site of three stages with a spare engine for the
// middle one. Every chain after the first uses the spare.
func threeStageSite() *site {
	s := newSite(depth, newEngine("a", depth, 0, 4), newEngine("b", depth, 4, 8), newEngine("c", depth, 8, 12), newEngine("d", depth, 4, 8))
	s.router.plan = func(attempt uint32, _ []spec.UpstreamID) spec.Chain {
		if attempt == 1 {
			return spec.Chain{stageOn("a", 0, 4), stageOn("b", 4, 8), stageOn("c", 8, 12)}
		}
		return spec.Chain{stageOn("a", 0, 4), stageOn("d", 4, 8), stageOn("c", 8, 12)}
	}
	return s
}

// singleEngineSite returns a site of one engine that holds the whole model.
func singleEngineSite() *site {
	s := newSite(depth, newEngine("a", depth, 0, depth))
	s.router.plan = func(uint32, []spec.UpstreamID) spec.Chain { return spec.Chain{stageOn("a", 0, depth)} }
	return s
}

func counter(s *site, name string) uint64 { return s.runner.Meters.GetOrCreateCounter(name).Get() }

func checkLayerRuns(t *testing.T, s *site, engine int, want int64) {
	t.Helper()
	if got := s.engines[engine].Steps(); got != want {
		t.Errorf("got %d layer runs on %s, want %d", got, s.engines[engine].Name, want)
	}
}

// The middle stage crashes after ten tokens. The spare must run all positions
// from the inputs kept at its boundary. The first and last stages must not run
// any position again, since their states are intact, and the caller gets the
// whole answer.
func TestSurvivingStagesRunNothingAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := threeStageSite()
		defer s.close()
		a := s.ask(t.Context(), "r", prompt, limit, func(n int) {
			if n == 10 {
				s.engines[1].Kill()
			}
		})
		a.mustMatch(t, prompt, depth, limit)
		onePass := 4 * positions(prompt, limit)
		checkLayerRuns(t, s, 0, onePass)
		checkLayerRuns(t, s, 2, onePass)
		checkLayerRuns(t, s, 3, onePass)
		if lost := s.router.lost(); len(lost) != 1 || lost[0].Cause != domain.CauseBroken {
			t.Errorf("got lost stages %v, want one that broke", lost)
		}
	})
}

// The connection to a running engine breaks between two steps, or after a step
// so that its reply is lost. The run must reconnect and send the same sequence
// number, which the engine answers from memory if it ran the step. The caller
// notices nothing, no stage is lost and no layer runs twice.
func TestBrokenConnectionRunsNothingAgain(t *testing.T) {
	for _, fault := range []stage.Fault{stage.FaultCut, stage.FaultDrop, stage.FaultDouble} {
		t.Run(fault.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := threeStageSite()
				defer s.close()
				s.runner.Meters = metrics.NewSet()
				// Longer than the wait for a lost reply of another stage.
				s.engines[2].Grace = time.Minute
				n := 0
				s.engines[1].Faults = func(*frame.Step) stage.Fault {
					n++
					if n%5 == 0 {
						return fault
					}
					return stage.FaultNone
				}
				a := s.ask(t.Context(), "r", prompt, limit, func(n int) {
					if n == 12 {
						s.engines[2].Cut()
					}
				})
				a.mustMatch(t, prompt, depth, limit)
				for i := range 3 {
					checkLayerRuns(t, s, i, 4*positions(prompt, limit))
				}
				if lost := s.router.lost(); len(lost) != 0 {
					t.Errorf("got lost stages %v, want none", lost)
				}
				if got := counter(s, "fulmarwick_chain_reconnects_total"); got == 0 {
					t.Error("got no reconnect, want some")
				}
			})
		})
	}
}

// revivingOpener restarts a crashed engine before each connection to it.
type revivingOpener struct {
	chain.Opener
	engine *stage.Engine
}

func (r *revivingOpener) Open(ctx context.Context, id spec.UpstreamID, req string, try uint32, from int) (frame.Stream, error) {
	r.engine.Revive()
	return r.Opener.Open(ctx, id, req, try, from)
}

// A prompt crashes the engine that runs it, and the engine restarts at once.
// The run must not send the prompt to the restarted engine: the engine would
// crash many times, and the routing logic would count one crash. The caller
// gets a refusal.
func TestRestartedEngineGetsNoStepBeforeDecision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := singleEngineSite()
		defer s.close()
		s.engines[0].Poison = "door"
		s.router.plan = func(attempt uint32, _ []spec.UpstreamID) spec.Chain {
			if attempt > 1 {
				return nil
			}
			return spec.Chain{stageOn("a", 0, depth)}
		}
		s.runner.Engines = &revivingOpener{Opener: s.pool, engine: s.engines[0]}
		a := s.ask(t.Context(), "r", prompt, limit, nil)
		var refused *chain.RefusedError
		if !errors.As(a.err, &refused) || !refused.Ran {
			t.Errorf("got %v, want a refusal that says it ran", a.err)
		}
		if got := s.engines[0].Report().Incarnation; got != 2 {
			t.Errorf("got incarnation %d, want 2 (one crash)", got)
		}
	})
}

// A stage crashes while the run may keep almost no inputs. The stages before
// it must run again from the tokens, the stage after it must not, and the
// caller gets the whole answer.
func TestJournalBeyondBoundRebuildsFromTokens(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := threeStageSite()
		defer s.close()
		s.runner.JournalBytes = 1
		a := s.ask(t.Context(), "r", prompt, limit, func(n int) {
			if n == 10 {
				s.engines[1].Kill()
			}
		})
		a.mustMatch(t, prompt, depth, limit)
		onePass := 4 * positions(prompt, limit)
		checkLayerRuns(t, s, 2, onePass)
		if got := s.engines[0].Steps(); got <= onePass {
			t.Errorf("got %d layer runs on a, want more than %d: no inputs were kept", got, onePass)
		}
	})
}

// The first stage crashes at token 1200 of 1300. Its spare must run the prompt
// and the tokens so far in several steps, so that the hidden values of one
// reply fit into a message, and the caller gets the whole answer.
func TestLongAnswerIsRebuiltInParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const long = 1300
		text := prompt
		for i := 0; len(layer.Generate(text, depth, long)) < long; i++ {
			text = fmt.Sprintf("%s %d", prompt, i)
		}
		s := newSite(depth, newEngine("a", depth, 0, 6), newEngine("b", depth, 6, 12), newEngine("c", depth, 0, 6))
		defer s.close()
		s.router.plan = func(attempt uint32, _ []spec.UpstreamID) spec.Chain {
			first := []string{"a", "c"}[min(1, attempt-1)]
			return spec.Chain{stageOn(first, 0, 6), stageOn("b", 6, 12)}
		}
		a := s.ask(t.Context(), "r", text, long, func(n int) {
			if n == 1200 {
				s.engines[0].Kill()
			}
		})
		a.mustMatch(t, text, depth, long)
		checkLayerRuns(t, s, 1, 6*positions(text, long))
		checkLayerRuns(t, s, 2, 6*positions(text, long))
	})
}

// A long prompt is run in parts. While a stage runs one part, the stage before
// it must run the next one. The first token must then take no longer than all
// parts take on one stage, plus one part for each other stage.
func TestLongPromptRunsOnAllStagesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := threeStageSite()
		defer s.close()
		s.runner.StepPositions = 10
		text := prompt + strings.Repeat(" door", 94)
		start := time.Now()
		var first time.Duration
		s.ask(t.Context(), "r", text, limit, func(n int) {
			if n == 1 {
				first = time.Since(start)
			}
		}).mustMatch(t, text, depth, limit)
		// Ten parts and two further stages; each part takes four layers of one
		// millisecond.
		if want := 12 * 4 * time.Millisecond; first != want {
			t.Errorf("got the first token after %v, want %v", first, want)
		}
	})
}

// Replies of the middle stage are lost while parts of the prompt are in
// progress on all stages. Each must be requested again under its sequence
// number and answered from memory. No stage is lost, no layer runs twice, and
// the caller gets the whole answer.
func TestLostReplyIsRequestedAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := threeStageSite()
		defer s.close()
		s.runner.StepPositions = 10
		n := 0
		s.engines[1].Faults = func(*frame.Step) stage.Fault {
			n++
			if n%3 == 0 {
				return stage.FaultDrop
			}
			return stage.FaultNone
		}
		text := prompt + strings.Repeat(" door", 94)
		s.ask(t.Context(), "r", text, limit, nil).mustMatch(t, text, depth, limit)
		if lost := s.router.lost(); len(lost) != 0 {
			t.Errorf("got lost stages %v, want none", lost)
		}
		for i := range 3 {
			checkLayerRuns(t, s, i, 4*positions(text, limit))
		}
	})
}

// A trace must contain a span for each stage of the chain, with its engine and
// layers, and one more for the stage that replaced a lost one. The engines
// must receive these spans as traceparents.
func TestSpanForEachStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := threeStageSite()
		defer s.close()
		recorder := tracetest.NewSpanRecorder()
		provider := sdktrace.NewTracerProvider(sdktrace.WithSpanProcessor(recorder))
		ctx, root := provider.Tracer("test").Start(t.Context(), "request")
		var mu sync.Mutex
		traceparents := map[string]bool{}
		for _, e := range s.engines {
			e.OnFirstStep = func(traceparent string) {
				mu.Lock()
				defer mu.Unlock()
				traceparents[traceparent] = true
			}
		}
		a := s.ask(ctx, "r", prompt, limit, func(n int) {
			if n == 10 {
				s.engines[1].Kill()
			}
		})
		root.End()
		a.mustMatch(t, prompt, depth, limit)
		var engines []string
		for _, span := range recorder.Ended() {
			if span.Parent().SpanID() != root.SpanContext().SpanID() {
				continue
			}
			id := span.SpanContext()
			if want := "00-" + id.TraceID().String() + "-" + id.SpanID().String() + "-01"; !traceparents[want] {
				t.Errorf("got traces %v at the engines, want %s", traceparents, want)
			}
			for _, at := range span.Attributes() {
				if at.Key == "engine" {
					engines = append(engines, at.Value.AsString())
				}
			}
		}
		slices.Sort(engines)
		if want := []string{"a", "b", "c", "d"}; !slices.Equal(engines, want) {
			t.Errorf("got spans of %v, want %v", engines, want)
		}
	})
}

// The last stage crashes, and the new chain runs the layers of the first stage
// on another engine as well. The old engine of the first stage is still up:
// its KV cache must be copied to the new engine, which then runs new positions
// only. The caller gets the whole answer.
func TestMovedCacheIsNotRecomputed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const long = 100
		s := newSite(depth, newEngine("a", depth, 0, 6), newEngine("b", depth, 6, 12), newEngine("c", depth, 0, 6), newEngine("d", depth, 6, 12))
		defer s.close()
		s.runner.KV = s.pool
		s.runner.Meters = metrics.NewSet()
		s.router.plan = func(attempt uint32, _ []spec.UpstreamID) spec.Chain {
			if attempt == 1 {
				return spec.Chain{stageOn("a", 0, 6), stageOn("b", 6, 12)}
			}
			return spec.Chain{stageOn("c", 0, 6), stageOn("d", 6, 12)}
		}
		a := s.ask(t.Context(), "r", prompt, long, func(n int) {
			if n == 80 {
				s.engines[1].Kill()
			}
		})
		a.mustMatch(t, prompt, depth, long)
		if got := counter(s, "fulmarwick_chain_kv_moves_total"); got != 1 {
			t.Errorf("got %d moves, want 1", got)
		}
		checkLayerRuns(t, s, 2, 6*positions(prompt, long)-s.engines[0].Steps())
	})
}
