package plain

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/ledger"

	"github.com/go-faster/errors"
)

// maxRetryCredit limits how many retries can be saved up.
const maxRetryCredit = 10

// instance is one instance of a service.
type instance struct {
	base     string
	inFlight int
	load     int
	leaving  bool
	// cooldownEnd is the time until which other instances are preferred.
	cooldownEnd time.Time
	// lastSent is when the last call was sent to the instance.
	lastSent time.Time
}

type instances map[spec.ServiceName][]*instance

func (in instances) find(service spec.ServiceName, base string) *instance {
	for _, inst := range in[service] {
		if inst.base == base {
			return inst
		}
	}
	return nil
}

// Locate sets the base URLs of a service's live instances. The state of
// instances that remain is kept; instances that are not in bases receive no new
// calls.
func (s *Sender) Locate(service spec.ServiceName, bases []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.instances == nil {
		s.instances = instances{}
	}
	var next []*instance
	for _, base := range bases {
		inst := s.instances.find(service, base)
		if inst == nil {
			inst = &instance{base: base}
		}
		next = append(next, inst)
	}
	s.instances[service] = next
}

// Report sets the load that an instance reported: the number of queued and
// running calls.
func (s *Sender) Report(service spec.ServiceName, base string, load int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if inst := s.instances.find(service, base); inst != nil {
		inst.load = load
	}
}

// Leave stops sending new calls to an instance.
func (s *Sender) Leave(service spec.ServiceName, base string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if inst := s.instances.find(service, base); inst != nil {
		inst.leaving = true
	}
}

// pick returns the live instance with the lowest sum of calls in flight and
// reported load, and counts one more call in flight there. Instances that
// recently could not be dialled are the last choice: if all instances are in
// cooldown, trying one is still better than refusing the call.
func (s *Sender) pick(service spec.ServiceName, tried map[string]bool) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	var best *instance
	all := s.instances[service]
	s.rotation++
	for i := range all {
		// Rotate among instances with equal load. Otherwise every router would
		// send to the first one.
		inst := all[(s.rotation+i)%len(all)]
		if inst.leaving || tried[inst.base] {
			continue
		}
		if best == nil || better(inst, best, now) {
			best = inst
		}
	}
	if best == nil {
		return "", false
	}
	best.inFlight++
	best.lastSent = now
	return best.base, true
}

// better reports whether a is preferred to b.
func better(a, b *instance, now time.Time) bool {
	coolingA, coolingB := now.Before(a.cooldownEnd), now.Before(b.cooldownEnd)
	if coolingA != coolingB {
		return coolingB
	}
	return a.inFlight+a.load < b.inFlight+b.load
}

// recordResult records the end of a send. The instance may no longer be listed.
func (s *Sender) recordResult(service spec.ServiceName, base string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inst := s.instances.find(service, base)
	if inst == nil {
		return
	}
	inst.inFlight = max(0, inst.inFlight-1)
	if !errors.Is(err, ledger.ErrNotSent) {
		inst.cooldownEnd = time.Time{}
		return
	}
	cooldown := s.Cooldown
	if cooldown == 0 {
		cooldown = defaultCooldown
	}
	inst.cooldownEnd = time.Now().Add(cooldown)
}

// bases returns the URLs of all instances of a service, including leaving ones,
// which still know the outcomes of the calls they ran.
func (s *Sender) bases(service spec.ServiceName) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, inst := range s.instances[service] {
		out = append(out, inst.base)
	}
	return slices.Clip(out)
}

// earnRetryCredit adds the share of a retry that each first send earns.
func (s *Sender) earnRetryCredit() {
	share := s.RetryShare
	if share == 0 {
		share = defaultRetryShare
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retryCredit = min(maxRetryCredit, s.retryCredit+share)
}

// takeRetry spends one retry if the class may be retried and there is credit.
// The budget prevents retries from multiplying the load when a whole service
// fails.
func (s *Sender) takeRetry(class spec.ClassName) bool {
	if s.Retryable == nil || !s.Retryable(class) {
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
