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
	// recentWindow is the time after the last call to an instance for which its
	// load is read.
	recentWindow = 30 * time.Second
	// stateLeaving is the state that a leaving instance reports.
	stateLeaving = "leaving"
)

// loadBody is the body of GET /v1/load: the number of running and waiting calls
// of a service instance, and whether it is leaving. Services may omit this
// endpoint.
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

// Run reads the loads of instances that recently received calls from this
// router, until ctx ends. Other instances are not polled, so that a service
// with few callers is not polled by the whole fleet.
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

// ReadLoads reads the loads once. If a load cannot be read, the last one is
// kept: whether an instance is reachable is learned from calls, not from load
// reports.
func (s *Sender) ReadLoads(ctx context.Context) {
	var group sync.WaitGroup
	for _, t := range s.recentlyUsed() {
		group.Go(func() {
			body, err := s.readLoad(ctx, t.base)
			if err == nil {
				s.applyLoad(t, body)
			}
		})
	}
	group.Wait()
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
		return body, errors.Errorf("plain: load: status %d", resp.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLoad)).Decode(&body); err != nil {
		return body, errors.Wrap(err, "plain: load")
	}
	return body, nil
}

// recentlyUsed returns the instances that recently received calls.
func (s *Sender) recentlyUsed() []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var out []target
	for service, instances := range s.instances {
		for _, inst := range instances {
			if !inst.lastSent.IsZero() && now.Sub(inst.lastSent) < recentWindow {
				out = append(out, target{service: service, base: inst.base})
			}
		}
	}
	return out
}

// applyLoad stores a reported load. The report includes this router's calls in
// flight, so they are subtracted: counting them twice would divert calls to
// other instances.
func (s *Sender) applyLoad(t target, body loadBody) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inst := s.instances.find(t.service, t.base)
	if inst == nil {
		return
	}
	inst.load = max(0, body.Active+body.Queued-inst.inFlight)
	inst.leaving = body.State == stateLeaving
}
