package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// The engine of the second stage dies in the middle of an answer. The new
// chain must keep the first stage with its state and replace only the lost
// range, so that the caller gets the next token and not a new answer.
func TestEngineDeathReplacesOnlyLostRange(t *testing.T) {
	h := newHarness(t, lenientTarget(), newEngine("a1", 0, 4), newEngine("a2", 0, 4), newEngine("b1", 4, 8), newEngine("b2", 4, 8))
	a := h.newRequest("big")
	first := h.mustStart(a)
	dead := first.Chain[1].Engine()
	cs := h.tick(
		domain.RequestProgress{Request: a.Request, Tokens: 5},
		domain.StageLost{Request: a.Request, Attempt: 1, Engine: dead, Cause: domain.CauseBroken},
	)
	second, ok := findStart(cs, a.Request)
	if !ok {
		t.Fatalf("got %v, want a start in the tick of the loss", cs)
	}
	if got, want := second.Chain[0], first.Chain[0]; got != want {
		t.Errorf("first stage: got %v, want the kept %v", got, want)
	}
	if got := second.Chain[1].Engine(); got == dead {
		t.Errorf("second stage: got the dead engine %v", got)
	}
	if got, want := second.Attempt, uint32(2); got != want {
		t.Errorf("attempt: got %d, want %d", got, want)
	}
}

// The last engine of a running request dies. The request waits while no
// engine covers the model and continues once one does. A report that was in
// transit when the engine died must not bring the dead engine back.
func TestRunningRequestWaitsForEngine(t *testing.T) {
	only := newEngine("a1", 0, 8)
	h := newHarness(t, lenientTarget(), only)
	a := h.newRequest("big")
	h.mustStart(a)
	lateReport := only
	lateReport.Seq = 2
	cs := h.tick(
		domain.StageLost{Request: a.Request, Attempt: 1, Engine: "a1", Cause: domain.CauseBroken},
		domain.EngineReport{Engine: lateReport},
	)
	if len(cs) > 0 {
		if _, ok := findStart(cs, a.Request); ok {
			t.Fatal("started on a dead engine after a late report")
		}
	}
	h.tickFor(2 * time.Second)
	other := newEngine("a2", 0, 8)
	if _, ok := findStart(h.tick(domain.EngineReport{Engine: other}), a.Request); !ok {
		t.Error("got no start when an engine covers the model again")
	}
}

// A request that arrives while no engines cover its model is refused at once.
// The refusal says that nothing ran and when to retry.
func TestUncoveredModelIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, lenientTarget(), newEngine("a1", 0, 4))
	a := h.newRequest("big")
	r, ok := findRefusal(h.tick(a), a.Request)
	if !ok || r.Reason != domain.ReasonNoEngine || r.Ran || r.RetryAfter <= 0 {
		t.Errorf("got %+v (%v), want reason no-engine, not run, with a retry time", r, ok)
	}
}

// A request that arrives while the engines are full is queued only if its
// target can still be met. Otherwise it is refused in the tick of its
// arrival, with the time until the backlog has drained. A queued request
// starts when capacity becomes free.
func TestOverloadRefusesLateRequestsAndQueuesOthers(t *testing.T) {
	h := newHarness(t, spec.NewTarget(time.Second, 0, 0, 95), newEngine("a1", 0, 8))
	var ran []spec.RequestID
	starts, refusals := 0, 0
	for range 60 {
		a := h.newRequest("big")
		cs := h.tick(a)
		if _, ok := findStart(cs, a.Request); ok {
			starts++
			ran = append(ran, a.Request)
		}
		if r, ok := findRefusal(cs, a.Request); ok {
			refusals++
			if r.RetryAfter < time.Second || r.Ran {
				t.Errorf("refusal: got %+v, want a retry time of at least 1s and not run", r)
			}
		}
	}
	waiting := h.logic.WaitingCount()
	if starts == 0 || refusals == 0 || waiting == 0 {
		t.Fatalf("got %d started, %d refused, %d waiting; want some of each", starts, refusals, waiting)
	}
	cs := h.tick(domain.RequestFinished{Request: ran[0], Tokens: 50, OK: true})
	if h.logic.WaitingCount() >= waiting {
		t.Errorf("got %v, want a queued request settled when capacity became free", cs)
	}
}

// A queued request is refused as soon as its target can no longer be met, not
// only at its deadline.
func TestHopelessQueuedRequestIsRefusedEarly(t *testing.T) {
	h := newHarness(t, spec.NewTarget(2*time.Second, 0, 0, 95), newEngine("a1", 0, 8))
	arrivedAt := map[spec.RequestID]time.Duration{}
	for range 30 {
		a := h.newRequest("big")
		h.tick(a)
		arrivedAt[a.Request] = h.now
	}
	waiting := h.logic.WaitingCount()
	if waiting == 0 {
		t.Fatal("got no queued requests, want some")
	}
	ended := 0
	for h.now < time.Minute && ended < waiting {
		for _, c := range h.tick() {
			r, ok := c.(domain.Refuse)
			if !ok {
				continue
			}
			ended++
			if got := h.now - arrivedAt[r.Request]; got > 2*time.Second {
				t.Errorf("request %s refused after %v, want within its 2s", r.Request, got)
			}
		}
	}
	if ended != waiting {
		t.Errorf("got %d of %d requests refused that waited behind work that never ends", ended, waiting)
	}
}

// A request of a small team does not wait behind the backlog of a large team:
// it is the next request to start.
func TestSmallTeamStartsBeforeLargeBacklog(t *testing.T) {
	h := newHarness(t, lenientTarget(), newEngine("a1", 0, 8))
	var ran []spec.RequestID
	for range 40 {
		a := h.newRequest("big")
		if _, ok := findStart(h.tick(a), a.Request); ok {
			ran = append(ran, a.Request)
		}
	}
	small := h.newRequest("small")
	cs := h.tick(small)
	for i := 0; i < len(ran); i++ {
		if _, ok := findStart(cs, small.Request); ok {
			return
		}
		cs = h.tick(domain.RequestFinished{Request: ran[i], Tokens: 50, OK: true})
		for _, c := range cs {
			if s, ok := c.(domain.Start); ok && s.Request != small.Request {
				t.Fatalf("got %s of the large team started before the small one", s.Request)
			}
		}
	}
	t.Error("the small team's request never started")
}

// A request that finds its own data centre full is forwarded to another with
// free capacity, at most once: a request that was forwarded here is refused
// instead.
func TestRequestIsForwardedOnlyOnce(t *testing.T) {
	h := newHarness(t, spec.NewTarget(time.Second, 0, 0, 95))
	h.tick(domain.CentreCapacity{DataCentre: "other", Model: testModel, Instance: "far", FreeRate: 1000})
	a := h.newRequest("big")
	cs := h.tick(a)
	if f, ok := cs[0].(domain.Forward); !ok || f.To != "far" {
		t.Fatalf("got %v, want it forwarded to far", cs)
	}
	b := h.newRequest("big")
	b.Hops = 1
	if _, ok := findRefusal(h.tick(b), b.Request); !ok {
		t.Error("a request that was forwarded already: want it refused")
	}
	h.tick(domain.PeerRemoved{Peer: "far"})
	c := h.newRequest("big")
	if _, ok := findRefusal(h.tick(c), c.Request); !ok {
		t.Error("the other instance is gone: want a refusal")
	}
}

// A leaving engine gets no new requests from the tick of the first signal on,
// even if late reports call it live, until it restarts.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	one, two := newEngine("a1", 0, 8), newEngine("a2", 0, 8)
	one.Slots, two.Slots = 64, 64
	h := newHarness(t, lenientTarget(), one, two)
	report := one
	report.Seq = 9
	h.tick(domain.EngineLeaving{Engine: "a1"}, domain.EngineReport{Engine: report})
	for range 8 {
		a := h.newRequest("big")
		if s := h.mustStart(a); s.Chain.Uses("a1") {
			t.Fatalf("got chain %v, want none over the leaving engine", s.Chain)
		}
	}
	report.Incarnation, report.Seq = 7, 1
	h.tick(domain.EngineReport{Engine: report})
	used := false
	for range 8 {
		used = used || h.mustStart(h.newRequest("big")).Chain.Uses("a1")
	}
	if !used {
		t.Error("a restarted engine was never used")
	}
}

// A request that times out is retried on other engines. In a class where
// everything times out, retries stop when the retry budget is spent, so that
// they do not multiply the load.
func TestTimeoutsSpendRetryBudget(t *testing.T) {
	var engines []domain.Engine
	for i := range 20 {
		engines = append(engines, newEngine(fmt.Sprint("e", i), 0, 8))
	}
	h := newHarness(t, lenientTarget(), engines...)
	starts, retries := 0, 0
	for range 60 {
		a := h.newRequest("big")
		s, ok := findStart(h.tick(a), a.Request)
		for ok {
			starts++
			lost := s.Chain[0].Engine()
			cs := h.tick(domain.StageLost{Request: a.Request, Attempt: s.Attempt, Engine: lost, Cause: domain.CauseTimeout})
			if s, ok = findStart(cs, a.Request); ok {
				retries++
			} else {
				h.tick(domain.RequestCanceled{Request: a.Request})
			}
		}
	}
	if got, limit := retries, 20+starts/10+1; got == 0 || got > limit {
		t.Errorf("got %d retries of %d starts, want some and at most %d", got, starts, limit)
	}
}

// A removed engine and a removed peer leave no load behind. An engine that
// comes back under the same ID starts without load.
func TestRemovedEngineAndPeerLeaveNoLoad(t *testing.T) {
	h := newHarness(t, lenientTarget(), newEngine("a1", 0, 8))
	a := h.newRequest("big")
	h.mustStart(a)
	h.tick(domain.PeerLoad{Peer: "p", Engine: "a1", Active: 3, LayerTokenRate: 900})
	e := h.logic.State().Engines().Get("a1")
	busy := e.Demand()
	h.tick(domain.PeerRemoved{Peer: "p"})
	if got, want := busy-e.Demand(), int64(900); got != want {
		t.Errorf("demand removed with the peer: got %d, want %d", got, want)
	}
	h.tick(domain.EngineRemoved{Engine: "a1"}, domain.PeerLoad{Peer: "q", Engine: "a1", Active: 1, LayerTokenRate: 0}, domain.EngineReport{Engine: newEngine("a1", 0, 8)}, domain.RequestCanceled{Request: a.Request})
	if got := h.logic.State().Engines().Get("a1").Demand(); got != 0 {
		t.Errorf("demand on the new engine with the same ID: got %d, want 0", got)
	}
	if got := h.logic.State().Requests().Len(); got != 0 {
		t.Errorf("requests: got %d, want 0", got)
	}
}

// Guards against a request that ends because its engine was silent: without a retry left, it waits for
// the engine once more after each token, and ends only if the engine is dead or still does not answer.
func TestLastAttemptOutlivesSilence(t *testing.T) {
	h := newHarness(t, lenientTarget(), newEngine("e1", 0, 8))
	a := h.newRequest("big")
	s := h.mustStart(a)
	for n := range 7 {
		cs := h.tick(domain.StageLost{Request: a.Request, Attempt: s.Attempt, Engine: "e1", Cause: domain.CauseStateLost, Tokens: n})
		var ok bool
		if s, ok = findStart(cs, a.Request); !ok {
			t.Fatalf("loss %d: got %v, want a start", n, cs)
		}
	}
	timeout := domain.StageLost{Request: a.Request, Attempt: s.Attempt, Engine: "e1", Cause: domain.CauseTimeout, Tokens: 7}
	for n := range 3 {
		timeout.Tokens++
		cs := h.tick(timeout)
		if !slices.ContainsFunc(cs, func(c domain.Command) bool {
			w, ok := c.(domain.Wait)
			return ok && w.Request == a.Request && w.Attempt == s.Attempt && 3*w.StepTimeout >= 1500*time.Millisecond
		}) {
			t.Fatalf("silence %d: got %v, want a wait of 1.5s at least", n, cs)
		}
	}
	if r, ok := findRefusal(h.tick(timeout), a.Request); !ok || r.Reason != domain.ReasonRetriesExhausted {
		t.Errorf("got %+v (%v) without a token in between, want a refusal", r, ok)
	}
}

// Guards against a request without a retry left that waits for a dead engine.
func TestLastAttemptEndsWithItsEngine(t *testing.T) {
	h := newHarness(t, lenientTarget(), newEngine("e1", 0, 8))
	a := h.newRequest("big")
	s := h.mustStart(a)
	for n := range 7 {
		s, _ = findStart(h.tick(domain.StageLost{Request: a.Request, Attempt: s.Attempt, Engine: "e1", Cause: domain.CauseStateLost, Tokens: n}), a.Request)
	}
	cs := h.tick(domain.EngineDead{Engine: "e1"}, domain.StageLost{Request: a.Request, Attempt: s.Attempt, Engine: "e1", Cause: domain.CauseTimeout, Tokens: 8})
	if r, ok := findRefusal(cs, a.Request); !ok || r.Reason != domain.ReasonRetriesExhausted {
		t.Errorf("got %+v (%v), want a refusal", r, ok)
	}
}

// Guards against a silent engine that gets new work although others answer, and against requests that are
// refused although the only engine is silent, or counted as the cause of its later death.
func TestSilentEngineIsLastResort(t *testing.T) {
	h := newHarness(t, lenientTarget(), newEngine("e1", 0, 8), newEngine("e2", 0, 8))
	h.tick(domain.EngineSilent{Engine: "e1"})
	for range 3 {
		if s := h.mustStart(h.newRequest("big")); s.Chain.Uses("e1") {
			t.Fatalf("got chain %v, want none over the silent engine", s.Chain)
		}
	}
	h.tick(domain.EngineDead{Engine: "e2"})
	a := h.newRequest("big")
	if s := h.mustStart(a); !s.Chain.Uses("e1") {
		t.Errorf("got chain %v, want one over the silent engine", s.Chain)
	}
	cs := h.tick(domain.EngineDead{Engine: "e1"}, domain.StageLost{Request: a.Request, Attempt: 1, Engine: "e1", Cause: domain.CauseBroken})
	if slices.ContainsFunc(cs, func(c domain.Command) bool {
		_, ok := c.(domain.ReportSuspect)
		return ok
	}) {
		t.Errorf("got %v, want no crash counted against a request that began after the silence", cs)
	}
}
