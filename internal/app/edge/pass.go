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
	// unreachedTime is how long an instance that does not reach the upstreams either, or that
	// is stopping, is not asked again.
	unreachedTime = time.Second
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
	// unreached holds the instances that are not asked, with the time until then.
	unreached map[spec.InstanceID]time.Time
	// passed holds the number of requests that each instance serves for this one.
	passed map[spec.InstanceID]int
}

func newPasser(centre string, log *zap.Logger, meters *metrics.Set) *passer {
	return &passer{centre: spec.DataCentre(centre), log: log, meters: meters, unreached: map[spec.InstanceID]time.Time{}, passed: map[spec.InstanceID]int{}}
}

// LinksLost reports whether this instance has lost its links to all upstreams.
func (p *passer) LinksLost() bool { return p.links.areLost() }

// Pass passes a call on to an instance that reaches the upstreams.
func (p *passer) Pass(ctx context.Context, c *relay.Call, lastEventID int) (*http.Response, error) {
	request := peer.Request{
		Method: c.Method, URI: c.Path, Host: c.Host, Header: c.Header, Body: c.Body, LeftMs: max(1, time.Until(c.Deadline).Milliseconds()),
		LastEvent: lastEventID, Config: c.ConfigVersion, Counted: c.Counted,
	}
	var tried []spec.InstanceID
	for len(tried) < maxPassTries && ctx.Err() == nil {
		to, ok := p.choose(tried)
		if !ok {
			break
		}
		tried = append(tried, to.ID)
		resp, err := p.hub.RoundTrip(ctx, node.Peer{ID: to.ID, URL: to.URL}, request)
		switch {
		case errors.Is(err, peer.ErrRefused) || err == nil && front.IsUnreached(resp):
			p.release(to.ID, true)
			p.count("refused")
			if err == nil {
				_ = resp.Body.Close()
			}
			continue
		case err != nil:
			p.release(to.ID, false)
			p.count("lost")
			p.log.Info("edge: passed request lost", zap.String("request", c.ParsedHeader.ID), zap.String("peer", string(to.ID)), zap.Error(err))
			return nil, errors.Wrap(relay.ErrPeerLost, err.Error())
		}
		p.count("taken")
		resp.Body = &passedBody{ReadCloser: resp.Body, end: func() { p.release(to.ID, false) }}
		return resp, nil
	}
	p.log.Info("edge: request not passed on", zap.String("request", c.ParsedHeader.ID), zap.Int("asked", len(tried)))
	return nil, relay.ErrNoPeer
}

func (p *passer) count(end string) {
	p.meters.GetOrCreateCounter(`fulmarwick_passed_total{end="` + end + `"}`).Inc()
}

// choose returns the instance to ask next and counts a request for it: one of the own data
// centre first, then of others, since the instances of a data centre may lose their links
// together. Among equals it is the one that serves the fewest requests for this one.
func (p *passer) choose(tried []spec.InstanceID) (mesh.Neighbor, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var best mesh.Neighbor
	bestCost, found := 0, false
	neighbors := p.neighbors()
	for _, i := range rand.Perm(len(neighbors)) {
		n := neighbors[i]
		if slices.Contains(tried, n.ID) || now.Before(p.unreached[n.ID]) {
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

// release ends the count of a request for an instance. unreached means that it did not take the
// request.
func (p *passer) release(id spec.InstanceID, unreached bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.passed[id]--; p.passed[id] <= 0 {
		delete(p.passed, id)
	}
	now := time.Now()
	for other, until := range p.unreached {
		if now.After(until) {
			delete(p.unreached, other)
		}
	}
	if unreached {
		p.unreached[id] = now.Add(unreachedTime)
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
		Method: r.Method, URI: r.URI, Host: r.Host, Header: r.Header, Body: r.Body, LastEvent: r.LastEvent, Config: r.Config, Counted: r.Counted,
	})
}
