package site_test

import (
	"slices"
	"testing"

	"fulmarwick/internal/base/site"
)

// rankedConfig returns a configuration with a model service whose routes have the given priorities, and
// teams with the given ones; negative for none.
func rankedConfig(routes, teams []int) *site.Config {
	c := &site.Config{Services: []site.Service{{Name: "m", Model: &site.Model{}}}}
	for _, p := range routes {
		c.Routes = append(c.Routes, site.Route{Kind: site.KindStream, Priority: p, Split: []site.Share{{Service: "m", Weight: 1}}})
	}
	for _, p := range teams {
		t := site.Team{}
		if p >= 0 {
			t.Priority = &p
		}
		c.Teams = append(c.Teams, t)
	}
	c.Index()
	return c
}

// Guards against priorities of routes that have no effect because all teams have one.
func TestRoutePriorityOrdersRequestsOfEqualTeams(t *testing.T) {
	c := rankedConfig([]int{0, 1, 2}, []int{0, 1})
	var got []int
	for team := range c.Teams {
		for route := range c.Routes {
			got = append(got, c.Urgency("m", &c.Routes[route], &c.Teams[team]))
		}
	}
	if !slices.IsSorted(got) || len(slices.Compact(slices.Clone(got))) != len(got) {
		t.Errorf("got urgencies %v, want them to rise by team, then by route", got)
	}
	if got, want := c.ShedRank("m", &c.Routes[2], &c.Teams[1]), 2; got != want {
		t.Errorf("got shed rank %d for the last route of a usual team, want %d", got, want)
	}
	if got, want := c.ShedRank("m", &c.Routes[2], &c.Teams[0]), 0; got != want {
		t.Errorf("got shed rank %d for a team that takes precedence, want %d", got, want)
	}
}

// Guards against a change for deployments whose routes have one priority: the urgency is that of the
// team, or else of the route, and nothing is refused by rank.
func TestEqualRoutePrioritiesChangeNothing(t *testing.T) {
	c := rankedConfig([]int{1, 1}, []int{0, 3, 12, -1})
	for k, want := range []int{0, 3, 9, 1} {
		if got := c.Urgency("m", &c.Routes[0], &c.Teams[k]); got != want {
			t.Errorf("got urgency %d for team %d, want %d", got, k, want)
		}
	}
	if got := c.Urgency("m", &c.Routes[0], nil); got != 1 {
		t.Errorf("got urgency %d without a team, want 1", got)
	}
	if got := c.ShedRanks("m"); len(got) != 0 {
		t.Errorf("got shed ranks %v, want none", got)
	}
}
