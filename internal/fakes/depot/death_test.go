package depot_test

import (
	"os"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/fakes/drive"
)

// TestDeaths prints what one death costs, by kind, over several runs: how many
// answers are late or lost and how long callers see nothing.
func TestDeaths(t *testing.T) {
	if os.Getenv("WORST") == "" {
		t.Skip("prints figures: WORST=1")
	}
	for _, kind := range []drive.Kind{drive.KindCrash, drive.KindDark, drive.KindDrain} {
		var late, lost []int
		var p99 []float64
		for seed := range uint64(8) {
			r := runWorkload(t, nil, func(w *drive.Work) {
				w.Seed = seed
				w.Faults = []drive.Fault{{At: 6 * time.Second, Kind: kind, Count: 1}}
			}).Total
			late, lost = append(late, r.Late), append(lost, r.Refused+r.Failed)
			p99 = append(p99, r.PauseP99)
		}
		slices.Sort(late)
		slices.Sort(lost)
		slices.Sort(p99)
		t.Logf("| %s | %d, %d | %d, %d | %.0f, %.0f |", kind, late[4], late[7], lost[4], lost[7], p99[4], p99[7])
	}
}
