package depot_test

import (
	"os"
	"slices"
	"testing"
	"time"

	"fulmarwick/internal/fakes/drive"
)

// TestDeaths prints the effect of losing one engine, for each kind of fault: late
// answers, lost answers and the 99th percentile of pauses within answers. Each
// figure is the median and the maximum of eight seeds.
func TestDeaths(t *testing.T) {
	if os.Getenv("WORST") == "" {
		t.Skip("only prints figures; set WORST=1 to run it")
	}
	for _, kind := range []drive.Kind{drive.KindCrash, drive.KindHang, drive.KindDrain} {
		var late, lost []int
		var p99 []float64
		for seed := range uint64(8) {
			r := runWorkload(t, nil, func(w *drive.Workload) {
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
