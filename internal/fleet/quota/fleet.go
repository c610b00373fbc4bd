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
	// minRateChange is the least relative change of a rate that is
	// reported at once.
	minRateChange = 0.02
	// resendInterval is the interval at which an unchanged rate is
	// reported again. The routing logic drops a rate that it did not
	// receive for 10 s.
	resendInterval = 4 * time.Second
)

// FleetUsage holds the sums of the data centres and computes the usage of the
// whole fleet.
type FleetUsage struct {
	rates    []centreRates
	reported map[spec.TeamID]reportedRate
}

// reportedRate is the last rate reported for a team.
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
func (u *FleetUsage) SetCentreRates(now time.Duration, centre string, ttl time.Duration, sums []news.RateSum) {
	row := centreRates{centre: centre, sums: sums, expiresAt: now + ttl}
	at, found := slices.BinarySearchFunc(u.rates, centre, func(r centreRates, c string) int { return cmp.Compare(r.centre, c) })
	if found {
		u.rates[at] = row
		return
	}
	u.rates = slices.Insert(u.rates, at, row)
}

// Tick drops expired sums.
func (u *FleetUsage) Tick(now time.Duration) {
	u.rates = slices.DeleteFunc(u.rates, func(r centreRates) bool { return now >= r.expiresAt })
}

// Total returns the usage of a team according to the received sums, in tokens
// per second.
func (u *FleetUsage) Total(hash uint64) float64 {
	total := 0.0
	for _, c := range u.rates {
		for _, s := range c.sums {
			if s.Team == hash {
				total += float64(s.Rate)
			}
		}
	}
	return total
}

// TeamUsage is the usage of a team over the fleet, in tokens per second.
type TeamUsage struct {
	Team spec.TeamID
	Rate float64
}

// ChangedTeams returns the fleet-wide usage of the heavy teams of this
// instance, for those whose rate changed or is due for another report. It adds
// the current local rate to the rates of the other instances in the received
// sums.
func (u *FleetUsage) ChangedTeams(now time.Duration, local *LocalUsage) []TeamUsage {
	next := make(map[spec.TeamID]reportedRate, len(local.rates))
	var out []TeamUsage
	for i := range local.rates {
		r := &local.rates[i]
		total := max(0, u.Total(r.hash)-r.reported) + r.rate
		last, known := u.reported[r.team]
		if known && math.Abs(total-last.rate) <= minRateChange*last.rate && now-last.reportedAt < resendInterval {
			next[r.team] = last
			continue
		}
		next[r.team] = reportedRate{rate: total, reportedAt: now}
		out = append(out, TeamUsage{Team: r.team, Rate: total})
	}
	u.reported = next
	return out
}
