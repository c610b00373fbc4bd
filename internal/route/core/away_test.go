package core_test

import (
	"testing"

	"fulmarwick/internal/route/domain"
)

// A caller whose answer came from another data centre is cut off and resumes
// here, where no engine has the model. The request must go to the other data
// centre again; waiting here for engines that never come would lose it.
func TestResumedRequestIsForwardedWithoutLocalEngine(t *testing.T) {
	g := newHarness(t, lenientTarget())
	g.tick(domain.CentreCapacity{DataCentre: "other", Model: testModel, Instance: "far", FreeRate: 1000})
	a := g.newRequest("team")
	a.ReceivedTokens = 7
	cs := g.tick(a)
	if len(cs) != 1 {
		t.Fatalf("got %d commands, want 1", len(cs))
	}
	if f, ok := cs[0].(domain.Forward); !ok || f.To != "far" {
		t.Errorf("got %+v, want a Forward to far", cs[0])
	}
}

// A request that was forwarded comes to a data centre whose engines are just
// gone. It is refused at once, so that the instance that sent it can try
// another one; holding it back for engines to return would hold its caller.
func TestForwardedRequestIsRefusedAtOnce(t *testing.T) {
	g := newHarness(t, lenientTarget())
	a := g.newRequest("team")
	a.ReceivedTokens, a.Hops = 7, 1
	if r, ok := findRefusal(g.tick(a), a.Request); !ok || r.Reason != domain.ReasonNoEngine {
		t.Errorf("got %+v, want a refusal for want of engines", r)
	}
}
