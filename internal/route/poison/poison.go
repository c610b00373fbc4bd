// Package poison finds the request that kills the engines that run it, and
// keeps it from more than two of them.
//
// It imports base/spec and route/world. Package core tells it of deaths and
// asks it before each start.
//
// All that ran on an engine that died are suspects. A suspect runs again only
// where no other suspect is on probation, so that a second death names it. It
// is cleared by the first token past the point where it was.
package poison

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	// guilty is how many engines a request may kill.
	guilty = 2
	// Expiry is how long a fingerprint is remembered.
	Expiry = 10 * time.Minute
	// heardHold is how long a request waits here while another instance has
	// the same one on probation.
	heardHold = 2 * time.Second
	// spread is how long a suspect that made no token waits before it runs
	// again: its second run may end in milliseconds, and its caller could send
	// it to an instance that has not heard of the first death.
	spread = 400 * time.Millisecond
	// clearAfter ends a probation of which no progress is told, and clearTimes
	// the same as a multiple of the predicted time.
	clearAfter = 2 * time.Second
	clearTimes = 6
	// most bounds the fingerprints remembered.
	most = 4096
)

// Verdict says what may be done with a request.
type Verdict int

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// The verdicts.
const (
	VerdictFree   Verdict = iota // free
	VerdictSolo                  // solo
	VerdictWait                  // wait
	VerdictGuilty                // guilty
)

// Book remembers suspects and who is on probation where.
type Book struct {
	prints map[uint64]*suspect
	order  []uint64
	solo   map[spec.UpstreamID]*world.Request
	trials []*trial
}

// suspect is a fingerprint that ran on an engine that died.
type suspect struct {
	engines []spec.UpstreamID
	crashes int
	at      time.Duration
	// heard is when another instance told of it; runs is set while a request
	// with it is on probation here.
	heard time.Duration
	told  bool
	runs  *world.Request
}

// trial is a request on probation.
type trial struct {
	r       *world.Request
	engines []spec.UpstreamID
	attempt uint32
	until   time.Duration
}

// Crashed counts the death of engine against the request, once per engine, and
// warns the other instances. Only a stage that was new in the attempt counts:
// a stage that was kept had run all of the request before and lived.
func (b *Book) Crashed(w *world.World, r *world.Request, engine spec.UpstreamID) {
	p := r.Arrived().Print
	if p == 0 {
		return
	}
	s := b.get(w.Now(), p)
	s.at = w.Now()
	if !s.add(engine) {
		return
	}
	w.Emit(world.Warn{Print: p, Crashes: s.crashes, Engine: engine})
}

func (s *suspect) add(engine spec.UpstreamID) bool {
	for _, e := range s.engines {
		if e == engine {
			return false
		}
	}
	if len(s.engines) < guilty {
		s.engines = append(s.engines, engine)
	}
	s.crashes = max(s.crashes, len(s.engines))
	return true
}

// Heard takes what another instance found. No crashes means that the request
// was cleared there.
func (b *Book) Heard(now time.Duration, ev world.Suspected) {
	if ev.Crashes <= 0 {
		if s := b.prints[ev.Print]; s != nil && s.crashes < guilty && s.runs == nil {
			b.forget(ev.Print)
		}
		return
	}
	s := b.get(now, ev.Print)
	s.at = now
	if ev.Engine != "" {
		s.add(ev.Engine)
	}
	s.crashes = max(s.crashes, min(ev.Crashes, guilty))
	s.heard = now
	s.told = true
}

// Judge says what may be done with a request that is about to start.
func (b *Book) Judge(now time.Duration, r *world.Request) Verdict {
	s := b.prints[r.Arrived().Print]
	switch {
	case s == nil || now-s.at > Expiry || s.crashes == 0:
		return VerdictFree
	case s.crashes >= guilty:
		return VerdictGuilty
	case b.early(now, s, r):
		return VerdictWait
	}
	return VerdictSolo
}

// early reports whether the suspect must wait before it runs again.
func (b *Book) early(now time.Duration, s *suspect, r *world.Request) bool {
	if s.runs != nil && s.runs != r && !s.runs.Gone() {
		return true
	}
	if r.Attempt() > 0 {
		return now-s.at < Hold(r)
	}
	// Another instance may have it on probation now: two at once could kill
	// two more engines before either hears of the other.
	return s.told && now-s.heard < heardHold
}

// Hold is how long a suspect that runs here waits after the death.
func Hold(r *world.Request) time.Duration {
	if r.Tokens() > r.From() {
		return 0
	}
	return spread
}

// Solo reports whether engine has no other suspect on probation.
func (b *Book) Solo(engine spec.UpstreamID, r *world.Request) bool {
	on := b.solo[engine]
	return on == nil || on == r || on.Gone()
}

// Try puts a suspect that starts now on probation on the stages that are new
// to it.
func (b *Book) Try(now time.Duration, r *world.Request, fresh []spec.UpstreamID) {
	b.end(r)
	if b.solo == nil {
		b.solo = map[spec.UpstreamID]*world.Request{}
	}
	wait := max(clearAfter, clearTimes*r.Plan().First)
	b.trials = append(b.trials, &trial{r: r, engines: fresh, attempt: r.Attempt(), until: now + wait})
	for _, e := range fresh {
		b.solo[e] = r
	}
	if s := b.prints[r.Arrived().Print]; s != nil {
		s.runs = r
	}
}

// Lost ends the probation of a request that lost a stage.
func (b *Book) Lost(r *world.Request) { b.end(r) }

func (b *Book) get(now time.Duration, print uint64) *suspect {
	if s := b.prints[print]; s != nil {
		return s
	}
	if b.prints == nil {
		b.prints = map[uint64]*suspect{}
	}
	if len(b.order) >= most {
		b.forget(b.order[0])
	}
	s := &suspect{at: now}
	b.prints[print] = s
	b.order = append(b.order, print)
	return s
}

func (b *Book) forget(print uint64) {
	delete(b.prints, print)
	for i, p := range b.order {
		if p == print {
			b.order = append(b.order[:i], b.order[i+1:]...)
			return
		}
	}
}

// expire drops the oldest fingerprints once their time is over.
func (b *Book) expire(now time.Duration) {
	for len(b.order) > 0 {
		s := b.prints[b.order[0]]
		if now-s.at <= Expiry {
			return
		}
		b.forget(b.order[0])
	}
}

// Len is how many fingerprints are remembered.
func (b *Book) Len() int { return len(b.order) }
