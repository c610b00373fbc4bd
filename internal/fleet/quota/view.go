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
	// step is the least relative change of a figure that is passed on at once.
	step = 0.02
	// again is when an unchanged one is passed on: the routing logic forgets
	// what it did not hear for 10 s.
	again = 4 * time.Second
)

// View holds the sums of the data centres and gives what all use together.
type View struct {
	rates []rateView
	told  map[spec.TeamID]told
}

// told is what was last passed on of a team.
type told struct {
	rate float64
	at   time.Duration
}

type rateView struct {
	centre string
	sums   []news.RateSum
	until  time.Duration
}

// TakeRates replaces the sums of a data centre.
func (v *View) TakeRates(now time.Duration, centre string, life time.Duration, sums []news.RateSum) {
	row := rateView{centre: centre, sums: sums, until: now + life}
	at, found := slices.BinarySearchFunc(v.rates, centre, func(r rateView, c string) int { return cmp.Compare(r.centre, c) })
	if found {
		v.rates[at] = row
		return
	}
	v.rates = slices.Insert(v.rates, at, row)
}

// Tick forgets sums that were not heard again.
func (v *View) Tick(now time.Duration) {
	v.rates = slices.DeleteFunc(v.rates, func(r rateView) bool { return now >= r.until })
}

// Total is the use of a team as heard, in tokens a second.
func (v *View) Total(hash uint64) float64 {
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

// TeamUse is a team's use over the fleet, in tokens a second.
type TeamUse struct {
	Team spec.TeamID
	Rate float64
}

// Teams returns the use over the fleet of the own instance's heavy teams, as
// far as it changed or is due again: what others use as heard, and what the own one uses now.
func (v *View) Teams(now time.Duration, own *Own) []TeamUse {
	next := make(map[spec.TeamID]told, len(own.rates))
	var out []TeamUse
	for i := range own.rates {
		r := &own.rates[i]
		total := max(0, v.Total(r.hash)-r.told) + r.rate
		before, known := v.told[r.team]
		if known && math.Abs(total-before.rate) <= step*before.rate && now-before.at < again {
			next[r.team] = before
			continue
		}
		next[r.team] = told{rate: total, at: now}
		out = append(out, TeamUse{Team: r.team, Rate: total})
	}
	v.told = next
	return out
}
