package share

import (
	"maps"
	"time"

	"fulmarwick/internal/base/spec"
)

const (
	// unservedTime is how long a request of a small team that found no capacity counts: other
	// instances hear of it after up to 1.6 s, and the next one comes seconds later.
	unservedTime = 2 * time.Second
	// minReserve and maxReserve limit the share of the capacity that is kept while small teams find
	// none. Reports are late, so that the instances together exceed the bound by a few percent;
	// what is kept without need leaves engines idle.
	minReserve = 0.05
	maxReserve = 0.2
	// reserveInterval is the time between two steps of the reserve. It grows from minReserve to
	// maxReserve in 1.5 s and shrinks in 7.5 s: a small team sends a request every few seconds, and
	// each time that the reserve begins anew costs one.
	reserveInterval = 100 * time.Millisecond
	growStep        = 0.01
	shrinkStep      = 0.002
)

// Usage is what the requests of one instance, or of several, say of the teams of a service.
type Usage struct {
	// InFlight is the number of requests in flight by team.
	InFlight map[string]int `cbor:"1,keyasint,omitempty"`
	// Unserved is the number of recent requests of teams within an even share that found no
	// capacity, by rank.
	Unserved map[int]int `cbor:"2,keyasint,omitempty"`
}

// Plus returns the sum of both usages.
func (u Usage) Plus(o Usage) Usage {
	return Usage{InFlight: sumTeams(u.InFlight, o.InFlight, 1), Unserved: sumRanks(u.Unserved, o.Unserved, 1)}
}

// Minus returns u without o, which is a part of it.
func (u Usage) Minus(o Usage) Usage {
	return Usage{InFlight: sumTeams(u.InFlight, o.InFlight, -1), Unserved: sumRanks(u.Unserved, o.Unserved, -1)}
}

// unserved is a request of a small team that found no capacity.
type unserved struct {
	at   time.Duration
	rank int
}

// Fleet decides which teams leave capacity to others by the requests of all instances. With many
// instances each of them has few requests of a small team, and the capacity that becomes free
// goes to whichever instance sees it first: mostly one where a large team waits. As soon as small
// teams find no capacity anywhere, large ones leave a growing part of it on all instances.
//
// It answers the load of one team that sends several times what the engines can serve, or of many
// teams of very uneven size, over tens of instances. The zero value knows of no other instance. It
// is not safe for concurrent use.
type Fleet struct {
	own    Teams
	others map[spec.InstanceID]Usage
	// elsewhere is the sum of others by team, elsewhereTotal that of all teams.
	elsewhere      map[string]int
	elsewhereTotal int
	// recent are the requests of small teams at this instance that found no capacity.
	recent []unserved
	// reserve is the share of the capacity that large teams leave, as of step.
	reserve float64
	step    int64
}

// Own returns the requests of this instance.
func (f *Fleet) Own() *Teams { return &f.own }

// Usage returns what this instance tells the others.
func (f *Fleet) Usage(now time.Duration) Usage {
	f.expire(now)
	u := Usage{InFlight: maps.Clone(f.own.inFlight)}
	for _, r := range f.recent {
		if u.Unserved == nil {
			u.Unserved = map[int]int{}
		}
		u.Unserved[r.rank]++
	}
	return u
}

// SetOthers sets what another instance, or several, told last; a zero value removes it.
func (f *Fleet) SetOthers(from spec.InstanceID, u Usage) {
	f.addElsewhere(f.others[from], -1)
	if len(u.InFlight) == 0 && len(u.Unserved) == 0 {
		delete(f.others, from)
		return
	}
	if f.others == nil {
		f.others, f.elsewhere = map[spec.InstanceID]Usage{}, map[string]int{}
	}
	f.others[from] = u
	f.addElsewhere(u, 1)
}

// addElsewhere adds the requests of other instances, or with a sign of -1 removes them.
func (f *Fleet) addElsewhere(u Usage, sign int) {
	for team, n := range u.InFlight {
		f.elsewhereTotal += sign * n
		if f.elsewhere[team] += sign * n; f.elsewhere[team] <= 0 {
			delete(f.elsewhere, team)
		}
	}
}

// InFlight returns how many requests of a team are in flight at all instances.
func (f *Fleet) InFlight(team string) int { return f.own.InFlight(team) + f.elsewhere[team] }

// RecordUnserved records that a request found no capacity, if its team is within an even share.
func (f *Fleet) RecordUnserved(now time.Duration, team string, rank int) {
	if f.IsWithinShare(team) {
		f.expire(now)
		f.recent = append(f.recent, unserved{at: now, rank: rank})
	}
}

// Allow reports whether a request of a team and rank may begin. utilization returns the share of the
// capacity in use; it is called only if the team has to leave capacity to others.
func (f *Fleet) Allow(now time.Duration, team string, rank int, utilization func() float64) bool {
	f.adjust(now)
	return f.reserve == 0 || f.IsWithinShare(team) || !f.isContested(rank) || utilization() < 1-f.reserve
}

// Reserve returns the share of the capacity that is kept for small teams.
func (f *Fleet) Reserve(now time.Duration) float64 {
	f.adjust(now)
	return f.reserve
}

// IsWithinShare reports whether a team would have at most an even share of all requests in flight
// with one more.
func (f *Fleet) IsWithinShare(team string) bool {
	teams := len(f.elsewhere)
	for other := range f.own.inFlight {
		if f.elsewhere[other] == 0 {
			teams++
		}
	}
	return isWithinEvenShare(f.InFlight(team), teams, f.own.total+f.elsewhereTotal)
}

// isContested reports whether requests of a rank, or of more urgent ones, found no capacity.
func (f *Fleet) isContested(rank int) bool {
	for _, r := range f.recent {
		if r.rank <= rank {
			return true
		}
	}
	for _, u := range f.others {
		for r, n := range u.Unserved {
			if r <= rank && n > 0 {
				return true
			}
		}
	}
	// The reserve shrinks for all ranks alike once no request counts any more.
	return !f.hasUnserved()
}

func (f *Fleet) hasUnserved() bool {
	if len(f.recent) > 0 {
		return true
	}
	for _, u := range f.others {
		if len(u.Unserved) > 0 {
			return true
		}
	}
	return false
}

// adjust makes the steps of the reserve up to now.
func (f *Fleet) adjust(now time.Duration) {
	f.expire(now)
	newest := int64(now / reserveInterval)
	steps := float64(newest - f.step)
	f.step = newest
	switch {
	case f.hasUnserved() && f.reserve == 0:
		f.reserve = minReserve
	case f.hasUnserved():
		f.reserve = min(maxReserve, f.reserve+growStep*steps)
	default:
		if f.reserve -= shrinkStep * steps; f.reserve < minReserve {
			f.reserve = 0
		}
	}
}

// expire drops the requests that count no more.
func (f *Fleet) expire(now time.Duration) {
	n := 0
	for n < len(f.recent) && now-f.recent[n].at >= unservedTime {
		n++
	}
	f.recent = f.recent[n:]
}

// sumTeams returns a plus b times a sign, without teams that have none.
func sumTeams(a, b map[string]int, sign int) map[string]int {
	out := make(map[string]int, len(a))
	maps.Copy(out, a)
	for team, n := range b {
		if out[team] += sign * n; out[team] <= 0 {
			delete(out, team)
		}
	}
	return out
}

// sumRanks is the same for ranks.
func sumRanks(a, b map[int]int, sign int) map[int]int {
	out := make(map[int]int, len(a))
	maps.Copy(out, a)
	for k, n := range b {
		if out[k] += sign * n; out[k] <= 0 {
			delete(out, k)
		}
	}
	return out
}
