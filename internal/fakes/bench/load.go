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
	// Part is the offered work over the bound of the layout.
	Part float64
	// Sizes are the relative sizes of the teams.
	Sizes []float64
	// Target is that of the only class.
	Target spec.Target
	// Burst is how many times its mean a team asks for while it bursts; 1 is
	// none. A burst lasts a second on average and the mean stays the same.
	Burst float64
	// Shared is the part of a prompt that is the team's own beginning.
	Shared float64
	// Prompt and Out are mean tokens.
	Prompt, Out int
	// Poison is when a poison request comes first; its caller sends it again
	// to the next instance each time it ends. Zero is none.
	Poison time.Duration
	// Again is how soon after its end the poison request is sent again.
	Again time.Duration
}

// ClassName is the class of all requests.
const ClassName = "answer"

const (
	limitTimes  = 1
	poisonPrint = 666
	burstLength = time.Second
	poisonTries = 12
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

// cost is the mean cost of a request, in tokens through the whole model.
func (l *Load) cost() float64 {
	return float64(l.Prompt)/pick.ChunkPositions + 0.5 + float64(l.Out)
}

// feed schedules the arrivals of each team.
func (l *Load) feed(s *Site) {
	total := 0.0
	for _, z := range l.Sizes {
		total += z
	}
	rate := l.Part * s.Layout.Bound() / l.cost()
	for i, z := range l.Sizes {
		t := &source{site: s, load: l, team: i, rate: rate * z / total}
		t.next()
		t.toggle()
	}
	if l.Poison > 0 {
		s.clock.after(l.Poison, func() { l.poison(s, 0) })
	}
}

// poison sends the poison request and then again to the next instance.
func (l *Load) poison(s *Site, n int) {
	if n >= poisonTries {
		return
	}
	r := l.request(s, 0, s.instances[n%len(s.instances)])
	r.poison = true
	r.ask.Fingerprint = poisonPrint
	s.send(r)
	s.clock.every(max(l.Again, time.Millisecond), func() bool {
		if r.outcome == OutcomeOpen {
			return true
		}
		l.poison(s, n+1)
		return false
	})
}

// source is one team's callers: a Poisson process whose rate switches between
// a high and a low phase.
type source struct {
	site *Site
	load *Load
	team int
	rate float64
	high bool
	gen  int
}

// lowTimes is how many bursts long the time between bursts is.
const lowTimes = 4

func (t *source) now() float64 {
	b := max(1, t.load.Burst)
	if t.high {
		return t.rate * b
	}
	return t.rate * max(0, (lowTimes+1-b)/lowTimes)
}

func (t *source) toggle() {
	if t.load.Burst <= 1 {
		return
	}
	mean := burstLength
	if !t.high {
		mean *= lowTimes
	}
	t.site.clock.after(t.exp(mean.Seconds()), func() {
		t.high = !t.high
		t.gen++
		t.next()
		t.toggle()
	})
}

func (t *source) exp(mean float64) time.Duration {
	x := -math.Log(1-t.site.rand.Float64()) * mean
	return time.Duration(min(x, 3600) * float64(time.Second))
}

func (t *source) next() {
	rate := t.now()
	if rate <= 0 {
		return
	}
	gen := t.gen
	t.site.clock.after(t.exp(1/rate), func() {
		if t.gen != gen {
			return
		}
		on := t.site.instances[t.site.rand.IntN(len(t.site.instances))]
		t.site.send(t.load.request(t.site, t.team, on))
		t.next()
	})
}

// request draws a request of a team.
func (l *Load) request(s *Site, team int, on *instance) *run {
	n := len(s.runs)
	prompt := l.Prompt/2 + s.rand.IntN(l.Prompt)
	out := l.Out/2 + s.rand.IntN(l.Out)
	r := &run{site: s, on: on, target: l.Target, out: out, came: s.clock.now}
	r.ask = domain.RequestArrived{
		Request: spec.RequestID(fmt.Sprintf("r-%06d", n)), Team: teamID(team), Class: ClassName,
		Model: Model, PromptTokens: prompt, MaxTokens: l.Out * 3 / 2 * limitTimes,
		Fingerprint: uint64(1_000_000 + n),
	}
	shared := int(l.Shared * float64(prompt) / pick.BlockTokens)
	for b := range prompt / pick.BlockTokens {
		hash := uint64(n)<<20 + uint64(b)
		if b < shared {
			hash = uint64(team+1)<<50 + uint64(b)
		}
		r.ask.BlockHashes = append(r.ask.BlockHashes, hash)
	}
	return r
}

func (s *Site) send(r *run) {
	s.runs = append(s.runs, r)
	r.on.waits[r.ask.Request] = r
	r.on.post(r.ask)
}
