package quota

import (
	"cmp"
	"slices"
	"time"

	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// Limits of what one instance reports of its usage.
const (
	// MaxHeavyTeams is how many teams an instance or a data centre
	// reports.
	MaxHeavyTeams = 32
	// maxLoads bounds the engines whose load an instance reports.
	maxLoads = 4096
	// rateTTL is how long a rate is valid without being set again. The
	// routing logic sets an unchanged rate every 5 s.
	rateTTL = 12 * time.Second
)

// LocalUsage holds the usage of this instance.
type LocalUsage struct {
	loads []proto.Load
	rates []localRate
}

type localRate struct {
	team spec.TeamID
	hash uint64
	rate float64
	// reported is the rate in the last share that was sent.
	reported  float64
	expiresAt time.Duration
}

// SetLoad sets the work in flight on an engine.
func (u *LocalUsage) SetLoad(l proto.Load) {
	at, found := slices.BinarySearchFunc(u.loads, l, func(a, b proto.Load) int { return cmp.Compare(a.Engine, b.Engine) })
	none := l.Active <= 0 && l.Tokens <= 0
	switch {
	case found && none:
		u.loads = slices.Delete(u.loads, at, at+1)
	case found:
		u.loads[at] = l
	case !none && len(u.loads) < maxLoads:
		u.loads = slices.Insert(u.loads, at, l)
	}
}

// Loads returns the work in flight on the engines that f accepts.
func (u *LocalUsage) Loads(f func(spec.UpstreamID) bool) []proto.Load {
	var out []proto.Load
	for _, l := range u.loads {
		if f(l.Engine) {
			out = append(out, l)
		}
	}
	return out
}

// SetRate sets the usage by a team, in tokens per second. If there are more
// than MaxHeavyTeams, the team with the lowest rate is dropped.
func (u *LocalUsage) SetRate(now time.Duration, team spec.TeamID, rate float64) {
	at, found := slices.BinarySearchFunc(u.rates, team, func(r localRate, t spec.TeamID) int { return cmp.Compare(r.team, t) })
	if found {
		u.rates[at].rate, u.rates[at].expiresAt = rate, now+rateTTL
		return
	}
	row := localRate{team: team, hash: proto.TeamHash(team), rate: rate, expiresAt: now + rateTTL}
	u.rates = slices.Insert(u.rates, at, row)
	if len(u.rates) <= MaxHeavyTeams {
		return
	}
	least := 0
	for i := range u.rates {
		if u.rates[i].rate < u.rates[least].rate {
			least = i
		}
	}
	u.rates = slices.Delete(u.rates, least, least+1)
}

// ReportRates returns the rates to report and records them as reported.
func (u *LocalUsage) ReportRates() []proto.Rate {
	out := make([]proto.Rate, 0, len(u.rates))
	for i := range u.rates {
		r := &u.rates[i]
		r.reported = r.rate
		if r.rate > 0 {
			out = append(out, proto.Rate{TeamHash: r.hash, Rate: float32(r.rate)})
		}
	}
	return out
}

// Tick drops rates that were not set within rateTTL.
func (u *LocalUsage) Tick(now time.Duration) {
	u.rates = slices.DeleteFunc(u.rates, func(r localRate) bool { return now >= r.expiresAt })
}
