package relay

import (
	"context"

	"fulmarwick/internal/route/path"
	"fulmarwick/internal/route/share"
	"fulmarwick/internal/route/shed"

	"github.com/go-faster/errors"
)

// refusedReply returns the reply to a request that no run could be started for.
func (c *modelCall) refusedReply(err error) Reply {
	restricted, isRestricted := restrictedReply(err)
	r := Reply{Reason: ReasonNoCapacity, MayHaveRun: c.mayHaveRun, Started: c.started, SendCount: c.runs}
	switch {
	case c.errorReply != nil && !c.started:
		return *c.errorReply
	case errors.Is(err, context.Canceled):
		r.Reason = ReasonCallerLeft
	case errors.Is(err, context.DeadlineExceeded):
		r.Reason = ReasonTimeout
	case isRestricted:
		r.Reason, r.RetryAfter = restricted.Reason, restricted.RetryAfter
		return r
	case errors.Is(err, path.ErrNoPath):
		r.Reason, r.Unreached = ReasonNoUpstream, !c.mayHaveRun
	case errors.Is(err, path.ErrRateLimited):
		r.Reason = ReasonRateLimited
	case errors.Is(err, share.ErrReserved):
		r.Reason = ReasonReserved
	case errors.Is(err, shed.ErrLessUrgent):
		r.Reason = ReasonLessUrgent
	}
	if !r.MayHaveRun && r.Reason != ReasonCallerLeft {
		r.RetryAfter = c.runner.Paths.RetryAfter(c.call)
	}
	return r
}

// failedReply returns the reply to a request whose last run failed.
func (c *modelCall) failedReply(err error) Reply {
	r := Reply{Reason: c.noRetryReason, MayHaveRun: c.mayHaveRun, Started: c.started, SendCount: c.runs}
	switch {
	case c.errorReply != nil && !c.started:
		return *c.errorReply
	case errors.Is(err, errCallerGone) || errors.Is(err, errEventTimeout) || errors.Is(c.ctx.Err(), context.Canceled):
		r.Reason = ReasonCallerLeft
	case c.ctx.Err() != nil:
		r.Reason = ReasonTimeout
	case !c.mayHaveRun:
		r.Reason, r.Unreached = ReasonRefused, c.unreached
		r.RetryAfter = c.runner.Paths.RetryAfter(c.call)
	}
	return r
}
