package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
)

const (
	// minRateChange is the least relative change of a figure that is passed on at once.
	minRateChange = 0.02
	// resendInterval is when an unchanged one is passed on: the routing logic forgets
	// what it did not hear for 10 s.
	resendInterval = 4 * time.Second
)

// FleetUsage holds the sums of the data centres and gives what all use together.
type FleetUsage struct {
	rates    []centreRates
	reported map[spec.TeamID]reportedRate
}

// reportedRate is what was last passed on of a team.
type reportedRate struct {
	rate       float64
	reportedAt time.Duration
}

type centreRates struct {
	centre    string
	sums      []news.RateSum
	expiresAt time.Duration
}

// SetCentreRates replaces the sums of a data centre.
func (v *FleetUsage) SetCentreRates(now time.Duration, centre string, life time.Duration, sums []news.RateSum) {
	row := centreRates{centre: centre, sums: sums, expiresAt: now + life}
	at, found := slices.BinarySearchFunc(v.rates, centre, func(r centreRates, c string) int { return cmp.Compare(r.centre, c) })
	if found {
		v.rates[at] = row
		return
	}
	v.rates = slices.Insert(v.rates, at, row)
}

// Tick forgets sums that were not heard again.
func (v *FleetUsage) Tick(now time.Duration) {
	v.rates = slices.DeleteFunc(v.rates, func(r centreRates) bool { return now >= r.expiresAt })
}

// Total is the use of a team as heard, in tokens a second.
func (v *FleetUsage) Total(hash uint64) float64 {
	total := 0.0
	for _, c := range v.rates {
		for _, s := range c.sums {
			if s.Team == hash {
				total += float64(s.Rate)
			}
		}
	}
	return total
}

// TeamUsage is a team's use over the fleet, in tokens a second.
type TeamUsage struct {
	Team spec.TeamID
	Rate float64
}

// ChangedTeams returns the use over the fleet of the own instance's heavy teams, as
// far as it changed or is due again: what others use as heard, and what the own one uses now.
func (v *FleetUsage) ChangedTeams(now time.Duration, own *LocalUsage) []TeamUsage {
	next := make(map[spec.TeamID]reportedRate, len(own.rates))
	var out []TeamUsage
	for i := range own.rates {
		r := &own.rates[i]
		total := max(0, v.Total(r.hash)-r.reported) + r.rate
		before, known := v.reported[r.team]
		if known && math.Abs(total-before.rate) <= minRateChange*before.rate && now-before.reportedAt < resendInterval {
			next[r.team] = before
			continue
		}
		next[r.team] = reportedRate{rate: total, reportedAt: now}
		out = append(out, TeamUsage{Team: r.team, Rate: total})
	}
	v.reported = next
	return out
}
