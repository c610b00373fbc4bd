package quota

import (
	"cmp"
	"slices"
	"time"

	"fulmarwick/internal/base/news"
	"fulmarwick/internal/base/spec"
	"fulmarwick/internal/fleet/talk"
)

// shareLife is how long a share counts that was not sent again; its sender
// may have chosen another instance to add up.
const shareLife = 10 * time.Second

// least is the share of a data centre's use from which on a team is heavy.
const least = 0.01

// Sums adds up the shares that instances of a data centre send.
type Sums struct {
	rows []shareRow
}

type shareRow struct {
	from  spec.InstanceID
	loads []talk.Load
	rates []talk.Rate
	// Each list counts until its own time.
	loadsUntil time.Duration
	ratesUntil time.Duration
}

// Take takes a share; each list that it has replaces its sender's former one.
func (s *Sums) Take(now time.Duration, from spec.InstanceID, share talk.Share) {
	at, found := slices.BinarySearchFunc(s.rows, from, func(r shareRow, id spec.InstanceID) int { return cmp.Compare(r.from, id) })
	if !found {
		s.rows = slices.Insert(s.rows, at, shareRow{from: from})
	}
	row := &s.rows[at]
	if share.HasLoads {
		row.loads, row.loadsUntil = share.Loads, now+shareLife
	}
	if share.HasRates {
		row.rates, row.ratesUntil = share.Rates, now+shareLife
	}
}

// Drop forgets the share of an instance that is gone.
func (s *Sums) Drop(from spec.InstanceID) {
	s.rows = slices.DeleteFunc(s.rows, func(r shareRow) bool { return r.from == from })
}

// Tick forgets shares that were not sent again.
func (s *Sums) Tick(now time.Duration) {
	for i := range s.rows {
		r := &s.rows[i]
		if now >= r.loadsUntil {
			r.loads = nil
		}
		if now >= r.ratesUntil {
			r.rates = nil
		}
	}
	s.rows = slices.DeleteFunc(s.rows, func(r shareRow) bool { return now >= max(r.loadsUntil, r.ratesUntil) })
}

// Loads adds up the work in flight per engine, for the engines that f accepts.
func (s *Sums) Loads(f func(spec.UpstreamID) bool) []news.LoadSum {
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

// Rates adds up the use per team and returns the heaviest.
func (s *Sums) Rates() []news.RateSum {
	at := map[uint64]int{}
	var out []news.RateSum
	for _, r := range s.rows {
		for _, t := range r.rates {
			i, ok := at[t.Team]
			if !ok {
				i = len(out)
				at[t.Team] = i
				out = append(out, news.RateSum{Team: t.Team})
			}
			out[i].Rate += t.Rate
		}
	}
	slices.SortFunc(out, func(a, b news.RateSum) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), cmp.Compare(a.Team, b.Team))
	})
	return heavy(out)
}

// heavy cuts rates in falling order to the heaviest teams. Those under a
// hundredth of all cannot crowd out others, so nobody hears of them.
func heavy(rates []news.RateSum) []news.RateSum {
	total := float32(0)
	for _, r := range rates {
		total += r.Rate
	}
	n := 0
	for n < min(Heavy, len(rates)) && rates[n].Rate >= least*total {
		n++
	}
	return rates[:n]
}
