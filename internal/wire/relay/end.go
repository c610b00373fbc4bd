package relay

import (
	"time"

	"fulmarwick/internal/route/crash"
	"fulmarwick/internal/route/ewma"

	"github.com/go-faster/errors"
)

// RunEnd is what is known about a run once the instance that sent it stops waiting.
type RunEnd int

//go:generate stringer -type=RunEnd -linecomment -output=runend_string.go

// Ends of runs.
const (
	// RunUnsent means that the upstream got no complete request.
	RunUnsent RunEnd = iota // unsent
	// RunRefused means that the upstream said that it did not run the request and will not.
	RunRefused // refused
	// RunAnswered means that the upstream ran the request and answered.
	RunAnswered // answered
	// RunFailed means that the upstream ran the request and answered with an error.
	RunFailed // failed
	// RunOpen means that no answer came: the upstream may still run the request.
	RunOpen // open
)

// SentRequest describes a request that was sent to a plain upstream and is not waited for any more.
type SentRequest struct {
	Suspects []crash.Key
	// Began is when it was sent, Deadline when the upstream stops to work on it.
	Began    time.Time
	Deadline time.Time
	Outcome  ewma.Outcome
	End      RunEnd
}

// end returns how the run of a plain request ended.
func (r *sendResult) end() RunEnd {
	switch {
	case r.unsent:
		return RunUnsent
	case r.notRun:
		return RunRefused
	case r.response == nil:
		return RunOpen
	case !r.succeeded():
		return RunFailed
	}
	return RunAnswered
}

// modelRunEnd returns how a run ended from the error of runOnce.
func modelRunEnd(err error) RunEnd {
	switch {
	case err == nil:
		return RunAnswered
	case errors.Is(err, errUnsent):
		return RunUnsent
	case errors.Is(err, errNotRun):
		return RunRefused
	case errors.Is(err, errEngineStatus):
		return RunFailed
	}
	return RunOpen
}
