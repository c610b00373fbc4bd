package chain_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"fulmarwick/internal/base/frame"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/engine"

	"pgregory.net/rapid"
)

// mangler corrupts a percentage of the replies of the streams that it opens.
type mangler struct {
	chain.Opener
	rand    *rand.Rand
	percent int
}

func (m *mangler) Open(ctx context.Context, id spec.UpstreamID, req string, try uint32, from int) (frame.Stream, error) {
	s, err := m.Opener.Open(ctx, id, req, try, from)
	if err != nil {
		return nil, err
	}
	return &mangled{Stream: s, mangler: m}, nil
}

type mangled struct {
	frame.Stream
	mangler *mangler
	// queued holds replies that are returned before the next one from the
	// engine.
	queued []frame.Reply
}

func (s *mangled) Recv(ctx context.Context, within time.Duration, r *frame.Reply) error {
	if len(s.queued) > 0 {
		*r, s.queued = s.queued[0], s.queued[1:]
		return nil
	}
	if err := s.Stream.Recv(ctx, within, r); err != nil {
		return err
	}
	if s.mangler.rand.IntN(100) >= s.mangler.percent {
		return nil
	}
	return s.corrupt(ctx, within, r)
}

func (s *mangled) corrupt(ctx context.Context, within time.Duration, r *frame.Reply) error {
	good := *r
	switch s.mangler.rand.IntN(10) {
	case 0: // lost
		return s.Recv(ctx, within, r)
	case 1: // doubled
		s.queued = append(s.queued, good)
	case 2: // swapped with the next one
		if err := s.Stream.Recv(ctx, within, r); err != nil {
			return err
		}
		s.queued = append(s.queued, good)
	case 3: // cut
		return engine.ErrBroken
	case 4: // belongs to another request
		s.queued = append(s.queued, good)
		r.Req, r.Token, r.Text = "another", r.Token+1, "foreign "
	case 5: // belongs to an older attempt
		s.queued = append(s.queued, good)
		r.Try, r.Token, r.Text = r.Try-1, r.Token+1, "stale "
	case 6: // claims a false end
		r.End, r.Last, r.Total = true, true, r.Next+1000
	case 7: // has the index of another run
		s.queued = append(s.queued, good)
		r.Index, r.Text = r.Index+3, "misplaced "
	case 8: // accounts for more inputs than were sent
		// Only the engine knows the length of the prompt.
		if r.From == 0 && r.Seq == 1 {
			return nil
		}
		r.Next++
		if len(r.Hidden) > 0 {
			r.Hidden = append(r.Hidden, r.Hidden[0])
		}
	default: // dropped because the queue is full
		return engine.ErrOverflow
	}
	return nil
}

// Replies are lost, doubled, swapped or cut off, belong to another request or
// an older attempt, claim an end that their token count contradicts, or
// account for more inputs than were sent. The caller must still get the whole
// answer to its own request, each token once and in order.
func TestWholeAnswerDespiteCorruptReplies(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		seed := rapid.Uint64().Draw(rt, "seed")
		percent := rapid.SampledFrom([]int{2, 10, 25}).Draw(rt, "percent")
		tokens := rapid.IntRange(1, 120).Draw(rt, "limit")
		whole := rapid.Bool().Draw(rt, "whole")
		var err error
		synctest.Test(t, func(t *testing.T) {
			s := threeStageSite()
			if whole {
				s.close()
				s = singleEngineSite()
			}
			defer s.close()
			s.router.limit = 1000
			s.runner.Engines = &mangler{Opener: s.pool, rand: rand.New(rand.NewPCG(seed, 3)), percent: percent}
			text := fmt.Sprint("notice ", seed)
			err = s.ask(t.Context(), "r", text, tokens, nil).check(text, depth, tokens)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}
