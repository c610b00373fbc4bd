package poison_test

import (
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/poison"
	"fulmarwick/internal/route/world"
)

func TestFingerprintsAreBoundedAndExpire(t *testing.T) {
	b := &poison.Book{}
	for i := range 6000 {
		b.Heard(time.Second, world.Suspected{Print: uint64(i + 1), Crashes: 2, Engine: "e"})
	}
	if got, want := b.Len(), 4096; got != want {
		t.Errorf("fingerprints: got %d, want %d", got, want)
	}
	w := &world.World{}
	w.Begin(2*time.Second + poison.Expiry)
	b.Run(w)
	if got := b.Len(); got != 0 {
		t.Errorf("after expiry: got %d, want 0", got)
	}
}

// Instances hear of deaths in any order and of some twice. The same engine
// counts once, two engines condemn, and a clearance by one instance does not
// absolve what killed two.
func TestHeardDeathsCountPerEngine(t *testing.T) {
	w := &world.World{}
	w.Begin(time.Minute)
	w.Apply(world.Arrived{Request: "r", Print: 7})
	r := w.Requests().Due()[0]
	b := &poison.Book{}
	heard := func(crashes int, engine spec.UpstreamID) poison.Verdict {
		b.Heard(0, world.Suspected{Print: 7, Crashes: crashes, Engine: engine})
		return b.Judge(w.Now(), r)
	}
	if got := heard(1, "e"); got != poison.VerdictSolo {
		t.Errorf("one death: got %v, want solo", got)
	}
	if got := heard(1, "e"); got != poison.VerdictSolo {
		t.Errorf("the same death again: got %v, want solo", got)
	}
	if got := heard(0, "e"); got != poison.VerdictFree {
		t.Errorf("cleared: got %v, want free", got)
	}
	heard(1, "e")
	if got := heard(1, "f"); got != poison.VerdictGuilty {
		t.Errorf("two engines: got %v, want guilty", got)
	}
	if got := heard(0, "e"); got != poison.VerdictGuilty {
		t.Errorf("cleared by one after two deaths: got %v, want guilty still", got)
	}
}
