package core_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// The caller of an answer that is half done sees the next token, not a new
// answer: the engine of the second stage dies, and the new chain keeps the
// first stage with its state and replaces only the range that was lost.
func TestEngineDeathReplacesOnlyLostRange(t *testing.T) {
	g := newHarness(t, lenientTarget(), newEngine("a1", 0, 4), newEngine("a2", 0, 4), newEngine("b1", 4, 8), newEngine("b2", 4, 8))
	a := g.newRequest("big")
	first := g.mustStart(a)
	dead := first.Chain[1].Engine()
	cs := g.tick(
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

// The caller of a request whose last engine died waits while nothing covers
// the model, and goes on when the engine is back. The report that was under
// way when the engine died does not bring it back.
func TestRunningRequestWaitsForEngine(t *testing.T) {
	only := newEngine("a1", 0, 8)
	g := newHarness(t, lenientTarget(), only)
	a := g.newRequest("big")
	g.mustStart(a)
	late := only
	late.Seq = 2
	cs := g.tick(
		domain.StageLost{Request: a.Request, Attempt: 1, Engine: "a1", Cause: domain.CauseBroken},
		domain.EngineReport{Engine: late},
	)
	if len(cs) > 0 {
		if _, ok := findStart(cs, a.Request); ok {
			t.Fatal("started on a dead engine by a late report")
		}
	}
	g.tickFor(2 * time.Second)
	other := newEngine("a2", 0, 8)
	if _, ok := findStart(g.tick(domain.EngineReport{Engine: other}), a.Request); !ok {
		t.Error("got no start when an engine covers the model again")
	}
}

// A caller who comes while no engines cover the model is refused at once, is
// told that nothing ran, and when to come back.
func TestUncoveredModelIsRefusedAtOnce(t *testing.T) {
	g := newHarness(t, lenientTarget(), newEngine("a1", 0, 4))
	a := g.newRequest("big")
	r, ok := findRefusal(g.tick(a), a.Request)
	if !ok || r.Reason != domain.ReasonNoEngine || r.Ran || r.RetryAfter <= 0 {
		t.Errorf("got %+v (%v), want a refusal no-engine that did not run, with a time", r, ok)
	}
}

// Callers that come while the engines are full wait only if their target
// still holds; the others are refused in the tick in which they come, with the
// time after which the backlog is worked off, and what waits is started when
// there is room.
func TestOverloadRefusesLateRequestsAndQueuesOthers(t *testing.T) {
	g := newHarness(t, spec.NewTarget(time.Second, 0, 0, 95), newEngine("a1", 0, 8))
	var ran []spec.RequestID
	starts, refusals := 0, 0
	for range 60 {
		a := g.newRequest("big")
		cs := g.tick(a)
		if _, ok := findStart(cs, a.Request); ok {
			starts++
			ran = append(ran, a.Request)
		}
		if r, ok := findRefusal(cs, a.Request); ok {
			refusals++
			if r.RetryAfter < time.Second || r.Ran {
				t.Errorf("refusal: got %+v, want a time of at least 1s and not ran", r)
			}
		}
	}
	waiting := g.logic.WaitingCount()
	if starts == 0 || refusals == 0 || waiting == 0 {
		t.Fatalf("got %d started, %d refused, %d waiting; want some of each", starts, refusals, waiting)
	}
	cs := g.tick(domain.RequestFinished{Request: ran[0], Tokens: 50, OK: true})
	if g.logic.WaitingCount() >= waiting {
		t.Errorf("got %v, want one of the queue settled when room came", cs)
	}
}

// A caller who waits in the queue learns in the moment in which the target
// cannot hold any more that it is refused, not at its deadline.
func TestHopelessQueuedRequestIsRefusedEarly(t *testing.T) {
	g := newHarness(t, spec.NewTarget(2*time.Second, 0, 0, 95), newEngine("a1", 0, 8))
	asked := map[spec.RequestID]time.Duration{}
	for range 30 {
		a := g.newRequest("big")
		g.tick(a)
		asked[a.Request] = g.now
	}
	waiting := g.logic.WaitingCount()
	if waiting == 0 {
		t.Fatal("nothing waits")
	}
	ended := 0
	for g.now < time.Minute && ended < waiting {
		for _, c := range g.tick() {
			r, ok := c.(domain.Refuse)
			if !ok {
				continue
			}
			ended++
			if got := g.now - asked[r.Request]; got > 2*time.Second {
				t.Errorf("request %s refused after %v, want within its 2s", r.Request, got)
			}
		}
	}
	if ended != waiting {
		t.Errorf("got %d refused of %d that waited behind work that never ends", ended, waiting)
	}
}

// A small team's caller does not wait behind the backlog of a large team: its
// request is the next one that starts.
func TestSmallTeamStartsBeforeLargeBacklog(t *testing.T) {
	g := newHarness(t, lenientTarget(), newEngine("a1", 0, 8))
	var ran []spec.RequestID
	for range 40 {
		a := g.newRequest("big")
		if _, ok := findStart(g.tick(a), a.Request); ok {
			ran = append(ran, a.Request)
		}
	}
	small := g.newRequest("small")
	cs := g.tick(small)
	for i := 0; i < len(ran); i++ {
		if _, ok := findStart(cs, small.Request); ok {
			return
		}
		cs = g.tick(domain.RequestFinished{Request: ran[i], Tokens: 50, OK: true})
		for _, c := range cs {
			if s, ok := c.(domain.Start); ok && s.Request != small.Request {
				t.Fatalf("got %s of the large team started before the small one", s.Request)
			}
		}
	}
	t.Error("the small team's request never started")
}

// A caller whose own data centre is full is sent to another that has room, at
// most once: a request that came from another instance is refused instead.
func TestRequestIsForwardedOnlyOnce(t *testing.T) {
	g := newHarness(t, spec.NewTarget(time.Second, 0, 0, 95))
	g.tick(domain.CentreCapacity{DataCentre: "other", Model: testModel, Instance: "far", FreeRate: 1000})
	a := g.newRequest("big")
	cs := g.tick(a)
	if f, ok := cs[0].(domain.Forward); !ok || f.To != "far" {
		t.Fatalf("got %v, want it forwarded to far", cs)
	}
	b := g.newRequest("big")
	b.Hops = 1
	if _, ok := findRefusal(g.tick(b), b.Request); !ok {
		t.Error("a request that was forwarded already: want it refused")
	}
	g.tick(domain.PeerRemoved{Peer: "far"})
	c := g.newRequest("big")
	if _, ok := findRefusal(g.tick(c), c.Request); !ok {
		t.Error("the other instance is gone: want a refusal")
	}
}

// A leaving engine gets nothing in the tick of the first signal or after,
// though its late reports call it live, until it comes back restarted.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	one, two := newEngine("a1", 0, 8), newEngine("a2", 0, 8)
	one.Slots, two.Slots = 64, 64
	g := newHarness(t, lenientTarget(), one, two)
	late := one
	late.Seq = 9
	g.tick(domain.EngineLeaving{Engine: "a1"}, domain.EngineReport{Engine: late})
	for range 8 {
		a := g.newRequest("big")
		if s := g.mustStart(a); s.Chain.Uses("a1") {
			t.Fatalf("got chain %v, want none over the leaving engine", s.Chain)
		}
	}
	late.Incarnation, late.Seq = 7, 1
	g.tick(domain.EngineReport{Engine: late})
	used := false
	for range 8 {
		used = used || g.mustStart(g.newRequest("big")).Chain.Uses("a1")
	}
	if !used {
		t.Error("a restarted engine was never used")
	}
}

// A caller whose request timed out is tried elsewhere, but a class in which
// everything times out stops retrying: its bank of retries is spent, and the
// load is not multiplied.
func TestTimeoutsSpendRetryBudget(t *testing.T) {
	var engines []domain.Engine
	for i := range 20 {
		engines = append(engines, newEngine(fmt.Sprint("e", i), 0, 8))
	}
	g := newHarness(t, lenientTarget(), engines...)
	starts, retries := 0, 0
	for range 60 {
		a := g.newRequest("big")
		s, ok := findStart(g.tick(a), a.Request)
		for ok {
			starts++
			lost := s.Chain[0].Engine()
			cs := g.tick(domain.StageLost{Request: a.Request, Attempt: s.Attempt, Engine: lost, Cause: domain.CauseTimeout})
			if s, ok = findStart(cs, a.Request); ok {
				retries++
			} else {
				g.tick(domain.RequestCanceled{Request: a.Request})
			}
		}
	}
	if got, most := retries, 20+starts/10+1; got == 0 || got > most {
		t.Errorf("got %d retries of %d starts, want some and at most %d", got, starts, most)
	}
}

// An engine that was removed, and a peer that went, leave nothing behind.
func TestRemovedEngineAndPeerLeaveNoLoad(t *testing.T) {
	g := newHarness(t, lenientTarget(), newEngine("a1", 0, 8))
	a := g.newRequest("big")
	g.mustStart(a)
	g.tick(domain.PeerLoad{Peer: "p", Engine: "a1", Active: 3, LayerTokenRate: 900})
	e := g.logic.State().Engines().Get("a1")
	busy := e.Demand()
	g.tick(domain.PeerRemoved{Peer: "p"})
	if got, want := busy-e.Demand(), int64(900); got != want {
		t.Errorf("draw that went with the peer: got %d, want %d", got, want)
	}
	g.tick(domain.EngineRemoved{Engine: "a1"}, domain.PeerLoad{Peer: "q", Engine: "a1", Active: 1, LayerTokenRate: 0}, domain.EngineReport{Engine: newEngine("a1", 0, 8)}, domain.RequestCanceled{Request: a.Request})
	if got := g.logic.State().Engines().Get("a1").Demand(); got != 0 {
		t.Errorf("draw on the engine of the same name: got %d, want 0", got)
	}
	if got := g.logic.State().Requests().Len(); got != 0 {
		t.Errorf("requests: got %d, want 0", got)
	}
}
