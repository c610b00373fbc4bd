package quota

import (
	"cmp"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/talk"
)

// Bounds of what one instance tells of its use.
const (
	// Heavy is how many teams an instance and a data centre tell of.
	Heavy = 32
	// maxLoads bounds the engines an instance tells of.
	maxLoads = 4096
	// fresh is how long a rate counts that was not set again; the routing logic
	// sets an unchanged one every 5 s.
	fresh = 12 * time.Second
)

// Own holds what the own instance uses.
type Own struct {
	loads []talk.Load
	rates []ownRate
}

type ownRate struct {
	team spec.TeamID
	hash uint64
	rate float64
	// told is the rate in the last share sent.
	told  float64
	until time.Duration
}

// Load sets what is in flight on an engine.
func (o *Own) Load(l talk.Load) {
	at, found := slices.BinarySearchFunc(o.loads, l, func(a, b talk.Load) int { return cmp.Compare(a.Engine, b.Engine) })
	none := l.Active <= 0 && l.Tokens <= 0
	switch {
	case found && none:
		o.loads = slices.Delete(o.loads, at, at+1)
	case found:
		o.loads[at] = l
	case !none && len(o.loads) < maxLoads:
		o.loads = slices.Insert(o.loads, at, l)
	}
}

// Loads returns what is in flight on the engines that f accepts.
func (o *Own) Loads(f func(spec.UpstreamID) bool) []talk.Load {
	var out []talk.Load
	for _, l := range o.loads {
		if f(l.Engine) {
			out = append(out, l)
		}
	}
	return out
}

// Rate sets the use by a team, in tokens a second. Of more than Heavy teams
// the lightest is dropped.
func (o *Own) Rate(now time.Duration, team spec.TeamID, rate float64) {
	at, found := slices.BinarySearchFunc(o.rates, team, func(r ownRate, t spec.TeamID) int { return cmp.Compare(r.team, t) })
	if found {
		o.rates[at].rate, o.rates[at].until = rate, now+fresh
		return
	}
	row := ownRate{team: team, hash: talk.TeamHash(team), rate: rate, until: now + fresh}
	o.rates = slices.Insert(o.rates, at, row)
	if len(o.rates) <= Heavy {
		return
	}
	least := 0
	for i := range o.rates {
		if o.rates[i].rate < o.rates[least].rate {
			least = i
		}
	}
	o.rates = slices.Delete(o.rates, least, least+1)
}

// Rates returns the rates to tell and notes them as told.
func (o *Own) Rates() []talk.Rate {
	out := make([]talk.Rate, 0, len(o.rates))
	for i := range o.rates {
		r := &o.rates[i]
		r.told = r.rate
		if r.rate > 0 {
			out = append(out, talk.Rate{Team: r.hash, Rate: float32(r.rate)})
		}
	}
	return out
}

// Tick drops rates that were not set for long.
func (o *Own) Tick(now time.Duration) {
	o.rates = slices.DeleteFunc(o.rates, func(r ownRate) bool { return now >= r.until })
}
