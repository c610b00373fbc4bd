package plain

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/state/ledger"

	"github.com/go-faster/errors"
)

// maxCredit bounds how many repeats may be saved up.
const maxCredit = 10

// place is one instance of a service.
type place struct {
	base    string
	flying  int
	load    int
	leaving bool
	// rest is until when the instance is left alone.
	rest time.Time
	// sent is when the last call went there.
	sent time.Time
}

type places map[spec.ServiceName][]*place

func (p places) find(service spec.ServiceName, base string) *place {
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
	if s.places == nil {
		s.places = places{}
	}
	var next []*place
	for _, base := range bases {
		p := s.places.find(service, base)
		if p == nil {
			p = &place{base: base}
		}
		next = append(next, p)
	}
	s.places[service] = next
}

// Report takes the load that an instance reports: how many calls it has queued
// or running.
func (s *Sender) Report(service spec.ServiceName, base string, load int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.places.find(service, base); p != nil {
		p.load = load
	}
}

// Leave gives an instance nothing new from now on.
func (s *Sender) Leave(service spec.ServiceName, base string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.places.find(service, base); p != nil {
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
	var best *place
	all := s.places[service]
	s.turn++
	for i := range all {
		// Equal ones take turns, or every router would load the first.
		p := all[(s.turn+i)%len(all)]
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
	best.flying++
	best.sent = now
	return best.base, true
}

func better(a, b *place, now time.Time) bool {
	restA, restB := now.Before(a.rest), now.Before(b.rest)
	if restA != restB {
		return restB
	}
	return a.flying+a.load < b.flying+b.load
}

// done counts the end of a send. The instance may be gone from the list.
func (s *Sender) done(service spec.ServiceName, base string, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.places.find(service, base)
	if p == nil {
		return
	}
	p.flying = max(0, p.flying-1)
	if !errors.Is(err, ledger.ErrNotSent) {
		p.rest = time.Time{}
		return
	}
	rest := s.Rest
	if rest == 0 {
		rest = defaultRest
	}
	p.rest = time.Now().Add(rest)
}

// bases are all instances of a service, also leaving ones: they know the
// outcomes of what they ran.
func (s *Sender) bases(service spec.ServiceName) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for _, p := range s.places[service] {
		out = append(out, p.base)
	}
	return slices.Clip(out)
}

// earn adds what one first send allows in repeats.
func (s *Sender) earn() {
	share := s.Share
	if share == 0 {
		share = defaultShare
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.credit = min(maxCredit, s.credit+share)
}

// mayRepeat spends one repeat. The budget keeps repeats from multiplying load
// when a whole service fails.
func (s *Sender) mayRepeat(class spec.ClassName) bool {
	if s.Repeats == nil || !s.Repeats(class) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}
