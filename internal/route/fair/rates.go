package fair

import (
	"math"
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/world"
)

const (
	// rateSpan is over how long use is smoothed.
	rateSpan = 5 * time.Second
	// rateEvery is how often use is told to other instances.
	rateEvery = time.Second
	// rateKeep is how long a told rate counts.
	rateKeep = 10 * time.Second
	// heavyMost is how many teams are told; heavyLeast is the tokens a second
	// below which a team never is.
	heavyMost  = 16
	heavyLeast = 50
	rateLeast  = 0.5
	rateChange = 0.1
	// limitPart is the part of its limit below which a team's use is not told.
	limitPart = 16
	// factorMost bounds how much the use elsewhere weighs.
	factorMost = 32
)

// Rates follows the tokens that each active team uses, here and fleet-wide.
// A team idle for a few spans costs nothing.
type Rates struct {
	teams map[spec.TeamID]*rate
	rows  []*rate
	next  time.Duration
}

type rate struct {
	team  spec.TeamID
	own   float64
	at    time.Duration
	fleet float64
	heard time.Duration
	sent  float64
	when  time.Duration
}

// Use notes that a request of the team with this cost in tokens started.
func (s *Rates) Use(now time.Duration, team spec.TeamID, tokens float64) {
	r := s.get(team)
	r.fade(now)
	r.own += tokens / rateSpan.Seconds()
}

// Heard takes the fleet-wide use of a team.
func (s *Rates) Heard(now time.Duration, ev world.TeamUsed) {
	r := s.get(ev.Team)
	r.fade(now)
	r.fleet = ev.Rate
	r.heard = now
}

// Factor is how many times its own use here the team uses fleet-wide, at
// least 1: tokens that it asks for here are charged so many times, which makes
// the fairness that of the fleet and not of the instance.
func (s *Rates) Factor(now time.Duration, team spec.TeamID) float64 {
	r := s.teams[team]
	if r == nil || r.fleet == 0 || now-r.heard > rateKeep {
		return 1
	}
	r.fade(now)
	return min(max(1, r.fleet/max(r.own, rateLeast)), factorMost)
}

// Above is how long a team above its limit must wait until its use has faded to
// the limit; zero if it may ask now. Use elsewhere counts as last told; a team
// may use what its limit gives over rateSpan at once.
func (s *Rates) Above(now time.Duration, team spec.TeamID, limit float64) time.Duration {
	r := s.teams[team]
	if r == nil || limit <= 0 {
		return 0
	}
	r.fade(now)
	use := r.own
	if now-r.heard <= rateKeep {
		use = max(use, r.fleet)
	}
	if use <= limit {
		return 0
	}
	return time.Duration(math.Log(use/limit) * float64(rateSpan))
}

// Run tells the use of the heavy teams where it changed.
func (s *Rates) Run(w *world.World) {
	now := w.Now()
	if now < s.next {
		return
	}
	s.next = now + rateEvery
	s.tidy(now)
	for i, r := range s.heaviest() {
		tell := 0.0
		if i < heavyMost && r.own >= heavyLeast || r.near(w) {
			tell = r.own
		}
		r.tell(w, tell)
	}
}

// near reports whether the team uses so much of its limit here that its use
// over the fleet may pass it. Without it many instances could each give a small
// limit in full.
func (r *rate) near(w *world.World) bool {
	t, ok := w.Team(r.team)
	return ok && t.Limit() > 0 && r.own > t.Limit()/limitPart
}

func (r *rate) tell(w *world.World, rate float64) {
	if rate == 0 && r.sent == 0 {
		return
	}
	old := w.Now()-r.when >= rateKeep/2
	if math.Abs(rate-r.sent) <= rateChange*r.sent && !old {
		return
	}
	r.sent = rate
	r.when = w.Now()
	w.Emit(world.OwnRate{Team: r.team, Rate: rate})
}

func (s *Rates) heaviest() []*rate {
	rows := append([]*rate(nil), s.rows...)
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].own != rows[j].own {
			return rows[i].own > rows[j].own
		}
		return rows[i].team < rows[j].team
	})
	return rows
}

// tidy drops teams that are idle and of which nothing is told.
func (s *Rates) tidy(now time.Duration) {
	keep := s.rows[:0]
	for _, r := range s.rows {
		r.fade(now)
		if r.own < rateLeast && r.sent == 0 && now-r.heard > rateKeep {
			delete(s.teams, r.team)
			continue
		}
		keep = append(keep, r)
	}
	s.rows = keep
}

func (s *Rates) get(team spec.TeamID) *rate {
	if r := s.teams[team]; r != nil {
		return r
	}
	if s.teams == nil {
		s.teams = map[spec.TeamID]*rate{}
	}
	r := &rate{team: team}
	s.teams[team] = r
	s.rows = append(s.rows, r)
	return r
}

func (r *rate) fade(now time.Duration) {
	if now <= r.at {
		return
	}
	r.own *= math.Exp(-(now - r.at).Seconds() / rateSpan.Seconds())
	r.at = now
}

// Len is how many teams are followed.
func (s *Rates) Len() int { return len(s.rows) }
