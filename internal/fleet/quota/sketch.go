// Package quota finds the few heavy teams and adds up the usage of instances,
// so that the limit of a team and the load of an engine apply to a data centre
// and the fleet. Small teams are never sent and cost nothing.
//
// It imports base/news, base/spec and fleet/proto. Package node drives it.
package quota

import (
	"cmp"
	"slices"

	"fulmarwick/internal/base/spec"
)

// Sketch finds the heaviest teams in a stream of uses in bounded memory. It is
// the Space-Saving summary of Metwally, Agrawal and El Abbadi (ICDT 2005): a
// team with more than 1/Size of the total is always in it, and a count is too
// high by at most its error.
type Sketch struct {
	// Size is the number of teams that the sketch counts.
	Size int

	rows  []*Count
	index map[spec.TeamID]*Count
}

// Count is the estimated usage of a team, in tokens.
type Count struct {
	team   spec.TeamID
	tokens float64
	err    float64
}

// Team returns the team.
func (c Count) Team() spec.TeamID { return c.team }

// Tokens returns the estimated usage, too high by at most Error.
func (c Count) Tokens() float64 { return c.tokens }

// Error returns the bound by which Tokens may be too high.
func (c Count) Error() float64 { return c.err }

// Add counts tokens used by a team.
func (s *Sketch) Add(team spec.TeamID, tokens float64) {
	if s.index == nil {
		s.index = map[spec.TeamID]*Count{}
	}
	if c := s.index[team]; c != nil {
		c.tokens += tokens
		return
	}
	if len(s.rows) < s.Size {
		c := &Count{team: team, tokens: tokens}
		s.rows = append(s.rows, c)
		s.index[team] = c
		return
	}
	// The new team replaces the one with the lowest count. It inherits
	// that count as its error, since it may have used that much uncounted.
	lowest := slices.MinFunc(s.rows, func(a, b *Count) int { return cmp.Compare(a.tokens, b.tokens) })
	delete(s.index, lowest.team)
	*lowest = Count{team: team, tokens: lowest.tokens + tokens, err: lowest.tokens}
	s.index[team] = lowest
}

// Decay multiplies all counts by a factor, so that old usage fades.
func (s *Sketch) Decay(factor float64) {
	for _, c := range s.rows {
		c.tokens *= factor
		c.err *= factor
	}
}

// Top returns the n heaviest teams, heaviest first, ordered by their
// guaranteed usage.
func (s *Sketch) Top(n int) []Count {
	out := make([]Count, 0, len(s.rows))
	for _, c := range s.rows {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Count) int {
		return cmp.Or(cmp.Compare(b.tokens-b.err, a.tokens-a.err), cmp.Compare(a.team, b.team))
	})
	return out[:min(n, len(out))]
}
