package admit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/admit"
	"fulmarwick/internal/route/domain"
)

func TestTargetMiss(t *testing.T) {
	plan := domain.Plan{FirstTokenTime: time.Second, TokenTime: 10 * time.Millisecond, TotalTime: 3 * time.Second}
	noMargin := admit.Margin{First: 1, Token: 1}
	tests := []struct {
		name   string
		target spec.Target
		margin admit.Margin
		wait   time.Duration
		want   time.Duration
	}{
		{"holds", spec.NewTarget(2*time.Second, 0, 0, 95), noMargin, time.Second, 0},
		{"waits too long", spec.NewTarget(2*time.Second, 0, 0, 95), noMargin, 1500 * time.Millisecond, 500 * time.Millisecond},
		{"margin", spec.NewTarget(2*time.Second, 0, 0, 95), admit.Margin{First: 2.5, Token: 1}, 0, 500 * time.Millisecond},
		{"whole", spec.NewTarget(0, 0, 3*time.Second, 95), noMargin, time.Second, time.Second},
		{"gap", spec.NewTarget(0, 8*time.Millisecond, 0, 95), noMargin, 0, 2 * time.Millisecond},
		{"no limit waits long", spec.NewTarget(0, 0, 0, 95), noMargin, 20 * time.Second, 0},
		{"no limit ends", spec.NewTarget(0, 0, 0, 95), noMargin, 31 * time.Second, time.Second},
	}
	for _, test := range tests {
		got, missed := admit.TargetMiss(test.target, test.margin, admit.Estimate{RemainingWait: test.wait, Plan: plan})
		if got != test.want || missed != (test.want > 0) {
			t.Errorf("%s: got %v %v, want %v", test.name, got, missed, test.want)
		}
	}
}

// burstyFlows returns flows of teams that switch independently between a low
// rate and four times that rate.
func burstyFlows(n int, seed uint64, bins int) []admit.Flow {
	r := rand.New(rand.NewPCG(seed, 0))
	out := make([]admit.Flow, n)
	for i := range out {
		out[i].BinWidth = 250 * time.Millisecond
		high := false
		for range bins {
			if r.Float64() < map[bool]float64{true: 0.25, false: 0.0625}[high] {
				high = !high
			}
			rate := map[bool]float64{true: 100, false: 25}[high]
			out[i].Bins = append(out[i].Bins, 80*float64(poisson(r, rate*0.25/80)))
		}
	}
	return out
}

func poisson(r *rand.Rand, mean float64) int {
	limit, p, n := math.Exp(-mean), 1.0, 0
	for {
		p *= r.Float64()
		if p <= limit {
			return n
		}
		n++
	}
}

// shareInTime returns the share of the tokens that a first-come, first-served
// queue with the given rate would start within the limit.
func shareInTime(flows []admit.Flow, rate float64, limit time.Duration) float64 {
	queue, inTime, total := 0.0, 0.0, 0.0
	for b := range flows[0].Bins {
		sum := 0.0
		for _, f := range flows {
			sum += f.Bins[b]
		}
		total += sum
		capacity := max(0, rate*limit.Seconds()-queue)
		inTime += min(sum, capacity)
		queue = max(0, queue+sum-rate*flows[0].BinWidth.Seconds())
	}
	return inTime / total
}

// servedPerRequest returns how many tokens of all flows are served with the
// decision per request. Tokens that would wait longer than the limit are
// rejected, all others are served.
func servedPerRequest(flows []admit.Flow, rate float64, limit time.Duration) float64 {
	queue, served := 0.0, 0.0
	for b := range flows[0].Bins {
		sum := 0.0
		for _, f := range flows {
			sum += f.Bins[b]
		}
		accepted := min(sum, max(0, rate*limit.Seconds()-queue))
		served += accepted
		queue = max(0, queue+accepted-rate*flows[0].BinWidth.Seconds())
	}
	return served
}

// Guards against rules that admit so many teams by their past demand that later
// callers wait too long. On other random demand of the same teams, the target
// must hold for the teams that each rule admits.
func TestRulesMeetTarget(t *testing.T) {
	const rate, limit = 2000.0, time.Second
	past, future := burstyFlows(80, 1, 2400), burstyFlows(80, 2, 2400)
	for _, rule := range []admit.Rule{admit.Headroom{FreeShare: 0.2}, admit.WorstCase{}, admit.StochasticBound{}} {
		n := rule.AdmitCount(past, rate, limit, 95)
		if n == 0 {
			t.Errorf("%T: got no team admitted, want at least one", rule)
			continue
		}
		if got := shareInTime(future[:n], rate, limit); got < 0.95 {
			t.Errorf("%T: got %d teams with %.3f in time, want at least 0.95", rule, n, got)
		}
	}
}

func BenchmarkRules(b *testing.B) {
	const rate = 2000.0
	past, future := burstyFlows(80, 1, 2400), burstyFlows(80, 2, 2400)
	for _, limit := range []time.Duration{500 * time.Millisecond, time.Second, 3 * time.Second} {
		for _, rule := range []admit.Rule{admit.Headroom{FreeShare: 0.1}, admit.Headroom{FreeShare: 0.2}, admit.WorstCase{}, admit.StochasticBound{}} {
			b.Run(fmt.Sprintf("%v/%T%v", limit, rule, rule), func(b *testing.B) {
				n := 0
				for range b.N {
					n = rule.AdmitCount(past, rate, limit, 95)
				}
				served := 0.0
				for _, f := range future[:n] {
					served += f.MeanRate()
				}
				b.ReportMetric(float64(n), "teams")
				b.ReportMetric(100*served/rate, "%used")
				if n > 0 {
					b.ReportMetric(100*shareInTime(future[:n], rate, limit), "%held")
				}
			})
		}
		b.Run(fmt.Sprintf("%v/per-request", limit), func(b *testing.B) {
			all := 0.0
			for range b.N {
				all = servedPerRequest(future, rate, limit)
			}
			seconds := float64(len(future[0].Bins)) * 0.25
			b.ReportMetric(80, "teams")
			b.ReportMetric(100*all/seconds/rate, "%used")
			b.ReportMetric(100, "%held")
		})
	}
}
