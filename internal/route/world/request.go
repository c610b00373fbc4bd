package world

import (
	"time"

	"fulmarwick/internal/base/spec"
)

// Request is a row of the request table.
type Request struct {
	arrived Arrived
	class   spec.Class
	at      time.Duration
	tokens  int
	attempt uint32
	plan    Plan
	// started is when the last Start was given, and from how many tokens.
	started time.Duration
	from    int
	// asking is set from a loss to the next start.
	asking bool
	// due is set while the request waits for a decision.
	due  bool
	gone bool
	// done is set when the request ended with its whole answer.
	done bool
	// lost are the engines that failed under this request, last the last.
	lost  []spec.UpstreamID
	cause Cause
	died  bool
	// charges is what the request added to the draw of engines.
	charges []charge
}

type charge struct {
	engine *Engine
	draw   int64
	kv     int64
}

// Plan is a chosen chain with what was predicted for it.
type Plan struct {
	Chain   spec.Chain
	Depth   int
	Version string
	// Draws is per stage what the request takes of its engine, in
	// layer-tokens a second.
	Draws []int64
	// First, Token and Whole are the predicted times from the start to the
	// next token, of each later token, and to the end.
	First time.Duration
	Token time.Duration
	Whole time.Duration
	// Step and Prefill are the longest predicted step of one stage, for a
	// token and for a stage without state.
	Step    time.Duration
	Prefill time.Duration
	// Fresh are the engines of stages that the request did not have before.
	Fresh []spec.UpstreamID
	// Hit is the part of the prompt's work that cached prefixes save.
	Hit float64
}

// Arrived is the event with which the request came.
func (r *Request) Arrived() Arrived { return r.arrived }

// Class is the class of the request.
func (r *Request) Class() spec.Class { return r.class }

// At is when the request came, on the clock of Tick.
func (r *Request) At() time.Duration { return r.at }

// Tokens is how many tokens the request was last known to have made.
func (r *Request) Tokens() int { return r.tokens }

// Attempt is the number of the last Start; zero before the first.
func (r *Request) Attempt() uint32 { return r.attempt }

// Plan is what the last Start ran.
func (r *Request) Plan() Plan { return r.plan }

// KV is how many KV tokens the request may come to take on an engine.
func (r *Request) KV() int { return r.arrived.Prompt + r.arrived.Limit }

// Chain is the chain of the last Start.
func (r *Request) Chain() spec.Chain { return r.plan.Chain }

// Started is when the last Start was given.
func (r *Request) Started() time.Duration { return r.started }

// From is how many tokens the request had made at the last Start.
func (r *Request) From() int { return r.from }

// Lost are the engines that failed under this request.
func (r *Request) Lost() []spec.UpstreamID { return r.lost }

// Cause is how the last engine was lost.
func (r *Request) Cause() Cause { return r.cause }

// Died reports whether the last lost engine died, rather than failed only
// this request.
func (r *Request) Died() bool { return r.died }

// Gone reports whether the request ended; a system that kept it must drop it.
func (r *Request) Gone() bool { return r.gone }

// Done reports whether the request ended with its whole answer.
func (r *Request) Done() bool { return r.done }

// Asking reports whether the request lost a stage and was not started since.
func (r *Request) Asking() bool { return r.asking }

// Avoids reports whether the engine failed under this request.
func (r *Request) Avoids(id spec.UpstreamID) bool {
	for _, l := range r.lost {
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

// Due takes the requests that wait for a decision, oldest first. Whoever
// takes them must settle each or keep it.
func (t *Requests) Due() []*Request {
	due := t.due
	t.due = nil
	live := due[:0]
	for _, r := range due {
		if r.due && !r.gone {
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
	t.index[r.arrived.Request] = r
	t.wait(r)
}

func (t *Requests) wait(r *Request) {
	if r.due {
		return
	}
	r.due = true
	t.due = append(t.due, r)
}

// Again puts a request back among those due, for the next tick.
func (t *Requests) Again(r *Request) { t.wait(r) }
