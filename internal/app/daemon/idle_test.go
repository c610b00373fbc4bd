package daemon_test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"fulmarwick/internal/fakes/trial"
)

const (
	// idleFor is how long instances are watched.
	idleFor = 10 * time.Second
	// tickRate is how many clock ticks a second /proc counts in.
	tickRate = 100
)

// BenchmarkIdle gives the processor time and the memory of one of four
// instances before thirty engines while no caller asks: what control takes.
func BenchmarkIdle(b *testing.B) {
	e := newClusterWatch(b, 4, &trial.Site{Layer: 20 * time.Microsecond, Copies: 5}, time.Second)
	for range b.N {
		before := map[string]int{}
		for name, p := range e.live {
			before[name] = ticks(b, p)
		}
		time.Sleep(idleFor)
		used, resident := 0, 0
		for name, p := range e.live {
			used += ticks(b, p) - before[name]
			resident = max(resident, residentKB(b, p))
		}
		percent := 100 * float64(used) / tickRate / idleFor.Seconds() / float64(len(e.live))
		b.ReportMetric(percent, "core-percent")
		b.ReportMetric(float64(resident)/1024, "resident-MB")
	}
}

// ticks is the processor time of a process in clock ticks.
func ticks(b *testing.B, p *process) int {
	b.Helper()
	fields := strings.Fields(procFile(b, p, "stat"))
	sum := 0
	for _, f := range fields[13:15] {
		n, err := strconv.Atoi(f)
		if err != nil {
			b.Fatal(err)
		}
		sum += n
	}
	return sum
}

// residentKB is the memory of a process that is not swapped.
func residentKB(b *testing.B, p *process) int {
	b.Helper()
	_, rest, _ := strings.Cut(procFile(b, p, "status"), "VmRSS:")
	n, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		b.Fatal(err)
	}
	return n
}

func procFile(b *testing.B, p *process, file string) string {
	b.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/%s", p.cmd.Process.Pid, file))
	if err != nil {
		b.Fatal(err)
	}
	return string(data)
}
