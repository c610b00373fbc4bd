package plain

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/ledger"

	"github.com/go-faster/errors"
)

// maxRetryCredit bounds how many repeats may be saved up.
const maxRetryCredit = 10

// instance is one instance of a service.
type instance struct {
	base     string
	inFlight int
	load     int
	leaving  bool
	// cooldownEnd is until when the instance is left alone.
	cooldownEnd time.Time
	// lastSent is when the last call went there.
	lastSent time.Time
}

type instances map[spec.ServiceName][]*instance

func (p instances) find(service spec.ServiceName, base string) *instance {
	for _, x := range p[service] {
		if x.base == base {
			return x
		}
	}
	return nil
}

// Locate sets the base URLs of a service's live instances. What is known of
// those that stay is kept; the others get nothing new.
func (s *Sender) Locate(service spec.ServiceName, bases []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instances == nil {
		s.instances = instances{}
	}
	var next []*instance
	for _, base := range bases {
		p := s.instances.find(service, base)
		if p == nil {
			p = &instance{base: base}
		}
		next = append(next, p)
	}
	s.instances[service] = next
}

// Report takes the load that an instance reports: how many calls it has queued
// or running.
func (s *Sender) Report(service spec.ServiceName, base string, load int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.instances.find(service, base); p != nil {
		p.load = load
	}
}

// Leave gives an instance nothing new from now on.
func (s *Sender) Leave(service spec.ServiceName, base string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.instances.find(service, base); p != nil {
		p.leaving = true
	}
}

// pick takes the live instance with the least in flight and reported, and
// counts one in flight there. Instances that could not be dialled lately come
// last: with all of them resting, trying one still beats refusing.
func (s *Sender) pick(service spec.ServiceName, tried map[string]bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var best *instance
	all := s.instances[service]
	s.rotation++
	for i := range all {
		// Equal ones take turns, or every router would load the first.
		p := all[(s.rotation+i)%len(all)]
		if p.leaving || tried[p.base] {
			continue
		}
		if best == nil || better(p, best, now) {
			best = p
		}
	}
	if best == nil {
		return "", false
	}
	best.inFlight++
	best.lastSent = now
	return best.base, true
}

func better(a, b *instance, now time.Time) bool {
	restA, restB := now.Before(a.cooldownEnd), now.Before(b.cooldownEnd)
	if restA != restB {
		return restB
	}
	return a.inFlight+a.load < b.inFlight+b.load
}

// recordResult counts the end of a send. The instance may be gone from the list.
func (s *Sender) recordResult(service spec.ServiceName, base string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.instances.find(service, base)
	if p == nil {
		return
	}
	p.inFlight = max(0, p.inFlight-1)
	if !errors.Is(err, ledger.ErrNotSent) {
		p.cooldownEnd = time.Time{}
		return
	}
	rest := s.Cooldown
	if rest == 0 {
		rest = defaultCooldown
	}
	p.cooldownEnd = time.Now().Add(rest)
}

// bases are all instances of a service, also leaving ones: they know the
// outcomes of what they ran.
func (s *Sender) bases(service spec.ServiceName) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, p := range s.instances[service] {
		out = append(out, p.base)
	}
	return slices.Clip(out)
}

// earnRetryCredit adds what one first send allows in repeats.
func (s *Sender) earnRetryCredit() {
	share := s.RetryShare
	if share == 0 {
		share = defaultRetryShare
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryCredit = min(maxRetryCredit, s.retryCredit+share)
}

// takeRetry spends one repeat. The budget keeps repeats from multiplying load
// when a whole service fails.
func (s *Sender) takeRetry(class spec.ClassName) bool {
	if s.Repeats == nil || !s.Repeats(class) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.retryCredit < 1 {
		return false
	}
	s.retryCredit--
	return true
}
