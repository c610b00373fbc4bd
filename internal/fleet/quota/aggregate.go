package quota

import (
	"cmp"
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/proto"
)

// shareTTL is how long a share is valid without being sent again. Its sender
// may have changed to another aggregator.
const shareTTL = 10 * time.Second

// minHeavyShare is the fraction of the usage of a data centre from which a
// team is heavy.
const minHeavyShare = 0.01

// Aggregator adds up the shares that instances of a data centre send.
type Aggregator struct {
	rows []senderShare
}

type senderShare struct {
	sender spec.InstanceID
	loads  []proto.Load
	rates  []proto.Rate
	// Each list expires at its own time.
	loadsExpireAt time.Duration
	ratesExpireAt time.Duration
}

// SetShare records a share. Each list in it replaces the former list of its
// sender.
func (s *Aggregator) SetShare(now time.Duration, from spec.InstanceID, share proto.Share) {
	at, found := slices.BinarySearchFunc(s.rows, from, func(r senderShare, id spec.InstanceID) int { return cmp.Compare(r.sender, id) })
	if !found {
		s.rows = slices.Insert(s.rows, at, senderShare{sender: from})
	}
	row := &s.rows[at]
	if share.HasLoads {
		row.loads, row.loadsExpireAt = share.Loads, now+shareTTL
	}
	if share.HasRates {
		row.rates, row.ratesExpireAt = share.Rates, now+shareTTL
	}
}

// Remove drops the share of an instance that is gone.
func (s *Aggregator) Remove(from spec.InstanceID) {
	s.rows = slices.DeleteFunc(s.rows, func(r senderShare) bool { return r.sender == from })
}

// Tick drops expired shares.
func (s *Aggregator) Tick(now time.Duration) {
	for i := range s.rows {
		r := &s.rows[i]
		if now >= r.loadsExpireAt {
			r.loads = nil
		}
		if now >= r.ratesExpireAt {
			r.rates = nil
		}
	}
	s.rows = slices.DeleteFunc(s.rows, func(r senderShare) bool { return now >= max(r.loadsExpireAt, r.ratesExpireAt) })
}

// Loads returns the total work in flight per engine, for the engines that f
// accepts.
func (s *Aggregator) Loads(f func(spec.UpstreamID) bool) []news.LoadSum {
	at := map[spec.UpstreamID]int{}
	var out []news.LoadSum
	for _, r := range s.rows {
		for _, l := range r.loads {
			if !f(l.Engine) {
				continue
			}
			i, ok := at[l.Engine]
			if !ok {
				i = len(out)
				at[l.Engine] = i
				out = append(out, news.LoadSum{Engine: string(l.Engine)})
			}
			out[i].Active += l.Active
			out[i].Tokens += l.Tokens
		}
	}
	slices.SortFunc(out, func(a, b news.LoadSum) int { return cmp.Compare(a.Engine, b.Engine) })
	return out
}

// Rates returns the total usage of the heaviest teams.
func (s *Aggregator) Rates() []news.RateSum {
	at := map[uint64]int{}
	var out []news.RateSum
	for _, r := range s.rows {
		for _, t := range r.rates {
			i, ok := at[t.TeamHash]
			if !ok {
				i = len(out)
				at[t.TeamHash] = i
				out = append(out, news.RateSum{Team: t.TeamHash})
			}
			out[i].Rate += t.Rate
		}
	}
	slices.SortFunc(out, func(a, b news.RateSum) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Team, b.Team))
	})
	return keepHeaviest(out)
}

// keepHeaviest truncates rates, sorted in falling order, to the heaviest
// teams. Teams under minHeavyShare of the total cannot crowd out others, so
// they are not reported.
func keepHeaviest(rates []news.RateSum) []news.RateSum {
	total := float32(0)
	for _, r := range rates {
		total += r.Rate
	}
	n := 0
	for n < min(MaxHeavyTeams, len(rates)) && rates[n].Rate >= minHeavyShare*total {
		n++
	}
	return rates[:n]
}
