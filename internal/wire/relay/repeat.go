package relay

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/feed"

	"github.com/go-faster/errors"
)

const (
	// minPause and maxPause lie between two tries of a stream that was refused or
	// finds no repeat left. Room comes up as other answers end.
	minPause = 50 * time.Millisecond
	maxPause = 400 * time.Millisecond
)

// judge learns from a run that failed.
func (s *stream) judge(f *Flight, err error) {
	if errors.Is(err, errNotRun) || errors.Is(err, errUnsent) {
		return
	}
	s.maybe = true
	// Runs on first engines that ended do not use up the attempts. An engine that
	// leaves and breaks its runs has ended; one that the router took its runs off may
	// go on for long.
	chain, _ := f.Chain()
	name, first := s.call.Service.Name, chain[0].Engine()
	ended := s.models.Paths.Down(name, first) || !f.isMoved() && s.models.Paths.Leaving(name, first)
	switch {
	case ended:
		s.spared = append(s.spared, first)
	case f.Events() > 0 || !errors.Is(err, errStale):
		s.ran++
	}
}

// attempts is how many runs count. An engine that answers again after it seemed to
// have ended was sound all the while.
func (s *stream) attempts() int {
	n := s.ran
	for _, id := range s.spared {
		if name := s.call.Service.Name; !s.models.Paths.Down(name, id) && !s.models.Paths.Leaving(name, id) {
			n++
		}
	}
	return n
}

// mayRunAgain reports whether an attempt is left. Where the next run would be one too
// many but for engines that seem to have ended, these are asked first.
func (s *stream) mayRunAgain() bool {
	if s.ran+len(s.spared) >= s.call.Route.Attempts {
		s.spared = slices.DeleteFunc(s.spared, func(id spec.UpstreamID) bool {
			gone := s.models.Paths.Gone(s.ctx, s.call.Service.Name, id)
			if !gone {
				s.ran++
			}
			return !gone
		})
	}
	return s.attempts() < s.call.Route.Attempts
}

// again reports whether the request may run once more. One whose caller has a part
// of the answer waits for that.
func (s *stream) again(f *Flight, err error) bool {
	refused := errors.Is(err, errNotRun)
	if refused && s.begun {
		s.refusals++
	}
	switch {
	case s.ctx.Err() != nil, errors.Is(err, errCaller), s.runs-s.refusals >= maxRuns, s.models.Suspects.Guilty(s.call.Print()):
		return false
	case errors.Is(err, errUnsent), errors.Is(err, errMoved) && f.isPaid():
		return true
	case !refused && (!s.call.Route.Repeatable() || !s.mayRunAgain()):
		return false
	case s.begun:
		return s.awaitRepeat(refused)
	}
	return s.models.Budget.Again(s.call.Service.Name)
}

// awaitRepeat waits until a repeat is allowed, after a pause if an engine just
// refused the request; false if the caller leaves or the time is over before that.
func (s *stream) awaitRepeat(refused bool) bool {
	pause := minPause
	for range s.refusals - 1 {
		pause = min(2*pause, maxPause)
	}
	if refused && !feed.Sleep(s.ctx, pause) {
		return false
	}
	for !s.models.Budget.Again(s.call.Service.Name) {
		if !feed.Sleep(s.ctx, pause) {
			return false
		}
		pause = min(2*pause, maxPause)
	}
	return true
}
