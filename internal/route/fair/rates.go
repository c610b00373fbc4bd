package fair

import (
	"math"
	"sort"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/route/domain"
)

const (
	// decayTime is the time constant with which use decays exponentially.
	decayTime = 5 * time.Second
	// reportInterval is the time between two reports of use to other instances.
	reportInterval = time.Second
	// reportTTL is how long a reported rate is valid.
	reportTTL = 10 * time.Second
	// maxHeavyTeams is how many teams with high use are reported.
	maxHeavyTeams = 16
	// minHeavyRate is the least rate, in tokens a second, at which a team
	// counts as a heavy team.
	minHeavyRate = 50
	// minTrackedRate is the least rate, in tokens a second, at which a team is
	// tracked. It is also the least local rate in ChargeFactor.
	minTrackedRate = 0.5
	// minReportChange is the least relative change of a rate that is reported
	// before the previous report gets old.
	minReportChange = 0.1
	// nearLimitDivisor divides the limit of a team. Use above the result is
	// reported even if the team is not heavy.
	nearLimitDivisor = 16
	// maxChargeFactor limits the effect of use on other instances on the
	// charge.
	maxChargeFactor = 32
)

// Rates tracks the tokens that each active team uses, on this instance and in
// the whole fleet. A team that is idle for a few multiples of decayTime uses no
// memory.
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

// RecordUse records that a request of the team with this cost in tokens
// started.
func (s *Rates) RecordUse(now time.Duration, team spec.TeamID, tokens float64) {
	r := s.get(team)
	r.decay(now)
	r.localRate += tokens / decayTime.Seconds()
}

// ApplyReport applies a report of the fleet-wide use of a team.
func (s *Rates) ApplyReport(now time.Duration, ev domain.TeamUsage) {
	r := s.get(ev.Team)
	r.decay(now)
	r.fleetRate = ev.Rate
	r.receivedAt = now
}

// ChargeFactor returns the ratio of the fleet-wide use of the team to its use
// on this instance, at least 1. The tokens of its requests are charged times
// this factor, which makes the queue fair across the fleet instead of only on
// this instance.
func (s *Rates) ChargeFactor(now time.Duration, team spec.TeamID) float64 {
	r := s.teams[team]
	if r == nil || r.fleetRate == 0 || now-r.receivedAt > reportTTL {
		return 1
	}
	r.decay(now)
	return min(max(1, r.fleetRate/max(r.localRate, minTrackedRate)), maxChargeFactor)
}

// LimitDelay returns how long a team above its limit must wait until its use
// has decayed to the limit, or zero if it may send a request now. Use on other
// instances counts as last reported. A team may use what its limit allows over
// decayTime at once.
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

// Run reports the use of the heavy teams and of the teams near their limit if
// it changed.
func (s *Rates) Run(w *domain.RoutingState) {
	now := w.Now()
	if now < s.nextReport {
		return
	}
	s.nextReport = now + reportInterval
	s.dropIdleTeams(now)
	for i, r := range s.sortedByUse() {
		reported := 0.0
		if i < maxHeavyTeams && r.localRate >= minHeavyRate || r.isNearLimit(w) {
			reported = r.localRate
		}
		r.report(w, reported)
	}
}

// isNearLimit reports whether the team uses so much of its limit on this
// instance that its fleet-wide use may exceed the limit. Without this check,
// each of many instances could allow the full amount of a small limit.
func (r *teamRate) isNearLimit(w *domain.RoutingState) bool {
	t, ok := w.Team(r.team)
	return ok && t.Limit() > 0 && r.localRate > t.Limit()/nearLimitDivisor
}

func (r *teamRate) report(w *domain.RoutingState, rate float64) {
	if rate == 0 && r.sentRate == 0 {
		return
	}
	stale := w.Now()-r.sentAt >= reportTTL/2
	if math.Abs(rate-r.sentRate) <= minReportChange*r.sentRate && !stale {
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

// dropIdleTeams drops teams that are idle and whose use is not being reported.
func (s *Rates) dropIdleTeams(now time.Duration) {
	kept := s.rows[:0]
	for _, r := range s.rows {
		r.decay(now)
		if r.localRate < minTrackedRate && r.sentRate == 0 && now-r.receivedAt > reportTTL {
			delete(s.teams, r.team)
			continue
		}
		kept = append(kept, r)
	}
	s.rows = kept
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

// TeamCount returns the number of tracked teams.
func (s *Rates) TeamCount() int { return len(s.rows) }
