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

// maxForwards is how many instances are tried for one request. The last try
// stays here.
const maxForwards = 3

// modelRunner runs model requests here, or at another data centre if the routing
// logic says so.
type modelRunner struct {
	*Daemon
}

// Run brings the whole answer to sink. A request whose other instance is lost
// is decided on anew, from the next token: staying here would lose the answer
// where the own data centre has no engines of the model.
func (m *modelRunner) Run(ctx context.Context, job chain.Job, sink chain.Sink) (chain.Result, error) {
	if m.parts.fleet == nil {
		return m.parts.runner.Run(ctx, job, sink)
	}
	given := &delivered{hash: xxhash.New(), sink: sink}
	for try := range maxForwards {
		result, err := m.parts.runner.Run(ctx, job, given.nextSink())
		var forward *chain.ForwardError
		if !errors.As(err, &forward) {
			return result, err
		}
		to := m.parts.fleet.forwardTarget(forward.To, try)
		result, err = m.forward(ctx, to, job, given.nextSink())
		if !errors.Is(err, peer.ErrRefused) && !errors.Is(err, peer.ErrBroken) {
			return result, err
		}
		// An instance that died counts as live for seconds yet. Without this
		// all tries would go to it, and the answer be cut; one that lives
		// tells its room again.
		m.parts.loop.Post(domain.PeerRemoved{Peer: to})
		m.Log.Info("forward: request comes back", zap.String("request", string(job.Arrived.Request)), zap.Error(err))
		job.Arrived.ReceivedTokens = max(job.Arrived.ReceivedTokens, given.count)
	}
	job.Arrived.Hops = 1
	return m.parts.runner.Run(ctx, job, given.nextSink())
}

// forward has another instance run the request.
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

// delivered is what the caller has of an answer that may be made more than once.
type delivered struct {
	hash  *xxhash.Digest
	count int
	sink  chain.Sink
}

// nextSink is the sink of one more making of the answer, from its first token. It
// passes over what the caller has, and refuses an answer that differs from it:
// halves of different answers must not be joined.
func (g *delivered) nextSink() chain.Sink {
	had, want := g.count, g.hash.Sum64()
	sum := xxhash.New()
	return func(t chain.Token) error {
		if t.Index >= had {
			_, _ = g.hash.WriteString(t.Text)
			g.count++
			return g.sink(t)
		}
		_, _ = sum.WriteString(t.Text)
		if t.Index == had-1 && sum.Sum64() != want {
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
		Prompt: a.PromptTokens, Limit: a.MaxTokens, Print: a.Fingerprint, Blocks: a.BlockHashes, Hops: a.Hops,
	}
}

// refusalOf turns the other instance's refusal into what this one would give.
func refusalOf(f peer.Fault) error {
	for r := domain.ReasonOverload; r <= domain.ReasonNotReady; r++ {
		if r.String() == f.Code {
			return &chain.RefusedError{
				Reason: r, After: time.Duration(f.After) * time.Millisecond, Ran: f.Ran != string(entry.RanNo),
			}
		}
	}
	return errors.Errorf("forward: the other instance failed: %s %s", f.Code, f.Text)
}

// forwardServer runs requests that other instances forward.
type forwardServer struct {
	*Daemon
}

// ServeForwarded brings the answer to the other instance.
func (s *forwardServer) ServeForwarded(ctx context.Context, _ spec.InstanceID, job peer.Job, sink func(peer.Token) error) (peer.End, error) {
	arrived := domain.RequestArrived{
		Request: job.Request, Team: job.Team, Class: job.Class, Model: job.Model, PromptTokens: job.Prompt,
		MaxTokens: job.Limit, BlockHashes: job.Blocks, Fingerprint: job.Print, Hops: job.Hops,
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
