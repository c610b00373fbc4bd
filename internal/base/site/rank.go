package site

import (
	"cmp"
	"slices"
)

// maxUrgency is the highest rank number that engines accept, the least urgent.
const maxUrgency = 9

// level is the priority of a team, or of a route if the team has none, and the priority of the route.
type level struct{ team, route int }

func compareLevels(a, b level) int {
	return cmp.Or(cmp.Compare(a.team, b.team), cmp.Compare(a.route, b.route))
}

// ranks orders the requests to a model service whose routes differ in priority.
type ranks struct {
	// routes are the priorities of its routes, and levels all that requests can have; both sorted.
	routes []int
	levels []level
	// lastTeam is the priority of the least urgent teams.
	lastTeam int
}

// newRanks returns the ranks of the requests to a service; nil if its routes have one priority.
func (c *Config) newRanks(service string) *ranks {
	out := &ranks{}
	for _, r := range c.Routes {
		if r.Kind == KindStream && slices.ContainsFunc(r.Split, func(s Share) bool { return s.Service == service }) {
			out.routes = append(out.routes, r.Priority)
		}
	}
	slices.Sort(out.routes)
	out.routes = slices.Compact(out.routes)
	if len(out.routes) < 2 {
		return nil
	}
	teams := map[int]bool{}
	for _, t := range c.Teams {
		if t.Priority != nil {
			teams[*t.Priority] = true
			out.lastTeam = max(out.lastTeam, *t.Priority)
		}
	}
	for _, r := range out.routes {
		// A request without a team, or of a team without a priority, has that of its route.
		out.levels = append(out.levels, level{r, r})
		for t := range teams {
			out.levels = append(out.levels, level{t, r})
		}
	}
	slices.SortFunc(out.levels, compareLevels)
	out.levels = slices.Compact(out.levels)
	return out
}

// Urgency returns the rank of a request among those of its service, from 0, the most urgent, to 9. A
// team's priority takes precedence over that of a route. If the routes of the service differ in
// priority, it decides among the requests of teams with the same one.
func (c *Config) Urgency(service string, r *Route, t *Team) int {
	l := level{r.Priority, r.Priority}
	if t != nil && t.Priority != nil {
		l.team = *t.Priority
	}
	out := l.team
	if k := c.ranks[service]; k != nil {
		out, _ = slices.BinarySearchFunc(k.levels, l, compareLevels)
	}
	return min(maxUrgency, max(0, out))
}

// ShedRank returns the rank by which a request is refused in favour of others: the priority of its
// route, but for the more urgent teams, whose requests are refused last.
func (c *Config) ShedRank(service string, r *Route, t *Team) int {
	k := c.ranks[service]
	switch {
	case k == nil:
		return 0
	case t != nil && t.Priority != nil && *t.Priority < k.lastTeam:
		return k.routes[0]
	}
	return r.Priority
}

// ShedRanks returns the ranks that ShedRank returns for a service; none if its routes have one priority.
func (c *Config) ShedRanks(service string) []int {
	if k := c.ranks[service]; k != nil {
		return k.routes
	}
	return nil
}
