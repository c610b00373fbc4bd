package quota

import (
	"cmp"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Bounds of what one instance tells of its use.
const (
	// MaxHeavyTeams is how many teams an instance and a data centre tell of.
	MaxHeavyTeams = 32
	// maxLoads bounds the engines an instance tells of.
	maxLoads = 4096
	// rateTTL is how long a rate counts that was not set again; the routing logic
	// sets an unchanged one every 5 s.
	rateTTL = 12 * time.Second
)

// LocalUsage holds what the own instance uses.
type LocalUsage struct {
	loads []proto.Load
	rates []localRate
}

type localRate struct {
	team spec.TeamID
	hash uint64
	rate float64
	// reported is the rate in the last share sent.
	reported  float64
	expiresAt time.Duration
}

// SetLoad sets what is in flight on an engine.
func (o *LocalUsage) SetLoad(l proto.Load) {
	at, found := slices.BinarySearchFunc(o.loads, l, func(a, b proto.Load) int { return cmp.Compare(a.Engine, b.Engine) })
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
func (o *LocalUsage) Loads(f func(spec.UpstreamID) bool) []proto.Load {
	var out []proto.Load
	for _, l := range o.loads {
		if f(l.Engine) {
			out = append(out, l)
		}
	}
	return out
}

// SetRate sets the use by a team, in tokens a second. Of more than Heavy teams
// the lightest is dropped.
func (o *LocalUsage) SetRate(now time.Duration, team spec.TeamID, rate float64) {
	at, found := slices.BinarySearchFunc(o.rates, team, func(r localRate, t spec.TeamID) int { return cmp.Compare(r.team, t) })
	if found {
		o.rates[at].rate, o.rates[at].expiresAt = rate, now+rateTTL
		return
	}
	row := localRate{team: team, hash: proto.TeamHash(team), rate: rate, expiresAt: now + rateTTL}
	o.rates = slices.Insert(o.rates, at, row)
	if len(o.rates) <= MaxHeavyTeams {
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

// ReportRates returns the rates to tell and notes them as told.
func (o *LocalUsage) ReportRates() []proto.Rate {
	out := make([]proto.Rate, 0, len(o.rates))
	for i := range o.rates {
		r := &o.rates[i]
		r.reported = r.rate
		if r.rate > 0 {
			out = append(out, proto.Rate{TeamHash: r.hash, Rate: float32(r.rate)})
		}
	}
	return out
}

// Tick drops rates that were not set for long.
func (o *LocalUsage) Tick(now time.Duration) {
	o.rates = slices.DeleteFunc(o.rates, func(r localRate) bool { return now >= r.expiresAt })
}
