package bench

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// Result holds the measurements of a simulation after the warm-up.
type Result struct {
	// Throughput is the completed work as a fraction of the layout's Bound.
	// Goodput is the same for answers that met their target.
	Throughput, Goodput float64
	// Arrived, Refused, Lost and Done count requests.
	Arrived, Refused, Lost, Done int
	// MetTarget is the fraction of all requests that met their target, and
	// AdmittedMetTarget the fraction of those that were not refused.
	MetTarget, AdmittedMetTarget float64
	// Teams is MetTarget per team.
	Teams map[spec.TeamID]float64
	// CacheHits is the fraction of prompt positions served from prefix caches.
	CacheHits float64
	// Hedges counts requests that ran twice.
	Hedges int
	// First50, First95 and First99 are percentiles of the time to the first
	// token.
	First50, First95, First99 time.Duration
	// Affected counts requests affected by a fault. Recovery50, Recovery95 and
	// RecoveryMax are the time from the fault to the request's next token;
	// DetectionMax is the longest time until a lost stage was noticed. Crashes
	// counts engines crashed by poison requests.
	Affected                            int
	Recovery50, Recovery95, RecoveryMax time.Duration
	DetectionMax                        time.Duration
	Crashes                             int
	Timeouts                            int
	Reasons                             map[domain.Reason]int
	// MissedFirst counts answers that missed the target for the first token,
	// MissedGap those that missed another part of their target.
	MissedFirst, MissedGap int
	// Utilization is the fraction of slot time spent on steps for each kind of
	// accelerator.
	Utilization map[string]float64
}

// result computes the measurements. Work counts if its request ended after the
// warm-up. Requests that arrived less than openMargin before the end are
// excluded, because some of them had no time to finish.
func (s *Simulation) result() Result {
	out := Result{
		Crashes: s.crashes, Timeouts: s.timeouts, Hedges: s.hedges,
		Teams: map[spec.TeamID]float64{}, Reasons: map[domain.Reason]int{},
	}
	arrived := map[spec.TeamID]float64{}
	metTarget := map[spec.TeamID]float64{}
	g := collector{out: &out, arrived: arrived, metTarget: metTarget}
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
	for t, n := range arrived {
		out.Teams[t] = metTarget[t] / n
	}
	return out
}

// collector sums up the requests that arrived within the measured window.
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

// MeanWithout returns the mean fraction of requests that met their target over
// all teams except one. Each team has the same weight.
func (o *Result) MeanWithout(excluded int) float64 {
	sum, n := 0.0, 0
	for i := range len(o.Teams) {
		if i != excluded {
			sum += o.Teams[teamID(i)]
			n++
		}
	}
	return sum / float64(max(1, n))
}

// LastStageAt returns when the nth engine last received a new stage.
func (s *Simulation) LastStageAt(n int) time.Duration { return s.engines[n].lastStageAt }

func (s *Simulation) utilization() map[string]float64 {
	busy, total := map[string]float64{}, map[string]float64{}
	for _, e := range s.engines {
		busy[e.info.Kind] += e.busyTime.Seconds()
		total[e.info.Kind] += float64(e.info.Slots) * s.Length.Seconds()
	}
	for kind := range busy {
		busy[kind] /= total[kind]
	}
	return busy
}

// workUnits returns the work of an answer in tokens through the whole model. It
// ignores savings from prefix caches and repeated work after a lost stage.
func (s *Simulation) workUnits(r *run) int {
	return (r.arrival.PromptTokens+31)/32 + r.tokens
}

// openMargin is the time before the end of the simulation in which arriving
// requests are not counted, because they may be unfinished without a fault.
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

// countFault records how a fault affected a request and how long recovery took.
func (o *Result) countFault(r *run, recoveries *[]time.Duration) {
	if r.faultAt == 0 || r.poison {
		return
	}
	o.Affected++
	o.DetectionMax = max(o.DetectionMax, r.detection)
	if r.recovery > 0 {
		*recoveries = append(*recoveries, r.recovery)
	}
}

func ratio(a, b int) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func percentile(durations []time.Duration, percent int) time.Duration {
	if len(durations) == 0 {
		return 0
	}
	sort.Slice(durations, func(i, j int) bool { return durations[i] < durations[j] })
	return durations[min(len(durations)-1, len(durations)*percent/100)]
}
