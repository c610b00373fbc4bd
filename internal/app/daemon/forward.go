package daemon

import (
	"context"
	"net/http"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/entry"
	"fulmarwick/internal/wire/peer"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// models runs model requests here, or at another data centre if the routing
// logic says so.
type models struct {
	*Daemon
}

// Run brings the whole answer to sink.
func (m *models) Run(ctx context.Context, job chain.Job, sink chain.Sink) (chain.Result, error) {
	result, err := m.parts.runner.Run(ctx, job, sink)
	var forward *chain.ForwardError
	if !errors.As(err, &forward) || m.parts.fleet == nil {
		return result, err
	}
	f := &forwarded{sum: xxhash.New(), sink: sink}
	end, err := m.parts.fleet.hub.Forward(ctx, forward.To, peerJob(job), f.take)
	if err == nil {
		return chain.Result{Tokens: end.Count, Stop: end.Stop}, nil
	}
	return m.back(ctx, job, f, err)
}

// back runs a request here after the other instance did not bring it to its
// end. It counts as forwarded, so that it is not sent away again.
func (m *models) back(ctx context.Context, job chain.Job, f *forwarded, err error) (chain.Result, error) {
	var fault *peer.FaultError
	switch {
	case errors.As(err, &fault):
		return chain.Result{Tokens: fault.Count}, refusalOf(fault.Fault)
	case errors.Is(err, peer.ErrRefused), errors.Is(err, peer.ErrBroken):
	default:
		return chain.Result{Tokens: f.count}, err
	}
	m.Log.Info("forward: request comes back", zap.String("request", string(job.Arrived.Request)), zap.Error(err))
	job.Arrived.Hops = 1
	return m.parts.runner.Run(ctx, job, f.again())
}

// forwarded counts and sums the tokens that came from the other instance.
type forwarded struct {
	sum   *xxhash.Digest
	count int
	sink  chain.Sink
}

func (f *forwarded) take(t peer.Token) error {
	_, _ = f.sum.WriteString(t.Text)
	f.count++
	return f.sink(chain.Token{Index: t.Index, Text: t.Text})
}

// again is a sink for the answer made anew here. It passes over what the
// caller has, and refuses an answer that differs from it: two halves of
// different answers must not be joined.
func (f *forwarded) again() chain.Sink {
	sum := xxhash.New()
	return func(t chain.Token) error {
		if t.Index >= f.count {
			return f.sink(t)
		}
		_, _ = sum.WriteString(t.Text)
		if t.Index == f.count-1 && sum.Sum64() != f.sum.Sum64() {
			return &entry.FaultError{
				Status: http.StatusBadGateway, Code: "answer-differs",
				Text: "The answer made anew differs from the part already sent; ask again.", Ran: entry.RanYes,
			}
		}
		return nil
	}
}

func peerJob(job chain.Job) peer.Job {
	a := job.Arrived
	return peer.Job{
		Request: a.Request, Team: a.Team, Class: a.Class, Model: a.Model, Text: job.Text,
		Prompt: a.Prompt, Limit: a.Limit, Print: a.Print, Blocks: a.Blocks, Hops: a.Hops,
	}
}

// refusalOf turns the other instance's refusal into what this one would give.
func refusalOf(f peer.Fault) error {
	for r := world.ReasonOverload; r <= world.ReasonReady; r++ {
		if r.String() == f.Code {
			return &chain.RefusedError{
				Reason: r, After: time.Duration(f.After) * time.Millisecond, Ran: f.Ran != string(entry.RanNo),
			}
		}
	}
	return errors.Errorf("forward: the other instance failed: %s %s", f.Code, f.Text)
}

// server runs requests that other instances forward.
type server struct {
	*Daemon
}

// ServeForwarded brings the answer to the other instance.
func (s *server) ServeForwarded(ctx context.Context, _ spec.InstanceID, job peer.Job, sink func(peer.Token) error) (peer.End, error) {
	arrived := world.Arrived{
		Request: job.Request, Team: job.Team, Class: job.Class, Model: job.Model, Prompt: job.Prompt,
		Limit: job.Limit, Blocks: job.Blocks, Print: job.Print, Hops: job.Hops,
	}
	result, err := s.parts.runner.Run(ctx, chain.Job{Arrived: arrived, Text: job.Text}, func(t chain.Token) error {
		return sink(peer.Token{Index: t.Index, Text: t.Text})
	})
	var refused *chain.RefusedError
	if errors.As(err, &refused) {
		f := &peer.Fault{Code: refused.Reason.String(), Ran: string(entry.RanNo), After: refused.After.Milliseconds()}
		if refused.Ran {
			f.Ran = string(entry.RanYes)
		}
		return peer.End{Count: result.Tokens, Fault: f}, nil
	}
	return peer.End{Count: result.Tokens, Stop: result.Stop}, err
}
