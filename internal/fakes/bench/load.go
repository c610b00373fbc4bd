package bench

import (
	"fmt"
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/pick"
)

// Load is what callers ask for.
type Load struct {
	// LoadFactor is the offered work over the bound of the layout.
	LoadFactor float64
	// Sizes are the relative sizes of the teams.
	Sizes []float64
	// Target is that of the only class.
	Target spec.Target
	// Burst is how many times its mean a team asks for while it bursts; 1 is
	// none. A burst lasts a second on average and the mean stays the same.
	Burst float64
	// SharedPrefix is the part of a prompt that is the team's own beginning.
	SharedPrefix float64
	// Prompt and Out are mean tokens.
	Prompt, Output int
	// Poison is when a poison request comes first; its caller sends it again
	// to the next instance each time it ends. Zero is none.
	Poison time.Duration
	// RetryDelay is how soon after its end the poison request is sent again.
	RetryDelay time.Duration
}

// ClassName is the class of all requests.
const ClassName = "answer"

const (
	maxTokensFactor   = 1
	poisonFingerprint = 666
	burstLength       = time.Second
	poisonAttempts    = 12
)

func (l *Load) classes() []spec.Class {
	return []spec.Class{spec.NewModelClass(ClassName, Model, l.Target)}
}

func (l *Load) teams() []spec.Team {
	var out []spec.Team
	for i := range l.Sizes {
		out = append(out, spec.NewTeam(teamID(i), fmt.Sprint(i), 1))
	}
	return out
}

func teamID(i int) spec.TeamID { return spec.TeamID(fmt.Sprintf("team-%03d", i)) }

// meanCost is the mean cost of a request, in tokens through the whole model.
func (l *Load) meanCost() float64 {
	return float64(l.Prompt)/pick.ChunkPositions + 0.5 + float64(l.Output)
}

// scheduleArrivals schedules the arrivals of each team.
func (l *Load) scheduleArrivals(s *Simulation) {
	total := 0.0
	for _, z := range l.Sizes {
		total += z
	}
	rate := l.LoadFactor * s.Layout.Bound() / l.meanCost()
	for i, z := range l.Sizes {
		t := &source{sim: s, load: l, team: i, rate: rate * z / total}
		t.scheduleNext()
		t.togglePhase()
	}
	if l.Poison > 0 {
		s.clock.after(l.Poison, func() { l.sendPoison(s, 0) })
	}
}

// sendPoison sends the poison request and then again to the next instance.
func (l *Load) sendPoison(s *Simulation, n int) {
	if n >= poisonAttempts {
		return
	}
	r := l.newRequest(s, 0, s.instances[n%len(s.instances)])
	r.poison = true
	r.arrival.Fingerprint = poisonFingerprint
	s.send(r)
	s.clock.every(max(l.RetryDelay, time.Millisecond), func() bool {
		if r.outcome == OutcomeOpen {
			return true
		}
		l.sendPoison(s, n+1)
		return false
	})
}

// source is one team's callers: a Poisson process whose rate switches between
// a high and a low phase.
type source struct {
	sim        *Simulation
	load       *Load
	team       int
	rate       float64
	high       bool
	generation int
}

// lowPhaseFactor is how many bursts long the time between bursts is.
const lowPhaseFactor = 4

func (t *source) currentRate() float64 {
	b := max(1, t.load.Burst)
	if t.high {
		return t.rate * b
	}
	return t.rate * max(0, (lowPhaseFactor+1-b)/lowPhaseFactor)
}

func (t *source) togglePhase() {
	if t.load.Burst <= 1 {
		return
	}
	mean := burstLength
	if !t.high {
		mean *= lowPhaseFactor
	}
	t.sim.clock.after(t.expDelay(mean.Seconds()), func() {
		t.high = !t.high
		t.generation++
		t.scheduleNext()
		t.togglePhase()
	})
}

func (t *source) expDelay(mean float64) time.Duration {
	x := -math.Log(1-t.sim.rand.Float64()) * mean
	return time.Duration(min(x, 3600) * float64(time.Second))
}

func (t *source) scheduleNext() {
	rate := t.currentRate()
	if rate <= 0 {
		return
	}
	gen := t.generation
	t.sim.clock.after(t.expDelay(1/rate), func() {
		if t.generation != gen {
			return
		}
		on := t.sim.instances[t.sim.rand.IntN(len(t.sim.instances))]
		t.sim.send(t.load.newRequest(t.sim, t.team, on))
		t.scheduleNext()
	})
}

// newRequest draws a request of a team.
func (l *Load) newRequest(s *Simulation, team int, on *instance) *run {
	n := len(s.runs)
	prompt := l.Prompt/2 + s.rand.IntN(l.Prompt)
	out := l.Output/2 + s.rand.IntN(l.Output)
	r := &run{sim: s, instance: on, target: l.Target, outputTokens: out, arrivedAt: s.clock.now}
	r.arrival = domain.RequestArrived{
		Request: spec.RequestID(fmt.Sprintf("r-%06d", n)), Team: teamID(team), Class: ClassName,
		Model: Model, PromptTokens: prompt, MaxTokens: l.Output * 3 / 2 * maxTokensFactor,
		Fingerprint: uint64(1_000_000 + n),
	}
	shared := int(l.SharedPrefix * float64(prompt) / pick.BlockTokens)
	for b := range prompt / pick.BlockTokens {
		hash := uint64(n)<<20 + uint64(b)
		if b < shared {
			hash = uint64(team+1)<<50 + uint64(b)
		}
		r.arrival.BlockHashes = append(r.arrival.BlockHashes, hash)
	}
	return r
}

func (s *Simulation) send(r *run) {
	s.runs = append(s.runs, r)
	r.instance.requests[r.arrival.Request] = r
	r.instance.post(r.arrival)
}
