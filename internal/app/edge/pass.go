package edge

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"fulmarwick/internal/app/halt"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/mesh"
	"fulmarwick/internal/fleet/node"
	"fulmarwick/internal/wire/front"
	"fulmarwick/internal/wire/peer"
	"fulmarwick/internal/wire/relay"

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-faster/errors"
	"go.uber.org/zap"
)

const (
	// maxPassTries is how many instances are asked to take a request.
	maxPassTries = 4
	// unreachedTime is how long an instance that does not reach the upstreams of a service
	// either, or that is stopping, is not asked again.
	unreachedTime = time.Second
	// unreachedPause is how long requests of a service are not passed on after no instance took
	// one: the fault is not in the links then. It doubles each time up to maxUnreachedPause.
	// When all instances start, none has anything to give, and the questions of hundreds take
	// the time that they need to start.
	unreachedPause    = 300 * time.Millisecond
	maxUnreachedPause = 16 * unreachedPause
	// limitedTime, limitedPause and maxLimitedPause are the same for instances that have used up
	// their parts of rate limits: they get more several times a second.
	limitedTime     = 100 * time.Millisecond
	limitedPause    = 50 * time.Millisecond
	maxLimitedPause = 8 * limitedPause
	// takenTime is how long after an instance took a request others may be asked for many at
	// once. Otherwise one request goes first, and the others wait for its outcome, but not
	// longer than firstPassTime.
	takenTime     = 5 * time.Second
	firstPassTime = 150 * time.Millisecond
)

// passer passes requests on to other instances while this one does not reach the upstreams, and
// serves the requests that others pass on.
type passer struct {
	hub    *peer.Hub
	centre spec.DataCentre
	// neighbors returns the other instances that may be asked.
	neighbors func() []mesh.Neighbor
	links     *linkWatcher
	server    *front.Server
	drainer   *halt.Drainer
	log       *zap.Logger
	meters    *metrics.Set

	mu sync.Mutex
	// refusals holds the instances that are not asked, with the time until then. An entry
	// without an instance holds for all.
	refusals map[refusalKey]time.Time
	// pauses holds the next pause after no instance took a request; its keys have no instance.
	pauses map[refusalKey]time.Duration
	// taken holds when an instance last took a request, and first the requests that go first,
	// each closed at its end.
	taken map[refusalKey]time.Time
	first map[refusalKey]chan struct{}
	// passed holds the number of requests that each instance serves for this one.
	passed map[spec.InstanceID]int
}

func newPasser(centre string, log *zap.Logger, meters *metrics.Set) *passer {
	return &passer{centre: spec.DataCentre(centre), log: log, meters: meters, refusals: map[refusalKey]time.Time{}, pauses: map[refusalKey]time.Duration{}, taken: map[refusalKey]time.Time{}, first: map[refusalKey]chan struct{}{}, passed: map[spec.InstanceID]int{}}
}

// LinksLost reports whether this instance has lost its links to all upstreams.
func (p *passer) LinksLost() bool { return p.links.areLost() }

// Pass passes a call on to an instance that can run it. While all links of this instance are sound,
// the others reach no more upstreams than it does.
func (p *passer) Pass(ctx context.Context, c *relay.Call, cause relay.PassCause, lastEventID int) (*http.Response, error) {
	if cause == relay.PassUnreached && p.links.areSound() {
		return nil, relay.ErrNoPeer
	}
	key := refusalKey{service: c.Service.Name, cause: cause}
	defer p.goFirst(ctx, key)()
	request := peer.Request{
		Method: c.Method, URI: c.Path, Host: c.Host, Header: c.Header, Body: c.Body, LeftMs: max(1, time.Until(c.Deadline).Milliseconds()),
		LastEvent: lastEventID, Config: c.ConfigVersion, Counted: c.Counted, Attempted: c.Attempted,
	}
	if !c.FirstEventDeadline.IsZero() {
		request.EventLeftMs = max(1, time.Until(c.FirstEventDeadline).Milliseconds())
	}
	var tried []spec.InstanceID
	for len(tried) < maxPassTries && ctx.Err() == nil {
		to, ok := p.choose(key, tried)
		if !ok {
			break
		}
		tried = append(tried, to.ID)
		resp, err := p.ask(ctx, to, request)
		switch {
		case errors.Is(err, peer.ErrRefused):
			p.avoid(refusalKey{service: key.service, cause: cause, instance: to.ID})
			continue
		case err != nil:
			p.log.Info("edge: passed request lost", zap.String("request", c.ParsedHeader.ID), zap.String("peer", string(to.ID)), zap.Error(err))
			return nil, errors.Wrap(relay.ErrPeerLost, err.Error())
		}
		p.setTaken(key)
		return resp, nil
	}
	if len(tried) > 0 {
		p.pause(key)
		p.log.Info("edge: request not passed on", zap.String("request", c.ParsedHeader.ID), zap.Int("asked", len(tried)))
	}
	return nil, relay.ErrNoPeer
}

// ask asks an instance to take a request. The error is peer.ErrRefused if it does not.
func (p *passer) ask(ctx context.Context, to mesh.Neighbor, request peer.Request) (*http.Response, error) {
	resp, err := p.hub.RoundTrip(ctx, node.Peer{ID: to.ID, URL: to.URL}, request)
	if err == nil && front.IsUnreached(resp) {
		_ = resp.Body.Close()
		err = errors.Wrap(peer.ErrRefused, "upstreams not reached")
	}
	switch {
	case errors.Is(err, peer.ErrRefused):
		p.count("refused")
	case err != nil:
		p.count("lost")
	default:
		p.count("taken")
		resp.Body = &passedBody{ReadCloser: resp.Body, end: func() { p.release(to.ID) }}
		return resp, nil
	}
	p.release(to.ID)
	return nil, err
}

func (p *passer) count(end string) {
	p.meters.GetOrCreateCounter(`fulmarwick_passed_total{end="` + end + `"}`).Inc()
}

// choose returns the instance to ask next and counts a request for it: one of the own data
// centre first, then of others, since the instances of a data centre may lose their links
// together. Among equals it is the one that serves the fewest requests for this one.
func (p *passer) choose(key refusalKey, tried []spec.InstanceID) (mesh.Neighbor, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if now.Before(p.refusals[key]) {
		return mesh.Neighbor{}, false
	}
	var best mesh.Neighbor
	bestCost, found := 0, false
	neighbors := p.neighbors()
	for _, i := range rand.Perm(len(neighbors)) {
		n := neighbors[i]
		if slices.Contains(tried, n.ID) || now.Before(p.refusals[refusalKey{service: key.service, cause: key.cause, instance: n.ID}]) {
			continue
		}
		cost := 2 * p.passed[n.ID]
		if isLocal := n.DataCentre == p.centre; isLocal != (len(tried) == 0) {
			// A request more or less decides between data centres only at similar load.
			cost++
		}
		if !found || cost < bestCost {
			best, bestCost, found = n, cost, true
		}
	}
	if found {
		p.passed[best.ID]++
	}
	return best, found
}

// release ends the count of a request for an instance.
func (p *passer) release(id spec.InstanceID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passed[id]--; p.passed[id] <= 0 {
		delete(p.passed, id)
	}
}

// passedBody is the body of a response from another instance.
type passedBody struct {
	io.ReadCloser
	once sync.Once
	end  func()
}

// Close closes the body.
func (b *passedBody) Close() error {
	b.once.Do(b.end)
	return b.ReadCloser.Close()
}

// ServePassed serves a request that another instance passed on.
func (p *passer) ServePassed(ctx context.Context, w http.ResponseWriter, _ spec.InstanceID, r peer.Request) {
	if p.drainer.Stopping() {
		front.RefuseUnreached(w, "instance is stopping")
		return
	}
	p.server.ServePassed(ctx, w, front.Passed{
		Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body, LastEvent: r.LastEvent, Config: r.Config, Counted: r.Counted, Attempted: r.Attempted,
		EventTimeout: time.Duration(r.EventLeftMs) * time.Millisecond,
	})
}
