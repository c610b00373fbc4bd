package peer

import (
	"context"

	"fulmarwick/internal/base/spec"

	"github.com/go-faster/errors"
)

// maxJobs is the number of forwarded requests that one connection serves at a
// time.
const maxJobs = 4096

// FaultError is the final answer of the instance that a request was forwarded
// to: it could not complete the request.
type FaultError struct {
	// Count is the number of tokens in the answer so far.
	Count int
	Fault Fault
}

// Error returns the code of the fault.
func (e *FaultError) Error() string { return "peer: forwarded request failed: " + e.Fault.Code }

// Forward runs a job on another instance and passes its tokens to sink in
// order, each index once, starting at job.Done. It returns a FaultError if the
// other instance gave up on the request, ErrRefused if it ran nothing, and
// ErrBroken if the answer was interrupted. In that case all tokens passed to
// sink are valid and the caller may resume after the last one. If ctx ends or
// sink fails, the job is cancelled on the other instance.
func (h *Hub) Forward(ctx context.Context, to spec.InstanceID, job Job, sink func(Token) error) (End, error) {
	h.init()
	// A request is forwarded over one hop at most, so it cannot loop.
	if job.Hops >= maxHops {
		return End{}, errors.Wrap(ErrRefused, "already forwarded")
	}
	job.Hops++
	c, err := h.connect(ctx, to, "")
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

// readAnswer passes tokens to sink until the answer ends. It checks that no
// token is missing.
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
				return End{}, errors.Wrap(ErrBroken, "token missing")
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
		return End{}, errors.Wrap(ErrBroken, "answer incomplete")
	}
	return end, nil
}

// serveForward runs a job for another instance.
func (c *conn) serveForward(id uint64, job Job) {
	if f := c.hub.checkJob(&job); f != nil {
		c.reply(&frame{Kind: kindEnd, ID: id, End: &End{Fault: f}})
		return
	}
	ctx, cancel := context.WithCancel(c.hub.ctx)
	if !c.addJob(id, cancel) {
		cancel()
		c.reply(&frame{Kind: kindEnd, ID: id, End: &End{Fault: &Fault{Code: "busy", Ran: ranNo}}})
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
	end, err := c.hub.JobServer.ServeForwarded(ctx, c.id, job, func(t Token) error {
		return c.enqueue(ctx, &frame{Kind: kindToken, ID: id, Token: &t})
	})
	if err != nil && end.Fault == nil {
		end.Fault = &Fault{Code: "internal", Ran: "yes"}
	}
	return end
}

// Jobs returns the number of requests that run here for other instances. A
// graceful shutdown waits until it is zero.
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

// checkJob repeats the checks that the sender should have made. It returns nil
// if the job can run.
func (h *Hub) checkJob(job *Job) *Fault {
	switch {
	case h.JobServer == nil:
		return &Fault{Code: "not-served", Ran: ranNo}
	case job.Hops != maxHops:
		return &Fault{Code: "hops", Text: "The request was forwarded already.", Ran: ranNo}
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

// reply sends a frame for the read loop, which must not block.
func (c *conn) reply(f *frame) {
	c.hub.start(func() { _ = c.enqueue(c.hub.ctx, f) })
}
