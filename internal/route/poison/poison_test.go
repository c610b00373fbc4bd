package poison_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/poison"
)

func TestFingerprintsAreBoundedAndExpire(t *testing.T) {
	tracker := &poison.Tracker{}
	for i := range 6000 {
		tracker.ApplyPeerReport(time.Second, domain.SuspectReported{Fingerprint: uint64(i + 1), Crashes: 2, Engine: "e"})
	}
	if got, want := tracker.Len(), 4096; got != want {
		t.Errorf("fingerprints: got %d, want %d", got, want)
	}
	state := &domain.RoutingState{}
	state.BeginTick(2*time.Second + poison.SuspectTTL)
	tracker.Run(state)
	if got := tracker.Len(); got != 0 {
		t.Errorf("after expiry: got %d, want 0", got)
	}
}

// Instances receive reports of crashes in any order, and some twice. The same
// engine must count once, two engines must make the request a culprit, and a
// clearance by one instance must not undo two crashes.
func TestReportedCrashesCountPerEngine(t *testing.T) {
	state := &domain.RoutingState{}
	state.BeginTick(time.Minute)
	state.Apply(domain.RequestArrived{Request: "r", Fingerprint: 7})
	r := state.Requests().TakeDue()[0]
	tracker := &poison.Tracker{}
	report := func(crashes int, engine spec.UpstreamID) poison.Verdict {
		tracker.ApplyPeerReport(0, domain.SuspectReported{Fingerprint: 7, Crashes: crashes, Engine: engine})
		return tracker.Evaluate(state.Now(), r)
	}
	if got := report(1, "e"); got != poison.VerdictIsolate {
		t.Errorf("one crash: got %v, want solo", got)
	}
	if got := report(1, "e"); got != poison.VerdictIsolate {
		t.Errorf("the same crash again: got %v, want solo", got)
	}
	if got := report(0, "e"); got != poison.VerdictAllow {
		t.Errorf("cleared: got %v, want free", got)
	}
	report(1, "e")
	if got := report(1, "f"); got != poison.VerdictCulprit {
		t.Errorf("two engines: got %v, want guilty", got)
	}
	if got := report(0, "e"); got != poison.VerdictCulprit {
		t.Errorf("cleared by one instance after two crashes: got %v, want guilty still", got)
	}
}
