package edge

import (
	"context"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/wire/relay"
)

// refusalKey is for what requests an instance is not asked.
type refusalKey struct {
	service  string
	cause    relay.PassCause
	instance spec.InstanceID
}

// refusalTimes are how long instances are not asked: one that refused a request, and all after none
// took it, at first and at most.
type refusalTimes struct{ one, first, most time.Duration }

func (k refusalKey) times() refusalTimes {
	if k.cause == relay.PassLimited {
		return refusalTimes{one: limitedTime, first: limitedPause, most: maxLimitedPause}
	}
	return refusalTimes{one: unreachedTime, first: unreachedPause, most: maxUnreachedPause}
}

// goFirst returns once a request may be passed on, and a function to call at the end. Unless an
// instance took one of late, one request goes first, as in a half-open circuit breaker: none may
// take any, and the questions of all would hold up those that start.
func (p *passer) goFirst(ctx context.Context, key refusalKey) (end func()) {
	p.mu.Lock()
	other := p.first[key]
	if time.Since(p.taken[key]) < takenTime {
		p.mu.Unlock()
		return func() {}
	}
	if other == nil {
		own := make(chan struct{})
		p.first[key] = own
		p.mu.Unlock()
		return func() {
			p.mu.Lock()
			defer p.mu.Unlock()
			delete(p.first, key)
			close(own)
		}
	}
	p.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, firstPassTime)
	defer cancel()
	select {
	case <-other:
	case <-ctx.Done():
	}
	return func() {}
}

// setTaken records that an instance took a request.
func (p *passer) setTaken(key refusalKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.pauses, key)
	p.taken[key] = time.Now()
}

// pause keeps requests from being passed on, after no instance took one.
func (p *passer) pause(key refusalKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if time.Now().Before(p.refusals[key]) {
		// Requests that were asked for at the same time are one failure.
		return
	}
	times := key.times()
	pause := max(times.first, p.pauses[key])
	p.pauses[key] = min(2*pause, times.most)
	p.refuse(key, pause)
}

// avoid keeps an instance that refused a request from being asked for a while.
func (p *passer) avoid(key refusalKey) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refuse(key, key.times().one)
}

// refuse keeps requests from being passed on for a while; p.mu is held.
func (p *passer) refuse(key refusalKey, d time.Duration) {
	now := time.Now()
	for other, until := range p.refusals {
		if now.After(until) {
			delete(p.refusals, other)
		}
	}
	p.refusals[key] = now.Add(d)
}
