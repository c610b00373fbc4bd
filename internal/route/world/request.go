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
	chain   spec.Chain
	// due is set while the request waits for a decision.
	due bool
	// lost are the engines that failed under this request.
	lost []spec.UpstreamID
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

// Chain is the chain of the last Start.
func (r *Request) Chain() spec.Chain { return r.chain }

// Lost are the engines that failed under this request.
func (r *Request) Lost() []spec.UpstreamID { return r.lost }

// Requests is the table of requests in progress on this instance.
type Requests struct {
	index map[spec.RequestID]*Request
	due   []*Request
}

// Get returns the request, or nil if it is not in progress.
func (t *Requests) Get(id spec.RequestID) *Request { return t.index[id] }

// Len is how many requests are in progress.
func (t *Requests) Len() int { return len(t.index) }

// Due are the requests that wait for a decision, oldest first.
func (t *Requests) Due() []*Request { return t.due }

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

func (t *Requests) settled(r *Request) {
	r.due = false
	for i, d := range t.due {
		if d == r {
			t.due = append(t.due[:i], t.due[i+1:]...)
			return
		}
	}
}
