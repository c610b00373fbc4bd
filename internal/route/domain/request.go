package domain

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Request is a row of the request table.
type Request struct {
	arrival   RequestArrived
	class     spec.Class
	arrivedAt time.Duration
	tokens    int
	attempt   uint32
	plan      Plan
	// startedAt is when the last Start was given, and from how many tokens.
	startedAt     time.Duration
	tokensAtStart int
	// awaitsRestart is set from a loss to the next start.
	awaitsRestart bool
	// due is set while the request waits for a decision.
	due   bool
	ended bool
	// completed is set when the request ended with its whole answer.
	completed bool
	// failedEngines are the engines that failed under this request, last the last.
	failedEngines []spec.UpstreamID
	lossCause     Cause
	engineDied    bool
	// charges is what the request added to the draw of engines.
	charges []charge
}

type charge struct {
	engine   *Engine
	demand   int64
	kvTokens int64
}

// Plan is a chosen chain with what was predicted for it.
type Plan struct {
	Chain   spec.Chain
	Depth   int
	Version string
	// StageDemands is per stage what the request takes of its engine, in
	// layer-tokens a second.
	StageDemands []int64
	// First, Token and Whole are the predicted times from the start to the
	// next token, of each later token, and to the end.
	FirstTokenTime time.Duration
	TokenTime      time.Duration
	TotalTime      time.Duration
	// MaxStepTime and Prefill are the longest predicted step of one stage, for a
	// token and for a stage without state.
	MaxStepTime    time.Duration
	MaxPrefillTime time.Duration
	// NewEngines are the engines of stages that the request did not have before.
	NewEngines []spec.UpstreamID
	// CacheHitShare is the part of the prompt's work that cached prefixes save.
	CacheHitShare float64
}

// Arrival is the event with which the request came.
func (r *Request) Arrival() RequestArrived { return r.arrival }

// Class is the class of the request.
func (r *Request) Class() spec.Class { return r.class }

// ArrivedAt is when the request came, on the clock of Tick.
func (r *Request) ArrivedAt() time.Duration { return r.arrivedAt }

// Tokens is how many tokens the request was last known to have made.
func (r *Request) Tokens() int { return r.tokens }

// Attempt is the number of the last Start; zero before the first.
func (r *Request) Attempt() uint32 { return r.attempt }

// Plan is what the last Start ran.
func (r *Request) Plan() Plan { return r.plan }

// MaxKVTokens is how many KV tokens the request may come to take on an engine.
func (r *Request) MaxKVTokens() int { return r.arrival.PromptTokens + r.arrival.MaxTokens }

// Chain is the chain of the last Start.
func (r *Request) Chain() spec.Chain { return r.plan.Chain }

// StartedAt is when the last Start was given.
func (r *Request) StartedAt() time.Duration { return r.startedAt }

// TokensAtStart is how many tokens the request had made at the last Start.
func (r *Request) TokensAtStart() int { return r.tokensAtStart }

// FailedEngines are the engines that failed under this request.
func (r *Request) FailedEngines() []spec.UpstreamID { return r.failedEngines }

// LossCause is how the last engine was lost.
func (r *Request) LossCause() Cause { return r.lossCause }

// EngineDied reports whether the last lost engine died, rather than failed only
// this request.
func (r *Request) EngineDied() bool { return r.engineDied }

// Ended reports whether the request ended; a system that kept it must drop it.
func (r *Request) Ended() bool { return r.ended }

// Completed reports whether the request ended with its whole answer.
func (r *Request) Completed() bool { return r.completed }

// AwaitsRestart reports whether the request lost a stage and was not started since.
func (r *Request) AwaitsRestart() bool { return r.awaitsRestart }

// Avoids reports whether the engine failed under this request.
func (r *Request) Avoids(id spec.UpstreamID) bool {
	for _, l := range r.failedEngines {
		if l == id {
			return true
		}
	}
	return false
}

// Requests is the table of requests in progress on this instance.
type Requests struct {
	index map[spec.RequestID]*Request
	due   []*Request
}

// Get returns the request, or nil if it is not in progress.
func (t *Requests) Get(id spec.RequestID) *Request { return t.index[id] }

// Len is how many requests are in progress.
func (t *Requests) Len() int { return len(t.index) }

// TakeDue takes the requests that wait for a decision, oldest first. Whoever
// takes them must settle each or keep it.
func (t *Requests) TakeDue() []*Request {
	due := t.due
	t.due = nil
	live := due[:0]
	for _, r := range due {
		if r.due && !r.ended {
			r.due = false
			live = append(live, r)
		}
	}
	return live
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

// Requeue puts a request back among those due, for the next tick.
func (t *Requests) Requeue(r *Request) { t.addDue(r) }
