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
	// minRetryBackoff and maxPause lie between two tries of a stream that was refused or
	// finds no repeat left. Room comes up as other answers end.
	minRetryBackoff = 50 * time.Millisecond
	maxRetryBackoff = 400 * time.Millisecond
)

// attempt is an engine that ran the request as its first one, or may have.
type attempt struct {
	engine spec.UpstreamID
	// brokeRunOff tells that the engine broke the run off: if it was leaving, it has ended.
	brokeRunOff bool
}

// recordFailure learns from a run that failed.
func (s *modelCall) recordFailure(f *Run, err error) {
	if errors.Is(err, errNotRun) || errors.Is(err, errUnsent) {
		return
	}
	s.mayHaveRun = true
	chain, _ := f.Chain()
	first := chain[0].Engine()
	if errors.Is(err, errStaleConn) && f.EventCount() == 0 && !s.runner.Paths.IsDead(s.call.Service.Name, first) {
		return
	}
	broke := !f.isRerouted() && !errors.Is(err, errEngineStatus)
	at := slices.IndexFunc(s.attempts, func(a attempt) bool { return a.engine == first })
	if at < 0 {
		s.attempts = append(s.attempts, attempt{engine: first, brokeRunOff: broke})
	} else {
		s.attempts[at].brokeRunOff = broke
	}
}

// hasAttemptLeft reports whether an attempt is left. Engines that ended do not count:
// where it matters, they are asked whether they have.
func (s *modelCall) hasAttemptLeft() bool {
	if len(s.attempts) < s.call.Route.MaxAttempts {
		return true
	}
	gone := make([]bool, len(s.attempts))
	var asked sync.WaitGroup
	for i, a := range s.attempts {
		asked.Go(func() { gone[i] = s.runner.Paths.ConfirmExited(s.ctx, s.call.Service.Name, a.engine, a.brokeRunOff) })
	}
	asked.Wait()
	var left []attempt
	for i, a := range s.attempts {
		if !gone[i] {
			left = append(left, a)
		}
	}
	s.attempts = left
	return len(s.attempts) < s.call.Route.MaxAttempts
}

// shouldRetry reports whether the request may run once more. One whose caller has a part
// of the answer waits for that.
func (s *modelCall) shouldRetry(f *Run, err error) bool {
	unsent := errors.Is(err, errUnsent)
	refused := unsent || errors.Is(err, errNotRun)
	paid := errors.Is(err, errRerouted) && f.isRetryCounted()
	if refused && s.started {
		s.refusals++
	}
	if s.noRetryReason = s.retryBlocker(err, refused || paid); s.noRetryReason != ReasonNone {
		return false
	}
	s.noRetryReason = ReasonResponseLost
	if refused && s.started && !feed.Sleep(s.ctx, retryBackoff(s.refusals)) {
		return false
	}
	return unsent || paid || s.takeRetry()
}

// retryBlocker is what keeps the request from another run, if anything does. free tells that
// the last one used up no attempt, or that the next one is counted already.
func (s *modelCall) retryBlocker(err error, free bool) Reason {
	switch {
	case s.ctx.Err() != nil, errors.Is(err, errCallerGone), !free && !s.call.Route.Retryable():
		return ReasonResponseLost
	case s.runner.CrashTracker.IsCulprit(s.call.Fingerprint()):
		return ReasonPoison
	case s.runs-s.refusals >= maxRunsPerRequest, !free && !s.hasAttemptLeft():
		return ReasonAttemptsExhausted
	}
	return ReasonNone
}

// takeRetry reports whether the bound on repeats allows another run.
func (s *modelCall) takeRetry() bool {
	if s.started {
		return s.awaitRetry()
	}
	return s.runner.RetryBudget.AllowRetry(s.call.Service.Name)
}

// retryBackoff is the pause after so many refusals or looks for a repeat.
func retryBackoff(times int) time.Duration {
	pause := minRetryBackoff
	for range times - 1 {
		pause = min(2*pause, maxRetryBackoff)
	}
	return pause
}

// awaitRetry waits until a repeat is allowed; false if the caller leaves or the time
// is over before that.
func (s *modelCall) awaitRetry() bool {
	for n := 1; !s.runner.RetryBudget.AllowRetry(s.call.Service.Name); n++ {
		if !feed.Sleep(s.ctx, retryBackoff(n)) {
			return false
		}
	}
	return true
}
