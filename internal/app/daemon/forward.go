package daemon

import (
	"context"
	"net/http"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/wire/chain"
	"fulmarwick/internal/wire/entry"
	"fulmarwick/internal/wire/peer"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

// maxForwards is the maximum number of instances that one request is forwarded
// to. After that the request runs locally.
const maxForwards = 3

// modelRunner runs model requests on this instance, or forwards them to another
// data centre if the routing logic decides so.
type modelRunner struct {
	*Daemon
}

// Run sends the whole answer to sink. If the instance that a request was
// forwarded to is lost, the request is routed again and continues at the next
// token. Running it locally instead would lose the answer if the local data
// centre has no engines of the model.
func (m *modelRunner) Run(ctx context.Context, job chain.Job, sink chain.Sink) (chain.Result, error) {
	if m.parts.fleet == nil {
		return m.parts.runner.Run(ctx, job, sink)
	}
	answer := &delivered{hash: xxhash.New(), sink: sink}
	for try := range maxForwards {
		result, err := m.parts.runner.Run(ctx, job, answer.nextSink())
		var forward *chain.ForwardError
		if !errors.As(err, &forward) {
			return result, err
		}
		to := m.parts.fleet.forwardTarget(forward.To, try)
		result, err = m.forward(ctx, to, job, answer.nextSink())
		if !errors.Is(err, peer.ErrRefused) && !errors.Is(err, peer.ErrBroken) {
			return result, err
		}
		// An instance that died counts as live for a few more seconds. Without
		// removing it here, all attempts would go to it and the answer would be
		// cut off. An instance that is still alive reports its capacity again.
		m.parts.loop.Post(domain.PeerRemoved{Peer: to})
		m.Log.Info("forward: remote instance failed, request routed again", zap.String("request", string(job.Arrived.Request)), zap.Error(err))
		job.Arrived.ReceivedTokens = max(job.Arrived.ReceivedTokens, answer.count)
	}
	job.Arrived.Hops = 1
	return m.parts.runner.Run(ctx, job, answer.nextSink())
}

// forward runs the request on another instance.
func (m *modelRunner) forward(ctx context.Context, to spec.InstanceID, job chain.Job, sink chain.Sink) (chain.Result, error) {
	end, err := m.parts.fleet.hub.Forward(ctx, to, peerJob(job), func(t peer.Token) error {
		return sink(chain.Token{Index: t.Index, Text: t.Text})
	})
	var fault *peer.FaultError
	if errors.As(err, &fault) {
		return chain.Result{Tokens: fault.Count}, refusalOf(fault.Fault)
	}
	return chain.Result{Tokens: end.Count, Stop: end.Stop}, err
}

// delivered tracks the part of an answer that the caller has received. The
// answer may be generated more than once.
type delivered struct {
	hash  *xxhash.Digest
	count int
	sink  chain.Sink
}

// nextSink returns the sink for another run that generates the answer from its
// first token. The sink skips tokens that the caller already has and rejects an
// answer that differs from them, because parts of different answers must not be
// joined.
func (d *delivered) nextSink() chain.Sink {
	count, want := d.count, d.hash.Sum64()
	hash := xxhash.New()
	return func(t chain.Token) error {
		if t.Index >= count {
			_, _ = d.hash.WriteString(t.Text)
			d.count++
			return d.sink(t)
		}
		_, _ = hash.WriteString(t.Text)
		if t.Index == count-1 && hash.Sum64() != want {
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
		Prompt: a.PromptTokens, Limit: a.MaxTokens, Fingerprint: a.Fingerprint, Blocks: a.BlockHashes, Hops: a.Hops,
	}
}

// refusalOf converts a refusal by another instance into the error that this
// instance would return.
func refusalOf(f peer.Fault) error {
	for r := domain.ReasonOverload; r <= domain.ReasonNotReady; r++ {
		if r.String() == f.Code {
			return &chain.RefusedError{
				Reason: r, RetryAfter: time.Duration(f.After) * time.Millisecond, Ran: f.Ran != string(entry.RanNo),
			}
		}
	}
	return errors.Errorf("forward: remote instance failed: %s %s", f.Code, f.Text)
}

// forwardServer runs requests forwarded by other instances.
type forwardServer struct {
	*Daemon
}

// ServeForwarded runs a forwarded request and sends its answer to the other
// instance through sink.
func (s *forwardServer) ServeForwarded(ctx context.Context, _ spec.InstanceID, job peer.Job, sink func(peer.Token) error) (peer.End, error) {
	arrived := domain.RequestArrived{
		Request: job.Request, Team: job.Team, Class: job.Class, Model: job.Model, PromptTokens: job.Prompt,
		MaxTokens: job.Limit, BlockHashes: job.Blocks, Fingerprint: job.Fingerprint, Hops: job.Hops,
	}
	result, err := s.parts.runner.Run(ctx, chain.Job{Arrived: arrived, Text: job.Text}, func(t chain.Token) error {
		return sink(peer.Token{Index: t.Index, Text: t.Text})
	})
	var refused *chain.RefusedError
	if errors.As(err, &refused) {
		f := &peer.Fault{Code: refused.Reason.String(), Ran: string(entry.RanNo), After: refused.RetryAfter.Milliseconds()}
		if refused.Ran {
			f.Ran = string(entry.RanYes)
		}
		return peer.End{Count: result.Tokens, Fault: f}, nil
	}
	return peer.End{Count: result.Tokens, Stop: result.Stop}, err
}
