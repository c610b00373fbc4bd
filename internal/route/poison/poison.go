// Package poison finds the request that kills the engines that run it, and
// keeps it from more than two of them.
//
// It imports base/spec and route/domain. Package core tells it of deaths and
// asks it before each start.
//
// All that ran on an engine that died are suspects. A suspect runs again only
// where no other suspect is on probation, so that a second death names it. It
// is cleared by the first token past the point where it was.
package poison

import (
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// culpritCrashes is how many engines a request may kill.
	culpritCrashes = 2
	// SuspectTTL is how long a fingerprint is remembered.
	SuspectTTL = 10 * time.Minute
	// peerProbationWait is how long a request waits here while another instance has
	// the same one on probation.
	peerProbationWait = 2 * time.Second
	// noProgressDelay is how long a suspect that made no token waits before it runs
	// again: its second run may end in milliseconds, and its caller could send
	// it to an instance that has not heard of the first death.
	noProgressDelay = 400 * time.Millisecond
	// minProbation ends a probation of which no progress is told, and clearTimes
	// the same as a multiple of the predicted time.
	minProbation    = 2 * time.Second
	probationFactor = 6
	// maxSuspects bounds the fingerprints remembered.
	maxSuspects = 4096
)

// Verdict says what may be done with a request.
type Verdict int

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// The verdicts.
const (
	VerdictAllow   Verdict = iota // free
	VerdictIsolate                // solo
	VerdictWait                   // wait
	VerdictCulprit                // guilty
)

// Tracker remembers suspects and who is on probation where.
type Tracker struct {
	suspects          map[uint64]*suspect
	insertionOrder    []uint64
	probationByEngine map[spec.UpstreamID]*domain.Request
	probations        []*probation
}

// suspect is a fingerprint that ran on an engine that died.
type suspect struct {
	engines   []spec.UpstreamID
	crashes   int
	lastCrash time.Duration
	// reportedAt is when another instance told of it; runs is set while a request
	// with it is on probation here.
	reportedAt time.Duration
	reported   bool
	running    *domain.Request
}

// probation is a request on probation.
type probation struct {
	request *domain.Request
	engines []spec.UpstreamID
	attempt uint32
	until   time.Duration
}

// RecordCrash counts the death of engine against the request, once per engine, and
// warns the other instances. Only a stage that was new in the attempt counts:
// a stage that was kept had run all of the request before and lived.
func (b *Tracker) RecordCrash(w *domain.RoutingState, r *domain.Request, engine spec.UpstreamID) {
	p := r.Arrival().Fingerprint
	if p == 0 {
		return
	}
	s := b.ensureSuspect(w.Now(), p)
	s.lastCrash = w.Now()
	if !s.addEngine(engine) {
		return
	}
	w.Emit(domain.ReportSuspect{Fingerprint: p, Crashes: s.crashes, Engine: engine})
}

func (s *suspect) addEngine(engine spec.UpstreamID) bool {
	for _, e := range s.engines {
		if e == engine {
			return false
		}
	}
	if len(s.engines) < culpritCrashes {
		s.engines = append(s.engines, engine)
	}
	s.crashes = max(s.crashes, len(s.engines))
	return true
}

// ApplyPeerReport takes what another instance found. No crashes means that the request
// was cleared there.
func (b *Tracker) ApplyPeerReport(now time.Duration, ev domain.SuspectReported) {
	if ev.Crashes <= 0 {
		if s := b.suspects[ev.Fingerprint]; s != nil && s.crashes < culpritCrashes && s.running == nil {
			b.evict(ev.Fingerprint)
		}
		return
	}
	s := b.ensureSuspect(now, ev.Fingerprint)
	s.lastCrash = now
	if ev.Engine != "" {
		s.addEngine(ev.Engine)
	}
	s.crashes = max(s.crashes, min(ev.Crashes, culpritCrashes))
	s.reportedAt = now
	s.reported = true
}

// Evaluate says what may be done with a request that is about to start.
func (b *Tracker) Evaluate(now time.Duration, r *domain.Request) Verdict {
	s := b.suspects[r.Arrival().Fingerprint]
	switch {
	case s == nil || now-s.lastCrash > SuspectTTL || s.crashes == 0:
		return VerdictAllow
	case s.crashes >= culpritCrashes:
		return VerdictCulprit
	case b.mustWait(now, s, r):
		return VerdictWait
	}
	return VerdictIsolate
}

// mustWait reports whether the suspect must wait before it runs again.
func (b *Tracker) mustWait(now time.Duration, s *suspect, r *domain.Request) bool {
	if s.running != nil && s.running != r && !s.running.Ended() {
		return true
	}
	if r.Attempt() > 0 {
		return now-s.lastCrash < RestartDelay(r)
	}
	// Another instance may have it on probation now: two at once could kill
	// two more engines before either hears of the other.
	return s.reported && now-s.reportedAt < peerProbationWait
}

// RestartDelay is how long a suspect that runs here waits after the death.
func RestartDelay(r *domain.Request) time.Duration {
	if r.Tokens() > r.TokensAtStart() {
		return 0
	}
	return noProgressDelay
}

// HasNoOtherSuspect reports whether engine has no other suspect on probation.
func (b *Tracker) HasNoOtherSuspect(engine spec.UpstreamID, r *domain.Request) bool {
	on := b.probationByEngine[engine]
	return on == nil || on == r || on.Ended()
}

// StartProbation puts a suspect that starts now on probation on the stages that are new
// to it.
func (b *Tracker) StartProbation(now time.Duration, r *domain.Request, fresh []spec.UpstreamID) {
	b.endProbation(r)
	if b.probationByEngine == nil {
		b.probationByEngine = map[spec.UpstreamID]*domain.Request{}
	}
	wait := max(minProbation, probationFactor*r.Plan().FirstTokenTime)
	b.probations = append(b.probations, &probation{request: r, engines: fresh, attempt: r.Attempt(), until: now + wait})
	for _, e := range fresh {
		b.probationByEngine[e] = r
	}
	if s := b.suspects[r.Arrival().Fingerprint]; s != nil {
		s.running = r
	}
}

// HandleStageLoss ends the probation of a request that lost a stage.
func (b *Tracker) HandleStageLoss(r *domain.Request) { b.endProbation(r) }

func (b *Tracker) ensureSuspect(now time.Duration, print uint64) *suspect {
	if s := b.suspects[print]; s != nil {
		return s
	}
	if b.suspects == nil {
		b.suspects = map[uint64]*suspect{}
	}
	if len(b.insertionOrder) >= maxSuspects {
		b.evict(b.insertionOrder[0])
	}
	s := &suspect{lastCrash: now}
	b.suspects[print] = s
	b.insertionOrder = append(b.insertionOrder, print)
	return s
}

func (b *Tracker) evict(print uint64) {
	delete(b.suspects, print)
	for i, p := range b.insertionOrder {
		if p == print {
			b.insertionOrder = append(b.insertionOrder[:i], b.insertionOrder[i+1:]...)
			return
		}
	}
}

// evictExpired drops the oldest fingerprints once their time is over.
func (b *Tracker) evictExpired(now time.Duration) {
	for len(b.insertionOrder) > 0 {
		s := b.suspects[b.insertionOrder[0]]
		if now-s.lastCrash <= SuspectTTL {
			return
		}
		b.evict(b.insertionOrder[0])
	}
}

// Len is how many fingerprints are remembered.
func (b *Tracker) Len() int { return len(b.insertionOrder) }
