package relay

import (
	"slices"
	"sync"
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

// attempt is an engine that ran the request as its first one, or may have.
type attempt struct {
	engine spec.UpstreamID
	// broke tells that the engine broke the run off: if it was leaving, it has ended.
	broke bool
}

// judge learns from a run that failed.
func (s *stream) judge(f *Flight, err error) {
	if errors.Is(err, errNotRun) || errors.Is(err, errUnsent) {
		return
	}
	s.maybe = true
	chain, _ := f.Chain()
	first := chain[0].Engine()
	if errors.Is(err, errStale) && f.Events() == 0 && !s.models.Paths.Down(s.call.Service.Name, first) {
		return
	}
	broke := !f.isMoved() && !errors.Is(err, errStatus)
	at := slices.IndexFunc(s.attempts, func(a attempt) bool { return a.engine == first })
	if at < 0 {
		s.attempts = append(s.attempts, attempt{engine: first, broke: broke})
	} else {
		s.attempts[at].broke = broke
	}
}

// mayRunAgain reports whether an attempt is left. Engines that ended do not count:
// where it matters, they are asked whether they have.
func (s *stream) mayRunAgain() bool {
	if len(s.attempts) < s.call.Route.Attempts {
		return true
	}
	gone := make([]bool, len(s.attempts))
	var asked sync.WaitGroup
	for i, a := range s.attempts {
		asked.Go(func() { gone[i] = s.models.Paths.Gone(s.ctx, s.call.Service.Name, a.engine, a.broke) })
	}
	asked.Wait()
	var left []attempt
	for i, a := range s.attempts {
		if !gone[i] {
			left = append(left, a)
		}
	}
	s.attempts = left
	return len(s.attempts) < s.call.Route.Attempts
}

// again reports whether the request may run once more. One whose caller has a part
// of the answer waits for that.
func (s *stream) again(f *Flight, err error) bool {
	unsent := errors.Is(err, errUnsent)
	refused := unsent || errors.Is(err, errNotRun)
	paid := errors.Is(err, errMoved) && f.isPaid()
	if refused && s.begun {
		s.refusals++
	}
	if s.why = s.spent(err, refused || paid); s.why != ReasonNone {
		return false
	}
	s.why = ReasonLost
	if refused && s.begun && !feed.Sleep(s.ctx, pauseAfter(s.refusals)) {
		return false
	}
	return unsent || paid || s.repeat()
}

// spent is what keeps the request from another run, if anything does. free tells that
// the last one used up no attempt, or that the next one is counted already.
func (s *stream) spent(err error, free bool) Reason {
	switch {
	case s.ctx.Err() != nil, errors.Is(err, errCaller), !free && !s.call.Route.Repeatable():
		return ReasonLost
	case s.models.Suspects.Guilty(s.call.Print()):
		return ReasonPoison
	case s.runs-s.refusals >= maxRuns, !free && !s.mayRunAgain():
		return ReasonSpent
	}
	return ReasonNone
}

// repeat reports whether the bound on repeats allows another run.
func (s *stream) repeat() bool {
	if s.begun {
		return s.awaitRepeat()
	}
	return s.models.Budget.Again(s.call.Service.Name)
}

// pauseAfter is the pause after so many refusals or looks for a repeat.
func pauseAfter(times int) time.Duration {
	pause := minPause
	for range times - 1 {
		pause = min(2*pause, maxPause)
	}
	return pause
}

// awaitRepeat waits until a repeat is allowed; false if the caller leaves or the time
// is over before that.
func (s *stream) awaitRepeat() bool {
	for n := 1; !s.models.Budget.Again(s.call.Service.Name); n++ {
		if !feed.Sleep(s.ctx, pauseAfter(n)) {
			return false
		}
	}
	return true
}
