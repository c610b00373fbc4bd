package relay

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/state/feed"

	"github.com/go-faster/errors"
)

const (
	// minRetryBackoff is the shortest pause before a stream is retried that was
	// refused or found the retry budget empty. Capacity becomes free as other
	// answers end.
	minRetryBackoff = 50 * time.Millisecond
	// maxRetryBackoff is the longest such pause.
	maxRetryBackoff = 400 * time.Millisecond
)

// recordFailure records which engine may have run the request in a failed run.
func (c *modelCall) recordFailure(run *Run, err error) {
	if errors.Is(err, errNotRun) || errors.Is(err, errUnsent) || errors.Is(err, errUnwritten) || errors.Is(err, errEventTimeout) {
		return
	}
	c.mayHaveRun = true
	// Of an engine that another instance told of, the incarnation is not known.
	known := func(p crash.Process) bool {
		return p == run.First || p == crash.Process{Upstream: run.First.Upstream}
	}
	if !slices.ContainsFunc(c.attempts, known) {
		c.attempts = append(c.attempts, run.First)
	}
}

// processesOf returns the processes of engines that another instance told of.
func processesOf(engines []spec.UpstreamID) []crash.Process {
	out := make([]crash.Process, 0, len(engines))
	for _, engine := range engines {
		out = append(out, crash.Process{Upstream: engine})
	}
	return out
}

// attemptedEngines returns the engines on which runs may have begun.
func (c *modelCall) attemptedEngines() (out []spec.UpstreamID) {
	for _, p := range c.attempts {
		out = append(out, p.Upstream)
	}
	return out
}

// hasAttemptLeft reports whether an attempt is left. Engines that have exited do not
// count. The engines are probed only if the limit is reached.
func (c *modelCall) hasAttemptLeft() bool {
	own := c.attempts[len(c.call.Attempted):]
	if c.call.Passed && c.reaches(own, 1) {
		// The instance that passed the request on counts one attempt for it.
		return false
	}
	return !c.reaches(c.attempts, c.call.Route.MaxAttempts)
}

// reaches reports whether at least limit of the engines have not exited.
func (c *modelCall) reaches(attempts []crash.Process, limit int) bool {
	if len(attempts) < limit {
		return false
	}
	var exited atomic.Int32
	var probes sync.WaitGroup
	for _, p := range attempts {
		probes.Go(func() {
			if c.runner.Paths.ConfirmExited(c.ctx, c.call, p) {
				exited.Add(1)
			}
		})
	}
	probes.Wait()
	return len(attempts)-int(exited.Load()) >= limit
}

// shouldRetry reports whether the request may run again. If the caller already has a
// part of the answer, it waits until a retry is allowed.
func (c *modelCall) shouldRetry(run *Run, err error) bool {
	unsent := errors.Is(err, errUnsent)
	refused := unsent || errors.Is(err, errNotRun)
	counted := errors.Is(err, errRerouted) && run.isRetryCounted()
	if refused {
		c.countRefusal()
	}
	if c.noRetryReason = c.retryBlocker(err, refused || counted); c.noRetryReason != ReasonNone {
		return false
	}
	c.noRetryReason = ReasonResponseLost
	if refused && c.hasPartialAnswer() && !feed.Sleep(c.ctx, retryBackoff(c.resumeRefusals)) {
		return false
	}
	return unsent || counted || c.takeRetry()
}

// countRefusal counts a run that an engine refused, or that was not sent.
func (c *modelCall) countRefusal() {
	c.refusals++
	if c.hasPartialAnswer() {
		c.resumeRefusals++
	}
}

// retryBlocker returns why the request must not run again, or ReasonNone. free means
// that the last run used no attempt, or that the next run is already counted as a
// retry.
func (c *modelCall) retryBlocker(err error, free bool) Reason {
	switch {
	case c.ctx.Err() != nil, errors.Is(err, errCallerGone), errors.Is(err, errEventTimeout), !free && !c.call.Route.Retryable():
		return ReasonResponseLost
	case c.runner.CrashTracker.IsCulprit(c.call.Suspects()):
		return ReasonPoison
	case !c.hasPartialAnswer() && c.refusals >= maxRefusalsPerRequest, c.runs-c.refusals >= maxRunsPerRequest, !free && !c.hasAttemptLeft():
		return ReasonAttemptsExhausted
	}
	return ReasonNone
}

// takeRetry reports whether the retry budget allows another run. A caller that can't be promised that
// the request has not run may not send it again, so the request waits for the budget.
func (c *modelCall) takeRetry() bool {
	if c.hasPartialAnswer() || c.mayHaveRun {
		return c.awaitRetry()
	}
	return c.runner.RetryBudget.AllowRetry(c.call.Service.Name)
}

// retryBackoff returns the pause after a number of refusals or of failed attempts to
// get a retry from the budget.
func retryBackoff(failures int) time.Duration {
	backoff := minRetryBackoff
	for range failures - 1 {
		backoff = min(2*backoff, maxRetryBackoff)
	}
	return backoff
}

// awaitRetry waits until the budget allows a retry. It returns false if the caller
// disconnects or the deadline passes first.
func (c *modelCall) awaitRetry() bool {
	for n := 1; !c.runner.RetryBudget.AllowRetry(c.call.Service.Name); n++ {
		if c.hasCallerTimedOut() || !feed.Sleep(c.ctx, retryBackoff(n)) {
			return false
		}
	}
	return true
}
