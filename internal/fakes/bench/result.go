package bench

import (
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

// Result is the figures of a run, for what came after the warm-up.
type Result struct {
	// Through is work done over the bound, and Good the same for answers that
	// met their target.
	Through, Good float64
	// Came, Refused, Lost and Done count requests.
	Came, Refused, Lost, Done int
	// Held is the part of all that came, and HeldOf the part of those not
	// refused, that met its target.
	Held, HeldOf float64
	// Teams is Held per team.
	Teams map[spec.TeamID]float64
	// Hits is the part of prompt positions served from prefix caches.
	Hits float64
	// Hedges counts requests that ran twice.
	Hedges int
	// First50 and First99 are of the first token.
	First50, First95, First99 time.Duration
	// Hurt counts requests hit by a fault; Healed50 and so on are the time to
	// their next token, Found the longest time to the notice of it.
	Hurt                           int
	Healed50, Healed95, HealedMost time.Duration
	Found                          time.Duration
	Kills                          int
	Timeouts                       int
	Reasons                        map[domain.Reason]int
	// MissFirst and MissGap count answers that missed that part of the target.
	MissFirst, MissGap int
	// Use is per kind of accelerator the part of its slots' time that ran.
	Use map[string]float64
}

// result gathers what ended in the window. Requests that are open at the end
// and came too late to have met their target are left out.
func (s *Site) result() Result {
	out := Result{
		Kills: s.kills, Timeouts: s.timeouts, Hedges: s.hedges,
		Teams: map[spec.TeamID]float64{}, Reasons: map[domain.Reason]int{},
	}
	came := map[spec.TeamID]float64{}
	held := map[spec.TeamID]float64{}
	g := gather{out: &out, came: came, held: held}
	done, good := 0, 0
	for _, r := range s.runs {
		out.hurt(r, &g.healed)
		if r.outcome == OutcomeDone && r.ended >= s.Warm {
			done += s.units(r)
			if r.held() {
				good += s.units(r)
			}
		}
		if r.came >= s.Warm && r.came <= s.Length-tail && !r.poison && r.outcome != OutcomeHedged {
			g.take(r)
		}
	}
	window := (s.Length - s.Warm).Seconds() * s.Layout.Bound()
	out.Through, out.Good = float64(done)/window, float64(good)/window
	out.Held = part(g.heldAll, out.Came)
	out.HeldOf = part(g.heldAll, out.Came-out.Refused)
	out.Hits = part(g.hit, g.prefill)
	out.Use = s.use()
	out.First50, out.First95, out.First99 = at(g.firsts, 50), at(g.firsts, 95), at(g.firsts, 99)
	out.Healed50, out.Healed95, out.HealedMost = at(g.healed, 50), at(g.healed, 95), at(g.healed, 100)
	for t, n := range came {
		out.Teams[t] = held[t] / n
	}
	return out
}

// gather adds up the requests of the window.
type gather struct {
	out            *Result
	came, held     map[spec.TeamID]float64
	firsts, healed []time.Duration
	heldAll        int
	hit, prefill   int
}

func (g *gather) take(r *run) {
	g.out.Came++
	g.came[r.ask.Team]++
	g.out.count(r)
	switch {
	case r.held():
		g.heldAll++
		g.held[r.ask.Team]++
	case r.outcome == OutcomeDone:
		g.out.miss(r)
	}
	if r.first > 0 {
		g.firsts = append(g.firsts, r.first)
	}
	g.hit += r.hit
	g.prefill += r.prefill
}

// Others is the part held of all teams but one, each counting alike.
func (o *Result) Others(but int) float64 {
	sum, n := 0.0, 0
	for i := range len(o.Teams) {
		if i != but {
			sum += o.Teams[teamID(i)]
			n++
		}
	}
	return sum / float64(max(1, n))
}

// LastNew is when the nth engine last got a new stage.
func (s *Site) LastNew(n int) time.Duration { return s.engines[n].opened }

func (s *Site) use() map[string]float64 {
	ran, all := map[string]float64{}, map[string]float64{}
	for _, e := range s.engines {
		ran[e.row.Kind] += e.work.Seconds()
		all[e.row.Kind] += float64(e.row.Slots) * s.Length.Seconds()
	}
	for kind := range ran {
		ran[kind] /= all[kind]
	}
	return ran
}

// units is the work of an answer in tokens through the whole model, without
// what prefix caches saved and without rebuilds.
func (s *Site) units(r *run) int {
	return (r.ask.PromptTokens+31)/32 + r.tokens
}

// tail is how long before the end requests count: those later may be open for
// no fault of theirs.
const tail = 20 * time.Second

func (o *Result) count(r *run) {
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

func (o *Result) miss(r *run) {
	if limit := r.target.FirstEvent(); limit > 0 && r.first > limit {
		o.MissFirst++
		return
	}
	o.MissGap++
}

func (o *Result) hurt(r *run, healed *[]time.Duration) {
	if r.hurt == 0 || r.poison {
		return
	}
	o.Hurt++
	o.Found = max(o.Found, r.found)
	if r.healed > 0 {
		*healed = append(*healed, r.healed)
	}
}

func part(a, b int) float64 {
	if b <= 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func at(d []time.Duration, percent int) time.Duration {
	if len(d) == 0 {
		return 0
	}
	sort.Slice(d, func(i, j int) bool { return d[i] < d[j] })
	return d[min(len(d)-1, len(d)*percent/100)]
}
