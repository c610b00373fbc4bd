package core_test

import (
	"testing"

	"fulmarwick/internal/route/domain"
)

// Guards against losing a resumed request. The first answer came from another
// data centre and was cut off. The caller resumes at this instance, whose
// data centre has no engine for the model. The request must be forwarded to
// the other data centre again, because waiting here for engines that never
// come would lose it.
func TestResumedRequestIsForwardedWithoutLocalEngine(t *testing.T) {
	h := newHarness(t, lenientTarget())
	h.tick(domain.CentreCapacity{DataCentre: "other", Model: testModel, Instance: "far", FreeRate: 1000})
	a := h.newRequest("team")
	a.ReceivedTokens = 7
	cs := h.tick(a)
	if len(cs) != 1 {
		t.Fatalf("got %d commands, want 1", len(cs))
	}
	if f, ok := cs[0].(domain.Forward); !ok || f.To != "far" {
		t.Errorf("got %+v, want a Forward to far", cs[0])
	}
}

// A request is forwarded to a data centre whose engines have just gone. It is
// refused at once, so that the sending instance can try another data centre.
// Holding it until engines return would keep its caller waiting.
func TestForwardedRequestIsRefusedAtOnce(t *testing.T) {
	h := newHarness(t, lenientTarget())
	a := h.newRequest("team")
	a.ReceivedTokens, a.Hops = 7, 1
	if r, ok := findRefusal(h.tick(a), a.Request); !ok || r.Reason != domain.ReasonNoEngine {
		t.Errorf("got %+v, want a refusal with reason no-engine", r)
	}
}
