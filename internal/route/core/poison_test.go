package core_test

import (
	"fmt"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// crashEngine ends engine under the requests that ran on it.
func crashEngine(g *harness, engine spec.UpstreamID, running map[spec.RequestID]domain.Start) []domain.Command {
	var events []domain.Event
	for n := 1; n <= g.requestCount; n++ {
		id := spec.RequestID(fmt.Sprint(n))
		if s, ok := running[id]; ok && s.Chain.Uses(engine) {
			events = append(events, domain.StageLost{Request: id, Attempt: s.Attempt, Engine: engine, Cause: domain.CauseBroken})
		}
	}
	return g.tick(events...)
}

// A poison request is batched with innocent ones on an engine, which dies. Its
// caller sees an error after the second death; the callers of the others see
// their whole answers. Each suspect runs again with no other suspect beside
// it, so the second death names one request only.
func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	var engines []domain.Engine
	for i := range 4 {
		e := newEngine(fmt.Sprint("e", i), 0, 8)
		e.Slots = 64
		engines = append(engines, e)
	}
	g := newHarness(t, lenientTarget(), engines...)
	running := map[spec.RequestID]domain.Start{}
	for range 24 {
		a := g.newRequest("big")
		running[a.Request] = g.mustStart(a)
	}
	const guilty = spec.RequestID("7")
	deaths := 0
	var refusals []domain.Refuse
	for range 40 {
		s, ok := running[guilty]
		var cs []domain.Command
		if ok {
			deaths++
			engine := s.Chain[0].Engine()
			cs = crashEngine(g, engine, running)
			for id, s := range running {
				if s.Chain.Uses(engine) {
					delete(running, id)
				}
			}
		}
		for range 40 {
			for _, c := range cs {
				switch c := c.(type) {
				case domain.Start:
					running[c.Request] = c
				case domain.Refuse:
					refusals = append(refusals, c)
				}
			}
			var progress []domain.Event
			for n := 1; n <= g.requestCount; n++ {
				id := spec.RequestID(fmt.Sprint(n))
				if s, ok := running[id]; ok && s.Attempt > 1 && id != guilty {
					progress = append(progress, domain.RequestProgress{Request: id, Tokens: 9})
				}
			}
			cs = g.tick(progress...)
		}
	}
	if deaths != 2 {
		t.Errorf("engines lost: got %d, want 2", deaths)
	}
	if len(refusals) != 1 || refusals[0].Request != guilty || refusals[0].Reason != domain.ReasonPoison {
		t.Errorf("refusals: got %v, want just that of the poison", refusals)
	}
	if got, want := len(running), 23; got != want {
		t.Errorf("innocent requests that run: got %d, want %d", got, want)
	}
}

// The caller of a poison request sends it again to another instance, which
// heard of two deaths: it is refused before it runs. After one death heard it
// waits until the first instance must have settled it.
func TestPoisonRequestIsRefusedAfterPeerReports(t *testing.T) {
	g := newHarness(t, lenientTarget(), newEngine("e1", 0, 8), newEngine("e2", 0, 8))
	a := g.newRequest("big")
	g.tick(domain.SuspectReported{Fingerprint: a.Fingerprint, Crashes: 1, Engine: "x"})
	if _, ok := findStart(g.tick(a), a.Request); ok {
		t.Fatal("started while another instance may have it on probation")
	}
	r, ok := findRefusal(g.tick(domain.SuspectReported{Fingerprint: a.Fingerprint, Crashes: 1, Engine: "y"}), a.Request)
	if !ok || r.Reason != domain.ReasonPoison || r.Ran {
		t.Errorf("got %+v (%v), want it refused as poison before it ran", r, ok)
	}
	b := a
	b.Request = "again"
	if r, ok := findRefusal(g.tick(b), b.Request); !ok || r.Reason != domain.ReasonPoison {
		t.Errorf("sent again: got %+v (%v), want the same", r, ok)
	}
	g.tickFor(11 * time.Minute)
	c := a
	c.Request = "later"
	g.mustStart(c)
}

// Two engines of one chain die at once, one after the other noticed. The
// caller's request is innocent: the second stage was kept from before and had
// run the whole request, so its death counts nothing and the answer goes on.
func TestSimultaneousCrashesMakeNoCulprit(t *testing.T) {
	g := newHarness(t, lenientTarget(), newEngine("a1", 0, 4), newEngine("a2", 0, 4), newEngine("b1", 4, 8), newEngine("b2", 4, 8))
	a := g.newRequest("big")
	first := g.mustStart(a)
	cs := g.tick(domain.StageLost{Request: a.Request, Attempt: 1, Engine: first.Chain[0].Engine(), Cause: domain.CauseBroken, Tokens: 5})
	second, ok := findStart(cs, a.Request)
	if !ok {
		t.Fatalf("got %v, want a second start", cs)
	}
	g.tick(domain.StageLost{Request: a.Request, Attempt: 2, Engine: second.Chain[1].Engine(), Cause: domain.CauseBroken})
	if cs := g.tickFor(time.Second); len(cs) == 0 {
		t.Error("got nothing, want a third start")
	} else if _, ok := findStart(cs, a.Request); !ok {
		t.Errorf("got %v, want a third start", cs)
	}
}

// A suspect that got past the point where its engine died is cleared: when
// another engine dies under it much later, it is a first death again.
func TestClearedSuspectStartsWithoutCrashes(t *testing.T) {
	var engines []domain.Engine
	for i := range 6 {
		engines = append(engines, newEngine(fmt.Sprint("e", i), 0, 8))
	}
	g := newHarness(t, lenientTarget(), engines...)
	a := g.newRequest("big")
	s := g.mustStart(a)
	for n := range 4 {
		cs := g.tick(domain.StageLost{Request: a.Request, Attempt: s.Attempt, Engine: s.Chain[0].Engine(), Cause: domain.CauseBroken, Tokens: 10*n + 1})
		var ok bool
		if s, ok = findStart(cs, a.Request); !ok {
			t.Fatalf("death %d: got %v, want a start", n, cs)
		}
		g.tick(domain.RequestProgress{Request: a.Request, Tokens: 10*n + 2})
	}
}
