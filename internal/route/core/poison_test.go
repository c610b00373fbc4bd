package core_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// crashEngine reports engine as crashed for all requests that ran on it.
func crashEngine(h *harness, engine spec.UpstreamID, running map[spec.RequestID]domain.Start) []domain.Command {
	var events []domain.Event
	for n := 1; n <= h.requestCount; n++ {
		id := spec.RequestID(fmt.Sprint(n))
		if s, ok := running[id]; ok && s.Chain.Uses(engine) {
			events = append(events, domain.StageLost{Request: id, Attempt: s.Attempt, Engine: engine, Cause: domain.CauseBroken})
		}
	}
	return h.tick(events...)
}

// A poison request runs in one batch with other requests when the engine
// crashes. It must be refused after the second crash, and the other requests
// must get their whole answers. Each suspect runs again on an engine without
// another suspect, so that the second crash identifies one request only.
func TestPoisonRequestCrashesAtMostTwoEngines(t *testing.T) {
	var engines []domain.Engine
	for i := range 4 {
		e := newEngine(fmt.Sprint("e", i), 0, 8)
		e.Slots = 64
		engines = append(engines, e)
	}
	h := newHarness(t, lenientTarget(), engines...)
	running := map[spec.RequestID]domain.Start{}
	for range 24 {
		a := h.newRequest("big")
		running[a.Request] = h.mustStart(a)
	}
	const culprit = spec.RequestID("7")
	crashes := 0
	var refusals []domain.Refuse
	for range 40 {
		s, ok := running[culprit]
		var cs []domain.Command
		if ok {
			crashes++
			engine := s.Chain[0].Engine()
			cs = crashEngine(h, engine, running)
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
			for n := 1; n <= h.requestCount; n++ {
				id := spec.RequestID(fmt.Sprint(n))
				if s, ok := running[id]; ok && s.Attempt > 1 && id != culprit {
					progress = append(progress, domain.RequestProgress{Request: id, Tokens: 9})
				}
			}
			cs = h.tick(progress...)
		}
	}
	if crashes != 2 {
		t.Errorf("engines lost: got %d, want 2", crashes)
	}
	if len(refusals) != 1 || refusals[0].Request != culprit || refusals[0].Reason != domain.ReasonPoison {
		t.Errorf("refusals: got %v, want only that of the poison request", refusals)
	}
	if got, want := len(running), 23; got != want {
		t.Errorf("other requests still running: got %d, want %d", got, want)
	}
}

// The caller of a poison request sends it again to another instance. After
// peers reported two crashes it is refused before it runs. After one reported
// crash it waits until the first instance must have settled it.
func TestPoisonRequestIsRefusedAfterPeerReports(t *testing.T) {
	h := newHarness(t, lenientTarget(), newEngine("e1", 0, 8), newEngine("e2", 0, 8))
	a := h.newRequest("big")
	h.tick(domain.SuspectReported{Fingerprint: a.Fingerprint, Crashes: 1, Engine: "x"})
	if _, ok := findStart(h.tick(a), a.Request); ok {
		t.Fatal("started while another instance may have the request on probation")
	}
	r, ok := findRefusal(h.tick(domain.SuspectReported{Fingerprint: a.Fingerprint, Crashes: 1, Engine: "y"}), a.Request)
	if !ok || r.Reason != domain.ReasonPoison || r.Ran {
		t.Errorf("got %+v (%v), want it refused as poison before it ran", r, ok)
	}
	b := a
	b.Request = "again"
	if r, ok := findRefusal(h.tick(b), b.Request); !ok || r.Reason != domain.ReasonPoison {
		t.Errorf("sent again: got %+v (%v), want the same", r, ok)
	}
	h.tickFor(11 * time.Minute)
	c := a
	c.Request = "later"
	h.mustStart(c)
}

// Two engines of one chain crash at the same time, and the second crash is
// noticed later. The request is not the cause: its second stage was kept from
// the first attempt and had run the whole request, so that crash does not
// count against the request and the answer continues.
func TestSimultaneousCrashesMakeNoCulprit(t *testing.T) {
	h := newHarness(t, lenientTarget(), newEngine("a1", 0, 4), newEngine("a2", 0, 4), newEngine("b1", 4, 8), newEngine("b2", 4, 8))
	a := h.newRequest("big")
	first := h.mustStart(a)
	cs := h.tick(domain.StageLost{Request: a.Request, Attempt: 1, Engine: first.Chain[0].Engine(), Cause: domain.CauseBroken, Tokens: 5})
	second, ok := findStart(cs, a.Request)
	if !ok {
		t.Fatalf("got %v, want a second start", cs)
	}
	h.tick(domain.StageLost{Request: a.Request, Attempt: 2, Engine: second.Chain[1].Engine(), Cause: domain.CauseBroken})
	if cs := h.tickFor(time.Second); len(cs) == 0 {
		t.Error("got nothing, want a third start")
	} else if _, ok := findStart(cs, a.Request); !ok {
		t.Errorf("got %v, want a third start", cs)
	}
}

// A suspect that makes progress past the point of the crash is cleared. When
// another engine dies under it much later, that counts as a first crash
// again.
func TestClearedSuspectStartsWithoutCrashes(t *testing.T) {
	var engines []domain.Engine
	for i := range 6 {
		engines = append(engines, newEngine(fmt.Sprint("e", i), 0, 8))
	}
	h := newHarness(t, lenientTarget(), engines...)
	a := h.newRequest("big")
	s := h.mustStart(a)
	for n := range 4 {
		cs := h.tick(domain.StageLost{Request: a.Request, Attempt: s.Attempt, Engine: s.Chain[0].Engine(), Cause: domain.CauseBroken, Tokens: 10*n + 1})
		var ok bool
		if s, ok = findStart(cs, a.Request); !ok {
			t.Fatalf("crash %d: got %v, want a start", n, cs)
		}
		h.tick(domain.RequestProgress{Request: a.Request, Tokens: 10*n + 2})
	}
}

// Guards against a request that crashes engines being sent on since its callers leave before each crash.
func TestCrashesUnderRequestsOfGoneCallersCount(t *testing.T) {
	var engines []domain.Engine
	for i := range 6 {
		engines = append(engines, newEngine(fmt.Sprint("e", i), 0, 8))
	}
	h := newHarness(t, lenientTarget(), engines...)
	crashes := 0
	for range 5 {
		a := h.newRequest("big")
		a.Fingerprint = 58
		starts := startsOf(h.tick(a))
		for n := 0; len(starts) == 0 && n < 400; n++ {
			starts = startsOf(h.tick())
		}
		if len(starts) == 0 {
			break
		}
		crashes++
		h.tick(domain.RequestCanceled{Request: a.Request})
		h.tick(domain.EngineDead{Engine: starts[0].Chain[0].Engine()})
	}
	if crashes != 2 {
		t.Errorf("engines lost: got %d, want 2", crashes)
	}
}

// Guards against silence that counts against the requests of an engine, and against requests that make
// engines hang being sent on since they left before the engines were known to be dead.
func TestOnlyDeathAfterSilenceCounts(t *testing.T) {
	for _, dies := range []bool{false, true} {
		h := newHarness(t, lenientTarget(), newEngine("e1", 0, 8), newEngine("e2", 0, 8))
		a := h.newRequest("big")
		s := h.mustStart(a)
		engine := s.Chain[0].Engine()
		cs := h.tick(domain.EngineSilent{Engine: engine}, domain.StageLost{Request: a.Request, Attempt: s.Attempt, Engine: engine, Cause: domain.CauseTimeout, Tokens: 3})
		if _, ok := findStart(cs, a.Request); !ok {
			t.Fatalf("got %v, want a start on the other engine", cs)
		}
		cs = append(cs, h.tickFor(time.Second)...)
		if dies {
			cs = append(cs, h.tick(domain.EngineDead{Engine: engine})...)
		}
		counted := slices.ContainsFunc(cs, func(c domain.Command) bool {
			_, ok := c.(domain.ReportSuspect)
			return ok
		})
		if counted != dies {
			t.Errorf("got a crash counted: %v, want %v (whether the engine died)", counted, dies)
		}
	}
}

// startsOf returns the starts among commands.
func startsOf(cs []domain.Command) (out []domain.Start) {
	for _, c := range cs {
		if s, ok := c.(domain.Start); ok {
			out = append(out, s)
		}
	}
	return out
}
