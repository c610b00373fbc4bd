package chain_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fakes/layer"
	"fulmarwick/internal/route/domain"
)

// The caller disconnects in the middle of its answer. All stages must drop the
// request at once, or the memory of engines fills with the states of callers
// that disconnected.
func TestCallerGoneLeavesNoState(t *testing.T) {
	for _, whole := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			s := threeStageSite()
			if whole {
				s.close()
				s = singleEngineSite()
			}
			defer s.close()
			ctx, cancel := context.WithCancel(t.Context())
			a := s.ask(ctx, "r", prompt, limit, func(n int) {
				if n == 5 {
					cancel()
				}
			})
			if !errors.Is(a.err, context.Canceled) {
				t.Errorf("got %v, want the context's error", a.err)
			}
			time.Sleep(depth * time.Millisecond)
			if got := s.sessions(); got != 0 {
				t.Errorf("got %d states left, want 0", got)
			}
		})
	}
}

// One caller reads slowly while another requests a short answer from the same
// engine. The replies to the slow caller must fill only its own queue and not
// delay the other. Replies that did not fit are requested again when the slow
// caller continues, so that it misses none.
func TestSlowReaderBlocksNoOtherStream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const long = 1000
		s := singleEngineSite()
		defer s.close()
		// The first prompt whose answer is long enough to overflow the queue.
		text := prompt
		for i := 0; len(layer.Generate(text, depth, long)) < long; i++ {
			text = fmt.Sprintf("%s %d", prompt, i)
		}
		read := make(chan struct{})
		done := make(chan *answer)
		go func() {
			done <- s.ask(t.Context(), "slow", text, long, func(n int) {
				if n == 1 {
					<-read
				}
			})
		}()
		time.Sleep(time.Minute)
		s.ask(t.Context(), "fast", prompt, limit, nil).mustMatch(t, prompt, depth, limit)
		if got := s.pool.Meters.GetOrCreateCounter("fulmarwick_engine_overflows_total").Get(); got != 1 {
			t.Errorf("got %d full queues, want 1", got)
		}
		close(read)
		(<-done).mustMatch(t, text, depth, long)
		checkLayerRuns(t, s, 0, depth*(positions(text, long)+positions(prompt, limit)))
	})
}

// Two requests of different priority wait for an engine with one slot that is
// busy. The urgent one must run before the other although it arrived last.
func TestUrgentRequestRunsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := singleEngineSite()
		defer s.close()
		s.engines[0].Slots = 1
		order := make(chan string, 3)
		s.router.prio = map[spec.RequestID]int{"busy": 2, "patient": 1}
		for _, id := range []string{"busy", "patient", "urgent"} {
			go func() {
				s.ask(t.Context(), id, prompt, limit, nil).mustMatch(t, prompt, depth, limit)
				order <- id
			}()
			time.Sleep(time.Millisecond)
		}
		for _, want := range []string{"urgent", "patient", "busy"} {
			if got := <-order; got != want {
				t.Errorf("got %s done, want %s", got, want)
			}
		}
	})
}

// During a long answer the routing logic must receive progress and hop times,
// but not once for each token.
func TestProgressAndHopsAreReported(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := singleEngineSite()
		defer s.close()
		s.engines[0].LayerTime = 20 * time.Millisecond
		s.engines[0].HopTime = 3 * time.Millisecond
		s.ask(t.Context(), "r", prompt, limit, nil).mustMatch(t, prompt, depth, limit)
		progress, hops := 0, 0
		for _, ev := range s.router.events {
			switch ev := ev.(type) {
			case domain.RequestProgress:
				progress++
			case domain.HopMeasured:
				hops++
				if ev.P50 < 5*time.Millisecond || ev.P50 > 8*time.Millisecond {
					t.Errorf("got a median hop of %v, want about 6ms there and back", ev.P50)
				}
			}
		}
		if progress == 0 || progress > limit/2 {
			t.Errorf("got %d progress events, want some, fewer than tokens", progress)
		}
		s.engines[0].LayerTime = 0
		time.Sleep(time.Second)
		s.ask(t.Context(), "r2", prompt, limit, nil).mustMatch(t, prompt, depth, limit)
		if hops > 1 {
			t.Errorf("got %d hop events in one second, want 1 at most", hops)
		}
	})
}
