package bench

import (
	"fmt"
	"math"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
	"fulmarwick/internal/route/pick"
)

// Load describes the requests that callers send.
type Load struct {
	// LoadFactor is the offered load as a fraction of the layout's Bound.
	LoadFactor float64
	// Sizes are the relative sizes of the teams.
	Sizes []float64
	// Target is the latency target of the only class.
	Target spec.Target
	// Burst is the factor by which a team's request rate exceeds its mean
	// during a burst; 1 means no bursts. A burst lasts one second on average,
	// and bursts do not change the mean.
	Burst float64
	// SharedPrefix is the fraction of a prompt that is a prefix shared by all
	// requests of the team.
	SharedPrefix float64
	// Prompt and Output are the mean numbers of prompt and output tokens.
	Prompt, Output int
	// Poison is when a poison request, which crashes engines, is first sent.
	// Its caller sends it again to the next instance each time it ends. Zero
	// means none.
	Poison time.Duration
	// RetryDelay is the interval at which the caller of the poison request
	// checks whether it has ended and sends it again.
	RetryDelay time.Duration
}

// ClassName is the name of the class of all requests.
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

// meanCost returns the mean cost of a request in tokens through the whole
// model.
func (l *Load) meanCost() float64 {
	return float64(l.Prompt)/pick.ChunkPositions + 0.5 + float64(l.Output)
}

// scheduleArrivals schedules the arrivals of each team.
func (l *Load) scheduleArrivals(s *Simulation) {
	total := 0.0
	for _, size := range l.Sizes {
		total += size
	}
	rate := l.LoadFactor * s.Layout.Bound() / l.meanCost()
	for i, size := range l.Sizes {
		t := &source{sim: s, load: l, team: i, rate: rate * size / total}
		t.scheduleNext()
		t.togglePhase()
	}
	if l.Poison > 0 {
		s.clock.after(l.Poison, func() { l.sendPoison(s, 0) })
	}
}

// sendPoison sends the poison request to the nth instance and, each time it
// ends, to the next one, up to poisonAttempts times.
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

// source generates the requests of one team: a Poisson process whose rate
// switches between a high and a low phase.
type source struct {
	sim        *Simulation
	load       *Load
	team       int
	rate       float64
	high       bool
	generation int
}

// lowPhaseFactor is the mean time between bursts in burst lengths.
const lowPhaseFactor = 4

func (t *source) currentRate() float64 {
	b := max(1, t.load.Burst)
	if t.high {
		return t.rate * b
	}
	return t.rate * max(0, (lowPhaseFactor+1-b)/lowPhaseFactor)
}

// togglePhase schedules the next change between the high and the low phase.
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

// expDelay returns an exponentially distributed delay with a mean in seconds,
// limited to an hour.
func (t *source) expDelay(mean float64) time.Duration {
	delay := -math.Log(1-t.sim.rand.Float64()) * mean
	return time.Duration(min(delay, 3600) * float64(time.Second))
}

func (t *source) scheduleNext() {
	rate := t.currentRate()
	if rate <= 0 {
		return
	}
	generation := t.generation
	t.sim.clock.after(t.expDelay(1/rate), func() {
		if t.generation != generation {
			return
		}
		inst := t.sim.instances[t.sim.rand.IntN(len(t.sim.instances))]
		t.sim.send(t.load.newRequest(t.sim, t.team, inst))
		t.scheduleNext()
	})
}

// newRequest returns a request of a team with random prompt and output lengths.
func (l *Load) newRequest(s *Simulation, team int, inst *instance) *run {
	n := len(s.runs)
	prompt := l.Prompt/2 + s.rand.IntN(l.Prompt)
	output := l.Output/2 + s.rand.IntN(l.Output)
	r := &run{sim: s, instance: inst, target: l.Target, outputTokens: output, arrivedAt: s.clock.now}
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
