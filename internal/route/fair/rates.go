package fair

import (
	"math"
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// decayTime is over how long use is smoothed.
	decayTime = 5 * time.Second
	// reportInterval is how often use is told to other instances.
	reportInterval = time.Second
	// reportTTL is how long a told rate counts.
	reportTTL = 10 * time.Second
	// maxHeavyTeams is how many teams are told; heavyLeast is the tokens a second
	// below which a team never is.
	maxHeavyTeams   = 16
	minHeavyRate    = 50
	minTrackedRate  = 0.5
	minReportChange = 0.1
	// nearLimitDivisor is the part of its limit below which a team's use is not told.
	nearLimitDivisor = 16
	// maxChargeFactor bounds how much the use elsewhere weighs.
	maxChargeFactor = 32
)

// Rates follows the tokens that each active team uses, here and fleet-wide.
// A team idle for a few spans costs nothing.
type Rates struct {
	teams      map[spec.TeamID]*teamRate
	rows       []*teamRate
	nextReport time.Duration
}

type teamRate struct {
	team       spec.TeamID
	localRate  float64
	decayedAt  time.Duration
	fleetRate  float64
	receivedAt time.Duration
	sentRate   float64
	sentAt     time.Duration
}

// RecordUse notes that a request of the team with this cost in tokens started.
func (s *Rates) RecordUse(now time.Duration, team spec.TeamID, tokens float64) {
	r := s.get(team)
	r.decay(now)
	r.localRate += tokens / decayTime.Seconds()
}

// ApplyReport takes the fleet-wide use of a team.
func (s *Rates) ApplyReport(now time.Duration, ev domain.TeamUsage) {
	r := s.get(ev.Team)
	r.decay(now)
	r.fleetRate = ev.Rate
	r.receivedAt = now
}

// ChargeFactor is how many times its own use here the team uses fleet-wide, at
// least 1: tokens that it asks for here are charged so many times, which makes
// the fairness that of the fleet and not of the instance.
func (s *Rates) ChargeFactor(now time.Duration, team spec.TeamID) float64 {
	r := s.teams[team]
	if r == nil || r.fleetRate == 0 || now-r.receivedAt > reportTTL {
		return 1
	}
	r.decay(now)
	return min(max(1, r.fleetRate/max(r.localRate, minTrackedRate)), maxChargeFactor)
}

// LimitDelay is how long a team above its limit must wait until its use has faded to
// the limit; zero if it may ask now. Use elsewhere counts as last told; a team
// may use what its limit gives over rateSpan at once.
func (s *Rates) LimitDelay(now time.Duration, team spec.TeamID, limit float64) time.Duration {
	r := s.teams[team]
	if r == nil || limit <= 0 {
		return 0
	}
	r.decay(now)
	use := r.localRate
	if now-r.receivedAt <= reportTTL {
		use = max(use, r.fleetRate)
	}
	if use <= limit {
		return 0
	}
	return time.Duration(math.Log(use/limit) * float64(decayTime))
}

// Run tells the use of the heavy teams where it changed.
func (s *Rates) Run(w *domain.RoutingState) {
	now := w.Now()
	if now < s.nextReport {
		return
	}
	s.nextReport = now + reportInterval
	s.dropIdleTeams(now)
	for i, r := range s.sortedByUse() {
		tell := 0.0
		if i < maxHeavyTeams && r.localRate >= minHeavyRate || r.isNearLimit(w) {
			tell = r.localRate
		}
		r.report(w, tell)
	}
}

// isNearLimit reports whether the team uses so much of its limit here that its use
// over the fleet may pass it. Without it many instances could each give a small
// limit in full.
func (r *teamRate) isNearLimit(w *domain.RoutingState) bool {
	t, ok := w.Team(r.team)
	return ok && t.Limit() > 0 && r.localRate > t.Limit()/nearLimitDivisor
}

func (r *teamRate) report(w *domain.RoutingState, rate float64) {
	if rate == 0 && r.sentRate == 0 {
		return
	}
	old := w.Now()-r.sentAt >= reportTTL/2
	if math.Abs(rate-r.sentRate) <= minReportChange*r.sentRate && !old {
		return
	}
	r.sentRate = rate
	r.sentAt = w.Now()
	w.Emit(domain.LocalTeamUsage{Team: r.team, Rate: rate})
}

func (s *Rates) sortedByUse() []*teamRate {
	rows := append([]*teamRate(nil), s.rows...)
	sort.Slice(rows, func(i, j int) bool {
		if rows[i].localRate != rows[j].localRate {
			return rows[i].localRate > rows[j].localRate
		}
		return rows[i].team < rows[j].team
	})
	return rows
}

// dropIdleTeams drops teams that are idle and of which nothing is told.
func (s *Rates) dropIdleTeams(now time.Duration) {
	keep := s.rows[:0]
	for _, r := range s.rows {
		r.decay(now)
		if r.localRate < minTrackedRate && r.sentRate == 0 && now-r.receivedAt > reportTTL {
			delete(s.teams, r.team)
			continue
		}
		keep = append(keep, r)
	}
	s.rows = keep
}

func (s *Rates) get(team spec.TeamID) *teamRate {
	if r := s.teams[team]; r != nil {
		return r
	}
	if s.teams == nil {
		s.teams = map[spec.TeamID]*teamRate{}
	}
	r := &teamRate{team: team}
	s.teams[team] = r
	s.rows = append(s.rows, r)
	return r
}

func (r *teamRate) decay(now time.Duration) {
	if now <= r.decayedAt {
		return
	}
	r.localRate *= math.Exp(-(now - r.decayedAt).Seconds() / decayTime.Seconds())
	r.decayedAt = now
}

// TeamCount is how many teams are followed.
func (s *Rates) TeamCount() int { return len(s.rows) }
