package domain

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
)

// Request is a row of the request table: a request in progress on this
// instance.
type Request struct {
	arrival   RequestArrived
	class     spec.Class
	arrivedAt time.Duration
	tokens    int
	attempt   uint32
	plan      Plan
	// startedAt is the time of the last Start.
	startedAt time.Duration
	// tokensAtStart is the number of tokens generated before the last Start.
	tokensAtStart int
	// awaitsRestart is set from the loss of a stage until the next start.
	awaitsRestart bool
	// waited is set if the request waited for an engine again since the last
	// Start, tokensAtWait the number of tokens generated before that.
	waited       bool
	tokensAtWait int
	// due is set while the request waits for a decision.
	due   bool
	ended bool
	// completed is set when the request ended with its whole answer.
	completed bool
	// failures are the failures of engines while running this request, the
	// latest last.
	failures   []engineFailure
	lossCause  Cause
	engineDied bool
	// charges is the load that the request added to engines.
	charges []charge
}

// engineFailure is the failure of an engine and its cause.
type engineFailure struct {
	engine spec.UpstreamID
	cause  Cause
}

// charge is the load that a request added to one engine.
type charge struct {
	engine   *Engine
	demand   int64
	kvTokens int64
}

// Plan is a chosen chain with its predicted times and demands.
type Plan struct {
	Chain   spec.Chain
	Depth   int
	Version string
	// StageDemands is the demand of each stage on its engine, in layer-tokens
	// per second.
	StageDemands []int64
	// FirstTokenTime, TokenTime and TotalTime are the predicted times from
	// the start to the next token, for each later token, and from the start
	// to the end.
	FirstTokenTime time.Duration
	TokenTime      time.Duration
	TotalTime      time.Duration
	// MaxStepTime is the predicted time of the longest step of one stage for
	// a token.
	MaxStepTime time.Duration
	// MaxPrefillTime is the same for a stage without state.
	MaxPrefillTime time.Duration
	// NewEngines are the engines of the stages that the request did not have
	// before.
	NewEngines []spec.UpstreamID
	// CacheHitShare is the fraction of the prompt's work that cached prefixes
	// save.
	CacheHitShare float64
}

// Arrival returns the event with which the request arrived.
func (r *Request) Arrival() RequestArrived { return r.arrival }

// Class returns the class of the request.
func (r *Request) Class() spec.Class { return r.class }

// ArrivedAt returns the time of arrival, on the clock of RoutingState.Now.
func (r *Request) ArrivedAt() time.Duration { return r.arrivedAt }

// Tokens returns the last known number of generated tokens.
func (r *Request) Tokens() int { return r.tokens }

// Attempt returns the number of the last Start; zero before the first.
func (r *Request) Attempt() uint32 { return r.attempt }

// Plan returns the plan of the last Start.
func (r *Request) Plan() Plan { return r.plan }

// MaxKVTokens returns the maximum number of KV tokens that the request may
// take on an engine.
func (r *Request) MaxKVTokens() int { return r.arrival.PromptTokens + r.arrival.MaxTokens }

// Chain returns the chain of the last Start.
func (r *Request) Chain() spec.Chain { return r.plan.Chain }

// StartedAt returns the time of the last Start.
func (r *Request) StartedAt() time.Duration { return r.startedAt }

// TokensAtStart returns the number of tokens generated before the last Start.
func (r *Request) TokensAtStart() int { return r.tokensAtStart }

// FailureCount returns how many times an engine failed while running this
// request.
func (r *Request) FailureCount() int { return len(r.failures) }

// LastFailed returns the engine that failed last while running this request;
// "" if none did.
func (r *Request) LastFailed() spec.UpstreamID {
	if len(r.failures) == 0 {
		return ""
	}
	return r.failures[len(r.failures)-1].engine
}

// LossCause returns how the last lost stage was lost.
func (r *Request) LossCause() Cause { return r.lossCause }

// EngineDied reports whether the engine of the last lost stage died, rather
// than failed only this request.
func (r *Request) EngineDied() bool { return r.engineDied }

// Ended reports whether the request ended. A component that still holds an
// ended request must drop it.
func (r *Request) Ended() bool { return r.ended }

// Completed reports whether the request ended with its whole answer.
func (r *Request) Completed() bool { return r.completed }

// AwaitsRestart reports whether the request lost a stage and was not started
// again since.
func (r *Request) AwaitsRestart() bool { return r.awaitsRestart }

// HasWaited reports whether the request waited for an engine again and has
// generated no token since.
func (r *Request) HasWaited() bool { return r.waited && r.tokens == r.tokensAtWait }

// FailedOn reports whether the engine failed while running this request.
func (r *Request) FailedOn(id spec.UpstreamID) bool {
	_, failed := r.lastFailureOn(id)
	return failed
}

// BrokeOn reports whether the last failure of the engine while running this
// request was another than that it did not answer in time.
func (r *Request) BrokeOn(id spec.UpstreamID) bool {
	cause, failed := r.lastFailureOn(id)
	return failed && cause != CauseTimeout
}

func (r *Request) lastFailureOn(id spec.UpstreamID) (Cause, bool) {
	for _, f := range slices.Backward(r.failures) {
		if f.engine == id {
			return f.cause, true
		}
	}
	return 0, false
}

// Requests is the table of requests in progress on this instance.
type Requests struct {
	index map[spec.RequestID]*Request
	due   []*Request
}

// Get returns the request with this ID, or nil if it is not in progress.
func (t *Requests) Get(id spec.RequestID) *Request { return t.index[id] }

// Len returns the number of requests in progress.
func (t *Requests) Len() int { return len(t.index) }

// TakeDue removes and returns the requests that wait for a decision, oldest
// first. The caller must settle each of them or keep it.
func (t *Requests) TakeDue() []*Request {
	due := t.due
	t.due = nil
	pending := due[:0]
	for _, r := range due {
		if r.due && !r.ended {
			r.due = false
			pending = append(pending, r)
		}
	}
	return pending
}

func (t *Requests) add(r *Request) {
	if t.index == nil {
		t.index = map[spec.RequestID]*Request{}
	}
	t.index[r.arrival.Request] = r
	t.addDue(r)
}

func (t *Requests) addDue(r *Request) {
	if r.due {
		return
	}
	r.due = true
	t.due = append(t.due, r)
}

// Requeue makes a request due for a decision again, for the next tick.
func (t *Requests) Requeue(r *Request) { t.addDue(r) }
