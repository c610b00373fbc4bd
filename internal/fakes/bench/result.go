package bench

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// Result is the figures of a run, for what came after the warm-up.
type Result struct {
	// Throughput is work done over the bound, and Good the same for answers that
	// met their target.
	Throughput, Goodput float64
	// Came, Refused, Lost and Done count requests.
	Arrived, Refused, Lost, Done int
	// MetTarget is the part of all that came, and HeldOf the part of those not
	// refused, that met its target.
	MetTarget, AdmittedMetTarget float64
	// Teams is Held per team.
	Teams map[spec.TeamID]float64
	// CacheHits is the part of prompt positions served from prefix caches.
	CacheHits float64
	// Hedges counts requests that ran twice.
	Hedges int
	// First50 and First99 are of the first token.
	First50, First95, First99 time.Duration
	// Affected counts requests hit by a fault; Healed50 and so on are the time to
	// their next token, Found the longest time to the notice of it.
	Affected                            int
	Recovery50, Recovery95, RecoveryMax time.Duration
	DetectionMax                        time.Duration
	Crashes                             int
	Timeouts                            int
	Reasons                             map[domain.Reason]int
	// MissedFirst and MissGap count answers that missed that part of the target.
	MissedFirst, MissedGap int
	// Utilization is per kind of accelerator the part of its slots' time that ran.
	Utilization map[string]float64
}

// result gathers what ended in the window. Requests that are open at the end
// and came too late to have met their target are left out.
func (s *Simulation) result() Result {
	out := Result{
		Crashes: s.crashes, Timeouts: s.timeouts, Hedges: s.hedges,
		Teams: map[spec.TeamID]float64{}, Reasons: map[domain.Reason]int{},
	}
	came := map[spec.TeamID]float64{}
	held := map[spec.TeamID]float64{}
	g := collector{out: &out, arrived: came, metTarget: held}
	done, good := 0, 0
	for _, r := range s.runs {
		out.countFault(r, &g.recoveries)
		if r.outcome == OutcomeDone && r.endedAt >= s.Warm {
			done += s.workUnits(r)
			if r.metTarget() {
				good += s.workUnits(r)
			}
		}
		if r.arrivedAt >= s.Warm && r.arrivedAt <= s.Length-openMargin && !r.poison && r.outcome != OutcomeHedged {
			g.add(r)
		}
	}
	window := (s.Length - s.Warm).Seconds() * s.Layout.Bound()
	out.Throughput, out.Goodput = float64(done)/window, float64(good)/window
	out.MetTarget = ratio(g.metTargetTotal, out.Arrived)
	out.AdmittedMetTarget = ratio(g.metTargetTotal, out.Arrived-out.Refused)
	out.CacheHits = ratio(g.cachedTokens, g.prefillTokens)
	out.Utilization = s.utilization()
	out.First50, out.First95, out.First99 = percentile(g.firsts, 50), percentile(g.firsts, 95), percentile(g.firsts, 99)
	out.Recovery50, out.Recovery95, out.RecoveryMax = percentile(g.recoveries, 50), percentile(g.recoveries, 95), percentile(g.recoveries, 100)
	for t, n := range came {
		out.Teams[t] = held[t] / n
	}
	return out
}

// collector adds up the requests of the window.
type collector struct {
	out                         *Result
	arrived, metTarget          map[spec.TeamID]float64
	firsts, recoveries          []time.Duration
	metTargetTotal              int
	cachedTokens, prefillTokens int
}

func (g *collector) add(r *run) {
	g.out.Arrived++
	g.arrived[r.arrival.Team]++
	g.out.countOutcome(r)
	switch {
	case r.metTarget():
		g.metTargetTotal++
		g.metTarget[r.arrival.Team]++
	case r.outcome == OutcomeDone:
		g.out.countMiss(r)
	}
	if r.firstToken > 0 {
		g.firsts = append(g.firsts, r.firstToken)
	}
	g.cachedTokens += r.cachedTokens
	g.prefillTokens += r.prefillTokens
}

// MeanWithout is the part held of all teams but one, each counting alike.
func (o *Result) MeanWithout(but int) float64 {
	sum, n := 0.0, 0
	for i := range len(o.Teams) {
		if i != but {
			sum += o.Teams[teamID(i)]
			n++
		}
	}
	return sum / float64(max(1, n))
}

// LastStageAt is when the nth engine last got a new stage.
func (s *Simulation) LastStageAt(n int) time.Duration { return s.engines[n].lastStageAt }

func (s *Simulation) utilization() map[string]float64 {
	ran, all := map[string]float64{}, map[string]float64{}
	for _, e := range s.engines {
		ran[e.info.Kind] += e.busyTime.Seconds()
		all[e.info.Kind] += float64(e.info.Slots) * s.Length.Seconds()
	}
	for kind := range ran {
		ran[kind] /= all[kind]
	}
	return ran
}

// workUnits is the work of an answer in tokens through the whole model, without
// what prefix caches saved and without rebuilds.
func (s *Simulation) workUnits(r *run) int {
	return (r.arrival.PromptTokens+31)/32 + r.tokens
}

// openMargin is how long before the end requests count: those later may be open for
// no fault of theirs.
const openMargin = 20 * time.Second

func (o *Result) countOutcome(r *run) {
	switch r.outcome {
	case OutcomeDone:
		o.Done++
	case OutcomeRefused:
		o.Refused++
		o.Reasons[r.reason]++
	case OutcomeLost:
		o.Lost++
		o.Reasons[r.reason]++
	}
}

func (o *Result) countMiss(r *run) {
	if limit := r.target.FirstEvent(); limit > 0 && r.firstToken > limit {
		o.MissedFirst++
		return
	}
	o.MissedGap++
}

func (o *Result) countFault(r *run, healed *[]time.Duration) {
	if r.faultAt == 0 || r.poison {
		return
	}
	o.Affected++
	o.DetectionMax = max(o.DetectionMax, r.detection)
	if r.recovery > 0 {
		*healed = append(*healed, r.recovery)
	}
}

func ratio(a, b int) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func percentile(d []time.Duration, percent int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[min(len(d)-1, len(d)*percent/100)]
}
