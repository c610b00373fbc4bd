package poison_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/poison"
)

func TestFingerprintsAreBoundedAndExpire(t *testing.T) {
	b := &poison.Tracker{}
	for i := range 6000 {
		b.ApplyPeerReport(time.Second, domain.SuspectReported{Fingerprint: uint64(i + 1), Crashes: 2, Engine: "e"})
	}
	if got, want := b.Len(), 4096; got != want {
		t.Errorf("fingerprints: got %d, want %d", got, want)
	}
	w := &domain.RoutingState{}
	w.BeginTick(2*time.Second + poison.SuspectTTL)
	b.Run(w)
	if got := b.Len(); got != 0 {
		t.Errorf("after expiry: got %d, want 0", got)
	}
}

// Instances hear of deaths in any order and of some twice. The same engine
// counts once, two engines condemn, and a clearance by one instance does not
// absolve what killed two.
func TestReportedCrashesCountPerEngine(t *testing.T) {
	w := &domain.RoutingState{}
	w.BeginTick(time.Minute)
	w.Apply(domain.RequestArrived{Request: "r", Fingerprint: 7})
	r := w.Requests().TakeDue()[0]
	b := &poison.Tracker{}
	heard := func(crashes int, engine spec.UpstreamID) poison.Verdict {
		b.ApplyPeerReport(0, domain.SuspectReported{Fingerprint: 7, Crashes: crashes, Engine: engine})
		return b.Evaluate(w.Now(), r)
	}
	if got := heard(1, "e"); got != poison.VerdictIsolate {
		t.Errorf("one death: got %v, want solo", got)
	}
	if got := heard(1, "e"); got != poison.VerdictIsolate {
		t.Errorf("the same death again: got %v, want solo", got)
	}
	if got := heard(0, "e"); got != poison.VerdictAllow {
		t.Errorf("cleared: got %v, want free", got)
	}
	heard(1, "e")
	if got := heard(1, "f"); got != poison.VerdictCulprit {
		t.Errorf("two engines: got %v, want guilty", got)
	}
	if got := heard(0, "e"); got != poison.VerdictCulprit {
		t.Errorf("cleared by one after two deaths: got %v, want guilty still", got)
	}
}
