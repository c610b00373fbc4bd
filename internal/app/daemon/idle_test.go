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
	// idleFor is how long the instances are observed.
	idleFor = 10 * time.Second
	// tickRate is the number of clock ticks per second in /proc.
	tickRate = 100
)

// BenchmarkIdle measures the processor time and memory that one of four
// instances with thirty engines uses without requests: the cost of the control
// plane.
func BenchmarkIdle(b *testing.B) {
	e := newClusterWatch(b, 4, &trial.Site{LayerTime: 20 * time.Microsecond, Copies: 5}, time.Second)
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

// ticks returns the processor time used by a process, in clock ticks.
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

// residentKB returns the resident memory of a process in KB.
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
