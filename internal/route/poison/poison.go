// Package poison finds requests that crash the engines that run them, and
// keeps each from crashing more than two.
//
// It imports base/spec and route/domain. Package core reports crashes to it
// and asks it before each start.
//
// Every request that ran on a crashed engine becomes a suspect. A suspect
// runs again only on engines where no other suspect is on probation, so that
// a second crash identifies it. It is cleared by the first token past the
// point where it was at the crash.
package poison

import (
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// culpritCrashes is the number of engine crashes after which a request is
	// refused.
	culpritCrashes = 2
	// SuspectTTL is how long a fingerprint is kept after its last crash.
	SuspectTTL = 10 * time.Minute
	// peerProbationWait is how long a request waits here after another
	// instance reported it, as it may be on probation there.
	peerProbationWait = 2 * time.Second
	// noProgressDelay is how long a suspect that generated no token waits
	// before it runs again. Its second run may crash in milliseconds, and its
	// caller could then send it to an instance that has not yet received the
	// report of the first crash.
	noProgressDelay = 400 * time.Millisecond
	// minProbation is the shortest time after which a probation without
	// reported progress ends.
	minProbation = 2 * time.Second
	// probationFactor is the same limit as a multiple of the predicted time
	// to the first token. The longer of the two applies.
	probationFactor = 6
	// maxSuspects bounds the number of fingerprints kept.
	maxSuspects = 4096
	// abandonedTTL is how long after its end a run that had generated no token, or that was taken
	// from a silent engine, counts if the engine dies on which it had begun. The engine may go on
	// with it, and is found dead a moment later.
	abandonedTTL = 5 * time.Second
	// maxAbandoned is the maximum number of such requests in memory.
	maxAbandoned = 4096
)

// Verdict says whether and how a request may run.
type Verdict int

//go:generate stringer -type=Verdict -linecomment -output=verdict_string.go

// The verdicts: run anywhere, run without another suspect on the same engine,
// wait, or refuse.
const (
	VerdictAllow   Verdict = iota // free
	VerdictIsolate                // solo
	VerdictWait                   // wait
	VerdictCulprit                // guilty
)

// Tracker tracks suspects and which of them are on probation on which
// engines. The zero value is ready to use.
type Tracker struct {
	suspects          map[uint64]*suspect
	insertionOrder    []uint64
	probationByEngine map[spec.UpstreamID]*domain.Request
	probations        []*probation
	// abandoned are runs whose callers left before the first token, or whose engine did not answer
	// in time, oldest first.
	abandoned []abandonedRun
}

// abandonedRun is a run on engines for which nobody waits any more.
type abandonedRun struct {
	fingerprint uint64
	engines     []spec.UpstreamID
	leftAt      time.Duration
}

// suspect is the record of a fingerprint that ran on a crashed engine.
type suspect struct {
	engines   []spec.UpstreamID
	crashes   int
	lastCrash time.Duration
	// reportedAt is when another instance last reported the suspect.
	reportedAt time.Duration
	reported   bool
	// running is the request with this fingerprint that is on probation here,
	// or nil.
	running *domain.Request
}

// probation is one attempt of a suspect that is being watched for another
// crash.
type probation struct {
	request *domain.Request
	engines []spec.UpstreamID
	attempt uint32
	until   time.Duration
}

// RecordCrash counts the crash of engine against the request, once per
// engine, and reports it to the other instances. Call it only for a stage
// that was new in the attempt: a stage that was kept had run all of the
// request before and survived.
func (t *Tracker) RecordCrash(state *domain.RoutingState, r *domain.Request, engine spec.UpstreamID) {
	t.recordCrash(state, r.Arrival().Fingerprint, engine)
}

// RecordAbandoned records that the caller of a request left, in case an engine dies under it.
func (t *Tracker) RecordAbandoned(now time.Duration, r *domain.Request) {
	if r.Arrival().Fingerprint == 0 || len(r.Plan().NewEngines) == 0 || r.Tokens() > r.TokensAtStart() {
		return
	}
	t.abandon(now, r, r.Plan().NewEngines)
}

// RecordTimeout records that engine did not answer a request in time, in case it died under it. Like
// RecordCrash, call it only for a stage that was new in the attempt.
func (t *Tracker) RecordTimeout(now time.Duration, r *domain.Request, engine spec.UpstreamID) {
	t.abandon(now, r, []spec.UpstreamID{engine})
}

func (t *Tracker) abandon(now time.Duration, r *domain.Request, engines []spec.UpstreamID) {
	t.dropAbandoned(now)
	t.abandoned = append(t.abandoned, abandonedRun{fingerprint: r.Arrival().Fingerprint, engines: engines, leftAt: now})
	t.abandoned = t.abandoned[max(0, len(t.abandoned)-maxAbandoned):]
}

// RecordDeadEngine counts the death of an engine against the requests that it may still have run.
func (t *Tracker) RecordDeadEngine(state *domain.RoutingState, engine spec.UpstreamID) {
	t.dropAbandoned(state.Now())
	for _, run := range t.abandoned {
		if slices.Contains(run.engines, engine) {
			t.recordCrash(state, run.fingerprint, engine)
		}
	}
}

// dropAbandoned forgets the runs that were abandoned too long ago.
func (t *Tracker) dropAbandoned(now time.Duration) {
	n := 0
	for n < len(t.abandoned) && now-t.abandoned[n].leftAt > abandonedTTL {
		n++
	}
	t.abandoned = t.abandoned[n:]
}

func (t *Tracker) recordCrash(state *domain.RoutingState, fingerprint uint64, engine spec.UpstreamID) {
	if fingerprint == 0 {
		return
	}
	s := t.ensureSuspect(state.Now(), fingerprint)
	s.lastCrash = state.Now()
	if !s.addEngine(engine) {
		return
	}
	state.Emit(domain.ReportSuspect{Fingerprint: fingerprint, Crashes: s.crashes, Engine: engine})
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

// ApplyPeerReport applies the report of another instance. Zero crashes mean
// that the suspect was cleared there.
func (t *Tracker) ApplyPeerReport(now time.Duration, ev domain.SuspectReported) {
	if ev.Crashes <= 0 {
		if s := t.suspects[ev.Fingerprint]; s != nil && s.crashes < culpritCrashes && s.running == nil {
			t.evict(ev.Fingerprint)
		}
		return
	}
	s := t.ensureSuspect(now, ev.Fingerprint)
	s.lastCrash = now
	if ev.Engine != "" {
		s.addEngine(ev.Engine)
	}
	s.crashes = max(s.crashes, min(ev.Crashes, culpritCrashes))
	s.reportedAt = now
	s.reported = true
}

// Evaluate returns the verdict for a request that is about to start.
func (t *Tracker) Evaluate(now time.Duration, r *domain.Request) Verdict {
	s := t.suspects[r.Arrival().Fingerprint]
	switch {
	case s == nil || now-s.lastCrash > SuspectTTL || s.crashes == 0:
		return VerdictAllow
	case s.crashes >= culpritCrashes:
		return VerdictCulprit
	case t.mustWait(now, s, r):
		return VerdictWait
	}
	return VerdictIsolate
}

// mustWait reports whether the suspect must wait before it runs again.
func (t *Tracker) mustWait(now time.Duration, s *suspect, r *domain.Request) bool {
	if s.running != nil && s.running != r && !s.running.Ended() {
		return true
	}
	if r.Attempt() > 0 {
		return now-s.lastCrash < RestartDelay(r)
	}
	// Another instance may have it on probation now. Two probations at once
	// could crash two more engines before either instance receives the report
	// of the other.
	return s.reported && now-s.reportedAt < peerProbationWait
}

// RestartDelay returns how long a suspect that ran here waits after the
// crash.
func RestartDelay(r *domain.Request) time.Duration {
	if r.Tokens() > r.TokensAtStart() {
		return 0
	}
	return noProgressDelay
}

// HasNoOtherSuspect reports whether no suspect other than r is on probation
// on engine.
func (t *Tracker) HasNoOtherSuspect(engine spec.UpstreamID, r *domain.Request) bool {
	other := t.probationByEngine[engine]
	return other == nil || other == r || other.Ended()
}

// StartProbation puts a suspect that starts now on probation on the engines
// that are new to it.
func (t *Tracker) StartProbation(now time.Duration, r *domain.Request, newEngines []spec.UpstreamID) {
	t.endProbation(r)
	if t.probationByEngine == nil {
		t.probationByEngine = map[spec.UpstreamID]*domain.Request{}
	}
	duration := max(minProbation, probationFactor*r.Plan().FirstTokenTime)
	t.probations = append(t.probations, &probation{request: r, engines: newEngines, attempt: r.Attempt(), until: now + duration})
	for _, e := range newEngines {
		t.probationByEngine[e] = r
	}
	if s := t.suspects[r.Arrival().Fingerprint]; s != nil {
		s.running = r
	}
}

// HandleStageLoss ends the probation of a request that lost a stage.
func (t *Tracker) HandleStageLoss(r *domain.Request) { t.endProbation(r) }

func (t *Tracker) ensureSuspect(now time.Duration, fingerprint uint64) *suspect {
	if s := t.suspects[fingerprint]; s != nil {
		return s
	}
	if t.suspects == nil {
		t.suspects = map[uint64]*suspect{}
	}
	if len(t.insertionOrder) >= maxSuspects {
		t.evict(t.insertionOrder[0])
	}
	s := &suspect{lastCrash: now}
	t.suspects[fingerprint] = s
	t.insertionOrder = append(t.insertionOrder, fingerprint)
	return s
}

func (t *Tracker) evict(fingerprint uint64) {
	delete(t.suspects, fingerprint)
	for i, p := range t.insertionOrder {
		if p == fingerprint {
			t.insertionOrder = append(t.insertionOrder[:i], t.insertionOrder[i+1:]...)
			return
		}
	}
}

// evictExpired removes the oldest fingerprints whose SuspectTTL is over.
func (t *Tracker) evictExpired(now time.Duration) {
	for len(t.insertionOrder) > 0 {
		s := t.suspects[t.insertionOrder[0]]
		if now-s.lastCrash <= SuspectTTL {
			return
		}
		t.evict(t.insertionOrder[0])
	}
}

// Len returns the number of fingerprints kept.
func (t *Tracker) Len() int { return len(t.insertionOrder) }
