// Package quota finds the few heavy teams and adds up what instances use, so
// that a team's limit and an engine's load count over a data centre and the
// fleet. Small teams are never sent and cost nothing.
//
// It imports base/news, base/spec and fleet/proto. Package node feeds it.
package quota

import (
	"cmp"
	"slices"

	"fulmarwick/internal/base/spec"
)

// Sketch finds the heaviest teams of a stream of uses in bounded memory: the
// Space-Saving summary of Metwally, Agrawal and El Abbadi (ICDT 2005). A team
// that used more than 1/Size of everything is always in it, and a count is
// too high by at most its error.
type Sketch struct {
	// Size is how many teams it counts.
	Size int

	rows  []*Count
	index map[spec.TeamID]*Count
}

// Count is a team's use as the sketch knows it, in tokens.
type Count struct {
	team   spec.TeamID
	tokens float64
	err    float64
}

// Team is whose use it is.
func (c Count) Team() spec.TeamID { return c.team }

// Tokens is the use, too high by at most Error.
func (c Count) Tokens() float64 { return c.tokens }

// Error bounds by how much Tokens is too high.
func (c Count) Error() float64 { return c.err }

// Add counts tokens of a team.
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
	// The lightest gives up its place; its count is what the new one may have
	// used unseen.
	least := slices.MinFunc(s.rows, func(a, b *Count) int { return cmp.Compare(a.tokens, b.tokens) })
	delete(s.index, least.team)
	*least = Count{team: team, tokens: least.tokens + tokens, err: least.tokens}
	s.index[team] = least
}

// Decay multiplies all counts, so that old use fades.
func (s *Sketch) Decay(by float64) {
	for _, c := range s.rows {
		c.tokens *= by
		c.err *= by
	}
}

// Top returns the n heaviest, heaviest first, by what they used at least.
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
