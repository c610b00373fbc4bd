package plain

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"fulmarwick/internal/base/spec"

	"github.com/go-faster/errors"
)

const (
	defaultLoadInterval = time.Second
	loadTimeout         = time.Second
	maxLoad             = 4 << 10
	// recentWindow is how long after its last call an instance's load is read.
	recentWindow = 30 * time.Second
	// stateLeaving is what a leaving instance reports.
	stateLeaving = "leaving"
)

// loadBody is the body of GET /v1/load: how many calls an instance of a service
// has running and waiting, and whether it leaves. A service need not serve it.
type loadBody struct {
	State  string `json:"state"`
	Active int    `json:"active"`
	Queued int    `json:"queued"`
}

// target is an instance whose load is read.
type target struct {
	service spec.ServiceName
	base    string
}

// Run reads the loads of the instances that were sent calls lately, until ctx
// ends. An instance that this router does not use costs nothing, so that a
// service is not asked by a whole fleet for the sake of a few callers.
func (s *Sender) Run(ctx context.Context) error {
	every := s.LoadInterval
	if every == 0 {
		every = defaultLoadInterval
	}
	ticker := time.NewTicker(every)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			s.ReadLoads(ctx)
		}
	}
}

// ReadLoads reads the loads once. One that cannot be read is left as it was:
// calls, not reports, tell whether an instance can be reached.
func (s *Sender) ReadLoads(ctx context.Context) {
	var all sync.WaitGroup
	for _, t := range s.recentlyUsed() {
		all.Go(func() {
			body, err := s.readLoad(ctx, t.base)
			if err == nil {
				s.applyLoad(t, body)
			}
		})
	}
	all.Wait()
}

func (s *Sender) readLoad(ctx context.Context, base string) (loadBody, error) {
	var body loadBody
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, base+"/v1/load", http.NoBody)
	if err != nil {
		return body, errors.Wrap(err, "plain: load")
	}
	resp, err := s.HTTP.Do(req)
	if err != nil {
		return body, errors.Wrap(err, "plain: load")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return body, errors.Errorf("plain: load, status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoad)).Decode(&body); err != nil {
		return body, errors.Wrap(err, "plain: load")
	}
	return body, nil
}

// recentlyUsed are the instances that were sent calls lately.
func (s *Sender) recentlyUsed() []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []target
	for service, all := range s.instances {
		for _, p := range all {
			if !p.lastSent.IsZero() && now.Sub(p.lastSent) < recentWindow {
				out = append(out, target{service: service, base: p.base})
			}
		}
	}
	return out
}

// applyLoad takes a load. The own calls in flight are in the report too, so they
// are taken off: what counts twice would send everything elsewhere.
func (s *Sender) applyLoad(t target, body loadBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.instances.find(t.service, t.base)
	if p == nil {
		return
	}
	p.load = max(0, body.Active+body.Queued-p.inFlight)
	p.leaving = body.State == stateLeaving
}
