package peer

import (
	"context"

	"fulmarwick/internal/base/spec"

	"github.com/go-faster/errors"
)

// maxJobs is how many forwarded requests one connection serves at once.
const maxJobs = 4096

// FaultError is the final answer of the instance that a request was forwarded
// to: it gave the request up.
type FaultError struct {
	// Count is how many tokens the answer has so far.
	Count int
	Fault Fault
}

// Error names the fault.
func (e *FaultError) Error() string { return "peer: forwarded request failed: " + e.Fault.Code }

// Forward has the instance to run a job and hands its tokens to sink in order,
// each index once, from job.Done on. It returns a FaultError if the other
// instance gave the request up, ErrRefused if it took nothing, and ErrBroken
// if the answer was cut; then all tokens handed to sink are right, and the
// caller may go on from the next. When ctx ends or sink fails, the work there
// is cancelled.
func (h *Hub) Forward(ctx context.Context, to spec.InstanceID, job Job, sink func(Token) error) (End, error) {
	h.init()
	// A request goes over one hop at most, so it can never go in a circle.
	if job.Hops >= maxHops {
		return End{}, errors.Wrap(ErrRefused, "forwarded before")
	}
	job.Hops++
	c, err := h.connect(ctx, to)
	if err != nil {
		return End{}, err
	}
	s := c.openStream()
	if s == nil {
		return End{}, errors.Wrap(ErrRefused, "connection closed")
	}
	h.meter.forwarded.Inc()
	complete := false
	defer func() { s.close(complete) }()
	if err := c.enqueue(ctx, &frame{Kind: kindForward, ID: s.id, Job: &job}); err != nil {
		return End{}, err
	}
	end, err := s.readAnswer(ctx, job.Done, sink)
	var fault *FaultError
	complete = err == nil || errors.As(err, &fault)
	return end, err
}

// readAnswer hands on tokens until the end. It checks that none is missing.
func (s *outStream) readAnswer(ctx context.Context, next int, sink func(Token) error) (End, error) {
	for {
		frames, err := s.next(ctx)
		if err != nil {
			return End{}, err
		}
		for _, f := range frames {
			switch {
			case f.Kind == kindEnd:
				return checkEnd(next, *f.End)
			case f.Kind != kindToken || f.Token.Index < next:
			case f.Token.Index > next:
				return End{}, errors.Wrap(ErrBroken, "a token is missing")
			default:
				if err := sink(*f.Token); err != nil {
					return End{}, err
				}
				next++
			}
		}
	}
}

func checkEnd(next int, end End) (End, error) {
	switch {
	case end.Fault != nil:
		return end, &FaultError{Count: next, Fault: *end.Fault}
	case end.Count != next:
		return End{}, errors.Wrap(ErrBroken, "the answer is not whole")
	}
	return end, nil
}

// serveForward runs a job of another instance.
func (c *conn) serveForward(id uint64, job Job) {
	if f := c.hub.checkJob(&job); f != nil {
		c.reply(&frame{Kind: kindEnd, ID: id, End: &End{Fault: f}})
		return
	}
	ctx, cancel := context.WithCancel(c.hub.ctx)
	if !c.addJob(id, cancel) {
		cancel()
		c.reply(&frame{Kind: kindEnd, ID: id, End: &End{Fault: &Fault{Code: "busy", Ran: "no"}}})
		return
	}
	c.hub.meter.served.Inc()
	ok := c.hub.start(func() {
		defer cancel()
		defer c.removeJob(id)
		end := c.runJob(ctx, id, job)
		_ = c.enqueue(ctx, &frame{Kind: kindEnd, ID: id, End: &end})
	})
	if !ok {
		cancel()
		c.removeJob(id)
	}
}

func (c *conn) runJob(ctx context.Context, id uint64, job Job) End {
	end, err := c.hub.Serve.ServeForwarded(ctx, c.id, job, func(t Token) error {
		return c.enqueue(ctx, &frame{Kind: kindToken, ID: id, Token: &t})
	})
	if err != nil && end.Fault == nil {
		end.Fault = &Fault{Code: "internal", Ran: "yes"}
	}
	return end
}

// Jobs is how many requests of other instances run here. A graceful stop
// waits until there are none.
func (h *Hub) Jobs() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	n := 0
	for c := range h.conns {
		c.mu.Lock()
		n += len(c.jobs)
		c.mu.Unlock()
	}
	return n
}

// checkJob checks what the other side should have checked before.
func (h *Hub) checkJob(job *Job) *Fault {
	switch {
	case h.Serve == nil:
		return &Fault{Code: "not-served", Ran: "no"}
	case job.Hops != maxHops:
		return &Fault{Code: "hops", Text: "The request was forwarded already.", Ran: "no"}
	}
	return nil
}

func (c *conn) addJob(id uint64, cancel context.CancelFunc) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.jobs[id] != nil || len(c.jobs) >= maxJobs {
		return false
	}
	c.jobs[id] = cancel
	return true
}

func (c *conn) removeJob(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.jobs, id)
}

func (c *conn) cancelJob(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if cancel := c.jobs[id]; cancel != nil {
		cancel()
	}
}

// reply sends a frame on behalf of the reading goroutine, which must not wait.
func (c *conn) reply(f *frame) {
	c.hub.start(func() { _ = c.enqueue(c.hub.ctx, f) })
}
